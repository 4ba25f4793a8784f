#pragma once

#include <cstdint>

#include "libs/base/base.h"
#include "standins/relay/core/pipe.h"

namespace cornelplank::standins::relay {

/// A registration of sockets with epoll.
class Poller {
 public:
  Poller();
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  /// Registers interest in `events` of a socket under `key`; no events removes the socket.
  void Watch(int socket_fd, uint64_t key, uint32_t events, uint32_t* registered) const;
  int epoll_fd() const { return epoll_fd_; }

 private:
  int epoll_fd_;
};

/// Which bytes of a connection are lost.
enum class Direction { kToTarget, kToClient, kBoth };

/// A client's connection and its counterpart to the target. Used on the relay's thread only.
class Connection {
 public:
  /// The events of the client's socket come under `key`, those of the target's under `key + 1`.
  Connection(int client_fd, int target_fd, uint64_t key, base::Duration delay);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Handles epoll events of one side. False when the connection has ended.
  bool OnEvents(bool client_side, uint32_t events, base::TimePoint now);
  /// Writes what has become due. False when the connection has ended.
  bool Flush(base::TimePoint now);
  /// Registers interest in the events that the connection needs at present; none while frozen.
  void Register(const Poller& poller, bool frozen, base::TimePoint now);
  std::optional<base::TimePoint> NextDue(base::TimePoint now) const;

  void Drop(Direction direction);
  void SetDelay(base::Duration delay);
  /// Lets the sockets be closed with a reset instead of an orderly end.
  void ResetOnClose() { reset_ = true; }

 private:
  struct Side {
    int socket_fd = -1;
    uint32_t registered = 0;
    bool read_ended = false;
    bool write_ended = false;
    bool connecting = false;
    Pipe in;  // bytes on their way to this side
  };

  bool Read(Side& from, Side& to, base::TimePoint now);
  bool Write(Side& to, base::TimePoint now);
  bool OnBroken(Side& side);
  uint32_t Wanted(const Side& side, const Side& other, base::TimePoint now) const;
  void Close(Side& side) const;

  uint64_t key_;
  bool reset_ = false;
  Side client_;
  Side target_;
};

}  // namespace cornelplank::standins::relay

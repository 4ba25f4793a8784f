#pragma once

#include <cstdint>

#include "libs/base/base.h"
#include "standins/relay/core/pipe.h"

namespace cornelplank::standins::relay {

/// An epoll instance.
class Poller {
 public:
  Poller();
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  /// Subscribes to `events` of a socket, which epoll then reports with `key`; 0 removes the socket.
  /// `registered` holds the events that the socket is subscribed to at present, 0 at first, and is updated.
  void Watch(int socket_fd, uint64_t key, uint32_t events, uint32_t* registered) const;
  int epoll_fd() const { return epoll_fd_; }

 private:
  int epoll_fd_;
};

/// In which direction a connection loses its bytes.
enum class Direction { kToTarget, kToClient, kBoth };

/// A connection that the relay accepted and the one that it opened to the target. Not thread-safe; the relay
/// uses it under its lock.
class RelayedConnection {
 public:
  /// Takes ownership of both sockets. Epoll reports the events of the client's socket with `key`, those of
  /// the target's with `key + 1`.
  RelayedConnection(int client_fd, int target_fd, uint64_t key, base::Duration delay);
  ~RelayedConnection();
  RelayedConnection(const RelayedConnection&) = delete;
  RelayedConnection& operator=(const RelayedConnection&) = delete;

  /// Handles epoll events of one side. Returns false if the connection has ended and is to be destroyed.
  bool HandleEvents(bool client_side, uint32_t events, base::TimePoint now);
  /// Writes the bytes whose delay has passed. Returns false if the connection has ended and is to be
  /// destroyed.
  bool Flush(base::TimePoint now);
  /// Subscribes to the events that the connection needs at present; none while frozen.
  void UpdateInterest(const Poller& poller, bool frozen, base::TimePoint now);
  /// When delayed bytes of either direction become ready; nullopt if none are waiting for that.
  std::optional<base::TimePoint> NextDue(base::TimePoint now) const;

  /// Discards all bytes of a direction from now on, without closing either side.
  void StartDropping(Direction direction);
  void SetDelay(base::Duration delay);
  /// Makes the destructor close the sockets with a TCP reset instead of an orderly close.
  void ResetOnClose() { reset_ = true; }

 private:
  struct Side {
    int socket_fd = -1;
    uint32_t registered = 0;  // epoll events; see Poller::Watch
    bool read_ended = false;
    bool write_ended = false;
    bool connecting = false;
    Pipe in;  // bytes to be written to this side
  };

  bool Read(Side& from, Side& to, base::TimePoint now);
  bool Write(Side& to, base::TimePoint now);
  bool HandleBrokenSide(Side& side);
  uint32_t WantedEvents(const Side& side, const Side& other, base::TimePoint now) const;
  void Close(Side& side) const;

  uint64_t key_;
  bool reset_ = false;
  Side client_;
  Side target_;
};

}  // namespace cornelplank::standins::relay

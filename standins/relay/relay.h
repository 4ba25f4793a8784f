#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <netinet/in.h>

#include "standins/relay/connection.h"

namespace cornelplank::standins::relay {

enum class PairMode {
  kForward,
  kCut,     // open connections are reset, new ones are refused
  kFreeze,  // nothing is read, written or accepted; connections stay open
};

struct PairAddresses {
  std::string listen;
  std::string target;
};

struct PairState {
  std::string listen;  // with the port that was bound
  std::string target;
  PairMode mode = PairMode::kForward;
  base::Duration delay{0};
  size_t connections = 0;
  uint64_t accepted = 0;
};

/// Relays TCP connections between pairs of addresses on a thread of its own. Thread-safe.
class Relay {
 public:
  /// Binds all pairs; null with a printable problem when an address can't be had.
  static std::unique_ptr<Relay> Start(const std::vector<PairAddresses>& pairs, std::string* problem);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// Sets the mode of a pair. Returns when it is in force; false when a cut pair can't listen again.
  bool SetMode(size_t pair, PairMode mode);
  /// Delays the bytes that arrive from now on, in both directions.
  void SetDelay(size_t pair, base::Duration delay);
  /// Relays connections that come from now on to another IP:PORT. False when it is none.
  bool SetTarget(size_t pair, const std::string& target);
  /// Makes the open connections silent in a direction. Connections that come later work. Returns how many.
  size_t DropOpen(size_t pair, Direction direction);
  std::vector<PairState> States();

 private:
  struct Pair {
    PairState state;
    sockaddr_in listen_address{};
    sockaddr_in target_address{};
    int reserve_fd = -1;  // bound but not listening: keeps the port while the pair is cut
    int listen_fd = -1;
    uint32_t registered = 0;
    std::map<uint64_t, std::unique_ptr<Connection>> connections;
  };

  Relay();
  static bool Reserve(Pair& pair);
  static bool Listen(Pair& pair);
  void Run();
  void Dispatch(uint64_t key, uint32_t events);
  void Accept(Pair& pair);
  base::TimePoint FlushAndRegister();
  void Wake() const;

  base::SystemClock clock_;
  Poller poller_;
  int wake_fd_;
  // Commands take the lock between two rounds of the relay's thread, so they are in force on return.
  std::mutex mutex_;
  bool stopping_ = false;
  std::vector<Pair> pairs_;
  uint64_t next_connection_ = 0;
  std::thread thread_;
};

}  // namespace cornelplank::standins::relay

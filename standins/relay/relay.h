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

#include "standins/relay/relayed_connection.h"

namespace cornelplank::standins::relay {

/// What the relay does with the connections of a pair.
enum class PairMode {
  kForward,
  kCut,     // open connections are reset, new ones are refused
  kFreeze,  // nothing is read, written or accepted; connections stay open
};

/// Where a pair listens and where it relays to, both IP:PORT.
struct PairAddresses {
  std::string listen;
  std::string target;
};

/// The state of a pair, as reported by the control interface.
struct PairState {
  std::string listen;  // IP:PORT with the port that was bound
  std::string target;
  PairMode mode = PairMode::kForward;
  base::Duration delay{0};
  size_t connections = 0;  // open now
  uint64_t accepted = 0;   // since the start
};

/// Relays TCP connections from listening addresses to targets and simulates network faults. Runs on a thread
/// of its own. Thread-safe.
class Relay {
 public:
  /// Listens on the addresses of all pairs. Returns null and sets `problem` if an address is malformed or
  /// can't be bound.
  static std::unique_ptr<Relay> Start(const std::vector<PairAddresses>& pairs, std::string* problem);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// Sets the mode of a pair; it is in force on return. Returns false if a cut pair can't listen again.
  bool SetMode(size_t pair, PairMode mode);
  /// Delays the bytes that arrive from now on by `delay` in each direction.
  void SetDelay(size_t pair, base::Duration delay);
  /// Relays the connections that are accepted from now on to another IP:PORT. Returns false if `target` is
  /// not one.
  bool SetTarget(size_t pair, const std::string& target);
  /// Discards all further bytes of the open connections in a direction; later connections work. Returns the
  /// number of open connections.
  size_t DropOnOpenConnections(size_t pair, Direction direction);
  std::vector<PairState> PairStates();

 private:
  struct Pair {
    PairState state;
    sockaddr_in listen_address{};
    sockaddr_in target_address{};
    int reserve_fd = -1;  // bound but not listening: keeps the port while the pair is cut
    int listen_fd = -1;
    uint32_t registered = 0;
    std::map<uint64_t, std::unique_ptr<RelayedConnection>> connections;
  };

  Relay();
  static bool ReservePort(Pair& pair);
  static bool Listen(Pair& pair);
  void Run();
  void Dispatch(uint64_t key, uint32_t events);
  void Accept(Pair& pair);
  base::TimePoint FlushAndUpdateInterest();
  void Wake() const;

  base::SystemClock clock_;
  Poller poller_;
  int wake_fd_;
  // The relay's thread holds the lock while it handles events, so a command is in force when it returns.
  std::mutex mutex_;
  bool stopping_ = false;
  std::vector<Pair> pairs_;
  uint64_t next_connection_ = 0;
  std::thread thread_;
};

}  // namespace cornelplank::standins::relay

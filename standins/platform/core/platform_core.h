#pragma once

#include <array>
#include <optional>
#include <string>

#include "standins/platform/core/published.h"

namespace cornelplank::standins::platform {

/// The endpoints that have their own mode and counters.
enum class Endpoint { kSnapshot, kLog, kVms, kClients, kWeights };
inline constexpr std::array kEndpoints = {Endpoint::kSnapshot, Endpoint::kLog, Endpoint::kVms,
                                          Endpoint::kClients, Endpoint::kWeights};

std::string_view EndpointName(Endpoint endpoint);

enum class Mode {
  kOk,
  kUnavailable,  // answers 503
  kNoAnswer,     // accepts the connection and never answers
  kStale,        // serves an old copy
};

struct PlatformOptions {
  double reads_per_second = 2000;  // across all readers; 0 means no limit
  double read_burst = 2000;
  size_t kept_entries = 10000;
  base::Duration vm_lag{0};
  double weights_bytes_per_second = 0;  // 0 means no limit
  double model_bytes = 1e9;
};

struct CallCounters {
  uint64_t calls = 0;    // a watch counts as one
  uint64_t refused = 0;  // by the rate limit
  uint64_t pending = 0;  // watches that wait at present
};

/// What operators have published.
struct PublishedState {
  PublishedConfig config;
  PublishedVmList vms;
  PublishedClients clients;
};

/// The state of the platform. Time is passed in. Not thread-safe.
class PlatformCore {
 public:
  explicit PlatformCore(const PlatformOptions& options);

  /// The operators' side.
  PublishedState& live() { return live_; }
  /// What readers of an endpoint see: the live state, or an old copy.
  const PublishedState& VisibleState(Endpoint endpoint) const;

  /// Sets the mode of an endpoint. For kStale, the copy is the present state or, for the configuration, the
  /// state whose head was `seq`.
  void SetMode(Endpoint endpoint, Mode mode, std::optional<uint64_t> seq);
  Mode mode(Endpoint endpoint) const { return state(endpoint).mode; }

  /// Counts a call. False when the rate limit refuses it.
  bool AdmitRead(Endpoint endpoint, base::TimePoint now);
  CallCounters& calls(Endpoint endpoint) { return states_[static_cast<size_t>(endpoint)].calls; }

  /// Grants up to `wanted` bytes of the weight store's rate; 0 when nothing is left at present.
  double GrantWeights(double wanted, base::TimePoint now);
  double model_bytes() const { return options_.model_bytes; }

 private:
  struct State {
    Mode mode = Mode::kOk;
    std::optional<PublishedState> old_copy;
    CallCounters calls;
  };

  const State& state(Endpoint endpoint) const { return states_[static_cast<size_t>(endpoint)]; }

  PlatformOptions options_;
  PublishedState live_;
  std::array<State, kEndpoints.size()> states_;
  PartialTokenBucket reads_;
  PartialTokenBucket weights_;
};

}  // namespace cornelplank::standins::platform

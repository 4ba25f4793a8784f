#pragma once

#include <array>
#include <optional>
#include <string>

#include "standins/platform/core/published.h"

namespace cornelplank::standins::platform {

/// The endpoints for readers. Each has its own mode and counters.
enum class Endpoint { kSnapshot, kLog, kVms, kClients, kWeights };
inline constexpr std::array kEndpoints = {Endpoint::kSnapshot, Endpoint::kLog, Endpoint::kVms,
                                          Endpoint::kClients, Endpoint::kWeights};

/// Name of the endpoint in the requests and answers under /standin/.
std::string_view EndpointName(Endpoint endpoint);

/// How an endpoint answers readers; all but kOk simulate a failure.
enum class Mode {
  kOk,
  kUnavailable,  // answers 503
  kNoAnswer,     // accepts the connection and never answers
  kStale,        // serves a copy made earlier
};

struct PlatformOptions {
  double reads_per_second = 2000;       // limit for all readers together; 0 means no limit
  double read_burst = 2000;             // reads that may come at once
  size_t kept_entries = 10000;          // newest entries of the configuration log that are kept
  base::Duration vm_lag{0};             // from the publication of a VM list until readers see it
  double weights_bytes_per_second = 0;  // rate of the weight store; 0 means no limit
  double model_bytes = 1e9;             // size that the weight store states for each model
};

/// Counters of one endpoint since the start of the program.
struct CallCounters {
  uint64_t calls = 0;    // including refused ones; a watch counts as one
  uint64_t refused = 0;  // by the rate limit
  uint64_t pending = 0;  // watches that are waiting now
};

/// Everything that operators have published.
struct PublishedState {
  PublishedConfig config;
  PublishedVmList vms;
  PublishedClients clients;
};

/// The state of the stand-in for the platform: what operators published, and the mode, counters and rate
/// limits of the endpoints. The caller passes in the time. Not thread-safe.
class PlatformCore {
 public:
  explicit PlatformCore(const PlatformOptions& options);

  /// The present state, which operators change.
  PublishedState& live() { return live_; }
  /// The state that readers of an endpoint get: the present one, or the old copy in kStale mode.
  const PublishedState& VisibleState(Endpoint endpoint) const;

  /// Sets the mode of an endpoint. kStale makes a copy of the present state. If `seq` is given, the
  /// configuration in the copy is the one whose newest sequence number was `seq`.
  void SetMode(Endpoint endpoint, Mode mode, std::optional<uint64_t> seq);
  Mode mode(Endpoint endpoint) const { return state(endpoint).mode; }

  /// Counts a call. Returns false when the read rate limit refuses it.
  bool AdmitRead(Endpoint endpoint, base::TimePoint now);
  CallCounters& calls(Endpoint endpoint) { return states_[static_cast<size_t>(endpoint)].calls; }

  /// Returns how many bytes the weight store's rate limit grants now, at most `wanted_bytes`; 0 when less
  /// than one byte is left.
  double GrantWeights(double wanted_bytes, base::TimePoint now);
  double model_bytes() const { return options_.model_bytes; }

 private:
  struct EndpointState {
    Mode mode = Mode::kOk;
    std::optional<PublishedState> old_copy;  // set in kStale mode
    CallCounters calls;
  };

  const EndpointState& state(Endpoint endpoint) const { return states_[static_cast<size_t>(endpoint)]; }

  PlatformOptions options_;
  PublishedState live_;
  std::array<EndpointState, kEndpoints.size()> states_;
  PartialTokenBucket read_limit_;
  PartialTokenBucket weights_limit_;
};

}  // namespace cornelplank::standins::platform

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "libs/base/base.h"

namespace cornelplank::serving {

/// Decides whether this VM has lost its own links to replicas, from how new connections to them end. Open
/// connections say nothing: they may live on while new ones are refused, or hang. A failure of single
/// replicas or of one service leaves other replicas that still take connections, which probes show. Not
/// thread-safe; the caller passes in the time.
class ReplicaLinks {
 public:
  /// Greatest number of different replicas that have to fail, without a connection to any other in between.
  static constexpr size_t kFailedReplicas = 3;
  /// Least time from the first of these failures to the decision. Probes run in it.
  static constexpr std::chrono::milliseconds kDecisionTime{300};
  /// Failures that are further apart than this belong to different causes.
  static constexpr std::chrono::milliseconds kFailureMemory{2000};
  /// Time between two rounds of probes while the links are in doubt, and while they are lost.
  static constexpr std::chrono::milliseconds kDoubtProbeInterval{100};
  static constexpr std::chrono::milliseconds kLostProbeInterval{300};
  /// Least time between two rounds of probes that attempts without an end have caused.
  static constexpr std::chrono::milliseconds kTroubleProbeInterval{1000};
  /// Number of connections after which the links are back, and the pause between two that breaks the series.
  static constexpr int kRegainConnections = 2;
  static constexpr std::chrono::milliseconds kRegainPause{800};
  /// Links that are lost again within this time of their return have to hold for longer, up to the second
  /// time.
  static constexpr std::chrono::seconds kFlapTime{10};
  static constexpr std::chrono::milliseconds kMinHold{500};
  static constexpr std::chrono::milliseconds kMaxHold{4000};

  /// A new connection to a replica was established.
  void OnConnected(base::TimePoint now);
  /// A new connection to a replica failed or was not established in time.
  void OnConnectFailed(uint32_t replica_key, base::TimePoint now);
  /// A replica went silent, or broke an answer off. A reason to probe, but it shows nothing alone.
  void OnTrouble() { trouble_ = true; }
  /// Updates the decision. `replicas`: the number of replicas that this VM might use. Returns true when it
  /// has changed. Call it about every 100 ms.
  bool Update(size_t replicas, base::TimePoint now);
  /// Whether a few new connections should be tried now. A true result counts as a round.
  bool TakeProbeRound(base::TimePoint now);

  bool lost() const { return lost_; }
  /// When the first connection of the present or last loss failed.
  base::TimePoint began_at() const { return began_at_; }
  /// When the present or last loss was noticed.
  base::TimePoint lost_at() const { return lost_at_; }
  /// Whether the replica has failed since the last connection to any.
  bool HasFailed(uint32_t replica_key) const { return failed_.contains(replica_key); }

 private:
  base::TimePoint FirstFailure() const;

  std::map<uint32_t, base::TimePoint> failed_;  // since the last connection; the first failure by replica key
  bool trouble_ = false;                        // since the last connection
  bool lost_ = false;
  base::TimePoint began_at_{};
  base::TimePoint lost_at_{};
  base::TimePoint regained_at_{};
  base::TimePoint probed_at_{};
  base::TimePoint connected_at_{};
  base::TimePoint series_at_{};  // first connection of the series, while the links are lost
  int series_ = 0;
  base::Duration hold_{0};
};

}  // namespace cornelplank::serving

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/net/net.h"
#include "libs/pace/pace.h"
#include "libs/serving/internal/config_freshness.h"
#include "libs/serving/internal/message_codec.h"
#include "libs/serving/internal/rejection_limit.h"
#include "libs/serving/internal/replica_limit.h"
#include "libs/serving/internal/replica_links.h"
#include "libs/serving/internal/routing_config.h"
#include "libs/serving/internal/software_history.h"
#include "libs/serving/internal/stream_origins.h"

namespace cornelplank::serving {

/// One replica as the platform's store lists it.
struct PublishedReplica {
  std::string id;
  std::string service;
  net::Tcp::endpoint address;
  std::string zone;
  std::string region;
  uint32_t slots = 1;                           // requests that it runs at once
  bool leaving = false;                         // finishes its requests and takes no new ones
  std::string software_version;                 // empty when the entry does not state it
  uint64_t incarnation = 0;                     // grows with each start; 0 when the entry does not state it
  std::chrono::milliseconds cold_remaining{0};  // until it has its full speed, when the entry was written
};

/// Work that a replica has been sent and has not finished.
struct OutstandingWork {
  uint32_t requests = 0;
  uint64_t prefill_tokens = 0;  // prompt tokens still to be processed: no event of their request has arrived
  uint64_t memory_tokens = 0;   // KV cache tokens of all requests, without those of shared prefixes
};

/// The work that one entry VM has outstanding at one replica, as the entry VMs of a region exchange it.
struct ReplicaWork {
  uint32_t replica_key = 0;  // ReplicaKey of its id
  OutstandingWork work;
  pace::PaceReport pace;  // empty unless its service's replicas state how fast they are
};

/// Hash that stands for a replica's id in messages between entry VMs. A collision only distorts an estimate
/// of load.
uint32_t ReplicaKey(std::string_view id);

/// Everything that this VM knows about one replica: its entry in the store, its outstanding work and its
/// health.
struct TrackedReplica {
  PublishedReplica published;
  uint32_t key = 0;                       // ReplicaKey of its id
  uint64_t service_key = 0;               // Hash64 of its service's name
  uint64_t software = 0;                  // SoftwareKey
  base::TimePoint software_settled_at{};  // SoftwareHistory::OnListed
  OutstandingWork own_work;
  /// Work that other VMs reported, and when the report arrived, by address of the VM.
  std::map<uint32_t, std::pair<OutstandingWork, base::TimePoint>> peer_work;
  /// Sums of the work of groups of VMs that are not in `peer_work`, and when it was reported, by group.
  std::map<uint32_t, std::pair<OutstandingWork, base::TimePoint>> group_work;
  std::optional<base::TimePoint> unlisted_since;  // set while the store does not list the replica
  base::TimePoint usable_until{};                 // while it is unlisted
  base::TimePoint cold_until{};
  base::TimePoint presumed_cold_until{};  // as it refused a connection, which may have another cause
  base::TimePoint last_failure{};         // of an attempt that lowered its standing
  base::TimePoint last_cold_send{};       // when this VM last sent it a request while it was cold
  base::TimePoint last_progress{};        // when bytes of any of its responses last arrived
  base::TimePoint ejected_until{};
  bool said_leaving = false;            // a response of its own stated that it is about to exit
  base::TimePoint pushed_back_until{};  // until when it has asked this VM to send it nothing
  ReplicaLimit limit;
  RejectionLimit rejection_limit;
  base::TimePoint tracked_since{};  // when this record began; statements from before are about another run
  base::Duration last_ejection{0};  // doubles with each ejection; 0 after a success
  double failure_rate = 0;          // moving average over this VM's attempts, 0 to 1
  pace::ReplicaPace pace;
  std::optional<ReportedLoad> stated_load;  // by its last response to this VM
  base::TimePoint load_stated_at{};
  base::TimePoint full_until{};   // it has refused a request as full, and has not stated a free slot since
  uint32_t sends_since_load = 0;  // requests that this VM has sent it since then
  /// When this VM last sent it a request with a shared prompt prefix, by key of the prefix.
  std::unordered_map<uint64_t, base::TimePoint> recent_prefixes;

  /// The outstanding work of this VM and, by their recent reports, of the other VMs.
  OutstandingWork TotalWork(base::TimePoint now) const;
  /// Requests that occupy it, by the reports of the VMs and by its own last statement.
  uint32_t OccupiedSlots(base::TimePoint now) const;
  base::TimePoint ColdUntil() const { return std::max(cold_until, presumed_cold_until); }
  bool IsCold(base::TimePoint now) const { return now < ColdUntil(); }
  /// Whether VMs may not know its software version yet and take up streams of it at another one.
  bool HasNewSoftware(base::TimePoint now) const { return now < software_settled_at; }
  bool IsEjected(base::TimePoint now) const { return now < ejected_until; }
  /// Whether this VM sent it the prefix so recently that it should still be in its prefix cache.
  bool LikelyHasPrefix(uint64_t prefix_key, base::TimePoint now) const;
};

/// What the end of an attempt says about the health of its replica.
enum class HealthObservation {
  kSuccess,
  kErrorResponse,  // a complete response with an error status of the replica's own
  kBroken,         // the response was incomplete, invalid or missing
  kNotConnected,   // the connection could not be established
  kRefused,        // the replica is full or leaving and did not run the request
  kNeutral,        // the client cancelled, which says nothing about the replica
};

/// All replicas that the store lists or listed until recently, with their load and health as this VM sees
/// them. Not thread-safe; the caller passes in the time.
class ReplicaRegistry {
 public:
  /// How long a replica that the store no longer lists may still be used when nothing better is left.
  /// Entries that expired during an outage of the store return within about two seconds.
  static constexpr std::chrono::milliseconds kUnlistedGrace{2300};
  /// Loads that another VM reported longer ago than this are not counted.
  static constexpr std::chrono::milliseconds kMaxPeerLoadAge{1500};
  /// For how long a replica that refused as full is left alone: about as long as one of its requests takes.
  static constexpr std::chrono::milliseconds kFullTime{50};
  /// The group of all other VMs of the region.
  static constexpr uint32_t kRegionGroup = 0;
  /// How long a replica's statement that it leaves is remembered when the store no longer lists the replica.
  static constexpr std::chrono::minutes kDepartureMemory{10};

  /// `config_bound`: time within which a new configuration has to be in force everywhere.
  explicit ReplicaRegistry(std::chrono::milliseconds config_bound = std::chrono::milliseconds(4000))
      : config_freshness_(config_bound - ConfigFreshness::kBoundMargin) {}

  void SetConfig(std::shared_ptr<const RoutingConfig> config);
  /// The configuration in force; null before the first `SetConfig`.
  const RoutingConfig* config() const { return config_.get(); }
  std::shared_ptr<const RoutingConfig> SharedConfig() const { return config_; }

  /// Whether the configuration in force may still be the newest one.
  ConfigFreshness& config_freshness() { return config_freshness_; }
  const ConfigFreshness& config_freshness() const { return config_freshness_; }

  /// Whether this VM has lost its own links to replicas. Failures meanwhile say nothing about the replicas.
  ReplicaLinks& links() { return links_; }
  const ReplicaLinks& links() const { return links_; }
  /// Restores the standing of the replicas that have failed at this VM since then.
  void ForgetFailuresSince(base::TimePoint since);

  /// Which software versions the services have had for as long as clients may resume their streams.
  SoftwareHistory& software_history() { return software_history_; }
  const SoftwareHistory& software_history() const { return software_history_; }

  /// Adds a replica or updates its entry. A changed incarnation means that it has restarted: it then starts
  /// a new record and counts as cold for the cold start time of its service.
  void Upsert(const PublishedReplica& published, base::TimePoint now);
  /// Notes that the store no longer lists the replica. `Tick` erases it after `kUnlistedGrace`, or at
  /// `exit_at` if that is earlier: when it may exit, in case its entry was removed long before this VM heard
  /// of it.
  void MarkUnlisted(std::string_view id, base::TimePoint now,
                    base::TimePoint exit_at = base::TimePoint::max());
  /// Marks every replica as unlisted whose id is not in `listed`.
  void MarkUnlistedExcept(const std::set<std::string>& listed, base::TimePoint now,
                          base::TimePoint exit_at = base::TimePoint::max());
  /// Excludes the replicas of a zone, or takes them back. Replicas that are taken back count as cold.
  void SetEvacuated(const std::string& zone, bool evacuated, base::TimePoint now);
  const std::set<std::string>& EvacuatedZones() const { return evacuated_; }
  /// Erases the unlisted replicas that may no longer be used. Call it about every 100 ms.
  void Tick(base::TimePoint now);

  /// Returns null when no replica has this id.
  std::shared_ptr<TrackedReplica> Find(std::string_view id) const;
  const std::map<std::string, std::shared_ptr<TrackedReplica>, std::less<>>& replicas() const {
    return replicas_;
  }

  /// A replica of this software, in any region; null when there is none.
  std::shared_ptr<TrackedReplica> FindSoftware(uint64_t software) const;

  /// Adds the work of an attempt to the replica. `prefix_key` is that of the request's shared prefix; 0 when
  /// it has none.
  void BeginAttempt(TrackedReplica& replica, const OutstandingWork& work, uint64_t prefix_key,
                    base::TimePoint now);
  /// Subtracts prompt tokens when the first event of the response shows that they have been processed.
  void OnPrefillDone(TrackedReplica& replica, uint64_t prefill_tokens);
  /// Subtracts the remaining work of an attempt and updates the replica's health. A refused connection, or a
  /// broken response at a high failure rate, ejects the replica for a time that doubles up to a limit.
  void EndAttempt(TrackedReplica& replica, const OutstandingWork& work, HealthObservation result,
                  base::TimePoint now);
  /// Extends the time for which the replica counts as cold to `remaining` from now; never shortens it.
  void MarkCold(TrackedReplica& replica, base::Duration remaining, base::TimePoint now);
  /// Records that a response of the replica stated that it is about to exit. It holds until the replica has
  /// another id or incarnation, whatever the store lists.
  void RecordLeaving(TrackedReplica& replica, base::TimePoint now);
  /// Records that the replica wants no requests from this VM for `time`. It ends with a restart of the
  /// replica.
  void RecordPushBack(TrackedReplica& replica, base::Duration time, base::TimePoint now);
  /// Records the limit that a response of the replica states, or that it states none.
  void RecordLimit(TrackedReplica& replica, std::optional<double> per_second, base::TimePoint now);
  /// The same for the rejections that it can bear.
  void RecordRejectionLimit(TrackedReplica& replica, std::optional<double> per_second, base::TimePoint now);
  /// Merges the limits that another VM of the region has heard of.
  void MergeLimits(const std::vector<LimitStatement>& statements, base::TimePoint now);
  /// What replicas have stated about their limits, the latest statements first, at most `most`.
  std::vector<LimitStatement> LimitStatements(size_t most, base::TimePoint now) const;
  /// When a limit was last changed; the epoch when none ever was.
  base::TimePoint limits_changed_at() const { return limits_changed_at_; }
  /// Number of replicas with a limit.
  size_t LimitedCount() const;
  /// Number of replicas with a limit of rejections.
  size_t RejectionLimitedCount() const;
  /// Number of replicas that leave, by the store or by their own responses.
  size_t LeavingCount() const;
  /// Number of replicas that want no requests from this VM now.
  size_t PushedBackCount(base::TimePoint now) const;
  /// Records the load that a response of the replica states.
  void RecordLoad(TrackedReplica& replica, const ReportedLoad& load, base::TimePoint now);
  /// Records that the replica has refused a request because all its slots are taken. It gets none for
  /// kFullTime or until it states a free slot. Only for services of known speed without engine, which have no
  /// queue.
  void RecordFull(TrackedReplica& replica, base::TimePoint now);
  /// What is known of the speed of the service's replicas; null when none has stated how fast it is now.
  pace::ServicePace* FindPace(std::string_view service);
  const pace::ServicePace* FindPace(std::string_view service) const;
  /// Adds one measurement to the moving average of the time for which a request occupies a slot.
  void ObserveServiceTime(const std::string& service, base::Duration time);
  /// This average; a default before the first measurement.
  base::Duration AverageServiceTime(const ServiceConfig& service) const;

  /// The outstanding work of this VM at each replica that has some, and what it has learnt of the replicas'
  /// speed, to be sent to the VMs of the region. `all_speeds`: also the lasting speeds whose turn it isn't.
  std::vector<ReplicaWork> OwnLoads(base::TimePoint now, bool all_speeds = false) const;
  /// Merges what other VMs have learnt of the replicas' speed.
  void MergePaces(const std::vector<ReplicaWork>& loads, base::TimePoint now);
  /// Whether the lasting speed of the replica is part of loads that are sent now: of each one by turns, since
  /// it changes little.
  static bool SendsSpeed(uint32_t replica_key, base::TimePoint now);
  /// Replaces everything that `vm` reported before.
  void ReplacePeerLoads(uint32_t vm, const std::vector<ReplicaWork>& loads, base::TimePoint now);
  /// Drops what these VMs reported.
  void DropPeerLoads(const std::vector<uint32_t>& vms);
  /// Replaces the sum of a group of VMs: those of a zone, by its key, or the others of the region.
  void ReplaceGroupLoads(uint32_t group, const std::vector<ReplicaWork>& loads, base::TimePoint at);
  void DropGroupLoads(uint32_t group);
  /// Drops the sums of all groups but `kRegionGroup`.
  void DropZoneGroupLoads();

 private:
  /// A replica's statement that it is about to exit.
  struct Departure {
    uint64_t incarnation = 0;
    base::TimePoint stated_at{};
  };

  void NoteSoftware(TrackedReplica& replica, base::TimePoint now);
  /// Computes the mean speeds of services and the speeds relative to them.
  void RefreshPaces();
  void OnLimitStated(TrackedReplica& replica, std::optional<double> per_second, base::TimePoint at,
                     const char* source, base::TimePoint now);
  void OnRejectionLimitStated(TrackedReplica& replica, std::optional<double> per_second, base::TimePoint at,
                              const char* source, base::TimePoint now);
  /// Logs a limit that has changed and has it sent to the other VMs soon.
  void NoteLimitChange(const char* event, const TrackedReplica& replica, std::optional<double> per_second,
                       base::TimePoint at, const char* source, base::TimePoint now);

  std::shared_ptr<const RoutingConfig> config_;
  ConfigFreshness config_freshness_;
  ReplicaLinks links_;
  SoftwareHistory software_history_;
  base::TimePoint history_updated_at_{};
  base::TimePoint limits_changed_at_{};
  std::map<std::string, std::shared_ptr<TrackedReplica>, std::less<>> replicas_;  // by id
  std::unordered_map<uint32_t, std::weak_ptr<TrackedReplica>> by_key_;
  // By id. Kept when the store no longer lists the replica, since it may list it again for a while.
  std::map<std::string, Departure, std::less<>> departures_;
  std::set<std::string> evacuated_;                                   // names of zones
  std::map<std::string, base::Duration, std::less<>> service_times_;  // averages by service
  std::map<std::string, pace::ServicePace, std::less<>> paces_;       // by service; see FindPace
};

}  // namespace cornelplank::serving

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
#include "libs/serving/internal/message_codec.h"
#include "libs/serving/internal/routing_config.h"

namespace cornelplank::serving {

/// What is published of one replica.
struct PublishedReplica {
  std::string id;
  std::string service;
  net::Tcp::endpoint address;
  std::string zone;
  std::string region;
  uint32_t slots = 1;
  bool leaving = false;
  uint64_t incarnation = 0;                     // grows with each start; 0 when not told
  std::chrono::milliseconds cold_remaining{0};  // when it was published
};

/// Work that a replica has been given and has not finished.
struct OutstandingWork {
  uint32_t requests = 0;
  uint64_t prefill_tokens = 0;  // prompt tokens of requests that have not produced an event
  uint64_t memory_tokens = 0;   // tokens of all requests but the shared ones
};

/// One line of the load that entry VMs of a region tell each other.
struct ReplicaWork {
  uint32_t replica = 0;  // ReplicaKey of its id
  OutstandingWork work;
};

/// Short name of a replica in messages between entry VMs. A collision only distorts an estimate.
uint32_t ReplicaKey(std::string_view id);

/// What this VM knows of one replica.
struct ReplicaRecord {
  PublishedReplica published;
  uint32_t key = 0;
  OutstandingWork own;
  std::map<uint32_t, std::pair<OutstandingWork, base::TimePoint>> peers;  // by VM
  std::optional<base::TimePoint> unlisted_since;                          // its entry is gone
  base::TimePoint cold_until{};
  base::TimePoint last_cold_send{};
  base::TimePoint last_progress{};  // last bytes of any answer
  base::TimePoint ejected_until{};
  base::Duration ejection{0};                                  // the last one; doubles
  double failure_rate = 0;                                     // moving average over own attempts, 0 to 1
  std::unordered_map<uint64_t, base::TimePoint> shared_parts;  // recently read, by chain key

  OutstandingWork Total(base::TimePoint now) const;
  bool IsCold(base::TimePoint now) const { return now < cold_until; }
  bool IsEjected(base::TimePoint now) const { return now < ejected_until; }
  bool LikelyHasPrefix(uint64_t shared_key, base::TimePoint now) const;
};

enum class HealthObservation {
  kGood,
  kErrorAnswer,   // the replica answered with an error of its own
  kBroken,        // the answer broke off, was no answer or did not come
  kNotConnected,  // no connection came about
  kRefused,       // the replica is full or leaving and did not run it
  kNeutral,       // cancelled by the client; says nothing of the replica
};

/// All replicas and what this VM has seen of them. Not thread-safe; the clock is passed in.
class ReplicaRegistry {
 public:
  /// How long a replica whose entry is gone may still be used when nothing better is left. Entries that
  /// lapsed while the store was away return within about two seconds, and a replica that left without notice
  /// serves for `drain` (4 s on the smallest bound) after its entry went.
  static constexpr std::chrono::milliseconds kUnlistedGrace{2300};
  /// Peers' loads older than this are not counted.
  static constexpr std::chrono::milliseconds kPeerLoadAge{1500};

  void SetConfig(std::shared_ptr<const RoutingConfig> config) { config_ = std::move(config); }
  const RoutingConfig* config() const { return config_.get(); }
  std::shared_ptr<const RoutingConfig> SharedConfig() const { return config_; }

  void Upsert(const PublishedReplica& facts, base::TimePoint now);
  void MarkUnlisted(std::string_view id, base::TimePoint now);
  /// Drops all that `listed` does not contain as if each had been removed.
  void MarkUnlistedExcept(const std::set<std::string>& listed, base::TimePoint now);
  void SetEvacuated(const std::string& zone, bool evacuated, base::TimePoint now);
  const std::set<std::string>& EvacuatedZones() const { return evacuated_; }
  /// Forgets replicas whose grace has passed. Call about every 100 ms.
  void Tick(base::TimePoint now);

  std::shared_ptr<ReplicaRecord> Find(std::string_view id) const;
  /// True when work may be given to the replica as far as published facts go.
  bool IsUsable(const ReplicaRecord& replica) const;
  const std::map<std::string, std::shared_ptr<ReplicaRecord>, std::less<>>& replicas() const {
    return replicas_;
  }

  void BeginAttempt(ReplicaRecord& replica, const OutstandingWork& work, uint64_t shared_key,
                    base::TimePoint now);
  /// The first event arrived: the prompt has been read.
  void OnPrefillDone(ReplicaRecord& replica, uint64_t prefill_tokens);
  void EndAttempt(ReplicaRecord& replica, const OutstandingWork& work, HealthObservation result,
                  base::TimePoint now);
  void MarkCold(ReplicaRecord& replica, std::chrono::milliseconds remaining, base::TimePoint now);
  /// Moving average of the time that a request of a plain service takes.
  void ObserveServiceTime(const std::string& service, base::Duration time);
  base::Duration ServiceTime(const ServiceConfig& service) const;

  std::vector<ReplicaWork> OwnLoads() const;
  void ReplacePeerLoads(uint32_t vm, const std::vector<ReplicaWork>& loads, base::TimePoint now);

 private:
  std::shared_ptr<const RoutingConfig> config_;
  std::map<std::string, std::shared_ptr<ReplicaRecord>, std::less<>> replicas_;
  std::unordered_map<uint32_t, std::weak_ptr<ReplicaRecord>> by_key_;
  std::set<std::string> evacuated_;
  std::map<std::string, base::Duration, std::less<>> service_times_;
};

}  // namespace cornelplank::serving

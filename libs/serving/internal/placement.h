#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "libs/serving/internal/data_residency.h"
#include "libs/serving/internal/hop_directory.h"
#include "libs/serving/internal/replica_registry.h"
#include "libs/serving/internal/send_gate.h"

namespace cornelplank::serving {

/// The request to place, with the replicas and regions that it must not go to again.
struct PlacementQuery {
  const RouteConfig* route = nullptr;
  std::optional<int> priority;  // of the request's tenant; none: that of the route
  DataResidency residency;
  std::string service;
  uint32_t prompt_tokens = 0;
  uint32_t prefix_tokens = 0;  // of the prompt's shared prefix
  uint64_t prefix_key = 0;     // of the prompt's shared prefix; 0 when it has none
  uint32_t max_output_tokens = 0;
  std::optional<base::Duration> time_left;  // until the end of the response has to arrive
  base::Duration elapsed{0};                // since the request arrived
  bool may_run_already = false;      // it has been sent before; then it isn't refused for a lack of time
  bool may_hop = true;               // may be forwarded to another region
  bool may_borrow = true;            // may take room that is not this VM's own; see RejectionLimit
  std::optional<uint64_t> software;  // SoftwareKey that its stream is bound to; none: any
  std::vector<std::string> excluded_replicas;  // ids; tried before
  std::vector<std::string> excluded_regions;   // tried before

  int Priority() const { return priority.value_or(route->priority); }
};

/// Why a request is refused.
enum class RefusalReason {
  kNone,
  kUnknownService,  // not in the configuration
  kNoReplica,       // none is known, or all have failed, are leaving or are in evacuated zones
  kConfigOutdated,  // the data is bound to regions, and the configuration may have been replaced by a newer
                    // one
  kNotAllowed,      // its data may not be processed here, and no region where it may is available
  kNoTime,          // the first byte is expected after the request's deadline
  kOverloaded,      // refused by admission control: too many responses miss their target latency
  kCrashingPrompt,  // a part of its prompt crashes replicas; see PromptQuarantine
  kLimited,         // only replicas are left that have stated a limit, and this VM may send them nothing now
  kCold,            // only cold replicas are left, and this VM may send them nothing now
  kNoRoom,          // only replicas are left that can bear few rejections, and have no room for this VM now
  kFull,            // only replicas are left that have just refused a request as full
  kPushedBack,      // only replicas are left that want no requests from this VM for a time
  kStopping,        // this VM is about to exit, and the request is not expected to end before
  kUnknownKey,      // its key has been removed from the configuration since it was accepted
  kKeysOutdated,    // it has a key, and the configuration may have been replaced by a newer one
  kQuotaExceeded,   // its tenant has used up the quota
  kQuotaUnavailable,  // no VM that keeps its tenant's quota could be reached
  kSoftwareUnknown,   // it resumes a stream, and no VM knows at which software version that began
  kTurnedAway,        // replicas or VMs of other regions refused it, and nothing else is left
  kNoLinks,           // this VM has lost its links to replicas, and no other VM took the request
  kSoftwareGone,  // it resumes a stream, and the software version that began it serves the route no longer
};

/// The reason's name in log lines and metrics.
const char* RefusalReasonName(RefusalReason reason);

/// Where to send a request: a replica of the own region or another region.
struct Placement {
  std::shared_ptr<TrackedReplica> replica;  // null for a hop
  std::string region;                       // to forward the request to; empty for a replica
  base::Duration expected{0};               // time to the first byte
  base::Duration cost{0};     // `expected` and penalties, such as the cost to other requests; the lowest wins
  base::Duration wait{0};     // the part of `expected` that is spent waiting for other requests
  bool prefix_owner = false;  // the replica is the owner of the request's prompt prefix; see Placer
  std::optional<pace::Forecast> forecast;  // for a replica of known speed
};

struct PlacerSettings {
  // Speed at which an engine processes prompts: 68.2 tokens per millisecond by the data sheets of the
  // deployments, less about a fifth for chunks of other requests that are processed in between.
  double prefill_tokens_per_ms = 55;
  // Penalty, in milliseconds per 1000 tokens, for processing a shared prefix again that is in another
  // replica's cache: the price of the work against the value of a response in time.
  double repeated_prefill_ms_per_1000_tokens = 60;
  // Share of an engine's slots that each step of priority leaves free for more urgent requests. A full engine
  // preempts its least urgent request for a more urgent one, and then processes its whole prompt again.
  double reserved_share_per_priority = 0.08;
  // Penalty for each request beyond the slots that its priority may take: after a preemption a prompt of
  // 12,000 tokens is processed again in about 200 ms, and its response is late.
  std::chrono::milliseconds reserved_slot_cost{200};
  // Penalty for forwarding a request to another region, for the bytes between regions.
  std::chrono::milliseconds hop_cost{60};
  // Penalty for a replica that has stated a limit: the other replicas take the load first.
  std::chrono::milliseconds limited_cost{50};
  // Penalties for a request whose first event, longest pause or end is expected beyond the route's targets
  // and its deadline, at a probability of 1. The last one is the greatest: the response is then lost, after
  // it has occupied a slot for all its time.
  std::chrono::milliseconds late_first_event_cost{600};
  std::chrono::milliseconds late_pause_cost{400};
  std::chrono::milliseconds late_end_cost{2000};
  // Penalty for a replica with twice the work that it would have if the region's work were spread by speed.
  std::chrono::milliseconds uneven_cost{800};
  // Upper bound of a random addition to each cost. Without it, VMs that see the same loads would all choose
  // the same replica until they learn of each other's choices.
  std::chrono::milliseconds jitter{20};
};

/// Chooses where to send requests: to the replica or region with the least cost, which is the expected time
/// to the first byte with penalties. A replica that does not hold the request's shared prompt prefix costs
/// the time to process it again. Each prefix has one owner among the healthy replicas of the region, by
/// rendezvous hashing, so that all VMs agree on it without communication, and a second one for the requests
/// that the first has no room for. Where many VMs choose among the same replicas by loads that are some
/// hundred milliseconds old, each compares the owners and a few others only: the load that it answers is a
/// peak of a large region, in which the least loaded replicas would get the requests of all VMs at once.
///
/// Where the replicas of a service state how fast they are now (`ReplicaRegistry::FindPace`), the cost
/// follows from the expected first event, pauses and end at each replica, and the choice among those of
/// similar cost is random in proportion to their free capacity: see docs/design/even-load.md.
class Placer {
 public:
  /// `seed`: of the random jitter.
  Placer(std::string own_id, std::string own_region, const PlacerSettings& settings, uint64_t seed)
      : own_id_(std::move(own_id)), own_region_(std::move(own_region)), settings_(settings), random_(seed) {}

  const std::string& own_region() const { return own_region_; }

  /// Returns no value, with the cause in `reason`, when nothing can take the request now. `reason` means
  /// nothing when a value is returned.
  std::optional<Placement> Choose(const PlacementQuery& query, const ReplicaRegistry& registry,
                                  const HopDirectory& hops, base::TimePoint now, RefusalReason* reason);

  /// Time until this VM may send a request of `priority` to one of the replicas of the service, and of
  /// `software` if that is set, that it may send nothing now. Returns no value when no such time is known.
  std::optional<base::Duration> TimeToBlockedReplica(const std::string& service,
                                                     std::optional<uint64_t> software, int priority,
                                                     const ReplicaRegistry& registry,
                                                     const HopDirectory& hops, base::TimePoint now) const;
  /// Time that an engine needs to process this many prompt tokens.
  base::Duration EstimatePrefillTime(double tokens) const;

  /// Estimated wait, with the cost of reserved slots, of a request of typical priority at one of the less
  /// loaded replicas of the own region, to be sent to other regions. Returns no value when no replica of the
  /// service can take requests.
  std::optional<base::Duration> EstimateRegionWait(const std::string& service,
                                                   const ReplicaRegistry& registry,
                                                   base::TimePoint now) const;

 private:
  /// Time until a replica with this outstanding work has a free slot, its prompts processed and free memory
  /// for one more request.
  base::Duration EstimateWait(const OutstandingWork& work, uint32_t slots, const ServiceConfig& service,
                              const ReplicaRegistry& registry) const;
  /// Penalty for one more request of `priority` where it takes slots that are reserved for more urgent ones.
  base::Duration ReservedSlotCost(const OutstandingWork& work, uint32_t slots, const ServiceConfig& service,
                                  int priority) const;
  /// Whether a replica of the own region may be considered for a request at all.
  bool Serves(const TrackedReplica& replica, std::string_view service,
              std::optional<uint64_t> software) const;
  /// The penalty of replicas whose software version other VMs may not know yet; none when the request goes to
  /// others of the region instead. Only for requests that begin a stream.
  std::optional<base::Duration> NewSoftwarePenalty(const PlacementQuery& query, const ServiceConfig& service,
                                                   const ReplicaRegistry& registry, SendGate& gate,
                                                   int priority, base::TimePoint now) const;
  /// The placement at another VM of the own region, which has links to replicas; none when no replica that
  /// the request may go to is listed.
  std::optional<Placement> PlaceInOwnRegion(const PlacementQuery& query, const ReplicaRegistry& registry,
                                            base::TimePoint now) const;
  /// A replica that may be sent the request, with the penalty of its SendPermission.
  struct Candidate {
    std::shared_ptr<TrackedReplica> replica;
    base::Duration penalty{0};
  };
  /// A replica with its rendezvous weight for a prefix.
  struct Owner {
    std::shared_ptr<TrackedReplica> replica;
    uint64_t weight = 0;
  };

  /// Moves the candidates to compare to the front: those that `always` names and a random sample of the sound
  /// others, smaller the more `vms` choose among them. Returns their number.
  size_t SampleChoices(std::vector<Candidate>* candidates, size_t vms,
                       const std::function<bool(const Candidate&)>& always);
  /// The placement at a candidate that holds the given share of the request's prefix.
  Placement Price(const Candidate& candidate, const PlacementQuery& query, const ServiceConfig& service,
                  const ReplicaRegistry& registry, double cached_share, base::TimePoint now);
  /// A candidate of known speed with what the request is expected to meet there.
  struct PacedChoice {
    const Candidate* candidate = nullptr;
    pace::ReplicaLoad load;
    double capacity = 0;  // slots by the lasting speed
    double free = 0;      // slots by the speed now
    double cached_share = 0;
    pace::Forecast forecast;
    double cost_ms = 0;        // decides among the replicas
    double cost_alone_ms = 0;  // the part that concerns the request alone; compared with other regions
  };

  /// Fills in the load, the capacity and the forecast of a choice.
  static void Predict(const PlacementQuery& query, const ServiceConfig& service,
                      const pace::ServicePace& pace, base::TimePoint now, PacedChoice* choice);
  /// Fills in the costs of a choice. `even_load`: requests by capacity if all were spread by speed.
  void PricePaced(const PlacementQuery& query, const ServiceConfig& service, double even_load,
                  base::TimePoint now, PacedChoice* choice) const;
  /// Penalty for a late first event or end.
  double LatenessCost(const pace::Forecast& forecast, const PlacementQuery& query) const;
  /// Draws one of the choices within `band_ms` of the least cost among those that hold the request's prefix,
  /// or do not, in proportion to free capacity. Null when there is none.
  const PacedChoice* Draw(bool cached, double band_ms);
  /// Chooses among `paced_choices_`, of which candidate and share of the prefix are set. Without a replica
  /// that can end the response in time, returns no value and sets `reason` to kNoTime.
  std::optional<Placement> ChoosePaced(const PlacementQuery& query, const ServiceConfig& service,
                                       const pace::ServicePace& pace, base::TimePoint now,
                                       RefusalReason* reason);
  /// The cost of a hop to a region for a service of known speed; none when the response can't end in time.
  std::optional<base::Duration> PriceHop(const RemoteRegion& remote, const PlacementQuery& query,
                                         const ServiceConfig& service, const pace::ServicePace& pace,
                                         base::TimePoint now) const;
  /// `Choose` among the replicas of the own region. Leaves `reason` unchanged unless a replica had to be
  /// skipped that takes requests again later.
  std::optional<Placement> ChooseLocal(const PlacementQuery& query, const ServiceConfig& service,
                                       const ReplicaRegistry& registry, const HopDirectory& hops,
                                       base::TimePoint now, RefusalReason* reason);

  std::string own_id_;
  std::string own_region_;
  PlacerSettings settings_;
  base::Random random_;
  std::vector<PacedChoice> paced_choices_;  // of the current call of ChooseLocal; kept for its memory
};

}  // namespace cornelplank::serving

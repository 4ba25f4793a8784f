#pragma once

#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "libs/config/config.h"
#include "libs/upstreams/internal/in_flight_history.h"
#include "libs/upstreams/internal/load_report.h"
#include "libs/upstreams/internal/outlier.h"
#include "libs/upstreams/internal/upstream_snapshot.h"

namespace cornelplank::upstreams {

/// What became of an update.
enum class UpdateResult {
  kApplied,
  kStale,            // older than what is known, or a duplicate
  kUnknownUpstream,  // not in the configuration
  kMalformed,
  kGap,  // cache events only: applied, but events before them are missing
};

enum class RequestOutcome { kSuccess, kFailure };

/// All upstreams of the configuration with what this node knows of them. The caller serialises the calls; the
/// clock is passed in. Request threads read snapshots and count themselves through `InFlightRequest` without
/// calling the table. Every change but `Configure` shows in existing snapshots at once.
class UpstreamTable {
 public:
  /// Adds, changes and drops upstreams. State and in-flight counts of the ones that stay are kept. Replicas
  /// added later than the first configuration ramp up.
  void Configure(const config::Document& document, base::TimePoint now);

  /// A view for the router. Take a new one after each `Configure`.
  std::shared_ptr<const UpstreamSnapshot> TakeSnapshot() const { return snapshot_; }

  /// Applies a report unless a younger measurement or a higher incarnation is known. A leaving state is taken
  /// from any report of the current incarnation, however old.
  UpdateResult OnLoadReport(const UpstreamLoadReport& report, base::TimePoint now);

  /// Applies the `Engine-Load` header of a response that arrives at `now`.
  UpdateResult OnLoadHeader(std::string_view upstream, std::string_view header, base::TimePoint now);

  /// A response `503` with `Engine-State: leaving`.
  UpdateResult OnLeavingResponse(std::string_view upstream, base::TimePoint now);

  /// Applies events in sequence order. Known events are skipped. On a gap the summary is cleared and is
  /// incomplete until the next incarnation, since evictions may have been missed.
  UpdateResult OnCacheEvents(std::string_view upstream, uint64_t incarnation,
                             std::span<const PrefixCacheEvent> events);

  /// Sequence number to ask for events after; 0 when none are known.
  uint64_t CacheCursor(std::string_view upstream) const;

  /// A response shows that `tokens` tokens of `prefix` are in the replica's cache now.
  UpdateResult OnPrefixServed(std::string_view upstream, uint64_t prefix, uint32_t tokens);

  /// The result of an own request or poll. `was_probe` tells that the request was the probe of an ejected
  /// replica. Failures are transport errors, timeouts and 5xx other than the leaving response.
  UpdateResult OnResult(std::string_view upstream, RequestOutcome result, bool was_probe,
                        base::TimePoint now);

  /// Applies the sums of another zone unless a younger measurement is known. `age` is the time since they
  /// were taken; `sum.measured` and `sum.own_included` are ignored.
  UpdateResult OnZoneSum(std::string_view region, std::string_view zone, ZoneLoadSum sum, base::Duration age,
                         base::TimePoint now);

  /// Whether an entry VM of the zone answers, as membership sees it. Zones count as reachable until told.
  UpdateResult OnZoneReachable(std::string_view region, std::string_view zone, bool reachable);

  /// Sums over the replicas of the zone that this node knows of, for the gossip between zones.
  ZoneLoadSum SumOfZone(Index zone, base::TimePoint now) const;

  /// Compares success rates and lets old results fade. Call it about once a second.
  void Tick(base::TimePoint now);

  /// Replicas of the zone that are ejected now.
  uint32_t EjectedInZone(Index zone) const;

 private:
  struct Entry {
    std::shared_ptr<ReplicaLiveState> live = std::make_shared<ReplicaLiveState>();
    Index zone = kNone;
    Index service = kNone;
    uint64_t configured_models = 0;
    bool models_reported = false;
    uint64_t incarnation = 0;
    base::TimePoint response_leaving_at{};  // the epoch means no leaving response
    bool response_of_known_incarnation = false;
    uint64_t cache_incarnation = 0;
    uint64_t cache_seq = 0;
    OutlierState outlier;
    InFlightHistory in_flight;
  };

  Entry* Find(std::string_view upstream);
  ZoneLiveState* FindZone(std::string_view region, std::string_view zone);
  void StartIncarnation(Entry& entry, uint64_t incarnation, base::TimePoint now);
  void ClearStaleLeaving(Entry& entry, base::TimePoint measured, base::TimePoint now);
  void ReadmitBeyondBound(base::TimePoint now);
  void ConsiderEjection(Entry& entry, base::TimePoint now);
  void SetLoad(Entry& entry, uint32_t running, uint32_t queued, base::TimePoint measured,
               base::TimePoint now);
  uint64_t MaskOf(const std::vector<std::string>& models) const;

  std::map<std::string, Entry, std::less<>> entries_;
  std::map<std::pair<std::string, std::string>, std::shared_ptr<ZoneLiveState>> zone_cells_;
  std::vector<uint32_t> zone_replicas_;
  std::shared_ptr<const UpstreamSnapshot> snapshot_;
  base::TimePoint faded_at_{};
};

}  // namespace cornelplank::upstreams

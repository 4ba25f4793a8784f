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

/// What the table did with an update.
enum class UpdateResult {
  kApplied,
  kStale,            // ignored: older than what is known, or a duplicate
  kUnknownUpstream,  // ignored: the upstream or zone is not in the configuration
  kMalformed,        // ignored: negative age or unreadable header
  kGap,              // cache events only: applied, but earlier events are missing
};

/// Outcome of an own request to an upstream, or of a poll.
enum class RequestOutcome { kSuccess, kFailure };

/// All upstreams of the configuration with their load, health and cache contents as far as this node knows.
/// Not thread-safe: the caller serializes the calls and passes the current time. Request threads don't call
/// the table; they read snapshots and use `InFlightRequest`. Every change except `Configure` is visible in
/// existing snapshots at once.
class UpstreamTable {
 public:
  /// Adds, changes and removes upstreams to match `document`. Upstreams that stay keep their state and
  /// in-flight counts. Replicas that a later call adds start with a ramp.
  void Configure(const config::Document& document, base::TimePoint now);

  /// Returns the snapshot of the last `Configure`; null before the first. Take a new one after each call.
  std::shared_ptr<const UpstreamSnapshot> TakeSnapshot() const { return snapshot_; }

  /// Applies a report unless a newer measurement or a higher incarnation is known. A leaving state is taken
  /// over from any report of the current incarnation, however old, because it lasts for the incarnation.
  UpdateResult OnLoadReport(const UpstreamLoadReport& report, base::TimePoint now);

  /// Applies the `Engine-Load` header of a response that arrived at `now`.
  UpdateResult OnLoadHeader(std::string_view upstream, std::string_view header, base::TimePoint now);

  /// Marks the replica as leaving, after a response `503` with `Engine-State: leaving`.
  UpdateResult OnLeavingResponse(std::string_view upstream, base::TimePoint now);

  /// Applies events, which must be in sequence order; skips known ones. At a gap the summary is cleared and
  /// stays incomplete until the next incarnation, because evictions may have been missed.
  UpdateResult OnCacheEvents(std::string_view upstream, uint64_t incarnation,
                             std::span<const PrefixCacheEvent> events);

  /// Returns the sequence number of the last cache event seen, to ask for the events after it; 0 when there
  /// is none or the upstream is unknown.
  uint64_t CacheCursor(std::string_view upstream) const;

  /// Records that `tokens` tokens of `prefix` are in the replica's cache, as a response has shown.
  UpdateResult OnPrefixServed(std::string_view upstream, uint64_t prefix, uint32_t tokens);

  /// Records the outcome of an own request or poll. `was_probe` is true for the probe of an ejected replica.
  /// Failures are transport errors, timeouts and 5xx responses other than the leaving response. May eject or
  /// readmit the replica.
  UpdateResult OnResult(std::string_view upstream, RequestOutcome result, bool was_probe,
                        base::TimePoint now);

  /// Applies the load sum of another zone unless a newer one is known. `age` is the time since it was
  /// measured; `sum.measured` and `sum.own_included` are ignored.
  UpdateResult OnZoneSum(std::string_view region, std::string_view zone, LastReportedZoneLoad sum,
                         base::Duration age, base::TimePoint now);

  /// Records whether an entry VM of the zone answers, by the membership protocol. Until the first call a zone
  /// counts as reachable.
  UpdateResult OnZoneReachable(std::string_view region, std::string_view zone, bool reachable);

  /// Returns the sum over the engines of the zone, for the gossip between zones. Leaving, ejected and suspect
  /// engines are left out.
  LastReportedZoneLoad SumOfZone(Index zone, base::TimePoint now) const;

  /// Ejects replicas whose success rate is far below their peers', halves old results every ten seconds and
  /// samples in-flight counts. Call it about once a second.
  void Tick(base::TimePoint now);

  /// Returns the number of replicas of the zone that are ejected now.
  uint32_t EjectedInZone(Index zone) const;

 private:
  struct Entry {
    std::shared_ptr<ReplicaLiveState> live = std::make_shared<ReplicaLiveState>();
    Index zone = kNone;
    Index service = kNone;
    uint64_t configured_models = 0;
    bool models_reported = false;
    uint64_t incarnation = 0;
    base::TimePoint response_leaving_at{};  // time of the last leaving response; the epoch means none
    bool response_incarnation_known = false;
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
  void EjectOrSuspect(Entry& entry, base::TimePoint now);
  void SetLoad(Entry& entry, uint32_t running, uint32_t queued, base::TimePoint measured,
               base::TimePoint now);
  uint64_t ModelMaskOf(const std::vector<std::string>& models) const;

  std::map<std::string, Entry, std::less<>> entries_;
  std::map<std::pair<std::string, std::string>, std::shared_ptr<ZoneLiveState>> zone_states_;
  std::vector<uint32_t> zone_replicas_;
  std::shared_ptr<const UpstreamSnapshot> snapshot_;
  base::TimePoint results_halved_at_{};
};

}  // namespace cornelplank::upstreams

#include "libs/upstreams/internal/upstream_table.h"

#include <algorithm>

namespace cornelplank::upstreams {
namespace {

constexpr std::chrono::seconds kFadeTime{10};
// A ready report measured this long after a leaving response of an unknown incarnation ends the leaving
// state. The margin covers the error of ages that are given in whole milliseconds and travel through gossip.
constexpr std::chrono::seconds kLeavingMargin{1};

}  // namespace

UpstreamTable::Entry* UpstreamTable::Find(std::string_view upstream) {
  const auto found = entries_.find(upstream);
  return found == entries_.end() ? nullptr : &found->second;
}

uint64_t UpstreamTable::MaskOf(const std::vector<std::string>& models) const {
  uint64_t mask = 0;
  for (const std::string& model : models) {
    const Index index = snapshot_->Names().Model(model);
    if (index < kMaxModels) mask |= uint64_t{1} << index;
  }
  return mask;
}

void UpstreamTable::Configure(const config::Document& document, base::TimePoint now) {
  const bool first = snapshot_ == nullptr;
  Topology topology = Topology::FromDocument(document);
  // A change of the model list moves the bits of reported masks, so masks fall back to the configured models
  // until the next report.
  const bool models_moved = first || topology.Models() != snapshot_->Names().Models();
  std::erase_if(entries_, [&](const auto& entry) { return document.upstreams.count(entry.first) == 0; });
  std::vector<std::shared_ptr<ZoneLiveState>> zone_cells;
  for (const ZoneName& zone : topology.Zones()) {
    auto& cell = zone_cells_[{zone.region, zone.zone}];
    if (!cell) cell = std::make_shared<ZoneLiveState>();
    zone_cells.push_back(cell);
  }
  zone_replicas_.assign(topology.Zones().size(), 0);
  std::vector<ReplicaRecord> replicas;
  replicas.reserve(document.upstreams.size());
  for (const auto& [id, upstream] : document.upstreams) {
    const auto [position, added] = entries_.try_emplace(id);
    Entry& entry = position->second;
    entry.zone = topology.Zone(upstream.region, upstream.zone);
    entry.service =
        upstream.kind == config::UpstreamKind::kService ? topology.Service(upstream.service) : kNone;
    const bool unusable =
        entry.zone == kNone || (upstream.kind == config::UpstreamKind::kService && entry.service == kNone);
    if (unusable) continue;
    ++zone_replicas_[entry.zone];
    entry.configured_models = 0;
    for (const std::string& model : upstream.models) {
      const Index index = topology.Model(model);
      if (index < kMaxModels) entry.configured_models |= uint64_t{1} << index;
    }
    if (models_moved) entry.models_reported = false;
    if (!entry.models_reported) entry.live->SetModelMask(entry.configured_models);
    entry.live->SetLeaving(kLeavingByConfig, upstream.leaving);
    if (added && !first) entry.live->StartRamp(now);
    replicas.push_back(ReplicaRecord{id, upstream.address, base::Hash64(id), topology.Region(upstream.region),
                                     entry.zone, topology.Partner(upstream.partner), entry.service,
                                     static_cast<uint32_t>(std::max(upstream.slots, 1)), upstream.price,
                                     entry.live});
  }
  snapshot_ = std::make_shared<const UpstreamSnapshot>(std::move(topology), std::move(replicas),
                                                       std::move(zone_cells));
  ReadmitBeyondBound(now);
}

void UpstreamTable::ReadmitBeyondBound(base::TimePoint now) {
  // A zone that has become smaller may hold more ejected replicas than its bound.
  for (auto& [id, entry] : entries_) {
    if (entry.zone == kNone || !entry.live->Ejected()) continue;
    if (EjectedInZone(entry.zone) <= MaxEjected(zone_replicas_[entry.zone])) continue;
    entry.live->Readmit();
    entry.live->SuspectUntil(entry.outlier.NextRetry(now));
  }
}

void UpstreamTable::StartIncarnation(Entry& entry, uint64_t incarnation, base::TimePoint now) {
  const bool returned = entry.incarnation != 0;
  entry.incarnation = incarnation;
  if (!returned) return;
  // A restarted engine has an empty cache and none of the old process' faults.
  entry.live->SetLeaving(kLeavingByReport, false);
  entry.live->SetLeaving(kLeavingByResponse, false);
  entry.response_leaving_at = {};
  entry.live->SuspectUntil({});
  entry.live->Readmit();
  entry.live->StartRamp(now);
  entry.outlier.Reset();
  entry.models_reported = false;
  if (entry.live->Cache() != nullptr) entry.live->MutableCache().Clear();
  entry.cache_seq = 0;
}

void UpstreamTable::ClearStaleLeaving(Entry& entry, base::TimePoint measured, base::TimePoint now) {
  // Reports of the incarnation that sent the leaving response can't undo it. A response that came before any
  // report belongs to an unknown incarnation, and a ready measurement that is clearly younger ends it.
  const bool marked = entry.response_leaving_at != base::TimePoint{};
  if (!marked || entry.response_of_known_incarnation) return;
  if (measured <= entry.response_leaving_at + kLeavingMargin) return;
  entry.live->SetLeaving(kLeavingByResponse, false);
  entry.live->StartRamp(now);
  entry.response_leaving_at = {};
}

void UpstreamTable::SetLoad(Entry& entry, uint32_t running, uint32_t queued, base::TimePoint measured,
                            base::TimePoint now) {
  const uint32_t own = entry.in_flight.At(measured, entry.live->InFlight(), now);
  entry.live->SetLoad(LastReportedLoad{running, queued, own, measured});
}

UpdateResult UpstreamTable::OnLoadReport(const UpstreamLoadReport& report, base::TimePoint now) {
  Entry* entry = Find(report.upstream);
  if (entry == nullptr) return UpdateResult::kUnknownUpstream;
  if (report.age < base::Duration{0}) return UpdateResult::kMalformed;
  if (report.incarnation != 0 && report.incarnation < entry->incarnation) return UpdateResult::kStale;
  const base::TimePoint measured = now - report.age;
  const bool restarted = report.incarnation > entry->incarnation;
  if (restarted) StartIncarnation(*entry, report.incarnation, now);
  if (report.state == EngineState::kLeaving) entry->live->SetLeaving(kLeavingByReport, true);
  const LastReportedLoad known = entry->live->Load();
  if (!restarted && known.measured != base::TimePoint{} && measured <= known.measured)
    return UpdateResult::kStale;
  if (report.state == EngineState::kReady) {
    ClearStaleLeaving(*entry, measured, now);
    // Without an incarnation a ready report can only be told from an older one by its age.
    if (report.incarnation == 0 && entry->incarnation == 0) entry->live->SetLeaving(kLeavingByReport, false);
  }
  entry->models_reported = true;
  entry->live->SetModelMask(MaskOf(report.models));
  SetLoad(*entry, report.running, report.queued, measured, now);
  return UpdateResult::kApplied;
}

UpdateResult UpstreamTable::OnLoadHeader(std::string_view upstream, std::string_view header,
                                         base::TimePoint now) {
  Entry* entry = Find(upstream);
  if (entry == nullptr) return UpdateResult::kUnknownUpstream;
  const auto load = ParseEngineLoad(header);
  if (!load) return UpdateResult::kMalformed;
  SetLoad(*entry, load->running, load->queued, now, now);
  return UpdateResult::kApplied;
}

UpdateResult UpstreamTable::OnLeavingResponse(std::string_view upstream, base::TimePoint now) {
  Entry* entry = Find(upstream);
  if (entry == nullptr) return UpdateResult::kUnknownUpstream;
  entry->live->SetLeaving(kLeavingByResponse, true);
  entry->response_leaving_at = now;
  entry->response_of_known_incarnation = entry->incarnation != 0;
  return UpdateResult::kApplied;
}

UpdateResult UpstreamTable::OnCacheEvents(std::string_view upstream, uint64_t incarnation,
                                          std::span<const PrefixCacheEvent> events) {
  Entry* entry = Find(upstream);
  if (entry == nullptr) return UpdateResult::kUnknownUpstream;
  if (incarnation < entry->cache_incarnation) return UpdateResult::kStale;
  PrefixCacheSummary& cache = entry->live->MutableCache();
  if (incarnation > entry->cache_incarnation) {
    entry->cache_incarnation = incarnation;
    entry->cache_seq = 0;
    cache.Clear();
    cache.SetComplete(true);
  }
  bool applied = false;
  bool gap = false;
  for (const PrefixCacheEvent& event : events) {
    if (event.seq <= entry->cache_seq) continue;
    if (event.seq != entry->cache_seq + 1) {
      gap = true;
      cache.Clear();
      cache.SetComplete(false);
    }
    entry->cache_seq = event.seq;
    applied = true;
    if (event.operation == CacheOperation::kAdd) {
      cache.Add(event.prefix, event.tokens);
    } else {
      cache.Evict(event.prefix);
    }
  }
  if (gap) return UpdateResult::kGap;
  return applied ? UpdateResult::kApplied : UpdateResult::kStale;
}

uint64_t UpstreamTable::CacheCursor(std::string_view upstream) const {
  const auto found = entries_.find(upstream);
  return found == entries_.end() ? 0 : found->second.cache_seq;
}

UpdateResult UpstreamTable::OnPrefixServed(std::string_view upstream, uint64_t prefix, uint32_t tokens) {
  Entry* entry = Find(upstream);
  if (entry == nullptr) return UpdateResult::kUnknownUpstream;
  entry->live->MutableCache().Add(prefix, tokens);
  return UpdateResult::kApplied;
}

UpdateResult UpstreamTable::OnResult(std::string_view upstream, RequestOutcome result, bool was_probe,
                                     base::TimePoint now) {
  Entry* entry = Find(upstream);
  if (entry == nullptr) return UpdateResult::kUnknownUpstream;
  const bool ejected = entry->live->Ejected();
  // Requests sent before the ejection end later; only the probe decides about the return.
  if (ejected && !was_probe) return UpdateResult::kStale;
  if (result == RequestOutcome::kSuccess) {
    if (entry->outlier.TooManyFailures()) entry->outlier.Returned(now);
    entry->outlier.AddSuccess();
    entry->live->SuspectUntil({});
    if (ejected) {
      entry->outlier.Returned(now);
      entry->live->StartRamp(now);
      entry->live->Readmit();
    }
    return UpdateResult::kApplied;
  }
  entry->outlier.AddFailure();
  if (ejected) {
    entry->live->Eject(entry->outlier.NextRetry(now));
  } else if (entry->outlier.TooManyFailures()) {
    ConsiderEjection(*entry, now);
  }
  return UpdateResult::kApplied;
}

ZoneLiveState* UpstreamTable::FindZone(std::string_view region, std::string_view zone) {
  const auto found = zone_cells_.find({std::string{region}, std::string{zone}});
  return found == zone_cells_.end() ? nullptr : found->second.get();
}

UpdateResult UpstreamTable::OnZoneSum(std::string_view region, std::string_view zone, ZoneLoadSum sum,
                                      base::Duration age, base::TimePoint now) {
  ZoneLiveState* cell = FindZone(region, zone);
  if (cell == nullptr) return UpdateResult::kUnknownUpstream;
  if (age < base::Duration{0}) return UpdateResult::kMalformed;
  const base::TimePoint known = cell->Sum().measured;
  if (known != base::TimePoint{} && now - age <= known) return UpdateResult::kStale;
  sum.measured = now - age;
  sum.own_included = cell->InFlight();
  cell->SetSum(sum);
  return UpdateResult::kApplied;
}

UpdateResult UpstreamTable::OnZoneReachable(std::string_view region, std::string_view zone, bool reachable) {
  ZoneLiveState* cell = FindZone(region, zone);
  if (cell == nullptr) return UpdateResult::kUnknownUpstream;
  cell->SetReachable(reachable);
  return UpdateResult::kApplied;
}

ZoneLoadSum UpstreamTable::SumOfZone(Index zone, base::TimePoint now) const {
  ZoneLoadSum sum;
  const ZoneRange range = snapshot_->Zone(zone);
  for (uint32_t i = range.begin; i < range.end; ++i) {
    const ReplicaRecord& replica = snapshot_->Replicas()[i];
    if (replica.service != kNone || replica.live->Leaving() || replica.live->Ejected() ||
        replica.live->Suspect(now)) {
      continue;
    }
    const LastReportedLoad load = replica.live->Load();
    sum.slots += static_cast<uint32_t>(replica.slots * replica.live->RampShare(now));
    sum.running += load.running;
    sum.queued += load.queued;
  }
  sum.measured = now;
  return sum;
}

uint32_t UpstreamTable::EjectedInZone(Index zone) const {
  return static_cast<uint32_t>(std::count_if(entries_.begin(), entries_.end(), [zone](const auto& entry) {
    return entry.second.zone == zone && entry.second.live->Ejected();
  }));
}

void UpstreamTable::ConsiderEjection(Entry& entry, base::TimePoint now) {
  if (entry.zone == kNone || entry.live->Suspect(now)) return;
  const base::TimePoint retry_at = entry.outlier.NextRetry(now);
  if (EjectedInZone(entry.zone) < MaxEjected(zone_replicas_[entry.zone])) {
    entry.live->Eject(retry_at);
  } else {
    entry.live->SuspectUntil(retry_at);
  }
}

void UpstreamTable::Tick(base::TimePoint now) {
  std::map<std::pair<Index, Index>, ResultWindow> groups;
  for (auto& [id, entry] : entries_) {
    entry.in_flight.Add(entry.live->InFlight(), now);
    ResultWindow& group = groups[{entry.zone, entry.service}];
    group.successes += entry.outlier.Window().successes;
    group.failures += entry.outlier.Window().failures;
  }
  for (auto& [id, entry] : entries_) {
    if (entry.live->Ejected()) continue;
    const ResultWindow& own = entry.outlier.Window();
    ResultWindow peers = groups[{entry.zone, entry.service}];
    peers.successes -= own.successes;
    peers.failures -= own.failures;
    if (FarBelowPeers(own, peers)) ConsiderEjection(entry, now);
  }
  if (now - faded_at_ < kFadeTime) return;
  faded_at_ = now;
  for (auto& [id, entry] : entries_) entry.outlier.Window().Halve();
}

}  // namespace cornelplank::upstreams

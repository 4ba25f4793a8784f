#include "libs/upstreams/internal/upstream_table.h"

#include <algorithm>

namespace cornelplank::upstreams {
namespace {

constexpr std::chrono::seconds kResultHalvingInterval{10};
// A ready report ends the leaving state of a response of unknown incarnation when it was measured more than
// this time after the response. The margin covers errors of report ages, which are whole milliseconds and
// pass through gossip.
constexpr std::chrono::seconds kLeavingMargin{1};

}  // namespace

UpstreamTable::Entry* UpstreamTable::Find(std::string_view upstream) {
  const auto found = entries_.find(upstream);
  return found == entries_.end() ? nullptr : &found->second;
}

uint64_t UpstreamTable::ModelMaskOf(const std::vector<std::string>& models) const {
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
  // A change of the model list changes the bits of the models, so reported masks become invalid. The
  // configured models are used until the next report.
  const bool model_indices_changed = first || topology.Models() != snapshot_->Names().Models();
  std::erase_if(entries_, [&](const auto& entry) { return document.upstreams.count(entry.first) == 0; });
  std::vector<std::shared_ptr<ZoneLiveState>> zone_states;
  for (const ZoneName& zone : topology.Zones()) {
    auto& zone_state = zone_states_[{zone.region, zone.zone}];
    if (!zone_state) zone_state = std::make_shared<ZoneLiveState>();
    zone_states.push_back(zone_state);
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
    if (model_indices_changed) entry.models_reported = false;
    if (!entry.models_reported) entry.live->SetModelMask(entry.configured_models);
    entry.live->SetLeaving(kLeavingByConfig, upstream.leaving);
    if (added && !first) entry.live->StartRamp(now);
    replicas.push_back(ReplicaRecord{id, upstream.address, base::Hash64(id), topology.Region(upstream.region),
                                     entry.zone, topology.Partner(upstream.partner), entry.service,
                                     static_cast<uint32_t>(std::max(upstream.slots, 1)), upstream.price,
                                     entry.live});
  }
  snapshot_ = std::make_shared<const UpstreamSnapshot>(std::move(topology), std::move(replicas),
                                                       std::move(zone_states));
  ReadmitBeyondBound(now);
}

void UpstreamTable::ReadmitBeyondBound(base::TimePoint now) {
  // After a zone has become smaller, more of its replicas may be ejected than its bound allows.
  for (auto& [id, entry] : entries_) {
    if (entry.zone == kNone || !entry.live->Ejected()) continue;
    if (EjectedInZone(entry.zone) <= MaxEjected(zone_replicas_[entry.zone])) continue;
    entry.live->Readmit();
    entry.live->SuspectUntil(entry.outlier.ExtendBackOff(now));
  }
}

void UpstreamTable::StartIncarnation(Entry& entry, uint64_t incarnation, base::TimePoint now) {
  const bool returned = entry.incarnation != 0;
  entry.incarnation = incarnation;
  if (!returned) return;
  // A restarted engine has an empty cache, and the failures of its old process don't apply.
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
  // A leaving response of a known incarnation holds until the next incarnation. One that came before any
  // report is of an unknown incarnation, and a ready report measured clearly later ends it.
  const bool marked = entry.response_leaving_at != base::TimePoint{};
  if (!marked || entry.response_incarnation_known) return;
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
  if (!restarted && known.measured != base::TimePoint{} && measured <= known.measured) {
    return UpdateResult::kStale;
  }
  if (report.state == EngineState::kReady) {
    ClearStaleLeaving(*entry, measured, now);
    // Without incarnations only the age tells which report is newer, so a newer ready report ends the state.
    if (report.incarnation == 0 && entry->incarnation == 0) entry->live->SetLeaving(kLeavingByReport, false);
  }
  entry->models_reported = true;
  entry->live->SetModelMask(ModelMaskOf(report.models));
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
  entry->response_incarnation_known = entry->incarnation != 0;
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
  // Requests sent before the ejection may end after it; only the probe decides about readmission.
  if (ejected && !was_probe) return UpdateResult::kStale;
  if (result == RequestOutcome::kSuccess) {
    if (entry->outlier.HasTooManyFailures()) entry->outlier.MarkReadmitted(now);
    entry->outlier.AddSuccess();
    entry->live->SuspectUntil({});
    if (ejected) {
      entry->outlier.MarkReadmitted(now);
      entry->live->StartRamp(now);
      entry->live->Readmit();
    }
    return UpdateResult::kApplied;
  }
  entry->outlier.AddFailure();
  if (ejected) {
    entry->live->Eject(entry->outlier.ExtendBackOff(now));
  } else if (entry->outlier.HasTooManyFailures()) {
    EjectOrSuspect(*entry, now);
  }
  return UpdateResult::kApplied;
}

ZoneLiveState* UpstreamTable::FindZone(std::string_view region, std::string_view zone) {
  const auto found = zone_states_.find({std::string{region}, std::string{zone}});
  return found == zone_states_.end() ? nullptr : found->second.get();
}

UpdateResult UpstreamTable::OnZoneSum(std::string_view region, std::string_view zone,
                                      LastReportedZoneLoad sum, base::Duration age, base::TimePoint now) {
  ZoneLiveState* zone_state = FindZone(region, zone);
  if (zone_state == nullptr) return UpdateResult::kUnknownUpstream;
  if (age < base::Duration{0}) return UpdateResult::kMalformed;
  const base::TimePoint known = zone_state->Sum().measured;
  if (known != base::TimePoint{} && now - age <= known) return UpdateResult::kStale;
  sum.measured = now - age;
  sum.own_included = zone_state->InFlight();
  zone_state->SetSum(sum);
  return UpdateResult::kApplied;
}

UpdateResult UpstreamTable::OnZoneReachable(std::string_view region, std::string_view zone, bool reachable) {
  ZoneLiveState* zone_state = FindZone(region, zone);
  if (zone_state == nullptr) return UpdateResult::kUnknownUpstream;
  zone_state->SetReachable(reachable);
  return UpdateResult::kApplied;
}

LastReportedZoneLoad UpstreamTable::SumOfZone(Index zone, base::TimePoint now) const {
  LastReportedZoneLoad sum;
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

void UpstreamTable::EjectOrSuspect(Entry& entry, base::TimePoint now) {
  if (entry.zone == kNone || entry.live->Suspect(now)) return;
  const base::TimePoint retry_at = entry.outlier.ExtendBackOff(now);
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
    if (IsFarBelowPeers(own, peers)) EjectOrSuspect(entry, now);
  }
  if (now - results_halved_at_ < kResultHalvingInterval) return;
  results_halved_at_ = now;
  for (auto& [id, entry] : entries_) entry.outlier.Window().Halve();
}

}  // namespace cornelplank::upstreams

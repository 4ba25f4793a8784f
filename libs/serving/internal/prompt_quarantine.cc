#include "libs/serving/internal/prompt_quarantine.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cornelplank::serving {
namespace {

// From this level on the quarantine has its greatest length.
constexpr uint32_t kMaxLevel = 5;
// Entries that grow old are erased this often.
constexpr std::chrono::seconds kUpdateInterval{1};

bool Contains(const std::vector<uint64_t>& parts, uint64_t part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

/// Erases the entries with the earliest times until at most `limit` are left.
template <typename Map, typename TimeOf>
void KeepNewest(Map* entries, size_t limit, TimeOf time_of) {
  if (entries->size() <= limit) return;
  std::vector<std::pair<base::TimePoint, typename Map::key_type>> order;
  for (const auto& [key, entry] : *entries) order.emplace_back(time_of(entry), key);
  std::sort(order.begin(), order.end());
  order.resize(order.size() - limit);
  for (const auto& [time, key] : order) entries->erase(key);
}

/// Whether `KeepNewest` would erase a new entry at once. Such entries are not added, so that they don't count
/// as news each time that another VM sends them.
template <typename Map, typename TimeOf>
bool IsTooOld(const Map& entries, size_t limit, TimeOf time_of, const typename Map::key_type& key,
              base::TimePoint time) {
  return entries.size() >= limit && std::all_of(entries.begin(), entries.end(), [&](const auto& entry) {
           return std::pair(time_of(entry.second), entry.first) > std::pair(time, key);
         });
}

base::TimePoint TimeOfClearance(base::TimePoint at) { return at; }

}  // namespace

base::TimePoint PromptQuarantine::Verdict::End() const {
  return since +
         std::min<base::Duration>(kFirstQuarantine * (1 << std::min(level, kMaxLevel)), kMaxQuarantine);
}

void PromptQuarantine::RecordCrash(const std::vector<uint64_t>& shared_parts, uint32_t replica_key,
                                   base::TimePoint now) {
  Observation observation{replica_key, {}, now};
  const size_t skipped = shared_parts.size() - std::min(shared_parts.size(), kMaxParts);
  for (size_t i = skipped; i < shared_parts.size(); ++i) {
    if (!IsCleared(shared_parts[i], now)) observation.parts.push_back(shared_parts[i]);
  }
  // Requests with the same parts tell nothing new about the same crash, and there may be many of them.
  const auto known = [&](const auto& entry) {
    const Observation& other = entry.second;
    return other.replica_key == replica_key && now - other.crashed_at <= kSameCrash &&
           std::all_of(observation.parts.begin(), observation.parts.end(),
                       [&](uint64_t part) { return Contains(other.parts, part); });
  };
  if (observation.parts.empty() || std::any_of(observations_.begin(), observations_.end(), known)) return;
  AddObservation({own_vm_, incarnation_, next_sequence_++}, std::move(observation));
  Update(now);
}

void PromptQuarantine::RecordAnswer(const std::vector<uint64_t>& shared_parts, base::TimePoint now) {
  if (suspects_.empty()) return;
  bool cleared = false;
  for (const uint64_t part : shared_parts) {
    const auto suspect = std::lower_bound(suspects_.begin(), suspects_.end(), part);
    if (suspect == suspects_.end() || *suspect != part) continue;
    AddClearance(part, now);
    suspects_.erase(suspect);
    cleared = true;
  }
  if (!cleared) return;
  // After a mass failure many parts are cleared one by one. Without verdicts, fewer suspicions change none.
  if (verdicts_.empty()) {
    KeepNewest(&clearances_, kMaxClearances, TimeOfClearance);
  } else {
    Update(now);
  }
}

QuarantineReport PromptQuarantine::Report(size_t max_crashes, base::TimePoint now) const {
  QuarantineReport report;
  std::vector<const std::pair<const ObservationId, Observation>*> order;
  for (const auto& entry : observations_) {
    if (now - entry.second.crashed_at <= kEvidenceAge) order.push_back(&entry);
  }
  std::sort(order.begin(), order.end(), [](const auto* left, const auto* right) {
    const bool left_empty = left->second.parts.empty();
    const bool right_empty = right->second.parts.empty();
    return std::tie(left_empty, right->second.crashed_at, right->first) <
           std::tie(right_empty, left->second.crashed_at, left->first);
  });
  if (order.size() > max_crashes) order.resize(max_crashes);
  for (const auto* entry : order) {
    const auto& [reporter, incarnation, sequence] = entry->first;
    const Observation& observation = entry->second;
    report.crashes.push_back({reporter, incarnation, sequence, observation.replica_key, observation.parts,
                              now - observation.crashed_at});
  }
  for (const auto& [part, at] : clearances_) {
    if (now - at <= kClearanceMemory) report.clearances.push_back({part, now - at + kTransportAllowance});
  }
  for (const auto& [part, verdict] : records_) {
    if (now > verdict.End() + kVerdictMemory) continue;
    report.verdicts.push_back({part, verdict.level, now - verdict.since + kTransportAllowance});
  }
  return report;
}

void PromptQuarantine::Merge(const QuarantineReport& report, base::TimePoint now) {
  bool changed = false;
  for (const PartClearance& clearance : report.clearances) {
    const base::Duration age = std::max(clearance.age, base::Duration{0});
    if (age <= kClearanceMemory) changed |= AddClearance(clearance.part, now - age);
  }
  for (const PartVerdict& sent : report.verdicts) {
    const base::Duration age = std::max(sent.age, base::Duration{0});
    const Verdict verdict{now - age, std::min(sent.level, kMaxLevel)};
    if (age <= kMaxQuarantine + kVerdictMemory && now <= verdict.End() + kVerdictMemory) {
      changed |= AddRecord(sent.part, verdict);
    }
  }
  for (const CrashObservation& sent : report.crashes) {
    const base::Duration age = std::max(sent.age, base::Duration{0});
    if (age > kEvidenceAge) continue;
    Observation observation{sent.replica_key, sent.parts, now - age};
    if (observation.parts.size() > kMaxParts) observation.parts.resize(kMaxParts);
    changed |= AddObservation({sent.reporter, sent.incarnation, sent.sequence}, std::move(observation));
  }
  // Most reports tell nothing new.
  if (changed || now >= next_update_) Update(now);
}

std::optional<PromptQuarantine::Refusal> PromptQuarantine::Check(const std::vector<uint64_t>& shared_parts,
                                                                 size_t trial_rank, base::TimePoint now) {
  if (now >= next_update_ && !(observations_.empty() && records_.empty() && clearances_.empty())) Update(now);
  if (verdicts_.empty()) return std::nullopt;
  std::optional<Refusal> refusal;
  std::vector<ActiveVerdict*> trials;
  for (const uint64_t part : shared_parts) {
    const auto found = verdicts_.find(part);
    if (found == verdicts_.end()) continue;
    ActiveVerdict& active = found->second;
    base::TimePoint next_trial = active.verdict.End();
    if (active.last_trial) next_trial = std::max(next_trial, *active.last_trial + kTrialTimeout);
    trials.push_back(&active);
    if (now >= next_trial && now >= active.verdict.End() + kTrialSpacing * static_cast<int64_t>(trial_rank)) {
      continue;
    }
    // Without the time for this VM's turn: another VM may make the trial and lift the verdict before.
    const base::Duration retry_after = std::max<base::Duration>(next_trial - now, kMinRetryAfter);
    if (!refusal || retry_after > refusal->retry_after) refusal = Refusal{part, retry_after};
  }
  if (refusal) return refusal;
  for (ActiveVerdict* active : trials) active->last_trial = now;
  return std::nullopt;
}

bool PromptQuarantine::MayRetryAfterCrash(const std::vector<uint64_t>& shared_parts,
                                          base::TimePoint now) const {
  return std::none_of(shared_parts.begin(), shared_parts.end(), [&](uint64_t part) {
    if (verdicts_.contains(part)) return true;
    std::vector<Crash> crashes = CrashesOf(part, /*unexplained_only=*/true);
    std::erase_if(crashes, [&](const Crash& crash) { return now - crash.at > kEvidenceAge; });
    if (crashes.empty() || crashes.back().at - crashes.front().at < kMinSeparation) return false;
    return std::any_of(crashes.begin(), crashes.end(),
                       [&](const Crash& crash) { return crash.replica_key != crashes.front().replica_key; });
  });
}

bool PromptQuarantine::IsCleared(uint64_t part, base::TimePoint crashed_at) const {
  const auto clearance = clearances_.find(part);
  return clearance != clearances_.end() && crashed_at <= clearance->second + kClearanceSkew;
}

base::TimePoint PromptQuarantine::Rank(const Observation& observation) {
  return observation.parts.empty() ? observation.crashed_at - kEvidenceAge - kHoldMargin
                                   : observation.crashed_at;
}

bool PromptQuarantine::AddObservation(const ObservationId& id, Observation observation) {
  std::erase_if(observation.parts, [&](uint64_t part) { return IsCleared(part, observation.crashed_at); });
  const auto position = observations_.find(id);
  if (position == observations_.end()) {
    if (IsTooOld(observations_, kMaxObservations, Rank, id, Rank(observation))) return false;
    observations_.emplace(id, std::move(observation));
    return true;
  }
  Observation& known = position->second;
  const size_t parts_before = known.parts.size();
  const base::TimePoint time_before = known.crashed_at;
  // Transport delays make the estimates of the time too late, so the earliest is the best.
  known.crashed_at = std::min(known.crashed_at, observation.crashed_at);
  std::erase_if(known.parts, [&](uint64_t part) {
    return !Contains(observation.parts, part) || IsCleared(part, known.crashed_at);
  });
  return known.parts.size() != parts_before || known.crashed_at != time_before;
}

bool PromptQuarantine::AddClearance(uint64_t part, base::TimePoint at) {
  const auto position = clearances_.find(part);
  if (position != clearances_.end()) {
    if (at <= position->second) return false;
    position->second = at;
  } else {
    if (IsTooOld(clearances_, kMaxClearances, TimeOfClearance, part, at)) return false;
    clearances_.emplace(part, at);
  }
  for (auto& [id, observation] : observations_) {
    if (IsCleared(part, observation.crashed_at)) std::erase(observation.parts, part);
  }
  const auto record = records_.find(part);
  if (record != records_.end() && IsCleared(part, record->second.since)) records_.erase(record);
  return true;
}

bool PromptQuarantine::AddRecord(uint64_t part, const Verdict& verdict) {
  if (IsCleared(part, verdict.since)) return false;
  const auto position = records_.find(part);
  if (position == records_.end()) {
    if (IsTooOld(records_, kMaxQuarantined, TimeOfVerdict, part, verdict.since)) return false;
    records_.emplace(part, verdict);
    return true;
  }
  Verdict& known = position->second;
  if (std::tie(verdict.since, verdict.level) <= std::tie(known.since, known.level)) return false;
  known = verdict;
  return true;
}

std::vector<PromptQuarantine::Crash> PromptQuarantine::CrashesOf(uint64_t part, bool unexplained_only) const {
  std::vector<Crash> named;
  for (const auto& [id, observation] : observations_) {
    if (unexplained_only && observation.explained) continue;
    if (Contains(observation.parts, part)) named.push_back({observation.replica_key, observation.crashed_at});
  }
  std::sort(named.begin(), named.end(), [](const Crash& left, const Crash& right) {
    return std::tie(left.at, left.replica_key) < std::tie(right.at, right.replica_key);
  });
  std::vector<Crash> crashes;
  for (const Crash& crash : named) {
    const bool same = std::any_of(crashes.begin(), crashes.end(), [&](const Crash& earlier) {
      return earlier.replica_key == crash.replica_key && crash.at - earlier.at <= kSameCrash;
    });
    if (!same) crashes.push_back(crash);
  }
  return crashes;
}

size_t PromptQuarantine::CountMoments(const std::vector<Crash>& crashes) {
  size_t moments = 0;
  base::TimePoint last{};
  for (const Crash& crash : crashes) {
    if (moments > 0 && crash.at - last < kMinSeparation) continue;
    ++moments;
    last = crash.at;
  }
  return moments;
}

std::optional<std::pair<uint64_t, PromptQuarantine::Verdict>> PromptQuarantine::NextVerdict() const {
  std::vector<std::pair<uint64_t, size_t>> mentions;  // part and its place in a prompt
  for (const auto& [id, observation] : observations_) {
    if (observation.explained) continue;
    for (size_t i = 0; i < observation.parts.size(); ++i) mentions.emplace_back(observation.parts[i], i);
  }
  std::sort(mentions.begin(), mentions.end());
  std::optional<std::pair<uint64_t, Verdict>> next;
  std::pair<size_t, size_t> best{0, 0};  // crashes and position of `next`
  for (auto begin = mentions.begin(), end = begin; begin != mentions.end(); begin = end) {
    const uint64_t part = begin->first;
    end = std::find_if(begin, mentions.end(), [&](const auto& mention) { return mention.first != part; });
    if (static_cast<size_t>(end - begin) < kCrashesToCondemn || verdicts_.contains(part)) continue;
    const std::vector<Crash> crashes = CrashesOf(part, /*unexplained_only=*/true);
    const std::pair<size_t, size_t> rank{crashes.size(), (end - 1)->second};
    if (crashes.size() < kCrashesToCondemn || (next && rank <= best)) continue;
    for (auto last = crashes.begin(); last != crashes.end(); ++last) {
      const auto first = std::find_if(
          crashes.begin(), last, [&](const Crash& crash) { return last->at - crash.at <= kEvidenceAge; });
      std::set<uint32_t> replicas;
      for (auto crash = first; crash != last + 1; ++crash) replicas.insert(crash->replica_key);
      if (CountMoments({first, last + 1}) < kCrashesToCondemn || replicas.size() < kMinReplicas) continue;
      next.emplace(part, Verdict{last->at, 0});
      best = rank;
      break;
    }
  }
  return next;
}

void PromptQuarantine::Condemn(uint64_t part, Verdict verdict, base::TimePoint now,
                               const std::map<uint64_t, ActiveVerdict>& previous) {
  // Only a crash after the end of the quarantine is that of a trial. Earlier ones are of requests that were
  // sent before all VMs had the verdict.
  const std::vector<Crash> crashes = CrashesOf(part, /*unexplained_only=*/false);
  for (const Crash& crash : crashes) {
    if (crash.at >= verdict.End()) verdict = {crash.at, std::min(verdict.level + 1, kMaxLevel)};
  }
  ActiveVerdict& active = verdicts_[part];
  active = {verdict, now, std::nullopt};
  const auto before = previous.find(part);
  if (before != previous.end()) {
    active.found_at = before->second.found_at;
    active.last_trial = before->second.last_trial;
  }
  // The part explains the crash, so the crash tells nothing about the other requests at the replica either.
  for (auto& [id, observation] : observations_) {
    observation.explained |=
        std::any_of(crashes.begin(), crashes.end(), [&, &other = observation](const Crash& crash) {
          return crash.replica_key == other.replica_key && other.crashed_at - crash.at <= kSameCrash &&
                 crash.at - other.crashed_at <= kSameCrash;
        });
  }
}

void PromptQuarantine::Evaluate(base::TimePoint now) {
  const std::map<uint64_t, ActiveVerdict> previous = std::exchange(verdicts_, {});
  for (auto& [id, observation] : observations_) observation.explained = false;
  for (const auto& [part, verdict] : records_) Condemn(part, verdict, now, previous);
  while (const auto next = NextVerdict()) Condemn(next->first, next->second, now, previous);
  KeepNewest(&verdicts_, kMaxQuarantined, [](const ActiveVerdict& active) { return active.verdict.since; });
}

void PromptQuarantine::Update(base::TimePoint now) {
  next_update_ = now + kUpdateInterval;
  // Settled verdicts are recorded before newer observations can change them.
  const auto record = [&](base::Duration min_time_in_force) {
    for (const auto& [part, active] : verdicts_) {
      if (now - active.found_at >= min_time_in_force) AddRecord(part, active.verdict);
    }
  };
  record(kSettleTime);
  Evaluate(now);
  const auto suspected = std::count_if(observations_.begin(), observations_.end(),
                                       [](const auto& entry) { return !entry.second.parts.empty(); });
  const bool evidence_goes = static_cast<size_t>(suspected) > kMaxObservations;
  record(evidence_goes ? base::Duration{0} : kSettleTime);
  KeepNewest(&observations_, kMaxObservations, Rank);
  std::erase_if(observations_, [&](const auto& entry) {
    return now - entry.second.crashed_at > kEvidenceAge + kHoldMargin;
  });
  std::erase_if(clearances_,
                [&](const auto& entry) { return now - entry.second > kClearanceMemory + kHoldMargin; });
  KeepNewest(&clearances_, kMaxClearances, TimeOfClearance);
  std::erase_if(records_,
                [&](const auto& entry) { return now > entry.second.End() + kVerdictMemory + kHoldMargin; });
  KeepNewest(&records_, kMaxQuarantined, TimeOfVerdict);
  std::erase_if(verdicts_, [&](const auto& entry) {
    return now > entry.second.verdict.End() + kVerdictMemory + kHoldMargin;
  });
  suspects_.clear();
  for (const auto& [part, active] : verdicts_) suspects_.push_back(part);
  for (const auto& [id, observation] : observations_) {
    suspects_.insert(suspects_.end(), observation.parts.begin(), observation.parts.end());
  }
  std::sort(suspects_.begin(), suspects_.end());
  suspects_.erase(std::unique(suspects_.begin(), suspects_.end()), suspects_.end());
}

}  // namespace cornelplank::serving

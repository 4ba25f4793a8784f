#include "libs/fleet/internal/stream_origin_exchange.h"

#include <algorithm>
#include <string>
#include <tuple>

namespace cornelplank::fleet {
namespace {

// Number of VMs that get the records of each VM.
constexpr size_t kReceivers = 2;
// Attempts in one datagram of records, 8 bytes each, so that it stays within one Ethernet frame. Each
// software version takes the room of kGroupAttempts.
constexpr size_t kAttemptsPerDatagram = 128;
constexpr size_t kGroupAttempts = 4;
// The same for queries: each one takes the room of kQueryRoom and of one more for each service.
constexpr size_t kQueryRoom = 3;
// Datagrams with records that a VM gets at once, when it gets the records of the whole retention time.
constexpr size_t kDatagramsAtOnce = 16;

std::string_view Bytes(const VmAddress& address) {
  return {reinterpret_cast<const char*>(&address), sizeof address};
}

/// Adds what a record says, if there is one, to what others said.
void Merge(std::optional<StreamOrigin>& origin, const std::optional<StreamOrigin>& other) {
  if (!origin) {
    origin = other;
  } else if (other) {
    origin->Merge(*other);
  }
}

}  // namespace

void StreamOriginExchange::Record(uint64_t attempt, uint64_t software, base::TimePoint now) {
  if (attempt == 0) return;
  table_.Record(attempt, {software}, now);
  own_records_.push_back({attempt, software, now});
  ForgetOld(now);
}

void StreamOriginExchange::ForgetOld(base::TimePoint now) {
  const base::TimePoint oldest = now - history_.retention();
  table_.ForgetBefore(oldest);
  while (!own_records_.empty() &&
         (own_records_.front().at < oldest || own_records_.size() > StreamOriginTable::kMaxRecords)) {
    own_records_.pop_front();
    ++first_own_record_;
  }
}

std::map<VmAddress, StreamOriginExchange::Receiver> StreamOriginExchange::PickReceivers(
    base::TimePoint now) const {
  struct Candidate {
    VmAddress address;
    Receiver receiver;
    Distance distance;
    uint64_t weight;
  };
  std::vector<Candidate> candidates;
  for (const auto& [address, entry] : members_.others()) {
    if (entry.member.state != MemberState::kReady || !members_.IsAlive(entry, now)) continue;
    candidates.push_back({address,
                          {entry.member.incarnation, 0},
                          members_.DistanceOf(entry.member),
                          base::RendezvousWeight(Bytes(members_.own().address), Bytes(address))});
  }
  std::map<VmAddress, Receiver> receivers;
  const auto pick = [&](auto preference) {
    const auto best =
        std::max_element(candidates.begin(), candidates.end(), [&](const auto& left, const auto& right) {
          return std::make_tuple(preference(left.distance), left.weight) <
                 std::make_tuple(preference(right.distance), right.weight);
        });
    if (best == candidates.end()) return;
    receivers[best->address] = best->receiver;
    candidates.erase(best);
  };
  // One region may be lost as a whole, and one zone.
  pick([](Distance distance) {
    return distance == Distance::kOwnRegion ? 2 : distance == Distance::kOwnZone ? 1 : 0;
  });
  pick([](Distance distance) {
    return distance == Distance::kOtherRegion ? 2 : distance == Distance::kOwnRegion ? 1 : 0;
  });
  static_assert(kReceivers == 2);
  return receivers;
}

bool StreamOriginExchange::SendRecords(base::TimePoint now) {
  ForgetOld(now);
  if (own_records_.empty() || !history_.IsMixed(now)) return false;
  auto receivers = PickReceivers(now);
  for (auto& [vm, receiver] : receivers) {
    const auto before = receivers_.find(vm);
    // A process that has started anew has lost its records.
    if (before != receivers_.end() && before->second.incarnation == receiver.incarnation) {
      receiver = before->second;
    }
  }
  receivers_ = std::move(receivers);
  bool left = false;
  for (auto& [vm, receiver] : receivers_) left |= SendRecordsTo(vm, receiver);
  return left;
}

bool StreamOriginExchange::SendRecordsTo(VmAddress vm, Receiver& receiver) {
  uint64_t next = std::max(receiver.next_record, first_own_record_);
  const uint64_t end = first_own_record_ + own_records_.size();
  for (size_t datagram = 0; datagram < kDatagramsAtOnce && next < end; ++datagram) {
    std::map<uint64_t, std::vector<uint64_t>> by_software;
    for (size_t room = kAttemptsPerDatagram; next < end; ++next) {
      const OwnRecord& record = own_records_[next - first_own_record_];
      const size_t needed = by_software.contains(record.software) ? 1 : 1 + kGroupAttempts;
      if (room < needed) break;
      room -= needed;
      by_software[record.software].push_back(record.attempt);
      ++counters_.records_sent;
    }
    OriginMessages messages;
    for (auto& [software, attempts] : by_software) {
      messages.records.push_back({software, std::move(attempts)});
    }
    outbox_.emplace_back(vm, std::move(messages));
  }
  receiver.next_record = next;
  return next < end;
}

OriginAnswer StreamOriginExchange::Answer(const OriginQuery& query, base::TimePoint now) const {
  const auto recorded = table_.Find(query.attempt);
  if (recorded && recorded->conflicting) return {query.sequence, OriginAnswer::Kind::kConflicting, 0};
  if (recorded) return {query.sequence, OriginAnswer::Kind::kRecorded, recorded->software};
  const auto only = history_.OnlyVersion(query.services, now);
  if (only) return {query.sequence, OriginAnswer::Kind::kOnlyVersion, *only};
  return {query.sequence, OriginAnswer::Kind::kUnknown, 0};
}

std::vector<uint64_t> StreamOriginExchange::OnMessages(VmAddress from, const OriginMessages& messages,
                                                       base::TimePoint now) {
  std::vector<uint64_t> changed;
  if (!members_.others().contains(from)) return changed;
  ForgetOld(now);
  for (const OriginRecords& records : messages.records) {
    for (const uint64_t attempt : records.attempts) {
      if (attempt != 0) table_.Record(attempt, {records.software}, now);
    }
  }
  OriginMessages answers;
  for (const OriginQuery& query : messages.queries) answers.answers.push_back(Answer(query, now));
  if (!answers.empty()) outbox_.emplace_back(from, std::move(answers));
  for (const OriginAnswer& answer : messages.answers) {
    const auto lookup = lookups_.find(answer.sequence);
    if (lookup == lookups_.end()) continue;
    const auto answered = lookup->second.answered.find(from);
    if (answered == lookup->second.answered.end()) continue;
    if (!answered->second) --lookup->second.unanswered;
    answered->second = true;
    const bool conflicting = answer.kind == OriginAnswer::Kind::kConflicting;
    if (conflicting || answer.kind == OriginAnswer::Kind::kRecorded) {
      Merge(lookup->second.recorded, StreamOrigin{conflicting ? 0 : answer.software, conflicting});
    }
    if (answer.kind == OriginAnswer::Kind::kOnlyVersion) lookup->second.only_versions.insert(answer.software);
    changed.push_back(answer.sequence);
  }
  return changed;
}

uint64_t StreamOriginExchange::Begin(std::optional<uint64_t> attempt, std::vector<uint64_t> services,
                                     base::TimePoint now) {
  ++counters_.lookups;
  const uint64_t sequence = ++last_sequence_;
  ForgetOld(now);
  if (services.size() > OriginMessages::kMaxServices) services.clear();  // then no history can answer
  Lookup& lookup = lookups_[sequence];
  lookup.attempt = attempt.value_or(0);
  lookup.services = std::move(services);
  lookup.begun_at = now;
  return sequence;
}

void StreamOriginExchange::Ask(uint64_t sequence, Lookup& lookup, bool own_region, base::TimePoint now) {
  for (const auto& [address, entry] : members_.others()) {
    const bool of_own_region = members_.DistanceOf(entry.member) != Distance::kOtherRegion;
    if (of_own_region != own_region || !members_.IsAlive(entry, now)) continue;
    if (!lookup.answered.try_emplace(address, false).second) continue;
    ++lookup.unanswered;
    QueueQuery(sequence, address, now);
  }
}

bool StreamOriginExchange::TakeLookupToken(base::TimePoint now) {
  const auto passed = std::chrono::duration<double>(now - lookups_counted_at_).count();
  lookups_left_ = std::min<double>(kMaxLookups, lookups_left_ + passed * kLookupsPerSecond);
  lookups_counted_at_ = now;
  if (lookups_left_ < 1) return false;
  lookups_left_ -= 1;
  return true;
}

void StreamOriginExchange::QueueQuery(uint64_t sequence, VmAddress vm, base::TimePoint now) {
  QueryQueue& queue = queries_[vm];
  queue.lookups.push_back(sequence);
  next_queries_at_ = std::min(next_queries_at_, std::max(now, queue.sent_at + kQueryInterval));
}

void StreamOriginExchange::SendQueries(base::TimePoint now) {
  if (now < next_queries_at_) return;
  next_queries_at_ = base::TimePoint::max();
  for (auto& [vm, queue] : queries_) {
    if (now - queue.sent_at >= kQueryInterval) {
      OriginMessages messages;
      size_t room = kAttemptsPerDatagram;
      for (; !queue.lookups.empty(); queue.lookups.pop_front()) {
        const uint64_t sequence = queue.lookups.front();
        const auto lookup = lookups_.find(sequence);
        if (lookup == lookups_.end()) continue;  // has ended
        const size_t needed = kQueryRoom + lookup->second.services.size();
        if (room < needed) break;
        room -= needed;
        messages.queries.push_back({sequence, lookup->second.attempt, lookup->second.services});
      }
      if (!messages.empty()) {
        outbox_.emplace_back(vm, std::move(messages));
        queue.sent_at = now;
      }
    }
    if (!queue.lookups.empty()) {
      next_queries_at_ = std::min(next_queries_at_, std::max(now, queue.sent_at + kQueryInterval));
    }
  }
  std::erase_if(queries_, [&](const auto& entry) {
    return entry.second.lookups.empty() && now - entry.second.sent_at >= kQueryInterval;
  });
}

std::optional<uint64_t> StreamOriginExchange::VersionByHistory(const Lookup& lookup,
                                                               base::TimePoint now) const {
  if (lookup.only_versions.empty()) return std::nullopt;
  std::set<uint64_t> versions = history_.Versions(lookup.services, now);
  versions.insert(lookup.only_versions.begin(), lookup.only_versions.end());
  if (versions.size() != 1) return std::nullopt;
  return *versions.begin();
}

std::optional<StreamOriginExchange::Result> StreamOriginExchange::Poll(uint64_t sequence,
                                                                       base::TimePoint now) {
  const auto found = lookups_.find(sequence);
  if (found == lookups_.end()) return Result{};
  Lookup& lookup = found->second;
  const auto end = [&](std::optional<uint64_t> software, uint64_t& counter) {
    ++counter;
    lookups_.erase(found);
    return Result{software};
  };
  Merge(lookup.recorded, table_.Find(lookup.attempt));
  if (lookup.recorded && lookup.recorded->conflicting) {
    table_.Record(lookup.attempt, *lookup.recorded, now);
    return end(std::nullopt, counters_.unknown);
  }
  if (lookup.recorded) return end(lookup.recorded->software, counters_.found);
  if (!lookup.asked_own_region) {
    const auto only = history_.OnlyVersion(lookup.services, now);
    if (only) return end(only, counters_.found_by_history);
    // Without an attempt only histories can answer, and no answer of theirs would count.
    if (lookup.attempt == 0 && history_.Versions(lookup.services, now).size() > 1) {
      return end(std::nullopt, counters_.unknown);
    }
    if (!TakeLookupToken(now)) {
      ++counters_.limited;
      return end(std::nullopt, counters_.unknown);
    }
    lookup.asked_own_region = true;
    Ask(sequence, lookup, true, now);
  }
  SendQueries(now);
  const base::Duration age = now - lookup.begun_at;
  if (!lookup.asked_all && age < kOwnRegionTime && lookup.unanswered > 0) return std::nullopt;
  const auto by_history = VersionByHistory(lookup, now);
  if (by_history) return end(by_history, counters_.found_by_history);
  if (!lookup.asked_all) {
    lookup.asked_all = true;
    Ask(sequence, lookup, false, now);
  }
  if (lookup.unanswered == 0 || age >= kLookupTime) return end(std::nullopt, counters_.unknown);
  if (!lookup.repeated && age >= kRepeatTime) {
    lookup.repeated = true;
    for (const auto& [vm, answered] : lookup.answered) {
      if (!answered) QueueQuery(sequence, vm, now);
    }
  }
  SendQueries(now);
  return std::nullopt;
}

base::TimePoint StreamOriginExchange::Deadline(uint64_t sequence) const {
  const auto lookup = lookups_.find(sequence);
  if (lookup == lookups_.end()) return {};
  const base::TimePoint begun_at = lookup->second.begun_at;
  const auto step = !lookup->second.asked_all ? kOwnRegionTime
                    : lookup->second.repeated ? kLookupTime
                                              : kRepeatTime;
  return std::min(begun_at + step, next_queries_at_);
}

}  // namespace cornelplank::fleet

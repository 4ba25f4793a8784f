#include "libs/routing/internal/zone_scan.h"

#include <algorithm>
#include <cmath>

namespace cornelplank::routing {
namespace {

// The finalizer of SplitMix64; spreads the bits of `value` over the whole word.
uint64_t Mix(uint64_t value) {
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

// Weighted rendezvous hashing: the candidate with the highest -slots/ln(u), with u a hash in (0, 1), owns the
// prefix. So a replica owns prefixes in proportion to its slots.
double OwnerWeight(uint64_t prefix, uint64_t key, double slots) {
  const double unit = (static_cast<double>(Mix(prefix ^ Mix(key)) >> 11U) + 0.5) * 0x1.0p-53;
  return -slots / std::log(unit);
}

}  // namespace

ZoneScan::ZoneScan(const RouteRequest& request, const RoutingSnapshot& snapshot, const ScoreOptions& options,
                   base::Random& random, Rejections* rejections)
    : request_(request), snapshot_(snapshot), options_(options) {
  const upstreams::ZoneRange range = snapshot.Upstreams().Zone(snapshot.OwnZone());
  const uint32_t count = range.end - range.begin;
  const uint32_t start = count > kCapacity ? static_cast<uint32_t>(random.Below(count)) : 0;
  Collect(Eligibility::kEligible, start, rejections);
  if (size_ > 0) return;
  Rejections counted_before;
  Collect(Eligibility::kSuspect, start, &counted_before);
  only_suspects_ = size_ > 0;
}

void ZoneScan::Collect(Eligibility wanted, uint32_t start, Rejections* rejections) {
  const upstreams::ZoneRange range = snapshot_.Upstreams().Zone(snapshot_.OwnZone());
  const uint32_t count = range.end - range.begin;
  for (uint32_t i = 0; i < count && size_ < kCapacity; ++i) {
    const uint32_t index = range.begin + (start + i) % count;
    const upstreams::ReplicaRecord& replica = snapshot_.Upstreams().Replicas()[index];
    const Eligibility eligibility = CheckEligibility(request_, snapshot_, replica);
    if (eligibility == Eligibility::kProbeDue) probe_ = index;
    if (eligibility != wanted) {
      CountRejection(eligibility, rejections);
      continue;
    }
    const double ramped_slots = std::max(replica.slots * replica.live->RampShare(request_.now), 1.0);
    candidates_[size_++] = Candidate{index, 0, 0, static_cast<double>(replica.slots), ramped_slots, 0};
  }
  EstimateLoads();
  DropBusyBorrowed(rejections);
}

void ZoneScan::EstimateLoads() {
  const auto& replicas = snapshot_.Upstreams().Replicas();
  double reported = 0;
  double reporting_slots = 0;
  for (size_t i = 0; i < size_; ++i) {
    const upstreams::LastReportedLoad load = replicas[candidates_[i].replica].live->Load();
    if (load.measured == base::TimePoint{}) continue;
    reported += std::max(static_cast<double>(load.running) + load.queued - load.own_included, 0.0);
    reporting_slots += candidates_[i].ramped_slots;
  }
  const double mean_load_per_slot = reporting_slots > 0 ? reported / reporting_slots : 0;
  for (size_t i = 0; i < size_; ++i) {
    Candidate& candidate = candidates_[i];
    const LoadEstimate estimate = EstimateLoad(*replicas[candidate.replica].live, candidate.ramped_slots,
                                               mean_load_per_slot, request_.now, options_);
    candidate.load = estimate.load;
    candidate.uncertainty = estimate.uncertainty;
  }
}

void ZoneScan::DropBusyBorrowed(Rejections* rejections) {
  size_t kept = 0;
  for (size_t i = 0; i < size_; ++i) {
    Candidate candidate = candidates_[i];
    const upstreams::ReplicaRecord& replica = snapshot_.Upstreams().Replicas()[candidate.replica];
    // A borrower must not queue for lent capacity, because the owner's requests would wait behind it.
    if (replica.partner != request_.partner && candidate.load + 1 > candidate.ramped_slots) {
      ++rejections->share;
      continue;
    }
    candidate.ramped_slots_before = total_ramped_slots_;
    candidates_[kept++] = candidate;
    total_ramped_slots_ += candidate.ramped_slots;
    total_load_ += candidate.load;
  }
  size_ = kept;
}

size_t ZoneScan::PickWeighted(base::Random& random) const {
  const double point = random.Unit() * total_ramped_slots_;
  const auto* const end = candidates_.begin() + size_;
  const auto* const above = std::upper_bound(
      candidates_.begin(), end, point,
      [](double value, const Candidate& candidate) { return value < candidate.ramped_slots_before; });
  return static_cast<size_t>(above - candidates_.begin()) - 1;
}

bool ZoneScan::IsWithinLoadBound(double bound, size_t position) const {
  const Candidate& candidate = candidates_[position];
  // The new request is counted and the bound rounded up; otherwise no replica of an idle zone could be owner.
  return candidate.load + 1 <=
         std::ceil(bound * (total_load_ + 1) * candidate.ramped_slots / total_ramped_slots_);
}

ZoneScan::Owners ZoneScan::FindPrefixOwners(uint64_t prefix, double bound) const {
  const auto& replicas = snapshot_.Upstreams().Replicas();
  Owners owners{size_, size_};
  double first_weight = -1;
  double second_weight = -1;
  for (size_t i = 0; i < size_; ++i) {
    const Candidate& candidate = candidates_[i];
    if (!IsWithinLoadBound(bound, i)) continue;
    const double weight = OwnerWeight(prefix, replicas[candidate.replica].key, candidate.slots);
    if (weight > first_weight) {
      owners.second = owners.first;
      second_weight = first_weight;
      owners.first = i;
      first_weight = weight;
    } else if (weight > second_weight) {
      owners.second = i;
      second_weight = weight;
    }
  }
  return owners;
}

}  // namespace cornelplank::routing

#pragma once

#include <array>

#include "libs/routing/internal/eligibility.h"
#include "libs/routing/internal/estimate.h"

namespace cornelplank::routing {

/// The replicas of the own zone that may serve one request, with their estimated loads. The object is kept on
/// the stack so that a decision allocates no memory. In a zone with more than `kCapacity` usable replicas,
/// candidates are `kCapacity` consecutive ones from a random start.
class ZoneScan {
 public:
  static constexpr size_t kCapacity = 512;

  struct Candidate {
    uint32_t replica = 0;
    double load = 0;                 // estimated requests, running and queued
    double uncertainty = 0;          // standard deviation of `load`, in requests
    double slots = 0;                // slots by the configuration
    double ramped_slots = 0;         // slots that it may use now; fewer during a ramp
    double ramped_slots_before = 0;  // sum over the candidates before it, for weighted picks
  };

  ZoneScan(const RouteRequest& request, const RoutingSnapshot& snapshot, const ScoreOptions& options,
           base::Random& random, Rejections* rejections);

  size_t Size() const { return size_; }
  /// Sums over the candidates: estimated requests, and slots that may be used now.
  double TotalLoad() const { return total_load_; }
  double TotalRampedSlots() const { return total_ramped_slots_; }
  const Candidate& At(size_t position) const { return candidates_[position]; }
  /// Index in the snapshot of an ejected replica that may get its probe request now; no value for none.
  std::optional<uint32_t> Probe() const { return probe_; }
  /// True when all candidates are suspect, because no replica is eligible.
  bool OnlySuspects() const { return only_suspects_; }

  /// Returns the position of a random candidate, weighted by ramped slots. There must be a candidate.
  size_t PickWeighted(base::Random& random) const;

  /// True when the candidate's load per slot with the new request is at most `bound` times the zone's mean.
  bool IsWithinLoadBound(double bound, size_t position) const;

  /// Positions of the owners of a prefix; `Size()` for none.
  struct Owners {
    size_t first = 0;
    size_t second = 0;
  };

  /// Returns the first two candidates in the rendezvous order of the prefix whose load per slot is at most
  /// `bound` times the zone's mean.
  Owners FindPrefixOwners(uint64_t prefix, double bound) const;

 private:
  void Collect(Eligibility wanted, uint32_t start, Rejections* rejections);
  void EstimateLoads();
  void DropBusyBorrowed(Rejections* rejections);

  const RouteRequest& request_;
  const RoutingSnapshot& snapshot_;
  const ScoreOptions& options_;
  std::array<Candidate, kCapacity> candidates_;
  size_t size_ = 0;
  double total_ramped_slots_ = 0;
  double total_load_ = 0;
  std::optional<uint32_t> probe_;
  bool only_suspects_ = false;
};

}  // namespace cornelplank::routing

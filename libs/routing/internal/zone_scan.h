#pragma once

#include <array>

#include "libs/routing/internal/eligibility.h"
#include "libs/routing/internal/estimate.h"

namespace cornelplank::routing {

/// The replicas of the own zone that may serve one request, with their loads. It lives on the stack of a
/// decision. Of zones with more than `kCapacity` replicas a random stretch of that many is considered.
class ZoneScan {
 public:
  static constexpr size_t kCapacity = 512;

  struct Candidate {
    uint32_t replica = 0;
    double load = 0;          // requests
    double uncertainty = 0;   // standard deviation of the load
    double slots = 0;         // of the configuration
    double given = 0;         // slots that it is given now; less during a ramp
    double given_before = 0;  // sum of the given slots of the candidates before it, for weighted picks
  };

  ZoneScan(const RouteRequest& request, const RoutingSnapshot& world, const ScoreOptions& options,
           base::Random& random, Rejections* rejections);

  size_t Size() const { return size_; }
  /// Sums over the candidates, in requests and in given slots.
  double TotalLoad() const { return total_load_; }
  double TotalGiven() const { return total_given_; }
  const Candidate& At(size_t position) const { return candidates_[position]; }
  /// An ejected replica whose probe is due.
  std::optional<uint32_t> Probe() const { return probe_; }
  bool OnlySuspects() const { return only_suspects_; }

  /// Position of a random candidate, with a chance in proportion to its given slots.
  size_t Pick(base::Random& random) const;

  /// True when the candidate's load with the new request is at most `bound` times the mean load per slot.
  bool IsWithin(double bound, size_t position) const;

  /// Positions of candidates, or `Size()` for none.
  struct Owners {
    size_t first = 0;
    size_t second = 0;
  };

  /// The first two candidates in the prefix' rendezvous order whose load stays within the bound, which is
  /// `bound` times the mean load per slot.
  Owners PrefixOwners(uint64_t prefix, double bound) const;

 private:
  void Collect(Eligibility wanted, uint32_t start, Rejections* rejections);
  void EstimateLoads();
  void DropBusyBorrowed(Rejections* rejections);

  const RouteRequest& request_;
  const RoutingSnapshot& world_;
  const ScoreOptions& options_;
  std::array<Candidate, kCapacity> candidates_;
  size_t size_ = 0;
  double total_given_ = 0;
  double total_load_ = 0;
  std::optional<uint32_t> probe_;
  bool only_suspects_ = false;
};

}  // namespace cornelplank::routing

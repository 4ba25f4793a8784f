#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "libs/base/base.h"
#include "libs/fleet/internal/member_table.h"
#include "libs/serving/serving.h"

namespace cornelplank::fleet {

/// A VM whose loads are part of a sum, with the heartbeat in which it reported them.
struct CoveredVm {
  VmAddress address = 0;
  uint32_t heartbeat_count = 0;
};

/// The outstanding work of several VMs at each replica of their region.
struct LoadSum {
  bool whole_region = false;  // of all VMs of the region; else of those of the sender's zone
  base::Duration age{0};      // of the oldest report that it contains
  std::vector<CoveredVm> vms;
  std::vector<serving::ReplicaWork> loads;
};

/// Sizes of the exchange of loads.
struct LoadExchangeSettings {
  /// In a region with at most so many VMs each VM sends its loads to the others itself.
  size_t most_direct_vms = 9;
  size_t direct_fanout = 4;  // VMs that get the loads of each round; a larger region takes turns
  size_t summing_vms = 2;    // in each zone; more than one, so that the loss of one VM changes nothing
  size_t rounds_per_sum = 2;
};

/// Decides which VM sends which loads to which others of the region. In a small region each sends its own to
/// all others, in turns. In a large one a few VMs of each zone, chosen by rendezvous hashing, get the loads
/// of their zone, exchange the sums with those of the region's other zones, and send the sum of the region to
/// the VMs of their own zone. So the age of the loads does not grow with the number of VMs, and one copy goes
/// to each other zone. Not thread-safe; has no network of its own.
class LoadExchange {
 public:
  /// A datagram to some VMs with the own loads or a sum, one of the two.
  struct Message {
    std::vector<VmAddress> targets;
    std::optional<LoadSum> sum;
  };

  LoadExchange(const LoadExchangeSettings& settings, MemberTable& members, serving::ReplicaRegistry& replicas)
      : settings_(settings), members_(members), replicas_(replicas) {}

  /// The messages of one round. `own_count`: the heartbeat count in which the own loads are sent.
  std::vector<Message> NextRound(uint32_t own_count, base::TimePoint now);
  /// The loads that another VM reported of itself.
  void OnLoads(const Member& sender, const std::vector<serving::ReplicaWork>& loads, base::TimePoint now);
  /// A sum that another VM of the region sent.
  void OnSum(const Member& sender, const LoadSum& sum, base::TimePoint now);

 private:
  struct Report {
    uint32_t heartbeat_count = 0;
    std::vector<serving::ReplicaWork> loads;
    base::TimePoint at{};
    // Lasting speeds by replica, from several messages: each contains those of some replicas.
    std::unordered_map<uint32_t, pace::PaceReport> speeds;
  };
  struct ZoneSum {
    LoadSum sum;
    base::TimePoint at{};  // of its oldest report
    base::TimePoint received_at{};
  };

  /// The VMs of a zone that sum its loads; each VM determines them by itself. `zone`: NameKey of its name.
  std::vector<VmAddress> SummingVms(uint32_t zone, base::TimePoint now) const;
  /// The sum of this zone, from the recent reports and the own loads.
  LoadSum SumOfZone(uint32_t own_count, base::TimePoint now) const;
  /// Adds the recent sums of the region's other zones.
  LoadSum SumOfRegion(LoadSum zone, base::TimePoint now) const;
  std::vector<Message> DirectRound(std::vector<VmAddress> vms);

  LoadExchangeSettings settings_;
  MemberTable& members_;
  serving::ReplicaRegistry& replicas_;
  std::map<VmAddress, Report> reports_;    // of VMs of this zone that take this one for a summing VM
  std::map<uint32_t, ZoneSum> zone_sums_;  // of the region's other zones, by NameKey
  std::deque<Report> own_reports_;         // the newest ones, to be taken out of sums that contain them
  std::optional<base::TimePoint> last_region_sum_;
  size_t round_ = 0;
  size_t next_direct_vm_ = 0;  // counts up; modulo the number of VMs it is the next one to get loads
};

}  // namespace cornelplank::fleet

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/fleet/internal/member_table.h"

namespace cornelplank::fleet {

/// One datagram between VMs.
struct Heartbeat {
  Member sender;
  std::vector<Member> members;  // some of those that the sender knows
  std::vector<RegionWaitReport> offers;
  std::optional<std::vector<serving::ReplicaWork>> loads;  // the sender's; within a region only
};

/// Packed Cap'n Proto bytes.
std::string EncodeHeartbeat(const Heartbeat& beat);
/// Nothing when the bytes are no beat.
std::optional<Heartbeat> DecodeHeartbeat(std::string_view bytes);

}  // namespace cornelplank::fleet

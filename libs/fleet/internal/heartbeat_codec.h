#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/fleet/internal/load_exchange.h"
#include "libs/fleet/internal/member_table.h"
#include "libs/fleet/internal/stream_origin_exchange.h"

namespace cornelplank::fleet {

/// One datagram between entry VMs: a sign of life of the sender with what it knows of others.
struct Heartbeat {
  Member sender;
  std::vector<Member> members;                 // a random part of the live VMs that the sender knows
  std::vector<RegionWaitReport> wait_reports;  // of all regions
  std::optional<std::vector<serving::ReplicaWork>> loads;  // the sender's own; only within its region
  serving::QuarantineReport quarantine;                    // prompt parts that crash replicas, of all VMs
  std::vector<serving::LimitStatement> limits;             // of replicas of the own region
  std::optional<LoadSum> load_sum;                         // only within its region
  std::vector<tenancy::QuotaMessage> quotas;               // for the receiver alone
  OriginMessages origins;                                  // for the receiver alone
};

/// Returns the heartbeat as packed Cap'n Proto.
std::string EncodeHeartbeat(const Heartbeat& heartbeat);
/// Returns no value when the bytes are not a valid heartbeat.
std::optional<Heartbeat> DecodeHeartbeat(std::string_view bytes);

}  // namespace cornelplank::fleet

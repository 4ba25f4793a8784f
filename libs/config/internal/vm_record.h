#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/config/internal/reason.h"

namespace cornelplank::config {

/// kLeaving: the VM is shutting down and takes no new requests.
enum class VmState { kLive, kLeaving };

/// A VM as the platform's VM list describes it.
struct VmRecord {
  std::string id;
  std::string partner;
  std::string region;
  std::string zone;
  std::string rpc;           // IP:PORT that accepts connections from other gateway VMs
  std::string http;          // IP:PORT that accepts connections from clients
  uint64_t incarnation = 0;  // grows each time that a VM starts under the same id
  VmState state = VmState::kLive;

  bool operator==(const VmRecord&) const = default;
};

/// The platform's VM list as of `age` ago.
struct VmList {
  std::chrono::milliseconds age{0};
  std::vector<VmRecord> vms;

  bool operator==(const VmList&) const = default;
};

/// Reads the published form {"age_ms","vms":[...]}. Unknown fields are ignored. A faulty record or a
/// duplicate id makes the whole list invalid, because a list without that VM would mean that it was removed.
/// On failure the result is empty and `reason` (may be null) holds kMalformed.
std::optional<VmList> ParseVmList(std::string_view json, ConfigReason* reason);
std::string WriteVmList(const VmList& list);

}  // namespace cornelplank::config

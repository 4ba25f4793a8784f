#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libs/config/internal/names.h"
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

/// The records of a VM list that can't be used. The list says nothing about their VMs.
struct UnusableVmRecords {
  std::set<std::string> ids;  // of the VMs whose record is faulty or contradicted by another one
  bool unnamed = false;       // a record has no id that can be read, so that it may belong to any VM
  Faults faults;
};

/// Reads the published form {"age_ms","vms":[...]}. Unknown fields are ignored. Faulty records and those of
/// an id that is listed twice are left out and described in `unusable` (may be null): a VM without a usable
/// record has not been removed. When the rest of the list is faulty the result is empty and `reason` (may be
/// null) holds kMalformed.
std::optional<VmList> ParseVmList(std::string_view json, ConfigReason* reason,
                                  UnusableVmRecords* unusable = nullptr);
std::string WriteVmList(const VmList& list);

}  // namespace cornelplank::config

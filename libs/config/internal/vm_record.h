#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/config/internal/reason.h"

namespace cornelplank::config {

enum class VmState { kLive, kLeaving };

/// One entry of the platform's VM list.
struct VmRecord {
  std::string id;
  std::string partner;
  std::string region;
  std::string zone;
  std::string rpc;   // IP:PORT of the peers' listener
  std::string http;  // IP:PORT of the clients' listener
  uint64_t incarnation = 0;
  VmState state = VmState::kLive;

  bool operator==(const VmRecord&) const = default;
};

/// The VM list as the platform knew it `age` ago.
struct VmList {
  std::chrono::milliseconds age{0};
  std::vector<VmRecord> vms;

  bool operator==(const VmList&) const = default;
};

/// Reads the published form {"age_ms","vms":[...]}. Unknown fields are ignored. A faulty record or an id
/// given twice fails the whole list: leaving a VM out would read as its removal. Code: kMalformed.
std::optional<VmList> ParseVmList(std::string_view json, ConfigReason* reason);
std::string WriteVmList(const VmList& list);

}  // namespace cornelplank::config

#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/base.h"
#include "libs/fleet/fleet.h"
#include "libs/net/net.h"

namespace cornelplank::entry {

/// Settings of one entry VM; docs/settings.md describes the file.
struct EntrySettings {
  std::string name;
  fleet::VmAddress ip = 0;
  std::string zone;
  std::map<std::string, std::string> zone_regions;  // region of each zone
  std::vector<fleet::VmAddress> seeds;
  int64_t descriptors = 1024;

  net::Tcp::endpoint clients;
  net::Tcp::endpoint readiness;
  net::Tcp::endpoint directory;
  net::Tcp::endpoint beats;  // UDP
  net::Tcp::endpoint hops;
  std::optional<net::Tcp::endpoint> metrics;  // none: not served
  net::Tcp::endpoint store;

  double second_sends = 10;               // burst of second sends that all VMs share
  std::chrono::milliseconds grace{8000};  // from SIGTERM to the end of the process
};

/// Reads and checks the file; nothing and all `faults` when it has any.
std::optional<EntrySettings> LoadEntrySettings(const std::string& path,
                                               std::vector<base::SettingsFault>* faults);

}  // namespace cornelplank::entry

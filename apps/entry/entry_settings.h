#pragma once

#include <chrono>
#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/base.h"
#include "libs/fleet/fleet.h"
#include "libs/net/net.h"

namespace cornelplank::entry {

/// Settings of one entry VM, read from an INI file that docs/settings.md describes.
struct EntrySettings {
  std::string name;
  fleet::VmAddress ip = 0;
  std::string zone;
  std::map<std::string, std::string> zone_regions;  // region of each zone
  std::vector<fleet::VmAddress> seeds;              // VMs to contact as long as no others are known
  double memory_mb = 0;                             // memory that the process may use; 0: unknown
  int64_t descriptors = 1024;                       // file descriptors that the process may open
  size_t header_fields = 256;                       // of a request
  double received_mb = 0;                           // memory for bytes from outside; 0: a share of memory_mb

  // Of the file, from just before it was read; the least time when the file is gone.
  std::filesystem::file_time_type modified_at = std::filesystem::file_time_type::min();

  // Addresses to listen on, by the kind of connection:
  net::Tcp::endpoint clients;
  net::Tcp::endpoint readiness;
  net::Tcp::endpoint directory;
  net::Tcp::endpoint heartbeats;  // UDP
  net::Tcp::endpoint hops;        // forwarded requests, and other VMs' reads of the mirrors of the store
  std::optional<net::Tcp::endpoint> metrics;  // none: metrics are not served

  net::Tcp::endpoint store;  // the platform's store

  // Second sends (retries) of each service that all VMs together may make in a burst.
  double second_send_burst = 10;
  // Times within which a change at the store has to be known to every VM that reaches the store:
  std::chrono::milliseconds change_bound{4000};      // a new configuration
  std::chrono::milliseconds evacuation_bound{4000};  // an evacuated zone
  std::chrono::milliseconds drain_bound{4000};       // a replica that leaves
  tenancy::QuotaBounds quota_bounds;                 // what a tenant may use at most
  // With strict revocation, requests with keys are refused while the configuration is older than the bound.
  bool strict_revocation = false;
  std::chrono::milliseconds revocation_bound{5000};
  // The whole system starts for the first time, so no replica has served anything before.
  bool first_start = false;
  std::chrono::milliseconds grace{8000};  // from SIGTERM to the end of the process
};

/// Greatest number of bytes from outside that the process may hold.
size_t MemoryLimit(const EntrySettings& settings);

/// Reads and checks the settings file. Returns no value, with all faults in `faults`, when it has any.
std::optional<EntrySettings> LoadEntrySettings(const std::string& path,
                                               std::vector<base::SettingsFault>* faults);

}  // namespace cornelplank::entry

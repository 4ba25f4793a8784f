#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::gateway {

/// Settings of one entry VM, read from its INI file. docs/settings.md describes each key.
struct GatewaySettings {
  std::string vm;
  std::string partner;
  std::string region;
  std::string zone;

  std::string clients_listen;
  std::string peers_listen;
  std::string operators_listen;
  std::string clients_advertise;  // empty: the bound address
  std::string peers_advertise;    // empty: the bound address

  std::string platform;            // IP:PORT of the platform's services
  std::vector<std::string> seeds;  // peers' listeners to ask at start

  std::string peers_key;  // shared by all VMs of the fleet
  std::string operators_token;

  size_t max_body_bytes = 0;
  unsigned max_connections = 0;
  unsigned max_hops = 0;  // incoming forwards at once
  std::chrono::milliseconds idle_timeout{0};
  std::chrono::milliseconds default_timeout{0};  // of a request that names none
  std::chrono::milliseconds max_timeout{0};
  std::chrono::milliseconds drain_limit{0};
  std::chrono::milliseconds progress_limit{0};  // between two tokens of an upstream's stream
  std::chrono::milliseconds connect_limit{0};
  std::chrono::milliseconds poll_interval{0};  // of load reports
};

/// Reads and checks the settings. On a fault nothing is returned and `faults` lists all of them.
std::optional<GatewaySettings> LoadGatewaySettings(const std::string& path,
                                                   std::vector<base::SettingsFault>* faults);

}  // namespace cornelplank::gateway

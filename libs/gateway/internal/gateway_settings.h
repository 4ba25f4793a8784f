#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::gateway {

/// Settings of one entry VM, read from its INI file. docs/settings.md describes each key. Addresses are
/// IP:PORT.
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
  std::vector<std::string> seeds;  // peer listeners to get the configuration from at start

  std::string peers_key;        // shared by all VMs of the fleet
  std::string operators_token;  // bearer token of the operator API

  size_t max_body_bytes = 0;                  // of an HTTP request
  unsigned max_connections = 0;               // per HTTP listener
  unsigned max_hops = 0;                      // requests forwarded by peers that are served at once
  std::chrono::milliseconds idle_timeout{0};  // of an HTTP connection without a request
  // Time limit of a request without Request-Timeout-Ms whose class has no deadline.
  std::chrono::milliseconds default_timeout{0};
  std::chrono::milliseconds max_timeout{0};     // upper bound of Request-Timeout-Ms
  std::chrono::milliseconds drain_limit{0};     // longest wait for work in flight at shutdown
  std::chrono::milliseconds progress_limit{0};  // longest silence between two parts of an upstream's answer
  std::chrono::milliseconds connect_limit{0};   // for opening a connection to an upstream
  std::chrono::milliseconds poll_interval{0};   // between two polls of an engine's load
};

/// Reads and checks the settings file. Returns nothing when there are faults; `faults` then lists all of
/// them.
std::optional<GatewaySettings> LoadGatewaySettings(const std::string& path,
                                                   std::vector<base::SettingsFault>* faults);

}  // namespace cornelplank::gateway

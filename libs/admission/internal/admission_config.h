#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "libs/config/config.h"

namespace cornelplank::admission {

/// The guarantees and limits of one priority class of a partner.
struct ClassConfig {
  int priority = 4;       // 0 is served first
  double guaranteed = 0;  // share of the owner's pools, 0 to 1
  size_t max_queue = 0;   // waiting requests per pool and node
  bool may_wait = false;  // queued even when the estimated wait passes the request's deadline
};

/// The classes of a partner, and how much of its own pools it lends to other partners.
struct PartnerConfig {
  std::map<std::string, ClassConfig> classes;
  std::map<std::string, double> lends;  // borrower -> maximum share of each of this partner's pools, 0 to 1
};

/// The capacity of a partner's engines, or of the replicas of one of its services, in one zone.
struct PoolConfig {
  std::string owner;      // the partner that the capacity belongs to
  double zone_slots = 0;  // concurrent requests in the whole zone
};

/// What the admission controller takes from the configuration. Partners and pools are keyed by name.
struct AdmissionConfig {
  std::map<std::string, PartnerConfig> partners;
  std::map<std::string, PoolConfig> pools;
};

/// The name of an upstream's pool: "PARTNER/engine" or "PARTNER/SERVICE".
std::string PoolName(const config::Upstream& upstream);

/// Extracts the partners' classes and the pools of one zone. Upstreams that are leaving add no slots.
AdmissionConfig AdmissionConfigFromDocument(const config::Document& document, const std::string& zone);

}  // namespace cornelplank::admission

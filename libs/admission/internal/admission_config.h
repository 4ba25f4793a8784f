#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "libs/config/config.h"

namespace cornelplank::admission {

/// A partner's terms for one of its priority classes.
struct ClassConfig {
  int priority = 4;       // 0 is served first
  double guaranteed = 0;  // share of the owner's pools, 0 to 1
  size_t max_queue = 0;   // waiting requests per pool
  bool may_wait = false;  // waits for spare capacity; not refused for a long estimated wait
};

struct PartnerConfig {
  std::map<std::string, ClassConfig> classes;
  std::map<std::string, double> lends;  // borrowing partner -> greatest share of each own pool, 0 to 1
};

/// Capacity of one kind that belongs to one partner.
struct PoolConfig {
  std::string owner;      // partner
  double zone_slots = 0;  // requests at once, of the whole zone
};

struct AdmissionConfig {
  std::map<std::string, PartnerConfig> partners;
  std::map<std::string, PoolConfig> pools;
};

/// The pool of an upstream: "PARTNER/engine" or "PARTNER/SERVICE".
std::string PoolName(const config::Upstream& upstream);

/// The terms that a configuration sets for the pools of one zone. Upstreams that are leaving do not count.
AdmissionConfig AdmissionConfigFromDocument(const config::Document& document, const std::string& zone);

}  // namespace cornelplank::admission

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cornelplank::config {

/// The newest document format that this binary can judge.
inline constexpr int kNewestFormat = 1;

enum class Objective { kCost, kLatency };

struct Region {
  std::string partner;
  std::vector<std::string> zones;

  bool operator==(const Region&) const = default;
};

struct Link {
  std::string a;  // region
  std::string b;  // region
  double mbit_s = 0;
  std::chrono::milliseconds one_way{0};

  bool operator==(const Link&) const = default;
};

struct PriorityClass {
  int priority = 4;       // 0 is served first, 7 last
  double guaranteed = 0;  // share of the partner's own capacity, 0 to 1
  int max_queue = 0;      // waiting requests a node may hold
  std::chrono::milliseconds deadline{0};
  bool hedge = false;
  bool may_wait = false;  // waits for spare capacity until its deadline

  bool operator==(const PriorityClass&) const = default;
};

struct Partner {
  Objective objective = Objective::kCost;
  double away_penalty = 0;                       // score units, see docs/routing.md
  std::map<std::string, PriorityClass> classes;  // by name
  std::map<std::string, double> lends;           // borrowing partner -> share of own capacity, 0 to 1

  bool operator==(const Partner&) const = default;
};

/// `allow` holds region names; the word "home" stands for the home region of the request's data.
struct ResidencyRule {
  std::string partner;
  std::vector<std::string> allow;

  bool operator==(const ResidencyRule&) const = default;
};

struct Service {
  std::string partner;
  std::vector<std::string> idempotent_methods;  // HTTP methods that may be repeated

  bool operator==(const Service&) const = default;
};

struct Model {
  std::string partner;
  std::string version;
  double size_gb = 0;
  int min_replicas_per_zone = 0;

  bool operator==(const Model&) const = default;
};

enum class UpstreamKind { kEngine, kService };

struct Upstream {
  std::string partner;
  std::string region;
  std::string zone;
  std::string address;  // IP:PORT
  UpstreamKind kind = UpstreamKind::kEngine;
  std::string service;  // only for kService
  int slots = 1;        // requests it runs at once
  double price = 0;     // cost units per 1,000 tokens or per call
  bool checks_fence = false;
  bool checks_orderer = false;
  std::vector<std::string> models;  // only for kEngine
  bool leaving = false;

  bool operator==(const Upstream&) const = default;
};

/// One valid configuration. The maps are keyed by name or id.
struct Document {
  int format = kNewestFormat;
  std::map<std::string, Region> regions;
  std::vector<Link> links;
  std::map<std::string, Partner> partners;
  std::map<std::string, ResidencyRule> residency;
  std::map<std::string, Service> services;
  std::map<std::string, Model> models;
  std::map<std::string, Upstream> upstreams;

  bool operator==(const Document&) const = default;
};

/// A point of the configuration's history.
struct Version {
  uint64_t seq = 0;     // sequence number of the last processed log entry
  uint64_t number = 0;  // raised by accepted entries only
  std::string digest;   // chained digest of all entries up to `seq`

  bool operator==(const Version&) const = default;
};

}  // namespace cornelplank::config

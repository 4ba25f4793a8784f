#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cornelplank::config {

/// The newest document format that this binary can read and check.
inline constexpr int kNewestFormat = 1;

/// What routing minimizes for a partner's requests.
enum class Objective { kCost, kLatency };

/// A region of one partner and its availability zones.
struct Region {
  std::string partner;  // name of the partner that owns the region
  std::vector<std::string> zones;

  bool operator==(const Region&) const = default;
};

/// A network link between two regions.
struct Link {
  std::string a;                         // region
  std::string b;                         // region
  double mbit_s = 0;                     // bandwidth in Mbit/s
  std::chrono::milliseconds one_way{0};  // latency in one direction

  bool operator==(const Link&) const = default;
};

/// How requests of a priority class are queued, timed and sent.
struct PriorityClass {
  int priority = 4;                       // 0 is served first, 7 last
  double guaranteed = 0;                  // share of the partner's own capacity, 0 to 1
  int max_queue = 0;                      // requests that may wait in the queue of a node
  std::chrono::milliseconds deadline{0};  // timeout of requests that name none
  bool hedge = false;                     // late requests may be sent to a second upstream (hedging)
  bool may_wait = false;                  // waits for spare capacity until its deadline

  bool operator==(const PriorityClass&) const = default;
};

/// The settings of a partner, the owner of clients, regions and upstreams.
struct Partner {
  Objective objective = Objective::kCost;
  double away_penalty = 0;                       // score units, see docs/routing.md
  std::map<std::string, PriorityClass> classes;  // by name
  std::map<std::string, double> lends;  // borrowing partner -> share of own capacity lent to it, 0 to 1

  bool operator==(const Partner&) const = default;
};

/// The regions where a request's data may be processed. `allow` holds region names; the word "home" stands
/// for the home region of the request's data.
struct ResidencyRule {
  std::string partner;
  std::vector<std::string> allow;

  bool operator==(const ResidencyRule&) const = default;
};

/// An HTTP service that upstreams of kind kService provide.
struct Service {
  std::string partner;
  std::vector<std::string> idempotent_methods;  // HTTP methods that are safe to retry

  bool operator==(const Service&) const = default;
};

/// A model that engines load and run.
struct Model {
  std::string partner;
  std::string version;  // version of the weights
  double size_gb = 0;   // size of the weights in GB
  int min_replicas_per_zone = 0;

  bool operator==(const Model&) const = default;
};

/// kEngine runs models; kService is an instance of a `Service`.
enum class UpstreamKind { kEngine, kService };

/// A back end that the gateway sends requests to.
struct Upstream {
  std::string partner;
  std::string region;
  std::string zone;
  std::string address;  // IP:PORT
  UpstreamKind kind = UpstreamKind::kEngine;
  std::string service;              // only for kService
  int slots = 1;                    // requests it runs concurrently
  double price = 0;                 // cost units per 1,000 tokens or per call
  bool checks_fence = false;        // refuses orders with a lower fence than one it has accepted
  bool checks_orderer = false;      // accepts orders from configured orderers only
  std::vector<std::string> models;  // only for kEngine
  bool leaving = false;             // gets no new requests

  bool operator==(const Upstream&) const = default;
};

/// A complete configuration that satisfies the rules of its format. The maps are keyed by name or id.
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

/// A position in the configuration's history.
struct Version {
  uint64_t seq = 0;     // sequence number of the last processed log entry
  uint64_t number = 0;  // version number; each accepted entry raises it by one
  std::string digest;   // hash chain over all entries up to `seq`

  bool operator==(const Version&) const = default;
};

}  // namespace cornelplank::config

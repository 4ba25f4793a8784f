#pragma once

#include <functional>
#include <memory>
#include <string>

#include "libs/net/net.h"
#include "libs/serving/internal/replica_registry.h"

namespace cornelplank::serving {

/// Keeps the registry's ReplicaLinks up to date, and opens connections to replicas of the own region where
/// they have to be probed. The connections go to the pool, where requests use them.
class LinkProber {
 public:
  /// `on_change` is called when the links have been lost or are back. All references must outlive the prober.
  LinkProber(net::asio::io_context& loop, const base::Clock& clock, ReplicaRegistry& registry,
             net::ConnectionPool& pool, std::string own_region, std::function<void()> on_change)
      : loop_(loop),
        clock_(clock),
        registry_(registry),
        pool_(pool),
        own_region_(std::move(own_region)),
        on_change_(std::move(on_change)) {}

  /// Never returns.
  net::Task<> Run();

 private:
  /// The replicas that requests of this VM may go to.
  std::vector<std::shared_ptr<TrackedReplica>> Candidates() const;
  void Probe(std::vector<std::shared_ptr<TrackedReplica>> candidates);
  net::Task<> Connect(net::Tcp::endpoint endpoint, uint32_t replica_key);

  net::asio::io_context& loop_;
  const base::Clock& clock_;
  ReplicaRegistry& registry_;
  net::ConnectionPool& pool_;
  std::string own_region_;
  std::function<void()> on_change_;
  base::Random random_{base::EntropySeed()};
};

}  // namespace cornelplank::serving

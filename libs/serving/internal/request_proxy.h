#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "libs/net/net.h"
#include "libs/retry/retry.h"
#include "libs/serving/internal/adaptive_admission.h"
#include "libs/serving/internal/hop_directory.h"
#include "libs/serving/internal/message_codec.h"
#include "libs/serving/internal/placement.h"
#include "libs/serving/internal/replica_registry.h"
#include "libs/serving/internal/request_observer.h"

namespace cornelplank::serving {

/// Counts of one process since its start.
struct ProxyCounters {
  uint64_t requests = 0;
  uint64_t answered = 0;  // whole answers of replicas, errors included
  uint64_t refused = 0;   // own 503
  uint64_t failed = 0;    // own 502, 504 and answers broken off
  uint64_t client_gone = 0;
  uint64_t second_sends = 0;
  uint64_t hops = 0;
};

/// What the engine works with. All references outlive it.
struct ProxyDependencies {
  net::asio::io_context& loop;
  const base::Clock& clock;
  const MessageCodec& dialect;
  ReplicaRegistry& table;
  HopDirectory& hops;
  Placer& placer;
  net::ConnectionPool& replicas;
  net::ConnectionPool& peers;
  RequestObserver* observer = nullptr;  // may be left out
};

class ProxiedRequest;

/// Serves requests: finds the route, chooses replicas, sends, repeats where that is allowed, and answers.
/// One instance serves clients and, through `ServeHop`, the entry VMs of other regions.
class RequestProxy final : public net::RequestHandler {
 public:
  explicit RequestProxy(const ProxyDependencies& parts) : parts_(parts) {}

  net::Task<> Handle(net::Request& request, net::ResponseWriter& writer) override;
  /// Gives up attempts at replicas that have gone silent. Runs as long as the loop.
  net::Task<> RunSilenceChecks();
  net::Task<> ServeHop(net::Request& request, net::ResponseWriter& writer);

  /// Second sends that this VM may make at once per service; further ones follow its requests.
  void SetSecondSendBurst(double burst);
  const ProxyCounters& counters() const { return counters_; }

 private:
  friend class ProxiedRequest;

  /// Second sends per request. All VMs together may make `budget_ratio` (0.2) of the requests.
  static constexpr double kSecondSendRatio = 0.15;

  retry::ExtraAttemptBudget& Budget(const std::string& service);
  AdaptiveAdmission& Gate(const std::string& service, int priority) { return gates_[{service, priority}]; }

  ProxyDependencies parts_;
  std::map<std::string, retry::ExtraAttemptBudget> budgets_;
  std::map<std::pair<std::string, int>, AdaptiveAdmission> gates_;
  base::Random random_{base::EntropySeed()};
  double burst_ = 2;
  ProxyCounters counters_;
  // Shared, as tasks of exchanges may be destroyed after the engine.
  std::shared_ptr<std::set<ProxiedRequest*>> exchanges_ = std::make_shared<std::set<ProxiedRequest*>>();
};

/// Serves hops on the peers' listener.
class HopHandler final : public net::RequestHandler {
 public:
  explicit HopHandler(RequestProxy& engine) : engine_(engine) {}
  net::Task<> Handle(net::Request& request, net::ResponseWriter& writer) override {
    co_await engine_.ServeHop(request, writer);
  }

 private:
  RequestProxy& engine_;
};

}  // namespace cornelplank::serving

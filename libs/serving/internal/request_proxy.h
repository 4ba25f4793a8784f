#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "libs/net/net.h"
#include "libs/retry/retry.h"
#include "libs/serving/internal/adaptive_admission.h"
#include "libs/serving/internal/completion_estimate.h"
#include "libs/serving/internal/hop_directory.h"
#include "libs/serving/internal/message_codec.h"
#include "libs/serving/internal/placement.h"
#include "libs/serving/internal/prompt_quarantine.h"
#include "libs/serving/internal/quota_gate.h"
#include "libs/serving/internal/replica_registry.h"
#include "libs/serving/internal/request_observer.h"
#include "libs/serving/internal/stream_origins.h"

namespace cornelplank::serving {

/// Numbers of requests since the start of the process.
struct ProxyCounters {
  uint64_t requests = 0;  // received from clients
  uint64_t answered = 0;  // complete responses of replicas, error responses included
  uint64_t refused = 0;   // local responses to requests that have not run, except `denied`
  uint64_t failed = 0;    // local 502 and 504, and responses aborted after they had begun
  uint64_t client_gone = 0;
  uint64_t second_sends = 0;         // retries after an attempt whose bytes may have reached a replica
  uint64_t hops = 0;                 // attempts forwarded to another VM
  uint64_t own_region_hops = 0;      // of these, to a VM of the own region
  uint64_t denied = 0;               // local 404, no route matches, and local 401, no tenant has the key
  base::Duration max_denial_age{0};  // greatest age of a configuration that a request was denied by
  // Requests of clients that resume a stream:
  uint64_t resumed_streams = 0;         // whose rest began
  uint64_t resumptions_of_unknown = 0;  // refused: nobody knows at which software version they began
  uint64_t resumptions_of_gone = 0;     // refused: that version serves no longer
};

/// The objects that a RequestProxy uses. All must outlive it.
struct ProxyDependencies {
  net::asio::io_context& loop;
  const base::Clock& clock;
  const MessageCodec& codec;
  ReplicaRegistry& registry;
  HopDirectory& hops;
  Placer& placer;
  net::ConnectionPool& replica_pool;
  net::ConnectionPool& peer_pool;  // connections to entry VMs of other regions
  RequestObserver* observer = nullptr;
  PromptQuarantine* quarantine =
      nullptr;                 // null: requests are sent whatever their prompt parts did to replicas
  QuotaGate* quota = nullptr;  // null: tenants' quotas don't limit requests
  StreamOrigins* stream_origins = nullptr;  // null: only the history of software versions is known
};

class ProxiedRequest;

/// Proxies requests: matches the route, chooses replicas, sends, retries where the route allows it, and
/// responds. One instance serves clients through `Handle` and entry VMs of other regions through `ServeHop`.
class RequestProxy final : public net::RequestHandler {
 public:
  explicit RequestProxy(const ProxyDependencies& deps) : deps_(deps) {}

  net::Task<> Handle(net::Request& request, net::ResponseWriter& writer) override;
  net::ResponseHead MakeRefusal(const net::Request& request, std::chrono::milliseconds retry_after) override;
  /// Periodically cancels attempts at replicas that have gone silent, so that they are retried. Never
  /// returns.
  net::Task<> RunSilenceChecks();
  /// Serves a request that an entry VM of another region forwarded. It is not forwarded again.
  net::Task<> ServeHop(net::Request& request, net::ResponseWriter& writer);

  /// The head of the response to a hop that is refused before its body has been read.
  net::ResponseHead MakeHopRefusal(const net::Request& request, std::chrono::milliseconds retry_after) const;

  /// Sets how many second sends (retries) of each service this VM may make in a burst. Beyond the burst they
  /// are limited to a fixed fraction of the requests.
  void SetSecondSendBurst(double burst);
  /// Sets the age of the configuration beyond which requests with keys are refused; none: a VM that can't
  /// reach the store accepts the keys of the configuration that it has.
  void SetKeyAgeBound(std::optional<std::chrono::milliseconds> bound) { key_age_bound_ = bound; }
  /// From now on refuses requests, as not run, that are not expected to end before `end`, when the VM exits.
  void BeginStop(base::TimePoint end) { stops_at_ = end; }
  /// Ends all requests in progress: those without a response are answered with 502, or with 503 when they
  /// have not been sent to a replica. Later ones are refused.
  void EndRequests();
  const ProxyCounters& counters() const { return counters_; }

 private:
  friend class ProxiedRequest;

  /// Second sends per request. All VMs together may make `budget_ratio` (0.2) of the requests.
  static constexpr double kSecondSendRatio = 0.15;

  /// Waits a short time for a confirmation of the configuration after the process was suspended, as newer
  /// versions may not have been read yet. Returns at once in all other cases.
  net::Task<> AwaitConfirmedConfig();
  /// Waits a short time while a newer configuration, or the confirmation of the one in force, may be on its
  /// way.
  net::Task<> AwaitFinalDenial(base::TimePoint received_at, const net::ResponseWriter& writer);
  /// Responds to a request that `config` has no route or no tenant for: with `status`, or with 503 when a
  /// newer version may have one.
  net::Task<> Deny(const RequestInfo& request, const RoutingConfig& config, unsigned status,
                   net::ResponseWriter& writer);
  /// Whether requests may be served because of their key: the configuration in force is the newest one as far
  /// as that can be known, and not older than the bound if there is one.
  bool MayAcceptKeys(base::TimePoint now) const;
  /// The head of a 503 to a request that may not have been decoded.
  net::ResponseHead MakeUndecodedRefusal(const net::Request& request,
                                         std::chrono::milliseconds retry_after) const;
  retry::ExtraAttemptBudget& RetryBudget(const std::string& service);
  AdaptiveAdmission& Admission(const std::string& service, int priority) {
    return admissions_[{service, priority}];
  }

  ProxyDependencies deps_;
  std::map<std::string, retry::ExtraAttemptBudget> budgets_;             // by service
  std::map<std::pair<std::string, int>, AdaptiveAdmission> admissions_;  // by service and priority
  CompletionEstimate completion_times_;
  std::optional<base::TimePoint> stops_at_;  // when the VM exits; none while it is not stopping
  bool ended_ = false;                       // EndRequests was called
  base::Random random_{base::EntropySeed()};
  double second_send_burst_ = 2;
  std::optional<std::chrono::milliseconds> key_age_bound_;
  ProxyCounters counters_;
  // Shared, because coroutines that hold a ProxiedRequest may be destroyed after the proxy.
  std::shared_ptr<std::set<ProxiedRequest*>> active_requests_ = std::make_shared<std::set<ProxiedRequest*>>();
};

/// Handles requests at the listener for entry VMs of other regions: passes them to `ServeHop`.
class HopHandler final : public net::RequestHandler {
 public:
  explicit HopHandler(RequestProxy& proxy) : proxy_(proxy) {}
  net::Task<> Handle(net::Request& request, net::ResponseWriter& writer) override {
    co_await proxy_.ServeHop(request, writer);
  }
  net::ResponseHead MakeRefusal(const net::Request& request, std::chrono::milliseconds retry_after) override {
    return proxy_.MakeHopRefusal(request, retry_after);
  }

 private:
  RequestProxy& proxy_;
};

}  // namespace cornelplank::serving

#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "tests/platform/fake_store.h"
#include "tests/platform/wire.h"
#include "tests/soak/rate_check.h"
#include "tests/soak/statement_check.h"

namespace cornelplank::soak {

using base::Duration;
using base::TimePoint;

/// Staleness that a VM is allowed: a replica may be reached if a configuration of this span allowed it. VMs
/// and the store count as disturbed for the same span after a fault.
constexpr std::chrono::seconds kStaleLimit{5};

/// The timeout of all routes.
constexpr std::chrono::seconds kRouteTimeout{3};

inline TimePoint Now() { return std::chrono::steady_clock::now(); }

/// What the checks need to know about the VMs and the store.
class FaultView {
 public:
  virtual ~FaultView() = default;
  /// Whether the VM was frozen or killed, or any VM of `region` if that is another one, at some time since
  /// `since`.
  virtual bool Disturbed(int vm, const std::string& region, TimePoint since) const = 0;
  /// Whether the store did not serve at some time since `since`.
  virtual bool StoreDisturbed(TimePoint since) const = 0;
  /// Whether the incarnation of the VM has got SIGTERM and was not killed.
  virtual bool ShuttingDown(int vm, int incarnation) const = 0;
  /// Whether the VM's process has been starting, stopping or down at some time since `since`.
  virtual bool Restarted(int vm, TimePoint since) const = 0;
  virtual std::string RegionOf(int vm) const = 0;
  /// The region of a VM and how long its process runs, for messages.
  virtual std::string Describe(int vm) const = 0;
};

/// One request of a client and what became of it.
struct Request {
  std::string id;
  std::string route;
  bool at_most_once = false;
  bool always_present = true;  // its route is part of every configuration
  int vm = 0;                  // the VM to which the client sent it
  int incarnation = 0;         // of that VM
  TimePoint sent;
  int runs = 0;                    // replicas that began to work on it
  std::string run_region;          // where it ran last
  std::set<std::string> statuses;  // signed statuses that replicas answered
  bool replica_failed = false;     // a replica broke its answer off or sent bytes that don't belong to it
  unsigned refused = 0;            // the status that promised that it has not run
};

/// What a client received. Status 0: no complete head arrived.
struct Result {
  unsigned status = 0;
  bool complete = false;   // the response ended as HTTP prescribes
  bool timed_out = false;  // the client gave up
  std::string request_id;
  std::string signature;
  std::string body;
  std::string fault;
};

/// The bytes that belong to a request: the body that a client sends, and what a replica answers.
std::string RequestBody(const std::string& id);
std::string ResponseBody(const std::string& id);
uint64_t EventCount(const std::string& id);
std::string EventText(const std::string& id, uint64_t number);
/// The signature that the replica `replica` gives its answer to the request.
std::string Signature(const std::string& id, const std::string& replica);

/// Knows every configuration and request of a run, checks what clients and replicas see and counts it.
class Ledger {
 public:
  explicit Ledger(const FaultView& faults) : faults_(faults), start_(Now()) {}

  void AddConfig(const serving::RoutingConfig& config) { versions_.emplace_back(Now(), config); }
  const serving::RoutingConfig& config() const { return versions_.back().second; }

  void BeginRequest(const Request& request);
  /// A replica begins to work on a request.
  void OnRun(const std::string& id, const std::string& target, const std::string& body,
             const std::string& service, const std::string& region);
  /// A request reaches a replica, which may refuse it.
  void OnArrival(const std::string& id, const std::string& replica, const std::string& region);
  /// A response of the replica to the request states that the replica leaves, or with `push_back` that it
  /// wants nothing for a time.
  void OnStatement(const std::string& id, const std::string& replica, const std::string& region,
                   std::optional<Duration> push_back);
  /// The replica has started again.
  void OnReplicaStart(const std::string& replica) { statements_.OnRestart(replica); }
  /// Limits of replicas and what reaches them.
  RateCheck& rates() { return rates_; }
  /// A replica answers the request with a signed status.
  void OnReplicaStatus(const std::string& id, unsigned status);
  void OnReplicaFailed(const std::string& id);
  void OnResult(const std::string& id, const Result& result);

  /// Records that a check failed and prints it.
  void Fail(const std::string& check, const std::string& id, const std::string& detail);
  void Count(const std::string& name) { ++counts_[name]; }
  uint64_t failures() const { return failures_; }
  uint64_t count(const std::string& name) const;
  void PrintCounts() const;
  double Seconds() const { return std::chrono::duration<double>(Now() - start_).count(); }

 private:
  Request* Find(const std::string& id);
  /// Whether all configurations in force within `kStaleLimit` have the route.
  bool PresentLately(const std::string& route) const;
  /// Time since a configuration that lets the route's requests go to the region was last in force; no value
  /// if none ever did.
  std::optional<Duration> AgeOfPermission(const std::string& route, const std::string& region) const;
  /// The VM that sent the request to a replica in `region`; none when another VM forwarded it.
  std::optional<StatementCheck::Pair> SenderOf(const Request& request, const std::string& replica,
                                               const std::string& region) const;
  void CheckPlacement(const Request& request, const std::string& region);
  void CheckSuccess(const Request& request, const Result& result);
  void CheckLoss(const Request& request, const Result& result);

  const FaultView& faults_;
  TimePoint start_;
  std::deque<std::pair<TimePoint, serving::RoutingConfig>> versions_;
  std::unordered_map<std::string, Request> requests_;
  std::deque<std::string> order_;  // ids in the order of their requests
  RateCheck rates_;
  StatementCheck statements_;
  std::map<std::string, uint64_t> counts_;
  uint64_t failures_ = 0;
  // Greatest age of a configuration that a request was placed by, without and after faults.
  Duration max_age_{};
  Duration max_age_after_faults_{};
};

}  // namespace cornelplank::soak

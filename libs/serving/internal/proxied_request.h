#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/serving/internal/attempt_policy.h"
#include "libs/serving/internal/request_identity.h"
#include "libs/serving/internal/request_proxy.h"
#include "libs/serving/internal/sse_event_splitter.h"

namespace cornelplank::serving {

/// One client request from its arrival to its final response. Makes one attempt after the other until a
/// response is complete, the request must not be sent again, or its time is up.
class ProxiedRequest {
 public:
  /// `hop`: set when an entry VM of another region forwarded the request. It is then sent to at most one
  /// replica of this region and not forwarded again. `received_at`: when the request arrived.
  ProxiedRequest(RequestProxy& proxy, std::shared_ptr<const RoutingConfig> config, const RouteConfig& route,
                 std::string service, const RequestInfo& info, net::Request& request,
                 net::ResponseWriter& writer, base::TimePoint received_at, std::optional<HopParameters> hop);

  ~ProxiedRequest();
  ProxiedRequest(const ProxiedRequest&) = delete;
  ProxiedRequest& operator=(const ProxiedRequest&) = delete;

  net::Task<> Run();
  /// Cancels the current attempt when its next bytes are overdue, its replica makes no progress with any
  /// other response either, and another attempt can be made now. Requests at a replica that is only busy stay
  /// in its queue.
  void CheckSilence(base::TimePoint now);
  /// Ends the current attempt, if there is one.
  void CancelAttempt();

 private:
  /// A complete error response of a replica, kept until it is clear that no other attempt follows.
  struct HeldResponse {
    net::ResponseHead head;
    std::string body;
    net::MemoryAccount::Charge charge;  // of the body
  };

  /// What a send takes from a tenant's quota.
  struct Charge {
    tenancy::Tenant tenant;
    double cost = 0;
  };
  /// A charge that is being acquired while an attempt is in progress.
  struct Reservation {
    bool pending = true;
    bool abandoned = false;  // the charge is to be given back
    std::optional<Charge> charge;
    base::Duration retry_after{0};
  };

  PlacementQuery MakePlacementQuery() const;
  /// Whether the client resumes a stream that an earlier attempt of it began.
  bool ResumesStream() const {
    return route_.kind == RequestKind::kStream && request_info_.last_event_id.has_value();
  }
  /// Hash64 of the names of the services that the route may send to.
  std::vector<uint64_t> ServiceKeys() const;
  /// Binds a request that resumes a stream to the software version that began it, and to its service. Returns
  /// false, with the reason set, when the stream can't go on.
  net::Task<bool> BindToOrigin();
  /// Whether a further attempt may be made as far as software versions are concerned: a stream that has begun
  /// is bound to one. Sets the reason otherwise.
  bool CheckSoftware();
  /// Whether the attempt's replica still has the software that the stream is bound to. It may have restarted
  /// since it was chosen.
  bool CheckReplicaSoftware();
  /// Binds the stream, whose first event in this attempt has arrived, to the attempt's software, and records
  /// it.
  void RecordOrigin();
  /// Whom the request belongs to by `config`, of which `route` need not be a part.
  RequestIdentity Identify(const RoutingConfig& config, const RouteConfig& route) const;
  /// By the configuration in force now.
  RequestIdentity NewestIdentity() const;
  /// Where the data may be processed, by the request's configuration and by the one in force now. Valid until
  /// the next configuration comes into force.
  DataResidency Residency() const;
  /// Whether the configuration in force now lets the request be sent for its tenant, whom it sets. Sets the
  /// reason otherwise. To be called before each send, as keys may be removed while a request waits.
  bool CheckIdentity();
  /// The charge for one send by the configuration in force now; none without a quota.
  std::optional<Charge> NextCharge() const;
  /// Acquires the charge for the next send unless there is one that no send has used. Returns false, with the
  /// reason set, when the quota doesn't allow the send.
  net::Task<bool> AcquireQuota();
  /// Gives back the charge that no send has used.
  void ReturnCharge();
  /// Drops the charge of the attempt that has ended if it `may_have_run`; it serves for the next one
  /// otherwise.
  void SettleCharge(bool may_have_run);
  /// Whether the charge for one more send has been acquired; begins to acquire it otherwise. Used before an
  /// attempt is cancelled, since a late response is better than one refused for the quota.
  bool ReserveQuota(base::TimePoint now);
  /// Value for AttemptParameters and HopParameters.
  std::optional<std::string> TenantToSend() const;
  base::Duration TimeLeft() const { return deadline_ - deps_.clock.Now(); }
  /// The work that the request adds to the replica of `placement`.
  OutstandingWork EstimateWork(const Placement& placement) const;
  /// Time without a byte after which the attempt counts as silent.
  base::Duration SilenceLimit() const;
  /// Whether admission control lets the request pass. It applies to requests of clients to model engines.
  bool TryAdmit();
  /// Reports to admission control, once, whether the response began within the route's target latency.
  void ReportTimeliness(bool in_time);
  /// Reports a request as late that ends after its target latency without any event.
  void ReportMissedTarget();
  bool MayRetry() const;
  /// Whether the VM exits before the request can be expected to end.
  bool OutlastsVm() const;
  /// Records what the response of an attempt says about its replica rather than about the request.
  void RecordReplicaStatements(const ResponseInfo& info);
  /// Learns the replica's speed from `count` events that have just arrived.
  void RecordEvents(uint32_t count);
  /// Compares the course of the attempt, which has ended, with its forecast.
  void RecordCourse(const Placement& placement, AttemptOutcome outcome);
  /// The final step when no attempt may follow for a reason other than the outcome of the last one.
  NextStep LastStep() const;
  /// Whether a part of the prompt is known to crash replicas, so that the request must not be sent now.
  bool IsQuarantined();
  /// Whether the attempt that has ended with `outcome` shows that its replica crashed before the first event.
  bool CrashedBeforeAnswer(AttemptOutcome outcome) const;

  /// Runs the request up to its final step.
  net::Task<> RunToEnd();
  /// Ends the attempt and gives back what no send has used, after an exception.
  void Abandon();
  /// Picks a VM of the region to forward the request to, in the own region one that has not been tried.
  std::optional<net::Tcp::endpoint> PickHopTarget(const std::string& region);
  /// Excludes a VM that has not served the request, or its region, from further attempts.
  void OnHopFailed(const std::string& region, const net::Tcp::endpoint& vm);
  /// Makes one attempt: connects, sends the request and relays the response.
  net::Task<AttemptOutcome> RunAttempt(Placement placement);
  /// The request as it is sent to the replica or the VM of `placement`. Its body is shared, not copied.
  net::Request EncodeOutgoing(const Placement& placement, base::Duration left) const;
  /// Sends the request over a connected `call` and relays the response to the client. An error response is
  /// kept in `held_error_` instead.
  net::Task<AttemptOutcome> SendAndRelay(net::HttpCall& call, const Placement& placement);
  /// Reads the whole body of a response as there is memory for it. Returns false when the response breaks
  /// off, is too long or finds no memory in time.
  net::Task<bool> ReadWholeBody(net::HttpCall& call, HeldResponse* response);
  /// Raises the charge of bytes of the attempt's response to `bytes`. The replica doesn't count as silent
  /// while that has to wait. Returns false when there is no memory in time.
  net::Task<bool> AcquireMemory(net::MemoryAccount::Charge& charge, size_t bytes);
  net::Task<AttemptOutcome> RelayStream(net::HttpCall& call, net::ResponseHead head);
  /// Forwards the complete events in `splitter_` that the client does not have yet. Returns false when the
  /// client has left, or when events are missing; `in_order` is then set to false.
  net::Task<bool> RelayEvents(const net::ResponseHead& head, bool* in_order);
  /// Sends the head of the stream unless it has been sent; false when the client has left.
  net::Task<bool> StartStream(const net::ResponseHead& head);
  /// Takes the final step: counts and logs the request and sends what is left to send.
  net::Task<> Finish(NextStep step);
  /// Status of the response to a request that has not run.
  unsigned RefusalStatus() const;
  net::Task<> SendLocalResponse(unsigned status, bool not_run);
  base::Duration RetryAfter() const;
  /// Updates the load and health of the attempt's replica.
  void RecordAttempt(const Placement& placement, AttemptOutcome outcome);
  void LogAttempt(const Placement& placement, AttemptOutcome outcome, const net::HttpCall& call) const;
  void LogRequestEnd(const char* outcome, unsigned status) const;
  void NotifyObserver(const char* outcome) const;

  RequestProxy& proxy_;
  std::shared_ptr<std::set<ProxiedRequest*>> active_requests_;
  const ProxyDependencies& deps_;
  std::shared_ptr<const RoutingConfig> config_;
  const RouteConfig& route_;
  std::string service_;
  const RequestInfo& request_info_;
  net::Request& request_;
  net::ResponseWriter& writer_;
  std::optional<HopParameters> hop_;

  base::TimePoint received_at_;
  base::TimePoint deadline_;  // for the end of the response
  RequestProgress progress_;
  std::vector<std::string> tried_replicas_;
  std::vector<std::string> tried_regions_;
  std::vector<net::Tcp::endpoint> tried_vms_;  // hops to them failed
  std::shared_ptr<net::HttpCall> call_;        // of the current attempt
  std::optional<HeldResponse> held_error_;
  SseEventSplitter splitter_;
  std::optional<uint64_t> last_event_id_;  // of the last event that the client has
  bool ids_consecutive_ = true;            // each event id so far was the one before plus 1
  bool prefill_done_ = false;              // an event of the attempt has arrived
  bool withheld_ = false;                  // the attempt was connected, but its region is no longer allowed
  bool broke_off_ = false;             // the attempt's stream ended with its connection before it was whole
  bool awaiting_first_event_ = false;  // the attempt has brought neither an event nor a whole response
  bool awaiting_bytes_ = false;        // from the replica; false while bytes are written to the client
  bool second_send_reserved_ = false;  // taken from the budget before the attempt that it is for
  base::TimePoint last_bytes_at_{};    // of the attempt; at first the time at which it was sent
  base::TimePoint sent_at_{};          // of the attempt
  base::TimePoint first_event_at_{};   // of the attempt
  std::optional<pace::Forecast> forecast_;  // of the first attempt, once it has a course to compare it with
  pace::Course course_;
  base::TimePoint last_event_at_{};  // of the attempt
  base::Duration longest_pause_{0};  // between two events of the attempt
  base::TimePoint window_at_{};      // when the last event before the window of events arrived
  uint32_t window_events_ = 0;       // events since then
  uint64_t prefill_ahead_ = 0;  // prompt tokens at the replica when it was sent the attempt, own included
  base::TimePoint first_byte_at_{};           // of the response to the client
  std::shared_ptr<TrackedReplica> replica_;   // of the attempt; null for a hop
  OutstandingWork work_;                      // of the attempt
  std::optional<uint64_t> software_;          // SoftwareKey that the stream is bound to
  std::optional<uint64_t> attempt_software_;  // of the attempt's replica, as far as it is known
  std::string served_by_;                     // replica or region of the last attempt
  bool timeliness_pending_ = false;           // admitted, but not yet reported as in time or late
  std::optional<uint32_t> checked_sends_;     // number of sends at the last check of the quarantine
  std::vector<uint64_t> shared_parts_;        // ids of the prompt parts that other requests may have too
  RequestIdentity identity_;                  // by `config_`
  int priority_ = 0;                          // of the tenant or the route
  std::string tenant_name_;                   // as last looked up; empty: of no tenant
  std::optional<Charge> charge_;              // acquired, and not used by a send yet
  std::optional<Charge> attempt_charge_;      // of the attempt, once it is sent
  std::shared_ptr<Reservation> reservation_;
  base::TimePoint reserve_after_{};      // no reservation is made before
  base::Duration quota_retry_after_{0};  // set with the refusal reason
  bool turned_away_ = false;             // a replica or a VM of another region has refused it as not run
  std::optional<base::Duration> hop_retry_after_;  // of the last region that refused it
  base::Duration quarantine_left_{0};  // until a request with the prompt's condemned part may be tried
  RefusalReason refusal_reason_ = RefusalReason::kNone;
  base::Duration expected_first_byte_{0};  // estimate for the last placement, from the time of its choice
};

}  // namespace cornelplank::serving

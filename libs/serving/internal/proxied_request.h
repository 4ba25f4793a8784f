#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/serving/internal/attempt_policy.h"
#include "libs/serving/internal/request_proxy.h"
#include "libs/serving/internal/sse_event_splitter.h"

namespace cornelplank::serving {

/// One request from its arrival to its final answer.
class ProxiedRequest {
 public:
  /// `hop`: set when another entry VM passed the request on. It then runs in this region or not at all.
  ProxiedRequest(RequestProxy& engine, std::shared_ptr<const RoutingConfig> config, const RouteConfig& route,
                 std::string service, const RequestInfo& client, net::Request& request,
                 net::ResponseWriter& writer, std::optional<HopParameters> hop);

  ~ProxiedRequest();
  ProxiedRequest(const ProxiedRequest&) = delete;
  ProxiedRequest& operator=(const ProxiedRequest&) = delete;

  net::Task<> Run();
  /// Ends the current attempt if its next byte is overdue, its replica has not answered anything else either,
  /// and another attempt may be made now. A replica that is only busy keeps its requests, which wait in its
  /// queue.
  void CheckSilence(base::TimePoint now);

 private:
  /// A whole error answer of a replica, kept until it is clear that no other attempt follows.
  struct HeldAnswer {
    net::ResponseHead head;
    std::string body;
  };

  PlacementQuery Query() const;
  base::Duration TimeLeft() const { return ends_at_ - parts_.clock.Now(); }
  OutstandingWork WorkOf(const Placement& placement) const;
  /// Time without a byte after which the attempt counts as silent.
  base::Duration SilenceLimit() const;
  /// Whether the service's engines have time for the request now; sets what a refusal says.
  bool Admitted();
  /// Tells the gate whether the answer began in time.
  void ObserveLateness(bool in_time);
  /// Counts a request that ends without an event although its target has passed.
  void ObserveMissedTarget();
  bool MayRepeat() const;

  net::Task<AttemptOutcome> Attempt(Placement placement);
  net::Task<AttemptOutcome> Deliver(net::HttpCall& call, const Placement& placement);
  net::Task<AttemptOutcome> DeliverStream(net::HttpCall& call, net::ResponseHead head);
  /// Passes on the whole events in `splitter_`. False on a gap or when the client has left.
  net::Task<bool> PassEvents(const net::ResponseHead& head, bool* in_order);
  net::Task<bool> BeginStream(const net::ResponseHead& head);
  net::Task<> Finish(NextStep step);
  net::Task<> SendOwn(unsigned status, bool not_run);
  base::Duration RetryAfter() const;
  void FinishAttempt(const Placement& placement, AttemptOutcome end);
  void LogAttempt(const Placement& placement, AttemptOutcome end, const net::HttpCall& call) const;
  void LogEnd(const char* outcome, unsigned status) const;
  void ReportEnd(const char* outcome) const;

  RequestProxy& engine_;
  std::shared_ptr<std::set<ProxiedRequest*>> registry_;
  const ProxyDependencies& parts_;
  std::shared_ptr<const RoutingConfig> config_;
  const RouteConfig& route_;
  std::string service_;
  const RequestInfo& client_;
  net::Request& request_;
  net::ResponseWriter& writer_;
  std::optional<HopParameters> hop_;

  base::TimePoint received_;
  base::TimePoint ends_at_;
  RequestProgress state_;
  std::vector<std::string> tried_replicas_;
  std::vector<std::string> tried_regions_;
  std::shared_ptr<net::HttpCall> call_;
  std::optional<HeldAnswer> held_;
  SseEventSplitter splitter_;
  std::optional<uint64_t> last_event_;
  bool ids_consecutive_ = true;
  bool prompt_read_ = false;
  bool awaits_first_ = false;       // event or whole answer of the attempt
  bool awaits_bytes_ = false;       // of the answer; not while the client takes bytes
  bool second_send_taken_ = false;  // from the budget, before the attempt that it is for
  base::TimePoint heard_at_{};      // last bytes of the attempt; at first the time of its sending
  base::TimePoint sent_at_{};
  base::TimePoint first_event_at_{};  // of the attempt
  base::TimePoint first_byte_at_{};   // of the answer to the client
  std::shared_ptr<ReplicaRecord> replica_;
  OutstandingWork work_;
  std::string served_by_;
  bool gated_ = false;  // admitted by the gate, which has not heard yet how it went
  RefusalReason placement_code_ = RefusalReason::kNone;
  base::Duration expected_{0};
};

}  // namespace cornelplank::serving

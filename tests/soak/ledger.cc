#include "tests/soak/ledger.h"

#include <iomanip>
#include <iostream>

namespace cornelplank::soak {
namespace {

// Late arrivals of requests are looked for among this many. At 300 requests a second they span over a minute,
// and no request lives longer than a few seconds.
constexpr size_t kKeptRequests = 20000;
// One in so many requests has a body that is larger than the buffers of a connection.
constexpr uint64_t kRequestsPerLongBody = 40;
constexpr size_t kLongBodyBytes = 1'500'000;

std::string Pattern(const std::string& id, size_t size) {
  std::string text;
  while (text.size() < size) text += id + "/" + std::to_string(text.size()) + ";";
  text.resize(size);
  return text;
}

bool PromisesNotRun(unsigned status) {
  return status == 503 || status == 429 || status == 421 || status == 408;
}

// Not RouteConfig::AllowsRegion, which is a part of the program under test.
bool HasHome(const serving::RouteConfig& route, const std::string& region) {
  const auto& homes = route.home_regions;
  return homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
}

}  // namespace

std::string RequestBody(const std::string& id) {
  const bool is_long = base::Hash64(id, 4) % kRequestsPerLongBody == 0;
  return Pattern(id, is_long ? kLongBodyBytes : base::Hash64(id, 1) % 3000);
}
std::string ResponseBody(const std::string& id) { return Pattern("r" + id, base::Hash64(id, 2) % 9000); }
uint64_t EventCount(const std::string& id) { return 2 + base::Hash64(id, 3) % 18; }
std::string EventText(const std::string& id, uint64_t number) {
  return "id: " + std::to_string(number) + "\ndata: " + id + " " + std::to_string(number) + "\n\n";
}
std::string Signature(const std::string& id, const std::string& replica) {
  return replica + "." + std::to_string(base::Hash64(id, base::Hash64(replica)));
}

Request* Ledger::Find(const std::string& id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void Ledger::BeginRequest(const Request& request) {
  Count("requests");
  requests_[request.id] = request;
  order_.push_back(request.id);
  if (order_.size() <= kKeptRequests) return;
  requests_.erase(order_.front());
  order_.pop_front();
}

std::optional<Duration> Ledger::AgeOfPermission(const std::string& route, const std::string& region) const {
  TimePoint replaced = Now();
  for (size_t i = versions_.size(); i-- > 0;) {
    for (const auto& candidate : versions_[i].second.routes) {
      if (candidate.name == route && HasHome(candidate, region)) return Now() - replaced;
    }
    replaced = versions_[i].first;
  }
  return std::nullopt;
}

bool Ledger::PresentLately(const std::string& route) const {
  const TimePoint since = Now() - kStaleLimit;
  for (size_t i = versions_.size(); i-- > 0;) {
    const auto& routes = versions_[i].second.routes;
    if (std::none_of(routes.begin(), routes.end(), [&](const auto& r) { return r.name == route; })) {
      return false;
    }
    if (versions_[i].first <= since) break;
  }
  return true;
}

void Ledger::CheckPlacement(const Request& request, const std::string& region) {
  const TimePoint since = Now() - kStaleLimit;
  const bool faults = faults_.StoreDisturbed(since) || faults_.Disturbed(request.vm, region, since);
  const auto age = AgeOfPermission(request.route, region);
  Duration& max_age = faults ? max_age_after_faults_ : max_age_;
  if (age) max_age = std::max(max_age, *age);
  if (age && *age <= kStaleLimit) return;
  if (age && faults) {
    Count("stale_placements_after_faults");
    return;
  }
  const std::string seconds = age ? std::to_string(std::chrono::duration<double>(*age).count()) : "";
  Fail("placement", request.id,
       "route " + request.route + " ran in " + region +
           (age ? ", allowed until " + seconds + " s ago; " : ", never allowed; ") +
           faults_.Describe(request.vm));
}

void Ledger::OnRun(const std::string& id, const std::string& target, const std::string& body,
                   const std::string& service, const std::string& region) {
  Request* request = Find(id);
  if (request == nullptr) {
    Fail("unknown_request", id, "a replica got a request that no client sent");
    return;
  }
  Count("runs");
  if (++request->runs > 1) {
    Count("second_runs");
    if (request->at_most_once) Fail("ran_twice", id, "on route " + request->route);
  }
  request->run_region = region;
  if (request->refused != 0 && request->at_most_once) {
    Fail("ran_after_refusal", id, "the client got " + std::to_string(request->refused));
  }
  if (target != "/" + request->route + "/" + id) Fail("changed_target", id, target);
  if (body != RequestBody(id)) Fail("changed_body", id, std::to_string(body.size()) + " bytes");
  if (!service.starts_with(request->route.front() == 't' ? "stream" : "simple")) {
    Fail("wrong_service", id, service);
  }
  CheckPlacement(*request, region);
}

std::optional<StatementCheck::Pair> Ledger::SenderOf(const Request& request, const std::string& replica,
                                                     const std::string& region) const {
  if (faults_.RegionOf(request.vm) != region) return std::nullopt;
  return StatementCheck::Pair{request.vm, request.incarnation, replica};
}

void Ledger::OnStatement(const std::string& id, const std::string& replica, const std::string& region,
                         std::optional<Duration> push_back) {
  const Request* request = Find(id);
  const auto pair = request == nullptr ? std::nullopt : SenderOf(*request, replica, region);
  if (!pair) return;
  Count(push_back ? "statements_push_back" : "statements_leaving");
  if (push_back) statements_.OnPushBack(*pair, *push_back, Now());
  if (!push_back) statements_.OnLeaving(*pair, Now());
}

void Ledger::OnArrival(const std::string& id, const std::string& replica, const std::string& region) {
  const Request* request = Find(id);
  const auto pair = request == nullptr ? std::nullopt : SenderOf(*request, replica, region);
  const auto stated_at = pair ? statements_.OnArrival(*pair, Now()) : std::nullopt;
  // A VM that was frozen may not have read the response.
  if (stated_at && !faults_.Disturbed(request->vm, "", *stated_at)) {
    Fail("statement", id,
         "replica " + replica + " had told the VM that it leaves or wants nothing; " +
             faults_.Describe(request->vm));
  }
  const TimePoint since = Now() - RateCheck::kLearningTime;
  // Counted are only the VMs that must know the limit. Forwarded requests come from an unknown VM.
  if (request == nullptr || faults_.RegionOf(request->vm) != region ||
      faults_.Disturbed(request->vm, "", since) || faults_.Restarted(request->vm, since)) {
    return;
  }
  if (const auto problem = rates_.OnArrival(replica, Now())) Fail("limit", id, *problem);
}

void Ledger::OnReplicaStatus(const std::string& id, unsigned status) {
  if (Request* request = Find(id)) request->statuses.insert(std::to_string(status));
}

void Ledger::OnReplicaFailed(const std::string& id) {
  Count("replica_failures");
  if (Request* request = Find(id)) request->replica_failed = true;
}

void Ledger::CheckSuccess(const Request& request, const Result& result) {
  const std::string& id = request.id;
  if (result.request_id != id) Fail("other_answer", id, "the answer has the id " + result.request_id);
  const std::string replica = result.signature.substr(0, result.signature.find('.'));
  if (result.signature != Signature(id, replica)) Fail("signature", id, result.signature);
  std::string expected;
  if (request.route.front() == 't') {
    for (uint64_t i = 1; i <= EventCount(id); ++i) expected += EventText(id, i);
  } else {
    expected = ResponseBody(id);
  }
  if (result.complete ? result.body == expected : expected.starts_with(result.body)) return;
  Fail(result.complete ? "incomplete_answer" : "wrong_bytes", id,
       std::to_string(result.body.size()) + " bytes instead of " + std::to_string(expected.size()));
}

void Ledger::CheckLoss(const Request& request, const Result& result) {
  const bool disturbed = faults_.Disturbed(request.vm, request.run_region, request.sent);
  if (result.timed_out && !disturbed) {
    Fail("unanswered", request.id, "route " + request.route + "; " + faults_.Describe(request.vm));
  }
  if (result.timed_out || request.runs == 0 || request.replica_failed) return;
  if (Now() - request.sent >= kRouteTimeout) return Count("closed_at_route_timeout");
  if (disturbed) return Count("closed_after_run_beside_fault");
  Fail(faults_.ShuttingDown(request.vm, request.incarnation) ? "lost_at_shutdown" : "lost", request.id,
       "route " + request.route + ", " + result.fault + "; " + faults_.Describe(request.vm));
}

void Ledger::OnResult(const std::string& id, const Result& result) {
  Request* request = Find(id);
  if (request == nullptr) return;
  if (result.status == 200) CheckSuccess(*request, result);
  if (!result.complete) {
    Count("failed");
    Count(result.timed_out ? "failed_timeout" : "failed_closed");
    CheckLoss(*request, result);
    return;
  }
  if (!result.request_id.empty() && result.request_id != id) Fail("other_answer", id, result.request_id);
  if (!result.signature.empty() && !request->statuses.contains(std::to_string(result.status))) {
    Fail("changed_status", id, std::to_string(result.status));
  }
  if (result.status == 200) {
    Count("answered");
  } else if (PromisesNotRun(result.status)) {
    Count("refused");
    request->refused = result.status;
    if (request->at_most_once && request->runs > 0) {
      Fail("refused_after_run", id, std::to_string(result.status) + " on route " + request->route);
    }
  } else if (result.status == 404 && !PresentLately(request->route)) {
    Count("not_found");
  } else {
    Count("failed");
    Count("failed_" + std::to_string(result.status));
    if (result.status >= 500) return;
    const TimePoint since = Now() - kStaleLimit;
    const bool faults =
        faults_.StoreDisturbed(since) || faults_.Disturbed(request->vm, request->run_region, since);
    if (faults && !request->always_present) {
      Count("stale_denials_after_faults");
    } else {
      Fail("denied", id,
           std::to_string(result.status) + " on route " + request->route + "; " +
               faults_.Describe(request->vm));
    }
  }
}

void Ledger::Fail(const std::string& check, const std::string& id, const std::string& detail) {
  ++failures_;
  std::cout << "FAILED t=" << std::fixed << std::setprecision(3) << Seconds() << " check=" << check
            << " request=" << id << " " << detail << std::endl;
}

uint64_t Ledger::count(const std::string& name) const {
  const auto found = counts_.find(name);
  return found == counts_.end() ? 0 : found->second;
}

void Ledger::PrintCounts() const {
  for (const auto& [name, value] : counts_) std::cout << name << "=" << value << " ";
  using Seconds = std::chrono::duration<double>;
  std::cout << "failed_checks=" << failures_
            << "\ngreatest age of a configuration that a request was placed by: " << Seconds(max_age_).count()
            << " s, after faults " << Seconds(max_age_after_faults_).count() << " s" << std::endl;
}

}  // namespace cornelplank::soak

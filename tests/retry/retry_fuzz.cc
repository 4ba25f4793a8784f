#include "tests/retry/retry_fuzz.h"

#include <map>
#include <set>

#include "libs/retry/retry.h"
#include "tests/fuzz/fuzz_target.h"
#include "tests/tickets/fuzz_steps.h"

namespace cornelplank::retry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Requests of one entry VM to four replicas, and an oracle that keeps its own record of every attempt and
/// response.
class RetryWorld {
 public:
  static constexpr const char* kNames[] = {
      "request", "request", "fail", "fail",  "retry",      "retry",         "retry",
      "part",    "part",    "end",  "hedge", "hedge",      "crossed",       "late",
      "cancel",  "close",   "wait", "wait",  "clock-jump", "duplicate-end", "start-again"};
  static constexpr size_t kReplicas = 4;
  static constexpr double kBurst = 2;  // attempts; small, so that short runs exhaust the budgets

  explicit RetryWorld(RetryFault fault) : fault_(fault) {}
  std::string violation;  // the first one found; empty without any

  void Apply(size_t kind, size_t a, size_t b) {
    const std::string name = kNames[kind];
    if (name == "wait") now_ += milliseconds(20 * a);
    if (name == "clock-jump") now_ += seconds(a);
    if (name == "request") NewRequest(a, b);
    if (requests_.empty()) return;
    Request* request = &requests_[requests_.size() - 1 - a % std::min<size_t>(3, requests_.size())];
    if (name == "retry") Retry(request);
    if (name == "hedge") Hedge(request);
    if (name == "close") {
      request->tracker.Close();
      request->closed = true;
    }
    if (name == "cancel") Cancel(request);
    if (name == "start-again" && !request->idempotent && fault_ == RetryFault::kNone) {
      Forbid(request->tracker.Start(b % kReplicas, AttemptKind::kRetry, now_).has_value(),
             "a call that must not be repeated got a second attempt");
    }
    if (name == "crossed") {
      Deliver(request, AttemptId{request->id + 1000, 1 + static_cast<uint32_t>(b % 3)}, false);
    }
    if (request->attempts.empty()) return;
    const AttemptId id = request->attempts[b % request->attempts.size()].id;
    if (name == "part" || name == "late") Deliver(request, id, false);
    if (name == "end" || name == "duplicate-end") Deliver(request, id, true);
    if (name == "fail") Fail(request, id, b);
    CheckBudgets();
  }
  void End() {}

 private:
  void Forbid(bool seen, std::string_view text) {
    if (seen && violation.empty()) violation = text;
  }

  struct SentAttempt {
    AttemptId id;
    size_t replica = 0;
    base::TimePoint started;
    bool may_have_run = true;
    bool failed = false;
    bool lost = false;
    bool cancelled = false;
    bool ended = false;
  };
  struct Request {
    uint64_t id;
    bool idempotent;
    base::TimePoint deadline;
    base::TimePoint started;
    AttemptTracker tracker;
    std::vector<SentAttempt> attempts;
    std::set<uint32_t> passed_from;  // attempts whose parts were passed on since the last failure of a winner
    bool wants_retry = false;
    bool closed = false;
    bool ended = false;
    base::Outcome outcome = base::Outcome::kUnknown;
  };

  void NewRequest(size_t a, size_t b) {
    ++request_count_;
    const bool idempotent = b % 4 != 0;
    requests_.push_back(
        Request{request_count_,
                idempotent,
                now_ + seconds(1 + a % 5),
                now_,
                AttemptTracker(request_count_, idempotent || fault_ == RetryFault::kRetryAfterBytesLeft),
                {},
                {},
                false,
                false,
                false,
                base::Outcome::kUnknown});
    retries_.OnRequest();
    hedges_.OnRequest();
    Start(&requests_.back(), b % kReplicas, AttemptKind::kFirst);
  }

  void Start(Request* request, size_t replica, AttemptKind kind) {
    const auto id = request->tracker.Start(replica, kind, now_);
    if (!id) {
      Forbid(kind == AttemptKind::kFirst, "the first attempt was not started");
      return;
    }
    Forbid(request->ended || request->closed, "an attempt of an ended request");
    for (const SentAttempt& sent : request->attempts) {
      Forbid(sent.id == *id, "an attempt id was used twice");
      Forbid(!request->idempotent && sent.may_have_run, "a call that must not be repeated was repeated");
    }
    Forbid(now_ >= request->deadline, "an attempt past the deadline");
    request->attempts.push_back(SentAttempt{*id, replica, now_, true, false, false, false, false});
  }

  std::vector<RetryCandidate> Candidates(const Request& request) const {
    std::vector<RetryCandidate> candidates;
    for (size_t replica = 0; replica < kReplicas; ++replica) {
      const uint32_t prior_attempts =
          fault_ == RetryFault::kSameReplica ? 0 : request.tracker.AttemptsOn(replica);
      candidates.push_back(RetryCandidate{replica, prior_attempts, milliseconds(100)});
    }
    return candidates;
  }

  void Retry(Request* request) {
    if (!request->wants_retry || request->ended || request->closed) return;
    const auto candidates = Candidates(*request);
    RetryQuery query;
    query.idempotent = request->idempotent || fault_ == RetryFault::kRetryAfterBytesLeft;
    query.outcome = request->outcome;
    query.response_partly_sent = !request->passed_from.empty();
    query.resumable = request->id % 2 == 0;
    query.attempts = request->tracker.started();
    query.now = now_;
    query.deadline = fault_ == RetryFault::kPastDeadline ? now_ + seconds(9) : request->deadline;
    query.candidates = candidates;
    RetryReason reason;
    if (fault_ == RetryFault::kNoBudget) retries_.GiveBack();
    const auto decision = policy_.Decide(query, &retries_, &reason);
    if (!decision) return CheckRefusal(*request, query, reason.code);
    ++retry_count_;
    request->wants_retry = false;
    Forbid(query.response_partly_sent && !query.resumable, "retried after a part that can't be continued");
    bool untried = false;
    for (size_t replica = 0; replica < kReplicas; ++replica) untried |= !WasTried(*request, replica);
    Forbid(untried && WasTried(*request, decision->replica), "the same replica although others are left");
    if (!WasTried(*request, decision->replica) && decision->backoff > base::Duration{0}) {
      Forbid(true, "a wait before an untried replica");
    }
    Start(request, decision->replica, AttemptKind::kRetry);
  }

  // Checks that the refusal is justified, because a policy that refused everything would break no other rule.
  void CheckRefusal(const Request& request, const RetryQuery& query, RetryCode code) {
    const bool time_left = query.now + seconds(3) < request.deadline;
    Forbid(code == RetryCode::kDeadline && time_left, "refused for the deadline with time left");
    Forbid(code == RetryCode::kBudgetExhausted && retries_.tokens() >= 1, "refused with budget left");
    Forbid(code == RetryCode::kNoReplica, "four replicas are no replica");
    Forbid(code == RetryCode::kNotIdempotent && request.idempotent, "an idempotent request is not");
  }

  bool WasTried(const Request& request, size_t replica) const {
    return std::any_of(request.attempts.begin(), request.attempts.end(),
                       [&](const SentAttempt& sent) { return sent.replica == replica; });
  }

  void Hedge(Request* request) {
    const auto candidates = Candidates(*request);
    HedgeQuery query;
    query.idempotent = request->idempotent || fault_ == RetryFault::kRetryAfterBytesLeft;
    query.class_allows_hedges = true;
    query.response_started = !request->passed_from.empty();
    query.attempts_open = request->tracker.open();
    query.started = request->started;
    query.now = now_;
    query.deadline = fault_ == RetryFault::kPastDeadline ? now_ + seconds(9) : request->deadline;
    query.delay = delay_.Delay().value_or(milliseconds(300));
    query.candidates = candidates;
    if (fault_ == RetryFault::kNoBudget) hedges_.GiveBack();
    const auto replica = policy_.DecideHedge(query, &hedges_, nullptr);
    if (!replica) return;
    ++hedge_count_;
    Forbid(now_ - request->started < *query.delay, "hedged before the delay");
    Forbid(WasTried(*request, *replica), "hedged on the same replica");
    Start(request, *replica, AttemptKind::kHedge);
  }

  void Deliver(Request* request, AttemptId id, bool end) {
    Disposition disposition = end ? request->tracker.OnEnd(id) : request->tracker.OnPart(id);
    if (fault_ == RetryFault::kAnyIdAccepted) disposition = Disposition::kAccept;
    if (fault_ == RetryFault::kDoubleSend && !request->closed && disposition == Disposition::kLate) {
      disposition = Disposition::kAccept;
    }
    const auto sent_attempt = std::find_if(request->attempts.begin(), request->attempts.end(),
                                           [&](const SentAttempt& sent) { return sent.id == id; });
    if (disposition != Disposition::kAccept) {
      const bool expected = sent_attempt != request->attempts.end() && !sent_attempt->failed &&
                            !sent_attempt->lost && !sent_attempt->ended && !request->closed &&
                            request->passed_from.empty() && !request->ended;
      Forbid(expected, "the response of an open attempt was dropped");
      return;
    }
    if (sent_attempt == request->attempts.end()) {
      Forbid(true, "a part of another request was passed on");
      return;
    }
    Forbid(sent_attempt->failed || sent_attempt->lost || sent_attempt->ended, "a late part was passed on");
    for (SentAttempt& other : request->attempts) other.lost = other.lost || (other.id != id && !other.failed);
    Forbid(request->ended, "a part after the end");
    Forbid(request->closed, "a part after the client left");
    request->passed_from.insert(id.number);
    Forbid(request->passed_from.size() > 1, "parts of two attempts were passed on");
    if (!end) delay_.Record(now_ - sent_attempt->started);
    if (!end) return;
    sent_attempt->ended = true;
    request->ended = true;
    request->wants_retry = false;
  }

  void Fail(Request* request, AttemptId id, size_t b) {
    const bool open = request->tracker.OnFailure(id) == Disposition::kAccept;
    if (!open) return;
    SentAttempt& sent = request->attempts[id.number - 1];
    sent.failed = true;
    request->outcome = b % 3 == 0 ? base::Outcome::kNotRun : base::Outcome::kUnknown;
    sent.may_have_run = request->outcome != base::Outcome::kNotRun;
    if (request->passed_from.erase(id.number) > 0 && request->id % 2 != 0) {
      request->passed_from.insert(id.number);
    }
    if (request->tracker.open() == 0) request->wants_retry = true;
  }

  void Cancel(Request* request) {
    for (const AttemptInfo& lost_attempt : request->tracker.TakeAttemptsToCancel()) {
      SentAttempt& sent = request->attempts[lost_attempt.id.number - 1];
      Forbid(sent.cancelled, "an attempt was cancelled twice");
      Forbid(sent.ended || sent.failed, "an ended attempt was cancelled");
      Forbid(request->passed_from.contains(lost_attempt.id.number) && !request->closed,
             "the winner was cancelled");
      sent.cancelled = true;
    }
  }

  void CheckBudgets() {
    const auto requests = static_cast<double>(request_count_);
    Forbid(static_cast<double>(retry_count_) > 0.10 * requests + kBurst, "more retries than the budget");
    Forbid(static_cast<double>(hedge_count_) > 0.05 * requests + kBurst, "more hedges than the budget");
  }

  RetryFault fault_;
  base::TimePoint now_{seconds(1000)};
  RetryPolicy policy_;
  RetryBudget retries_{0.10, kBurst};
  HedgeBudget hedges_{0.05, kBurst};
  HedgeDelay delay_;
  std::vector<Request> requests_;
  uint64_t request_count_ = 0;
  uint64_t retry_count_ = 0;
  uint64_t hedge_count_ = 0;
};

const bool kRegistered = fuzz::RegisterFuzzTarget(
    {"retry", [](uint64_t seed, uint64_t steps) { return FuzzRetry(seed, steps, RetryFault::kNone); }});

}  // namespace

std::optional<std::string> FuzzRetry(uint64_t seed, uint64_t steps, RetryFault fault) {
  return fuzz::RunWorlds<RetryWorld>(seed, steps, 400, [fault] { return RetryWorld(fault); });
}

}  // namespace cornelplank::retry

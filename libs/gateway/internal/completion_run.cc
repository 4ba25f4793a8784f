#include "libs/gateway/internal/completion_run.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <thread>

namespace cornelplank::gateway {
namespace {

using std::chrono::milliseconds;

// Longest wait for an event while one attempt is open; also how often it is checked whether to hedge.
constexpr milliseconds kPollLimit{100};
// With two attempts open one thread polls both in turn, so a token may be delayed by this time.
constexpr milliseconds kHedgePollLimit{5};
// Replicas and zones that may refuse in a row before anything was sent.
constexpr int kMaxConsecutiveRefusals = 4;
// Attempts of one request that need no retry budget, while each one failed before any byte was accepted.
constexpr uint32_t kMaxUnbudgetedAttempts = 6;

/// Replaces the attempt's id in an event by the request's id. Returns false when the event does not carry the
/// attempt's id, because it belongs to another request.
bool ReplaceEventId(const std::string& wire_id, const std::string& request_id, std::string* data) {
  const std::string mark = "\"id\":\"" + wire_id + "\"";
  const size_t at = data->find(mark);
  if (at == std::string::npos) return false;
  data->replace(at, mark.size(), "\"id\":\"" + request_id + "\"");
  return true;
}

/// Returns the position of the event's token in the answer, or nothing when the event has none.
std::optional<uint64_t> TokenIndex(const std::string& data) {
  constexpr std::string_view kMark = "\"index\":";
  const size_t at = data.find(kMark);
  if (at == std::string::npos) return std::nullopt;
  uint64_t index = 0;
  const char* start = data.data() + at + kMark.size();
  if (std::from_chars(start, data.data() + data.size(), index).ec != std::errc{}) return std::nullopt;
  return index;
}

std::string FlowName(const GatewayRequest& request) { return request.partner + "/" + request.priority_class; }

}  // namespace

CompletionRun::CompletionRun(SharedState* shared, const Dispatcher* dispatcher, GatewayRequest request)
    : shared_(shared),
      dispatcher_(dispatcher),
      request_(std::move(request)),
      started_(shared->clock.Now()),
      request_hash_(base::Hash64(request_.request_id)),
      tracker_(request_hash_, request_.idempotent) {}

CompletionRun::~CompletionRun() {
  const bool client_left = !ended_ && !failed_;
  shared_->metrics.CountRequest(request_.partner, request_.priority_class,
                                ended_ ? "ok" : (client_left ? "client-left" : failure_.code));
}

bool CompletionRun::Begin() {
  {
    const std::lock_guard<std::mutex> lock(shared_->retry.mutex);
    shared_->retry.retries.OnRequest();
    shared_->retry.hedges.OnRequest();
  }
  Failure failure;
  if (!StartOnFirstAvailable(retry::AttemptKind::kFirst, &failure)) return Fail(std::move(failure));
  return Advance();
}

bool CompletionRun::Advance() {
  while (!ended_ && !failed_ && output_.empty()) {
    if (!PollAttempts()) return false;
  }
  return !failed_;
}

std::optional<RouteChoice> CompletionRun::ChooseRouteForRetry(Failure* failure) {
  auto choice = dispatcher_->ChooseRoute(request_, excluded_, failure);
  if (choice) return choice;
  // Every target that could serve the request has been tried. The retry policy decides whether one of them
  // may be tried again.
  return dispatcher_->ChooseRoute(request_, {}, failure);
}

bool CompletionRun::StartAttempt(retry::AttemptKind kind, const RouteChoice& choice, Failure* failure) {
  const AttemptPlace place = choice.Place();
  const uint32_t number = tracker_.started() + 1;
  const std::string wire_id = WireAttemptId(request_.request_id, number);
  auto attempt = dispatcher_->OpenAttempt(request_, choice, wire_id,
                                          static_cast<uint32_t>(assembler_.next_index()), failure);
  if (!attempt) {
    // A pool that admits nothing is full for all its replicas, so the whole zone is excluded.
    const bool whole_zone = place.is_zone || failure->code == "not-admitted";
    whole_zone ? excluded_.AddZone(place.zone) : excluded_.AddReplica(place.key);
    return false;
  }
  const auto id = tracker_.Start(place.key, kind, shared_->clock.Now());
  if (!id) return false;
  auto active = std::make_unique<ActiveAttempt>();
  active->id = *id;
  active->wire_id = wire_id;
  active->attempt = std::move(attempt);
  active->started = shared_->clock.Now();
  active_.push_back(std::move(active));
  return true;
}

bool CompletionRun::StartOnFirstAvailable(retry::AttemptKind kind, Failure* failure) {
  for (int i = 0; i < kMaxConsecutiveRefusals; ++i) {
    Failure refusal;
    const auto choice = dispatcher_->ChooseRoute(request_, excluded_, &refusal);
    if (!choice) {
      if (i == 0) *failure = std::move(refusal);
      return false;
    }
    if (StartAttempt(kind, *choice, &refusal)) return true;
    *failure = std::move(refusal);
  }
  return false;
}

bool CompletionRun::PollAttempts() {
  if (shared_->clock.Now() >= shared_->drain.LastAnswer()) {
    return Fail({503, "entry-leaving", "this VM has shut down", base::Outcome::kUnknown});
  }
  const milliseconds limit = active_.size() > 1 ? kHedgePollLimit : kPollLimit;
  for (size_t i = 0; i < active_.size(); ++i) {
    ActiveAttempt* active = active_[i].get();
    const size_t before = active_.size();
    if (!HandleEvent(active, active->attempt->Next(limit))) return false;
    if (ended_ || active_.size() < before || active_.empty()) break;
  }
  if (!ended_) MaybeHedge();
  return true;
}

bool CompletionRun::HandleEvent(ActiveAttempt* active, AttemptEvent event) {
  switch (event.kind) {
    case AttemptEvent::Kind::kData: {
      if (!request_.stream) {
        active->body += event.data;
        return true;
      }
      const bool parsed =
          active->parser.Feed(event.data, [&](const http::SseEvent& sse) { return OnSseEvent(active, sse); });
      if (parsed || ended_) return true;
      return OnFailure(active, {503, "upstream-broken", stream_fault_, base::Outcome::kUnknown});
    }
    case AttemptEvent::Kind::kEnd:
      if (!request_.stream) return OnCompleteAnswer(active);
      return OnFailure(active, {503, "upstream-broken", "the stream ended early", base::Outcome::kUnknown});
    case AttemptEvent::Kind::kFailed:
      return OnFailure(active, std::move(event.failure));
    case AttemptEvent::Kind::kHead:
    case AttemptEvent::Kind::kNothing:
      return true;
  }
  return true;
}

bool CompletionRun::OnSseEvent(ActiveAttempt* active, const http::SseEvent& event) {
  if (event.data != http::kSseDone) return OnToken(active, event);
  if (assembler_.End(active->id, assembler_.next_index()) != retry::AssemblyResult::kEnded) {
    stream_fault_ = "a terminal event of an attempt that is not current";
    return false;
  }
  tracker_.OnEnd(active->id);
  output_ += http::FormatSse({"", std::string(http::kSseDone)});
  ended_ = true;
  return false;  // stops the parser: nothing after the terminal event is read
}

bool CompletionRun::OnToken(ActiveAttempt* active, const http::SseEvent& event) {
  std::string data = event.data;
  const auto index = TokenIndex(data);
  if (!event.event.empty() || !index || !ReplaceEventId(active->wire_id, request_.request_id, &data)) {
    stream_fault_ = event.event.empty() ? "an event of another request" : "an error event";
    return false;
  }
  if (tracker_.OnPart(active->id) != retry::Disposition::kAccept) {
    stream_fault_ = "a part of an attempt that has lost";
    return false;
  }
  OnPartAccepted(active);
  std::vector<std::string> passed;
  const auto outcome = assembler_.Accept({active->id, *index, {http::FormatSse({"", data})}}, &passed);
  if (outcome == retry::AssemblyResult::kGap || outcome == retry::AssemblyResult::kNotCurrent) {
    stream_fault_ = "tokens are missing";
    return false;
  }
  for (const std::string& text : passed) output_ += text;
  shared_->metrics.AddTokens(static_cast<double>(passed.size()));
  return true;
}

/// Makes the attempt that delivered a valid part of the answer its source, and cancels the other attempts.
/// The first part also counts as the first token in the metrics.
void CompletionRun::OnPartAccepted(ActiveAttempt* active) {
  if (place_.key != active->attempt->place().key || !first_token_seen_) place_ = active->attempt->place();
  if (active_.size() > 1 || assembler_.state() == retry::StreamState::kOpen) {
    assembler_.SetCurrentAttempt(active->id);
  }
  for (const retry::AttemptInfo& loser : tracker_.TakeAttemptsToCancel()) RemoveAttempt(loser.id);
  if (std::exchange(first_token_seen_, true)) return;
  const base::Duration first_token = shared_->clock.Now() - started_;
  shared_->metrics.ObserveFirstToken(request_.partner, request_.priority_class, first_token);
  shared_->metrics.CountServed(request_.partner, place_.region, place_.region != request_.home);
  shared_->metrics.AddCost(request_.partner, place_.cost);
  const std::lock_guard<std::mutex> lock(shared_->retry.mutex);
  shared_->retry.delays[FlowName(request_)].Record(first_token);
}

bool CompletionRun::OnCompleteAnswer(ActiveAttempt* active) {
  auto answer = base::ParseJson(active->body);
  const bool own = answer.is_object() && answer.contains("id") && answer["id"] == active->wire_id;
  if (!own) {
    return OnFailure(
        active, {503, "upstream-broken", "the answer belongs to another request", base::Outcome::kUnknown});
  }
  if (tracker_.OnPart(active->id) != retry::Disposition::kAccept) return true;
  OnPartAccepted(active);
  tracker_.OnEnd(active->id);
  answer["id"] = request_.request_id;
  output_ = answer.dump();
  ended_ = true;
  return true;
}

void CompletionRun::RemoveAttempt(retry::AttemptId id) {
  std::erase_if(active_, [id](const auto& active) { return active->id == id; });
}

bool CompletionRun::OnFailure(const ActiveAttempt* active, Failure failure) {
  const AttemptPlace place = active->attempt->place();
  const retry::AttemptId id = active->id;
  shared_->metrics.CountAttemptFailure(failure.code);
  if (failure.outcome != base::Outcome::kNotRun) may_have_run_ = true;
  const bool open = tracker_.OnFailure(id) == retry::Disposition::kAccept;
  RemoveAttempt(id);
  place.is_zone ? excluded_.AddZone(place.zone) : excluded_.AddReplica(place.key);
  if (!open || tracker_.open() > 0) return true;
  if (failure.client_error || !Retry(failure)) return Fail(std::move(failure));
  return true;
}

bool CompletionRun::Retry(const Failure& failure) {
  // An attempt of which no byte was accepted put no load on its upstream, so the next one uses no budget.
  // Otherwise a dead replica that can't be ejected would use up the budget that resumptions need.
  const bool nothing_sent = failure.outcome == base::Outcome::kNotRun && assembler_.next_index() == 0;
  if (nothing_sent && tracker_.started() < kMaxUnbudgetedAttempts) {
    Failure refusal;
    return StartOnFirstAvailable(retry::AttemptKind::kRetry, &refusal);
  }
  Failure no_route;
  const auto choice = ChooseRouteForRetry(&no_route);
  if (!choice) return false;
  const AttemptPlace place = choice->Place();
  const std::array<retry::RetryCandidate, 1> candidates{
      retry::RetryCandidate{place.key, tracker_.AttemptsOn(place.key), choice->decision.first_token}};
  retry::RetryQuery query;
  query.idempotent = request_.idempotent;
  query.outcome = failure.outcome;
  query.response_partly_sent = assembler_.next_index() > 0;
  query.resumable = request_.stream;
  query.attempts = tracker_.started();
  query.now = shared_->clock.Now();
  query.deadline = request_.deadline;
  query.candidates = candidates;
  std::optional<retry::RetryDecision> decision;
  {
    const std::lock_guard<std::mutex> lock(shared_->retry.mutex);
    retry::RetryReason reason;
    decision = policy_.Decide(query, &shared_->retry.retries, &reason);
  }
  if (!decision) return false;
  std::this_thread::sleep_for(decision->backoff);
  const auto kind = query.response_partly_sent ? retry::AttemptKind::kResume : retry::AttemptKind::kRetry;
  shared_->metrics.CountExtraAttempt(query.response_partly_sent ? "resume" : "retry");
  Failure refusal;
  return StartAttempt(kind, *choice, &refusal) || StartOnFirstAvailable(kind, &refusal);
}

void CompletionRun::MaybeHedge() {
  if (!request_.hedge || first_token_seen_ || active_.size() != 1) return;
  retry::HedgeQuery query;
  query.idempotent = request_.idempotent;
  query.class_allows_hedges = true;
  query.attempts_open = tracker_.open();
  query.started = active_.front()->started;
  query.now = shared_->clock.Now();
  query.deadline = request_.deadline;
  {
    const std::lock_guard<std::mutex> lock(shared_->retry.mutex);
    const auto delay = shared_->retry.delays.find(FlowName(request_));
    if (delay == shared_->retry.delays.end()) return;
    query.delay = delay->second.Delay();
  }
  if (!query.delay || query.now < query.started + *query.delay) return;
  const AttemptPlace& first = active_.front()->attempt->place();
  routing::ExcludeSet hedge_excluded = excluded_;
  first.is_zone ? hedge_excluded.AddZone(first.zone) : hedge_excluded.AddReplica(first.key);
  Failure failure;
  const auto choice = dispatcher_->ChooseRoute(request_, hedge_excluded, &failure);
  if (!choice) return;
  const AttemptPlace place = choice->Place();
  const std::array<retry::RetryCandidate, 1> candidates{
      retry::RetryCandidate{place.key, tracker_.AttemptsOn(place.key), choice->decision.first_token}};
  query.candidates = candidates;
  {
    const std::lock_guard<std::mutex> lock(shared_->retry.mutex);
    retry::RetryReason reason;
    if (!policy_.DecideHedge(query, &shared_->retry.hedges, &reason)) return;
  }
  if (StartAttempt(retry::AttemptKind::kHedge, *choice, &failure)) {
    shared_->metrics.CountExtraAttempt("hedge");
  }
}

bool CompletionRun::Fail(Failure failure) {
  // The refusal of a later attempt doesn't mean that the earlier ones did not run.
  if ((first_token_seen_ || may_have_run_) && failure.outcome == base::Outcome::kNotRun) {
    failure.outcome = base::Outcome::kUnknown;
  }
  failure_ = std::move(failure);
  failed_ = true;
  assembler_.Fail();
  tracker_.Close();
  active_.clear();
  return false;
}

}  // namespace cornelplank::gateway

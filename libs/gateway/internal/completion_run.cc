#include "libs/gateway/internal/completion_run.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <thread>

namespace cornelplank::gateway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{100};
// With two attempts open one thread polls both in turn; this is the time that a token may wait unseen.
constexpr milliseconds kHedgeStep{5};
// Replicas and zones asked in a row before anything was sent.
constexpr int kMaxRefusals = 4;
// Attempts in all while every one was refused without a byte being taken.
constexpr uint32_t kMaxFreeAttempts = 6;

/// Replaces the attempt's name by the request's id. False when the event belongs to another attempt.
bool RenameEvent(const std::string& attempt, const std::string& request_id, std::string* data) {
  const std::string mark = "\"id\":\"" + attempt + "\"";
  const size_t at = data->find(mark);
  if (at == std::string::npos) return false;
  data->replace(at, mark.size(), "\"id\":\"" + request_id + "\"");
  return true;
}

std::optional<uint64_t> TokenIndex(const std::string& data) {
  constexpr std::string_view kMark = "\"index\":";
  const size_t at = data.find(kMark);
  if (at == std::string::npos) return std::nullopt;
  uint64_t index = 0;
  const char* start = data.data() + at + kMark.size();
  if (std::from_chars(start, data.data() + data.size(), index).ec != std::errc{}) return std::nullopt;
  return index;
}

std::string FlowName(const Work& work) { return work.partner + "/" + work.priority_class; }

}  // namespace

CompletionRun::CompletionRun(Core* core, const Dispatcher* dispatcher, Work work)
    : core_(core),
      dispatcher_(dispatcher),
      work_(std::move(work)),
      started_(core->clock.Now()),
      request_number_(base::Hash64(work_.request_id)),
      tracker_(request_number_, work_.idempotent) {}

CompletionRun::~CompletionRun() {
  const bool left = !ended_ && !failed_;
  core_->metrics.CountRequest(work_.partner, work_.priority_class,
                              ended_ ? "ok" : (left ? "client-left" : failure_.code));
}

bool CompletionRun::Begin() {
  {
    const std::lock_guard<std::mutex> lock(core_->retry.mutex);
    core_->retry.retries.OnRequest();
    core_->retry.hedges.OnRequest();
  }
  Failure failure;
  if (!StartAnywhere(retry::AttemptKind::kFirst, &failure)) return Fail(std::move(failure));
  return Advance();
}

bool CompletionRun::Advance() {
  while (!ended_ && !failed_ && output_.empty()) {
    if (!Step()) return false;
  }
  return !failed_;
}

std::optional<Choice> CompletionRun::ChooseNext(Failure* failure) {
  auto choice = dispatcher_->Choose(work_, excluded_, failure);
  if (choice) return choice;
  // Every replica that could serve it has had a turn; the retry policy decides whether one may have another.
  return dispatcher_->Choose(work_, {}, failure);
}

bool CompletionRun::Start(retry::AttemptKind kind, const Choice& choice, Failure* failure) {
  const AttemptPlace place = choice.Place();
  const uint32_t number = tracker_.started() + 1;
  const std::string name = AttemptName(work_.request_id, number);
  auto attempt =
      dispatcher_->Open(work_, choice, name, static_cast<uint32_t>(assembler_.next_index()), failure);
  if (!attempt) {
    // A full pool is no fault of the replica: the next choice leaves out the whole zone.
    const bool whole_zone = place.is_zone || failure->code == "not-admitted";
    whole_zone ? excluded_.AddZone(place.zone) : excluded_.AddReplica(place.key);
    return false;
  }
  const auto id = tracker_.Start(place.key, kind, core_->clock.Now());
  if (!id) return false;
  auto active = std::make_unique<Active>();
  active->id = *id;
  active->name = name;
  active->attempt = std::move(attempt);
  active->started = core_->clock.Now();
  active_.push_back(std::move(active));
  return true;
}

bool CompletionRun::StartAnywhere(retry::AttemptKind kind, Failure* failure) {
  for (int i = 0; i < kMaxRefusals; ++i) {
    Failure refusal;
    const auto choice = dispatcher_->Choose(work_, excluded_, &refusal);
    if (!choice) {
      if (i == 0) *failure = std::move(refusal);
      return false;
    }
    if (Start(kind, *choice, &refusal)) return true;
    *failure = std::move(refusal);
  }
  return false;
}

bool CompletionRun::Step() {
  const milliseconds limit = active_.size() > 1 ? kHedgeStep : kStep;
  for (size_t i = 0; i < active_.size(); ++i) {
    Active* active = active_[i].get();
    const size_t before = active_.size();
    if (!Handle(active, active->attempt->Next(limit))) return false;
    if (ended_ || active_.size() < before || active_.empty()) break;
  }
  if (!ended_) MaybeHedge();
  return true;
}

bool CompletionRun::Handle(Active* active, AttemptEvent event) {
  switch (event.kind) {
    case AttemptEvent::Kind::kData: {
      if (!work_.stream) {
        active->body += event.data;
        return true;
      }
      const bool parsed =
          active->parser.Feed(event.data, [&](const http::SseEvent& sse) { return OnSse(active, sse); });
      if (parsed || ended_) return true;
      return OnFailure(active, {503, "upstream-broken", broken_reason_, base::Outcome::kUnknown});
    }
    case AttemptEvent::Kind::kEnd:
      if (!work_.stream) return OnWholeAnswer(active);
      return OnFailure(active, {503, "upstream-broken", "the stream ended early", base::Outcome::kUnknown});
    case AttemptEvent::Kind::kFailed:
      return OnFailure(active, std::move(event.failure));
    case AttemptEvent::Kind::kHead:
    case AttemptEvent::Kind::kNothing:
      return true;
  }
  return true;
}

bool CompletionRun::OnSse(Active* active, const http::SseEvent& event) {
  if (event.data != http::kSseDone) return OnToken(active, event);
  if (assembler_.End(active->id, assembler_.next_index()) != retry::AssemblyResult::kEnded) {
    broken_reason_ = "a terminal event of an attempt that is not current";
    return false;
  }
  tracker_.OnEnd(active->id);
  output_ += http::FormatSse({"", std::string(http::kSseDone)});
  ended_ = true;
  return false;  // nothing after the terminal event is read
}

bool CompletionRun::OnToken(Active* active, const http::SseEvent& event) {
  std::string data = event.data;
  const auto index = TokenIndex(data);
  if (!event.event.empty() || !index || !RenameEvent(active->name, work_.request_id, &data)) {
    broken_reason_ = event.event.empty() ? "an event of another request" : "an error event";
    return false;
  }
  if (tracker_.OnPart(active->id) != retry::Disposition::kAccept) {
    broken_reason_ = "a part of an attempt that has lost";
    return false;
  }
  Accepted(active);
  std::vector<std::string> passed;
  const auto outcome = assembler_.Accept({active->id, *index, {http::FormatSse({"", data})}}, &passed);
  if (outcome == retry::AssemblyResult::kGap || outcome == retry::AssemblyResult::kNotCurrent) {
    broken_reason_ = "tokens are missing";
    return false;
  }
  for (const std::string& text : passed) output_ += text;
  core_->metrics.AddTokens(static_cast<double>(passed.size()));
  return true;
}

/// The attempt has brought a part of the answer that counts: it becomes the source, and the others lose.
void CompletionRun::Accepted(Active* active) {
  if (place_.key != active->attempt->place().key || !first_token_seen_) place_ = active->attempt->place();
  if (active_.size() > 1 || assembler_.state() == retry::StreamState::kOpen) assembler_.SetSource(active->id);
  for (const retry::AttemptInfo& loser : tracker_.TakeAttemptsToCancel()) Remove(loser.id);
  if (std::exchange(first_token_seen_, true)) return;
  const base::Duration first_token = core_->clock.Now() - started_;
  core_->metrics.ObserveFirstToken(work_.partner, work_.priority_class, first_token);
  core_->metrics.CountServed(work_.partner, place_.region, place_.region != work_.home);
  core_->metrics.AddCost(work_.partner, place_.cost);
  const std::lock_guard<std::mutex> lock(core_->retry.mutex);
  core_->retry.delays[FlowName(work_)].Record(first_token);
}

bool CompletionRun::OnWholeAnswer(Active* active) {
  auto answer = nlohmann::json::parse(active->body, nullptr, false);
  const bool own = answer.is_object() && answer.contains("id") && answer["id"] == active->name;
  if (!own) {
    return OnFailure(
        active, {503, "upstream-broken", "the answer belongs to another request", base::Outcome::kUnknown});
  }
  if (tracker_.OnPart(active->id) != retry::Disposition::kAccept) return true;
  Accepted(active);
  tracker_.OnEnd(active->id);
  answer["id"] = work_.request_id;
  output_ = answer.dump();
  ended_ = true;
  return true;
}

void CompletionRun::Remove(retry::AttemptId id) {
  std::erase_if(active_, [id](const auto& active) { return active->id == id; });
}

bool CompletionRun::OnFailure(const Active* active, Failure failure) {
  const AttemptPlace place = active->attempt->place();
  const retry::AttemptId id = active->id;
  core_->metrics.CountAttemptFailure(failure.code);
  const bool open = tracker_.OnFailure(id) == retry::Disposition::kAccept;
  Remove(id);
  place.is_zone ? excluded_.AddZone(place.zone) : excluded_.AddReplica(place.key);
  if (!open || tracker_.open() > 0) return true;
  if (failure.client_error || !Retry(failure)) return Fail(std::move(failure));
  return true;
}

bool CompletionRun::Retry(const Failure& failure) {
  // An upstream that took nothing was not loaded either, so asking another one costs no budget. Otherwise a
  // dead replica that can't be ejected would use up the budget that resumptions need.
  const bool nothing_sent = failure.outcome == base::Outcome::kNotRun && assembler_.next_index() == 0;
  if (nothing_sent && tracker_.started() < kMaxFreeAttempts) {
    Failure refusal;
    return StartAnywhere(retry::AttemptKind::kRetry, &refusal);
  }
  Failure no_route;
  const auto choice = ChooseNext(&no_route);
  if (!choice) return false;
  const AttemptPlace place = choice->Place();
  const std::array<retry::RetryCandidate, 1> candidates{
      retry::RetryCandidate{place.key, tracker_.AttemptsOn(place.key), choice->decision.first_token}};
  retry::RetryQuery query;
  query.idempotent = work_.idempotent;
  query.outcome = failure.outcome;
  query.response_partly_sent = assembler_.next_index() > 0;
  query.resumable = work_.stream;
  query.attempts = tracker_.started();
  query.now = core_->clock.Now();
  query.deadline = work_.deadline;
  query.candidates = candidates;
  std::optional<retry::RetryDecision> decision;
  {
    const std::lock_guard<std::mutex> lock(core_->retry.mutex);
    retry::RetryReason reason;
    decision = policy_.Decide(query, &core_->retry.retries, &reason);
  }
  if (!decision) return false;
  std::this_thread::sleep_for(decision->backoff);
  const auto kind = query.response_partly_sent ? retry::AttemptKind::kResume : retry::AttemptKind::kRetry;
  core_->metrics.CountExtraAttempt(query.response_partly_sent ? "resume" : "retry");
  Failure refusal;
  return Start(kind, *choice, &refusal) || StartAnywhere(kind, &refusal);
}

void CompletionRun::MaybeHedge() {
  if (!work_.hedge || first_token_seen_ || active_.size() != 1) return;
  retry::HedgeQuery query;
  query.idempotent = work_.idempotent;
  query.class_allows_hedges = true;
  query.attempts_open = tracker_.open();
  query.started = active_.front()->started;
  query.now = core_->clock.Now();
  query.deadline = work_.deadline;
  {
    const std::lock_guard<std::mutex> lock(core_->retry.mutex);
    const auto delay = core_->retry.delays.find(FlowName(work_));
    if (delay == core_->retry.delays.end()) return;
    query.delay = delay->second.Delay();
  }
  if (!query.delay || query.now < query.started + *query.delay) return;
  const AttemptPlace& first = active_.front()->attempt->place();
  routing::ExcludeSet others = excluded_;
  first.is_zone ? others.AddZone(first.zone) : others.AddReplica(first.key);
  Failure failure;
  const auto choice = dispatcher_->Choose(work_, others, &failure);
  if (!choice) return;
  const AttemptPlace place = choice->Place();
  const std::array<retry::RetryCandidate, 1> candidates{
      retry::RetryCandidate{place.key, tracker_.AttemptsOn(place.key), choice->decision.first_token}};
  query.candidates = candidates;
  {
    const std::lock_guard<std::mutex> lock(core_->retry.mutex);
    retry::RetryReason reason;
    if (!policy_.DecideHedge(query, &core_->retry.hedges, &reason)) return;
  }
  if (Start(retry::AttemptKind::kHedge, *choice, &failure)) core_->metrics.CountExtraAttempt("hedge");
}

bool CompletionRun::Fail(Failure failure) {
  // Once an attempt was sent, a later refusal says nothing about what that attempt did.
  if (first_token_seen_) failure.outcome = base::Outcome::kUnknown;
  failure_ = std::move(failure);
  failed_ = true;
  assembler_.Fail();
  tracker_.Close();
  active_.clear();
  return false;
}

}  // namespace cornelplank::gateway

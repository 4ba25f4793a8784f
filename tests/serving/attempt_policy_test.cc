#include <gtest/gtest.h>

#include "libs/serving/serving.h"

namespace cornelplank::serving {
namespace {

struct PolicyCase {
  const char* name;
  RequestProgress progress;
  NextStep step;
};

RequestProgress State(AttemptOutcome end, bool repeatable, uint32_t sends, uint32_t max_sends,
                      bool may_have_run) {
  RequestProgress progress;
  progress.last_outcome = end;
  progress.repeatable = repeatable;
  progress.sends = sends;
  progress.max_sends = max_sends;
  progress.may_have_run = may_have_run;
  progress.time_left = std::chrono::seconds(2);
  return progress;
}

RequestProgress With(RequestProgress progress, void (*change)(RequestProgress&)) {
  change(progress);
  return progress;
}

class AttemptPolicyTest : public ::testing::TestWithParam<PolicyCase> {};

// Guards against a second run of a request that must run at most once, and against a 503, which promises that
// the request has not run, for one that may have run.
TEST_P(AttemptPolicyTest, DecidesNextStep) {
  EXPECT_EQ(DecideNextStep(GetParam().progress), GetParam().step);
}

INSTANTIATE_TEST_SUITE_P(
    Attempts, AttemptPolicyTest,
    ::testing::Values(
        PolicyCase{"Complete", State(AttemptOutcome::kComplete, false, 1, 1, false), NextStep::kDone},
        PolicyCase{"UnknownOutcomeNotRepeatable", State(AttemptOutcome::kUnknown, false, 1, 2, true),
                   NextStep::kFail},
        PolicyCase{"UnknownOutcomeRepeatable", State(AttemptOutcome::kUnknown, true, 1, 2, true),
                   NextStep::kRetry},
        PolicyCase{"UnknownOutcomeRepeatableAtTheSendLimit",
                   State(AttemptOutcome::kUnknown, true, 2, 2, true), NextStep::kFail},
        PolicyCase{"UnknownOutcomeAfterResponseStart",
                   With(State(AttemptOutcome::kUnknown, false, 1, 1, true),
                        [](RequestProgress& progress) { progress.response_started = true; }),
                   NextStep::kAbortResponse},
        PolicyCase{"UnknownOutcomeWithoutRetryBudget",
                   With(State(AttemptOutcome::kUnknown, true, 1, 2, true),
                        [](RequestProgress& progress) { progress.retry_budget_left = false; }),
                   NextStep::kFail},
        PolicyCase{"NotRunAtTheSendLimit", State(AttemptOutcome::kNotRun, false, 1, 1, false),
                   NextStep::kRefuse},
        PolicyCase{"NotRunAfterUnknownOutcomeAtTheSendLimit",
                   State(AttemptOutcome::kNotRun, true, 2, 2, true), NextStep::kFail},
        PolicyCase{"NotRunWithSendsLeft", State(AttemptOutcome::kNotRun, true, 1, 2, false),
                   NextStep::kRetry},
        PolicyCase{"NotSent", State(AttemptOutcome::kNotSent, false, 0, 1, false), NextStep::kRetry},
        PolicyCase{"NotSentBeyondTheLimit",
                   With(State(AttemptOutcome::kNotSent, false, 0, 1, false),
                        [](RequestProgress& progress) { progress.unsent_attempts = kMaxUnsentAttempts + 1; }),
                   NextStep::kRefuse},
        PolicyCase{"WrongReplicaAtTheAddress", State(AttemptOutcome::kWrongReplica, false, 0, 1, false),
                   NextStep::kRetry},
        PolicyCase{"ErrorResponseNotRepeatable", State(AttemptOutcome::kErrorResponse, false, 1, 2, true),
                   NextStep::kForwardErrorResponse},
        PolicyCase{"ErrorResponseRepeatable", State(AttemptOutcome::kErrorResponse, true, 1, 2, true),
                   NextStep::kRetry},
        PolicyCase{
            "TimeUpNothingSent",
            With(State(AttemptOutcome::kNotSent, true, 0, 2, false),
                 [](RequestProgress& progress) { progress.time_left = std::chrono::milliseconds(10); }),
            NextStep::kRefuse},
        PolicyCase{
            "TimeUpMayHaveRun",
            With(State(AttemptOutcome::kUnknown, true, 1, 2, true),
                 [](RequestProgress& progress) { progress.time_left = std::chrono::milliseconds(10); }),
            NextStep::kTimeOut}),
    [](const auto& info) { return info.param.name; });

struct SplitCase {
  const char* name;
  std::vector<std::string> parts;
  std::vector<std::string> events;
  std::vector<uint64_t> ids;
  std::string remainder;
};

class SseEventSplitterTest : public ::testing::TestWithParam<SplitCase> {};

// Guards against forwarding a part of an event: if the stream broke inside it, it could not be resumed
// without a fragment in the client's stream.
TEST_P(SseEventSplitterTest, ReturnsCompleteEventsOnly) {
  SseEventSplitter splitter;
  std::vector<std::string> events;
  std::vector<uint64_t> ids;
  for (const std::string& part : GetParam().parts) {
    splitter.Append(part);
    while (auto event = splitter.Next()) {
      events.push_back(event->text);
      if (event->id) ids.push_back(*event->id);
    }
  }
  EXPECT_EQ(events, GetParam().events);
  EXPECT_EQ(ids, GetParam().ids);
  EXPECT_EQ(splitter.Remainder(), GetParam().remainder);
}

INSTANTIATE_TEST_SUITE_P(
    Streams, SseEventSplitterTest,
    ::testing::Values(
        SplitCase{"OneCompleteEvent", {"id: 1\ndata: a\n\n"}, {"id: 1\ndata: a\n\n"}, {1}, ""},
        SplitCase{"PartsCutAtAnyByte",
                  {"id", ": 7\nda", "ta: a\n", "\nid: 8"},
                  {"id: 7\ndata: a\n\n"},
                  {7},
                  "id: 8"},
        SplitCase{
            "CarriageReturnLineEnds", {"id:3\r\ndata: a\r\n\r\n"}, {"id:3\r\ndata: a\r\n\r\n"}, {3}, ""},
        SplitCase{"OtherFieldBeforeTheId",
                  {"weight-versions: 2\nid: 4\ndata: a\n\n"},
                  {"weight-versions: 2\nid: 4\ndata: a\n\n"},
                  {4},
                  ""},
        SplitCase{"NoId", {"data: a\n\n"}, {"data: a\n\n"}, {}, ""}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank::serving

#include <gtest/gtest.h>

#include "libs/serving/serving.h"

namespace cornelplank::serving {
namespace {

struct PolicyCase {
  const char* name;
  RequestProgress state;
  NextStep step;
};

RequestProgress State(AttemptOutcome end, bool repeatable, uint32_t sends, uint32_t allowed,
                      bool may_have_run) {
  RequestProgress state;
  state.end = end;
  state.repeatable = repeatable;
  state.sends = sends;
  state.sends_allowed = allowed;
  state.may_have_run = may_have_run;
  state.time_left = std::chrono::seconds(2);
  return state;
}

RequestProgress With(RequestProgress state, void (*change)(RequestProgress&)) {
  change(state);
  return state;
}

class AttemptPolicyTest : public ::testing::TestWithParam<PolicyCase> {};

// Guards against a second run of a request that must not repeat, and against a 503 for one that may have run.
TEST_P(AttemptPolicyTest, Decides) { EXPECT_EQ(DecideNext(GetParam().state), GetParam().step); }

INSTANTIATE_TEST_SUITE_P(
    Attempts, AttemptPolicyTest,
    ::testing::Values(
        PolicyCase{"Complete", State(AttemptOutcome::kComplete, false, 1, 1, false), NextStep::kDone},
        PolicyCase{"LostOnceOnly", State(AttemptOutcome::kUnknown, false, 1, 2, true), NextStep::kFail},
        PolicyCase{"LostRepeatable", State(AttemptOutcome::kUnknown, true, 1, 2, true), NextStep::kTryAgain},
        PolicyCase{"LostRepeatableAtTheLimit", State(AttemptOutcome::kUnknown, true, 2, 2, true),
                   NextStep::kFail},
        PolicyCase{"LostMidway",
                   With(State(AttemptOutcome::kUnknown, false, 1, 1, true),
                        [](RequestProgress& state) { state.answer_begun = true; }),
                   NextStep::kBreakOff},
        PolicyCase{"NoBudget",
                   With(State(AttemptOutcome::kUnknown, true, 1, 2, true),
                        [](RequestProgress& state) { state.budget_left = false; }),
                   NextStep::kFail},
        PolicyCase{"FullOnceOnly", State(AttemptOutcome::kNotRun, false, 1, 1, false), NextStep::kRefuse},
        PolicyCase{"FullAfterAnUnknown", State(AttemptOutcome::kNotRun, true, 2, 2, true), NextStep::kFail},
        PolicyCase{"FullWithAttemptsLeft", State(AttemptOutcome::kNotRun, true, 1, 2, false),
                   NextStep::kTryAgain},
        PolicyCase{"NotSent", State(AttemptOutcome::kNotSent, false, 0, 1, false), NextStep::kTryAgain},
        PolicyCase{"NotSentTooOften",
                   With(State(AttemptOutcome::kNotSent, false, 0, 1, false),
                        [](RequestProgress& state) { state.unsent = kUnsentLimit + 1; }),
                   NextStep::kRefuse},
        PolicyCase{"AnotherReplicaAtTheAddress", State(AttemptOutcome::kWrongReplica, false, 0, 1, false),
                   NextStep::kTryAgain},
        PolicyCase{"ErrorOnceOnly", State(AttemptOutcome::kErrorAnswer, false, 1, 2, true),
                   NextStep::kPassAnswer},
        PolicyCase{"ErrorRepeatable", State(AttemptOutcome::kErrorAnswer, true, 1, 2, true),
                   NextStep::kTryAgain},
        PolicyCase{"TimeUpUnsent",
                   With(State(AttemptOutcome::kNotSent, true, 0, 2, false),
                        [](RequestProgress& state) { state.time_left = std::chrono::milliseconds(10); }),
                   NextStep::kRefuse},
        PolicyCase{"TimeUpMayHaveRun",
                   With(State(AttemptOutcome::kUnknown, true, 1, 2, true),
                        [](RequestProgress& state) { state.time_left = std::chrono::milliseconds(10); }),
                   NextStep::kTimeOut}),
    [](const auto& info) { return info.param.name; });

struct SplitCase {
  const char* name;
  std::vector<std::string> parts;
  std::vector<std::string> events;
  std::vector<uint64_t> ids;
  std::string rest;
};

class SseEventSplitterTest : public ::testing::TestWithParam<SplitCase> {};

// Guards against passing on a part of an event: a stream that breaks inside one could not be resumed.
TEST_P(SseEventSplitterTest, PassesOnWholeEventsOnly) {
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
  EXPECT_EQ(splitter.Remainder(), GetParam().rest);
}

INSTANTIATE_TEST_SUITE_P(
    Streams, SseEventSplitterTest,
    ::testing::Values(
        SplitCase{"Whole", {"id: 1\ndata: a\n\n"}, {"id: 1\ndata: a\n\n"}, {1}, ""},
        SplitCase{
            "CutAnywhere", {"id", ": 7\nda", "ta: a\n", "\nid: 8"}, {"id: 7\ndata: a\n\n"}, {7}, "id: 8"},
        SplitCase{"CarriageReturns", {"id:3\r\ndata: a\r\n\r\n"}, {"id:3\r\ndata: a\r\n\r\n"}, {3}, ""},
        SplitCase{"FieldBeforeTheId",
                  {"weight-versions: 2\nid: 4\ndata: a\n\n"},
                  {"weight-versions: 2\nid: 4\ndata: a\n\n"},
                  {4},
                  ""},
        SplitCase{"NoId", {"data: a\n\n"}, {"data: a\n\n"}, {}, ""}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank::serving

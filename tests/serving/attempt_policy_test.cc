#include <gtest/gtest.h>

#include "libs/serving/serving.h"

namespace cornelplank::serving {
namespace {

struct PolicyCase {
  const char* name;
  AttemptState state;
  NextStep step;
};

AttemptState State(AttemptEnd end, bool repeatable, uint32_t sends, uint32_t allowed, bool may_have_run) {
  AttemptState state;
  state.end = end;
  state.repeatable = repeatable;
  state.sends = sends;
  state.sends_allowed = allowed;
  state.may_have_run = may_have_run;
  state.time_left = std::chrono::seconds(2);
  return state;
}

AttemptState With(AttemptState state, void (*change)(AttemptState&)) {
  change(state);
  return state;
}

class AttemptPolicyTest : public ::testing::TestWithParam<PolicyCase> {};

// Guards against a second run of a request that must not repeat, and against a 503 for one that may have run.
TEST_P(AttemptPolicyTest, Decides) { EXPECT_EQ(DecideNext(GetParam().state), GetParam().step); }

INSTANTIATE_TEST_SUITE_P(
    Attempts, AttemptPolicyTest,
    ::testing::Values(
        PolicyCase{"Complete", State(AttemptEnd::kComplete, false, 1, 1, false), NextStep::kDone},
        PolicyCase{"LostOnceOnly", State(AttemptEnd::kUnknown, false, 1, 2, true), NextStep::kFail},
        PolicyCase{"LostRepeatable", State(AttemptEnd::kUnknown, true, 1, 2, true), NextStep::kTryAgain},
        PolicyCase{"LostRepeatableAtTheLimit", State(AttemptEnd::kUnknown, true, 2, 2, true),
                   NextStep::kFail},
        PolicyCase{"LostMidway",
                   With(State(AttemptEnd::kUnknown, false, 1, 1, true),
                        [](AttemptState& state) { state.answer_begun = true; }),
                   NextStep::kBreakOff},
        PolicyCase{"NoBudget",
                   With(State(AttemptEnd::kUnknown, true, 1, 2, true),
                        [](AttemptState& state) { state.budget_left = false; }),
                   NextStep::kFail},
        PolicyCase{"FullOnceOnly", State(AttemptEnd::kNotRun, false, 1, 1, false), NextStep::kRefuse},
        PolicyCase{"FullAfterAnUnknown", State(AttemptEnd::kNotRun, true, 2, 2, true), NextStep::kFail},
        PolicyCase{"FullWithAttemptsLeft", State(AttemptEnd::kNotRun, true, 1, 2, false),
                   NextStep::kTryAgain},
        PolicyCase{"NotSent", State(AttemptEnd::kNotSent, false, 0, 1, false), NextStep::kTryAgain},
        PolicyCase{"NotSentTooOften",
                   With(State(AttemptEnd::kNotSent, false, 0, 1, false),
                        [](AttemptState& state) { state.unsent = kUnsentLimit + 1; }),
                   NextStep::kRefuse},
        PolicyCase{"AnotherReplicaAtTheAddress", State(AttemptEnd::kWrongReplica, false, 0, 1, false),
                   NextStep::kTryAgain},
        PolicyCase{"ErrorOnceOnly", State(AttemptEnd::kErrorAnswer, false, 1, 2, true),
                   NextStep::kPassAnswer},
        PolicyCase{"ErrorRepeatable", State(AttemptEnd::kErrorAnswer, true, 1, 2, true), NextStep::kTryAgain},
        PolicyCase{"TimeUpUnsent",
                   With(State(AttemptEnd::kNotSent, true, 0, 2, false),
                        [](AttemptState& state) { state.time_left = std::chrono::milliseconds(10); }),
                   NextStep::kRefuse},
        PolicyCase{"TimeUpMayHaveRun",
                   With(State(AttemptEnd::kUnknown, true, 1, 2, true),
                        [](AttemptState& state) { state.time_left = std::chrono::milliseconds(10); }),
                   NextStep::kTimeOut}),
    [](const auto& info) { return info.param.name; });

struct SplitCase {
  const char* name;
  std::vector<std::string> parts;
  std::vector<std::string> events;
  std::vector<uint64_t> ids;
  std::string rest;
};

class EventSplitterTest : public ::testing::TestWithParam<SplitCase> {};

// Guards against passing on a part of an event: a stream that breaks inside one could not be resumed.
TEST_P(EventSplitterTest, PassesOnWholeEventsOnly) {
  EventSplitter splitter;
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
  EXPECT_EQ(splitter.Rest(), GetParam().rest);
}

INSTANTIATE_TEST_SUITE_P(
    Streams, EventSplitterTest,
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

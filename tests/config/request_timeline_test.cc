#include <gtest/gtest.h>

#include <sstream>

#include "apps/ctl/commands/commands.h"
#include "apps/ctl/commands/request_timeline.h"

namespace cornelplank::ctl {
namespace {

struct LineCase {
  const char* name;
  std::string text;
  bool valid;
  std::string source;
  std::string event;
  std::string key;
  std::string value;
};
class LogLineTest : public testing::TestWithParam<LineCase> {};

// Guards against misreading lines that a log collector has prefixed, quoted values, and truncated lines.
TEST_P(LogLineTest, IsParsedOrRejected) {
  const auto line = ParseLogLine(GetParam().text, "file");
  ASSERT_EQ(line.has_value(), GetParam().valid);
  if (!line) return;
  EXPECT_EQ(line->source, GetParam().source);
  EXPECT_EQ(line->event, GetParam().event);
  EXPECT_EQ(line->Field(GetParam().key), GetParam().value);
}

INSTANTIATE_TEST_SUITE_P(
    Lines, LogLineTest,
    testing::Values(
        LineCase{"Plain", "time_ms=5 event=answered request=a by=i-1", true, "file", "answered", "by", "i-1"},
        LineCase{"Prefixed", "12.5 vm-3: time_ms=5 event=x request=a\r", true, "vm-3", "x", "request", "a"},
        LineCase{"Quoted", R"(time_ms=5 event=x detail="a \"b\" c" k=v)", true, "file", "x", "detail",
                 R"(a "b" c)"},
        LineCase{"EmptyValue", R"(time_ms=5 event=x by="" k=v)", true, "file", "x", "k", "v"},
        LineCase{"OpenQuote", R"(time_ms=5 event=x detail="a)", false, "", "", "", ""},
        LineCase{"NoTime", "event=x request=a", false, "", "", "", ""},
        LineCase{"TimeIsNoNumber", "time_ms=soon event=x", false, "", "", "", ""},
        LineCase{"CutKey", "time_ms=5 event=x requ", false, "", "", "", ""}),
    [](const auto& info) { return info.param.name; });

const char kLog[] =
    "vm-1 time_ms=10 event=config_in_force version=3 routes=2\n"
    "vm-2 time_ms=11 event=config_in_force version=1 routes=2\n"
    "vm-2 time_ms=20 event=replica_unlisted replica=i-9\n"
    "vm-1 time_ms=40 event=failed request=r1 by=north status=502\n"
    "not a line of ours\n"
    "vm-2 time_ms=35 event=attempt_ended request=r1 replica=i-9 end=unknown hop=1\n"
    "vm-1 time_ms=36 event=answered request=r2 by=i-7\n";

// Guards against events in the order of the files instead of time, events of other requests, and decisions
// without the configuration and replica state that the VM knew when it decided.
TEST(RequestTimelineTest, TellsEachDecisionWithWhatItsVmKnew) {
  RequestTimeline timeline("r1");
  std::istringstream log(kLog);
  timeline.Read(log, "all");
  EXPECT_EQ(timeline.Text(),
            "35 vm-2 attempt_ended end=unknown hop=1 replica=i-9\n"
            "    known: config 1 in force since 11; i-9: replica_unlisted at 20\n"
            "40 vm-1 failed by=north status=502\n"
            "    known: config 3 in force since 10\n");
}

// Guards against an empty output with a success code when no log line mentions the request.
TEST(ExplainRequestTest, FailsWhenNoLineMentionsTheRequest) {
  std::ostringstream out;
  std::ostringstream err;
  std::istringstream log(kLog);
  Options options;
  options.request_id = "r3";
  EXPECT_EQ(RunExplainRequest(options, log, {out, err}), kUnavailable);
  EXPECT_NE(err.str().find("r3"), std::string::npos);
  options.log_files = {"/nowhere/at/all"};
  EXPECT_EQ(RunExplainRequest(options, log, {out, err}), kUsage);
  EXPECT_EQ(out.str(), "");
}

}  // namespace
}  // namespace cornelplank::ctl

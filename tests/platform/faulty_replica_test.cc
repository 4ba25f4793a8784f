#include <gtest/gtest.h>

#include "tests/platform/proxy_path.h"

namespace cornelplank {
namespace {

using testing::ProxyPath;
using testing::SequenceServer;
using Answer = SequenceServer::Answer;

constexpr std::chrono::milliseconds kAnswerTime{150};

std::string Response(const std::string& status, const std::string& id, const std::string& body,
                     const std::string& more = "") {
  return "HTTP/1.1 " + status + "\r\n" + (id.empty() ? "" : "Attempt-Id: " + id + "\r\n") + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const char kSigned[] = "Response-Signature: s\r\n";
const char kNotRun[] = "Not-Executed: 1\r\n";
const char kStreamHead[] =
    "HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n";

struct StrayRefusalCase {
  const char* name;
  std::string stray;  // an earlier refusal once more
  bool while_idle;  // arrives after the first answer, before the second request; else just before its answer
  bool answer_follows;  // the answer to the second request follows
  const char* path;
  std::string expected_status;
  std::string expected_body;
  int second_sends;  // requests that reach the second replica
};
class StrayRefusalTest : public ProxyPath,
                         public ::testing::WithParamInterface<std::tuple<StrayRefusalCase, bool>> {};

// Guards against the refusal of an earlier request that is taken for that of one which the replica runs.
TEST_P(StrayRefusalTest, SaysNothingAboutALaterRequest) {
  const auto& [param, over_hops] = GetParam();
  const std::string first_answer = Response("200 OK", "1", "first", kSigned);
  const std::string answer = param.answer_follows ? Response("200 OK", "2", "own", kSigned) : "";
  Answer to_first{first_answer, false, param.while_idle ? param.stray : ""};
  Answer to_second{(param.while_idle ? "" : param.stray) + answer, !param.answer_follows, ""};
  SequenceServer first(loop, {to_first, to_second});
  SequenceServer second(loop, {{Response("200 OK", "2", "second", kSigned), false, ""}});
  Connect(first.Endpoint(), second.Endpoint(), over_hops);
  ASSERT_TRUE(Send(param.path, "1", kAnswerTime).starts_with("HTTP/1.1 200"));
  const std::string response = Send(param.path, "2", kAnswerTime);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 " + param.expected_status)) << response;
  EXPECT_TRUE(response.ends_with("\r\n\r\n" + param.expected_body)) << response;
  EXPECT_EQ(first.requests(), 2);
  EXPECT_EQ(second.requests(), param.second_sends);
}

std::string CaseName(const ::testing::TestParamInfo<std::tuple<StrayRefusalCase, bool>>& info) {
  return std::string(std::get<0>(info.param).name) + (std::get<1>(info.param) ? "OverAHop" : "");
}

INSTANTIATE_TEST_SUITE_P(
    Strays, StrayRefusalTest,
    ::testing::Combine(
        ::testing::Values(StrayRefusalCase{"Full", Response("503 Full", "1", "", kNotRun), false, true,
                                           "/once/a", "200", "own", 0},
                          StrayRefusalCase{"Moved", Response("421 Moved", "1", "", kNotRun), false, true,
                                           "/once/a", "200", "own", 0},
                          StrayRefusalCase{"FullNoAnswer", Response("503 Full", "1", "", kNotRun), false,
                                           false, "/once/a", "502", "", 0},
                          StrayRefusalCase{"FullIdle", Response("503 Full", "1", "", kNotRun), true, true,
                                           "/once/a", "200", "own", 0},
                          StrayRefusalCase{"FullOfNoRequest", Response("503 Full", "", "", kNotRun), false,
                                           true, "/once/a", "502", "", 0},
                          StrayRefusalCase{"MovedOfNoRequest", Response("421 Moved", "", ""), false, true,
                                           "/once/a", "502", "", 0},
                          StrayRefusalCase{"ErrorOfNoRequest", Response("500 No", "", "why", kSigned), false,
                                           true, "/once/a", "502", "", 0},
                          StrayRefusalCase{"FullOfNoRequestSafe", Response("503 Full", "", "", kNotRun),
                                           false, true, "/safe/a", "200", "second", 1}),
        ::testing::Bool()),
    CaseName);

struct ResumptionCase {
  const char* name;
  std::string second;  // answer of the replica that is to resume the stream
};
class FailedResumptionTest : public ProxyPath,
                             public ::testing::WithParamInterface<std::tuple<ResumptionCase, bool>> {};

// Guards against a later replica's error in the middle of a stream, or a broken-off stream that looks whole.
TEST_P(FailedResumptionTest, EndsTheStreamRecognisably) {
  const auto& [param, over_hops] = GetParam();
  SequenceServer first(loop, {{std::string(kStreamHead) + "id: 1\ndata: a\n\nid: 2\nda", true, ""}});
  SequenceServer second(loop, {{param.second, true, ""}});
  Connect(first.Endpoint(), second.Endpoint(), over_hops);
  const std::string response = Send("/stream/a", "2", std::chrono::milliseconds(400));
  EXPECT_EQ(second.requests(), 1);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
  EXPECT_NE(response.find("id: 1\ndata: a\n\n"), std::string::npos) << response;
  EXPECT_EQ(response.find("why"), std::string::npos) << response;
  EXPECT_EQ(response.rfind("HTTP/1.1"), 0U) << response;
  EXPECT_EQ(response.find("id: 2"), std::string::npos) << response;
  EXPECT_EQ(response.find("\r\n0\r\n"), std::string::npos) << response;
}

INSTANTIATE_TEST_SUITE_P(
    Errors, FailedResumptionTest,
    ::testing::Combine(::testing::Values(ResumptionCase{"Error", Response("500 No", "2", "why", kSigned)},
                                         ResumptionCase{"NotFound", Response("404 No", "2", "why", kSigned)},
                                         ResumptionCase{"Refusal", Response("503 Full", "2", "why", kNotRun)},
                                         ResumptionCase{"UnsignedError", Response("502 No", "2", "why")},
                                         ResumptionCase{"WholeBody", Response("200 OK", "2", "why", kSigned)},
                                         ResumptionCase{"UnsignedSuccess", Response("200 OK", "2", "why")},
                                         ResumptionCase{"NoResponse", "why why\r\n\r\n"},
                                         ResumptionCase{"HeadOnly", std::string(kStreamHead).substr(0, 60)}),
                       ::testing::Bool()),
    [](const auto& info) {
      return std::string(std::get<0>(info.param).name) + (std::get<1>(info.param) ? "OverAHop" : "");
    });

struct OddStatusCase {
  const char* name;
  std::string status;
};
struct RouteCase {
  const char* name;
  const char* path;
  const char* expected_status;
};
class OddStatusTest : public ProxyPath,
                      public ::testing::WithParamInterface<std::tuple<OddStatusCase, RouteCase, bool, bool>> {
};

// Guards against a replica's invalid status, or an interim one, that the client gets as that of an answer.
TEST_P(OddStatusTest, IsNoAnswer) {
  const auto& [param, route, event_stream, over_hops] = GetParam();
  const std::string type = event_stream ? "Content-Type: text/event-stream\r\n" : "";
  const std::string event = "id: 1\ndata: why\n\n";
  SequenceServer first(loop, {{Response(param.status, "2", event, kSigned + type), true, ""}});
  SequenceServer second(loop, {{Response("200 OK", "2", "id: 1\ndata: a\n\n", kSigned + type), false, ""}});
  Connect(first.Endpoint(), second.Endpoint(), over_hops);
  const std::string response = Send(route.path, "2", kAnswerTime);
  EXPECT_TRUE(response.starts_with(std::string("HTTP/1.1 ") + route.expected_status)) << response;
  EXPECT_EQ(response.find("why"), std::string::npos) << response;
  EXPECT_EQ(response.find("data: a") != std::string::npos, second.requests() == 1) << response;
  EXPECT_EQ(second.requests(), std::string(route.expected_status) == "200" ? 1 : 0);
}

std::string OddStatusName(const ::testing::TestParamInfo<OddStatusTest::ParamType>& info) {
  const auto& [status, route, event_stream, over_hops] = info.param;
  return std::string(status.name) + route.name + (event_stream ? "Events" : "") +
         (over_hops ? "OverAHop" : "");
}

INSTANTIATE_TEST_SUITE_P(
    Statuses, OddStatusTest,
    ::testing::Combine(
        ::testing::Values(OddStatusCase{"Zero", "000 No"}, OddStatusCase{"BelowInterim", "099 No"},
                          OddStatusCase{"SwitchingProtocols", "101 Up"}, OddStatusCase{"Hints", "103 Hints"},
                          OddStatusCase{"AboveErrors", "600 No"}, OddStatusCase{"Greatest", "999 No"},
                          OddStatusCase{"FourDigits", "2000 OK"}, OddStatusCase{"TwoDigits", "20 OK"},
                          OddStatusCase{"NoDigits", "OK"}),
        ::testing::Values(RouteCase{"Once", "/once/a", "502"}, RouteCase{"Safe", "/safe/a", "200"},
                          RouteCase{"Stream", "/stream/a", "200"}),
        ::testing::Bool(), ::testing::Bool()),
    OddStatusName);

class InterimResponseTest : public ProxyPath,
                            public ::testing::WithParamInterface<std::tuple<const char*, bool>> {};

// Guards against an interim response before the answer that the client gets in its place.
TEST_P(InterimResponseTest, IsDropped) {
  const auto& [status, over_hops] = GetParam();
  const std::string interim = std::string("HTTP/1.1 ") + status + "\r\nLink: </a>\r\n\r\n";
  SequenceServer first(loop, {{interim + Response("200 OK", "2", "own", kSigned), false, ""}});
  SequenceServer second(loop, {});
  Connect(first.Endpoint(), second.Endpoint(), over_hops);
  const std::string response = Send("/once/a", "2", kAnswerTime);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
  EXPECT_TRUE(response.ends_with("\r\n\r\nown")) << response;
}

INSTANTIATE_TEST_SUITE_P(Statuses, InterimResponseTest,
                         ::testing::Combine(::testing::Values("100 Continue", "102 Wait", "103 Hints"),
                                            ::testing::Bool()),
                         [](const auto& info) {
                           return "Status" + std::string(std::get<0>(info.param)).substr(0, 3) +
                                  (std::get<1>(info.param) ? "OverAHop" : "");
                         });

struct CutHeadCase {
  const char* name;
  std::string head;
  const char* path;
  std::string expected_status;  // of the client's response
};
class CutHeadTest : public ProxyPath, public ::testing::WithParamInterface<std::tuple<CutHeadCase, bool>> {};

// Guards against a 200 with an empty or short body after a replica that closed inside the head of its answer.
TEST_P(CutHeadTest, IsNoAnswer) {
  const auto& [param, over_hops] = GetParam();
  constexpr size_t kStep = 7;  // every so many bytes; each case has another remainder of its length
  std::vector<Answer> cuts;
  for (size_t size = 0; size < param.head.size(); size += kStep) {
    cuts.push_back({param.head.substr(0, size), true, ""});
  }
  cuts.push_back({param.head.substr(0, param.head.size() - 1), true, ""});
  cuts.push_back({param.head.substr(0, param.head.size() - 2), true, ""});
  SequenceServer first(loop, cuts);
  const Answer whole{Response("200 OK", "2", "second", kSigned), false, ""};
  SequenceServer second(loop, std::vector<Answer>(cuts.size(), whole));
  Connect(first.Endpoint(), second.Endpoint(), over_hops);
  for (size_t i = 0; i < cuts.size(); ++i) {
    const std::string response = Send(param.path, "2", std::chrono::milliseconds(60));
    EXPECT_TRUE(response.starts_with("HTTP/1.1 " + param.expected_status))
        << cuts[i].bytes << "\n-> " << response;
    if (param.expected_status != "200") continue;
    EXPECT_TRUE(response.ends_with("\r\n\r\nsecond")) << cuts[i].bytes << "\n-> " << response;
  }
}

const char kWholeHead[] =
    "HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\nResponse-Signature: s\r\nContent-Length: 12\r\n\r\n";
const char kHeadWithoutLength[] = "HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\nResponse-Signature: s\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Heads, CutHeadTest,
    ::testing::Combine(::testing::Values(CutHeadCase{"Once", kWholeHead, "/once/a", "502"},
                                         CutHeadCase{"Safe", kWholeHead, "/safe/a", "200"},
                                         CutHeadCase{"OnceWithoutLength", kHeadWithoutLength, "/once/a",
                                                     "502"}),
                       ::testing::Bool()),
    [](const auto& info) {
      return std::string(std::get<0>(info.param).name) + (std::get<1>(info.param) ? "OverAHop" : "");
    });

struct MovedRouteCase {
  const char* name;
  bool newer_version_heard;  // by the VM that the request is forwarded to
  const char* expected_status;
  int expected_sends;
};
class MovedRouteTest : public ProxyPath, public ::testing::WithParamInterface<MovedRouteCase> {};

// Guards against requests that an outdated VM forwards and that the former service of their route runs.
TEST_P(MovedRouteTest, IsNotRunByTheFormerService) {
  SequenceServer first(loop, {{Response("200 OK", "1", "first", kSigned), false, ""}});
  SequenceServer second(loop, {{Response("200 OK", "1", "second", kSigned), false, ""}});
  Connect(first.Endpoint(), second.Endpoint(), true);
  for (const auto& vm : remote) {
    MoveRoutes(*vm, "other");
    vm->registry.config_freshness().OnConfirmed(clock.Now());
    if (!GetParam().newer_version_heard) continue;
    vm->registry.config_freshness().OnVersionHeard(vm->registry.config()->version + 1, clock.Now());
  }
  const std::string response = Send("/once/a", "1", kAnswerTime);
  EXPECT_TRUE(response.starts_with(std::string("HTTP/1.1 ") + GetParam().expected_status)) << response;
  EXPECT_EQ(first.requests() + second.requests(), GetParam().expected_sends);
}

INSTANTIATE_TEST_SUITE_P(Versions, MovedRouteTest,
                         ::testing::Values(MovedRouteCase{"SenderIsBehind", false, "503", 0},
                                           MovedRouteCase{"SenderMayBeAhead", true, "200", 1}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank

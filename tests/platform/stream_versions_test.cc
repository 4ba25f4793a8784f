#include <gtest/gtest.h>

#include "tests/platform/proxy_path.h"

namespace cornelplank {
namespace {

using std::chrono::milliseconds;
using testing::KnownOrigins;
using testing::ProxyPath;
using testing::SequenceServer;
using Answer = SequenceServer::Answer;

constexpr char kKeyHeader[] = "Cornelplank-Software";

/// The head and first bytes of a replica's stream to the client's attempt `id`.
std::string Stream(const std::string& id, const std::string& events, const std::string& headers = "") {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Signature: s\r\n" + headers +
         "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n" + events;
}

Answer BreaksOff(const std::string& id) { return {Stream(id, "id: 1\ndata: a\n\nid: 2\nda"), true, ""}; }
Answer Ends(const std::string& id) { return {Stream(id, "id: 2\ndata: b\n\n"), true, ""}; }

std::string TakeUp(const std::string& resumes) {
  return "Last-Event-Id: 1\r\n" + (resumes.empty() ? "" : "Resumes: " + resumes + "\r\n");
}

bool IsWhole(const std::string& response) {
  return response.starts_with("HTTP/1.1 200") && response.find("\r\n0\r\n\r\n") != std::string::npos;
}

bool IsRefusal(const std::string& response) {
  return response.starts_with("HTTP/1.1 503") && response.find("Retry-After: ") != std::string::npos &&
         response.find("data:") == std::string::npos;
}

struct StreamVersionsTest : ProxyPath {
  StreamVersionsTest() : entry_origins(loop), hop_origins(loop) {
    origins = &entry_origins;
    remote_origins = &hop_origins;
    // The second replica is the worse one, but can end a response in time.
    second_load = 20;
    hop_wait = milliseconds(150);
  }

  const std::string& Reason() { return reason = std::string(entry->last_request.summary.reason); }

  KnownOrigins entry_origins;
  KnownOrigins hop_origins;
  std::string reason;
};

struct WayCase {
  const char* name;
  bool over_hops;
};
class StreamWayTest : public StreamVersionsTest, public ::testing::WithParamInterface<WayCase> {};

struct ContinuationCase {
  const char* name;
  bool over_hops;
  const char* second_version;  // the stream begins at v1
  bool whole;
};
class ContinuationTest : public StreamVersionsTest, public ::testing::WithParamInterface<ContinuationCase> {};

// Guards against an answer whose text is joined from two software versions after its replica has broken off.
TEST_P(ContinuationTest, HappensOnlyAtTheVersionThatBeganTheStream) {
  SequenceServer first(loop, {BreaksOff("1")});
  SequenceServer second(loop, {Ends("1")});
  second_version = GetParam().second_version;
  Connect(first.Endpoint(), second.Endpoint(), GetParam().over_hops);
  const std::string response = Send("/stream/a", "1", milliseconds(300));
  EXPECT_NE(response.find("data: a"), std::string::npos) << response;
  EXPECT_EQ(IsWhole(response), GetParam().whole) << response;
  EXPECT_EQ(response.find("data: b") != std::string::npos, GetParam().whole) << response;
  EXPECT_EQ(second.requests(), GetParam().whole ? 1 : 0);
}

INSTANTIATE_TEST_SUITE_P(Ways, ContinuationTest,
                         ::testing::Values(ContinuationCase{"OwnReplicaOfAnother", false, "v2", false},
                                           ContinuationCase{"OwnReplicaOfTheSame", false, "v1", true},
                                           ContinuationCase{"RegionOfAnother", true, "v2", false},
                                           ContinuationCase{"RegionOfTheSame", true, "v1", true}),
                         [](const auto& info) { return info.param.name; });

// Guards against a VM of another region that continues a stream at a replica of another version.
TEST_F(StreamVersionsTest, AForwardedContinuationReachesTheVersionThatBeganTheStream) {
  SequenceServer first(loop, {BreaksOff("1")});
  SequenceServer other(loop, {Ends("1")});
  SequenceServer same(loop, {Ends("1")});
  second_version = "v2";
  Connect(first.Endpoint(), other.Endpoint(), true);
  AddReplica(*remote[1], "far", "same", same.Endpoint(), false, "v1");
  AddReplica(*entry, "far", "same", same.Endpoint(), true, "v1");
  const std::string response = Send("/stream/a", "1", milliseconds(300));
  EXPECT_TRUE(IsWhole(response)) << response;
  EXPECT_EQ(other.requests(), 0);
  EXPECT_EQ(same.requests(), 1);
}

// Guards against an attempt without an event that binds the request to the version of its replica.
TEST_P(StreamWayTest, AnAttemptWithoutAnEventBindsNothing) {
  SequenceServer first(loop, {{Stream("1", ""), true, ""}});
  SequenceServer second(loop, {Ends("1")});
  second_version = "v2";
  Connect(first.Endpoint(), second.Endpoint(), GetParam().over_hops);
  const std::string response = Send("/stream/a", "1", milliseconds(300));
  EXPECT_TRUE(IsWhole(response)) << response;
  EXPECT_EQ(second.requests(), 1);
  EXPECT_EQ(entry_origins.VersionOf("1"), "v2");
}

// Guards against a client that takes its stream up again and gets the rest from another software version.
TEST_P(StreamWayTest, ATakeUpReachesTheRecordedVersion) {
  SequenceServer first(loop, {Ends("2")});
  SequenceServer second(loop, {Ends("2")});
  first_version = "v2";
  entry_origins.Set("1", "v1");
  Connect(first.Endpoint(), second.Endpoint(), GetParam().over_hops);
  const std::string response = Send("/stream/a", "2", milliseconds(200), "hi", TakeUp("1"));
  EXPECT_TRUE(IsWhole(response)) << response;
  EXPECT_EQ(first.requests(), 0);
  EXPECT_EQ(second.requests(), 1);
}

// Guards against a VM that doesn't remember, or remembers wrongly, at which version a stream began.
TEST_P(StreamWayTest, TheVersionOfTheFirstEventIsRecorded) {
  SequenceServer first(loop,
                       {{Stream("1", "id: 1\ndata: a\n\n", "Cornelplank-Software: 1234\r\n"), true, ""}});
  SequenceServer second(loop, {});
  second_version = "v2";
  Connect(first.Endpoint(), second.Endpoint(), GetParam().over_hops);
  const std::string response = Send("/stream/a", "1", milliseconds(200));
  EXPECT_TRUE(IsWhole(response)) << response;
  EXPECT_EQ(entry_origins.VersionOf("1"), "v1");
  EXPECT_EQ(hop_origins.VersionOf("1"), "");  // the client may never get the event from there
  EXPECT_EQ(response.find(kKeyHeader), std::string::npos) << response;
}

// Guards against a chain of take-ups that is forgotten while the client still continues it.
TEST_P(StreamWayTest, ATakeUpIsRecordedUnderItsFirstAttemptAndItsOwn) {
  SequenceServer first(loop, {Ends("2")});
  SequenceServer second(loop, {});
  entry_origins.Set("1", "v1");
  Connect(first.Endpoint(), second.Endpoint(), GetParam().over_hops);
  Send("/stream/a", "2", milliseconds(200), "hi", TakeUp("1"));
  EXPECT_EQ(entry_origins.VersionOf("1"), "v1");
  EXPECT_EQ(entry_origins.VersionOf("2"), "v1");
  if (!GetParam().over_hops) return;
  EXPECT_EQ(hop_origins.VersionOf("1"), "v1");
  EXPECT_EQ(hop_origins.VersionOf("2"), "v1");
  EXPECT_EQ(hop_origins.lookups, 0);
}

// Guards against a continued take-up whose own replica breaks off and whose rest comes from another version.
TEST_P(StreamWayTest, ATakeUpThatBreaksOffStaysAtItsVersion) {
  SequenceServer first(loop, {{Stream("2", "id: 2\ndata: b\n\nid: 3\nda"), true, ""}});
  SequenceServer second(loop, {{Stream("2", "id: 3\ndata: c\n\n"), true, ""}});
  second_version = "v2";
  entry_origins.Set("1", "v1");
  Connect(first.Endpoint(), second.Endpoint(), GetParam().over_hops);
  const std::string response = Send("/stream/a", "2", milliseconds(300), "hi", TakeUp("1"));
  EXPECT_NE(response.find("data: b"), std::string::npos) << response;
  EXPECT_FALSE(IsWhole(response)) << response;
  EXPECT_EQ(second.requests(), 0);
}

// Guards against headers between VMs that clients set.
TEST_P(StreamWayTest, AClientDoesNotChooseTheVersion) {
  SequenceServer first(loop, {Ends("1")});
  SequenceServer second(loop, {Ends("1")});
  second_version = "v2";
  Connect(first.Endpoint(), second.Endpoint(), GetParam().over_hops);
  const std::string key = std::to_string(serving::SoftwareKey("svc", "v2"));
  const std::string response =
      Send("/stream/a", "1", milliseconds(200), "hi", std::string(kKeyHeader) + ": " + key + "\r\n");
  EXPECT_TRUE(IsWhole(response)) << response;
  EXPECT_EQ(first.requests(), 1);
  EXPECT_EQ(first.received().find(kKeyHeader), std::string::npos) << first.received();
}

INSTANTIATE_TEST_SUITE_P(Ways, StreamWayTest,
                         ::testing::Values(WayCase{"OwnReplica", false}, WayCase{"OverAHop", true}),
                         [](const auto& info) { return info.param.name; });

struct RefusedTakeUpCase {
  const char* name;
  bool over_hops;
  const char* resumes;
  const char* origin;  // of the stream; empty: unknown
  const char* reason;
};
class RefusedTakeUpTest : public StreamVersionsTest,
                          public ::testing::WithParamInterface<RefusedTakeUpCase> {};

// Guards against a take-up that is answered by a version other than the one that began the stream.
TEST_P(RefusedTakeUpTest, ReachesNoReplica) {
  const auto& param = GetParam();
  SequenceServer first(loop, {Ends("2")});
  SequenceServer second(loop, {Ends("2")});
  if (*param.origin != '\0') entry_origins.Set("1", param.origin);
  Connect(first.Endpoint(), second.Endpoint(), param.over_hops);
  const std::string response = Send("/stream/a", "2", milliseconds(150), "hi", TakeUp(param.resumes));
  EXPECT_TRUE(IsRefusal(response)) << response;
  EXPECT_EQ(Reason(), param.reason);
  EXPECT_EQ(first.requests() + second.requests(), 0);
  EXPECT_EQ(entry_origins.asked_services, std::vector<uint64_t>{base::Hash64("svc")});
}

INSTANTIATE_TEST_SUITE_P(
    TakeUps, RefusedTakeUpTest,
    ::testing::Values(RefusedTakeUpCase{"OfUnknownOrigin", false, "1", "", "software_unknown"},
                      RefusedTakeUpCase{"OfUnknownOriginOverAHop", true, "1", "", "software_unknown"},
                      RefusedTakeUpCase{"OfAnotherAttempt", false, "3", "v1", "software_unknown"},
                      RefusedTakeUpCase{"WithoutAttempt", false, "", "v1", "software_unknown"},
                      RefusedTakeUpCase{"OfAVersionThatHasLeft", false, "1", "v0", "software_gone"},
                      RefusedTakeUpCase{"OfAVersionThatHasLeftOverAHop", true, "1", "v0", "software_gone"}),
    [](const auto& info) { return info.param.name; });

// Guards against take-ups without the first attempt's id that are refused although only one version served.
TEST_F(StreamVersionsTest, ATakeUpWithoutAttemptGoesToTheOnlyVersion) {
  SequenceServer first(loop, {Ends("2")});
  SequenceServer second(loop, {Ends("2")});
  first_version = "v2";
  entry_origins.without_attempt = serving::SoftwareKey("svc", "v1");
  Connect(first.Endpoint(), second.Endpoint(), false);
  const std::string response = Send("/stream/a", "2", milliseconds(200), "hi", TakeUp(""));
  EXPECT_TRUE(IsWhole(response)) << response;
  EXPECT_EQ(first.requests(), 0);
}

struct EventIdCase {
  const char* name;
  const char* path;
  const char* headers;
  const char* status;
};
class EventIdTest : public StreamVersionsTest, public ::testing::WithParamInterface<EventIdCase> {};

// Guards against a resumption whose event can't be told and that is placed as a new request.
TEST_P(EventIdTest, UnreadableReachesNoReplica) {
  SequenceServer first(loop, {Ends("2")});
  SequenceServer second(loop, {});
  Connect(first.Endpoint(), second.Endpoint(), false);
  const std::string response =
      Send(GetParam().path, "2", milliseconds(100), "hi", std::string(GetParam().headers));
  EXPECT_TRUE(response.starts_with(std::string("HTTP/1.1 ") + GetParam().status)) << response;
  EXPECT_NE(response.find("Attempt-Id: 2\r\n"), std::string::npos) << response;
  EXPECT_EQ(first.requests(), std::string(GetParam().status) == "200" ? 1 : 0);
}

INSTANTIATE_TEST_SUITE_P(
    Headers, EventIdTest,
    ::testing::Values(EventIdCase{"Text", "/stream/a", "Last-Event-Id: x\r\n", "400"},
                      EventIdCase{"TextAfterNumber", "/stream/a", "Last-Event-Id: 1x\r\n", "400"},
                      EventIdCase{"Negative", "/stream/a", "Last-Event-Id: -1\r\n", "400"},
                      EventIdCase{"TooLarge", "/stream/a", "Last-Event-Id: 18446744073709551616\r\n", "400"},
                      EventIdCase{"Two", "/stream/a", "Last-Event-Id: 1\r\nlast-event-id: 2\r\n", "400"},
                      EventIdCase{"Empty", "/stream/a", "Last-Event-Id:\r\n", "200"},
                      EventIdCase{"NoStream", "/safe/a", "Last-Event-Id: x\r\n", "200"}),
    [](const auto& info) { return info.param.name; });

// Guards against a route of several services on which a take-up goes to another service than its stream.
TEST_F(StreamVersionsTest, ATakeUpStaysAtItsService) {
  SequenceServer first(loop, {Ends("2")});
  SequenceServer second(loop, {});
  entry_origins.Set("1", "v1");
  Connect(first.Endpoint(), second.Endpoint(), false);
  ChangeConfig(*entry, [](serving::RoutingConfig& config) {
    config.services["more"] = serving::ServiceConfig{"more", "/health", 10, {}, 0, std::nullopt};
    for (auto& route : config.routes) route.services = {{"more", 1e9}, {"svc", 1}};
  });
  const std::string response = Send("/stream/a", "2", milliseconds(200), "hi", TakeUp("1"));
  EXPECT_TRUE(IsWhole(response)) << response;
  EXPECT_EQ(first.requests(), 1);
}

// Guards against a take-up that follows its stream to a service which the route doesn't offer any more.
TEST_F(StreamVersionsTest, ATakeUpDoesNotReachAServiceThatTheRouteHasLeft) {
  SequenceServer first(loop, {Ends("2")});
  SequenceServer second(loop, {});
  entry_origins.Set("1", "v1");
  Connect(first.Endpoint(), second.Endpoint(), false);
  MoveRoutes(*entry, "more");
  const std::string response = Send("/stream/a", "2", milliseconds(200), "hi", TakeUp("1"));
  EXPECT_TRUE(IsRefusal(response)) << response;
  EXPECT_EQ(Reason(), "software_gone");
  EXPECT_EQ(first.requests(), 0);
}

// Guards against a stream that began in a region whose VM doesn't state the version and goes on at any.
TEST_F(StreamVersionsTest, AStreamOfUnknownVersionIsNotContinued) {
  SequenceServer vm(loop, {BreaksOff("1")});
  SequenceServer second(loop, {Ends("1")});
  Connect(vm.Endpoint(), second.Endpoint(), true);
  hops.vms["near"] = vm.Endpoint();
  const std::string response = Send("/stream/a", "1", milliseconds(300));
  EXPECT_NE(response.find("data: a"), std::string::npos) << response;
  EXPECT_FALSE(IsWhole(response)) << response;
  EXPECT_EQ(second.requests(), 0);
  EXPECT_EQ(entry_origins.VersionOf("1"), "");
}

// Guards against the rest of a stream from a VM that doesn't state, or states another, version.
TEST_F(StreamVersionsTest, AForwardedTakeUpIsNotAnsweredByAVmThatIgnoresItsVersion) {
  SequenceServer vm(loop, {Ends("2")});
  SequenceServer second(loop, {});
  entry_origins.Set("1", "v1");
  Connect(vm.Endpoint(), second.Endpoint(), true);
  hops.vms["near"] = vm.Endpoint();
  hops.regions.resize(1);
  const std::string response = Send("/stream/a", "2", milliseconds(200), "hi", TakeUp("1"));
  EXPECT_EQ(vm.requests(), 1);
  EXPECT_EQ(response.find("data:"), std::string::npos) << response;
}

// Guards against a lookup that keeps a request alive whose client has left.
TEST_F(StreamVersionsTest, AClientThatLeavesDuringTheLookupReachesNoReplica) {
  SequenceServer first(loop, {Ends("2")});
  SequenceServer second(loop, {});
  entry_origins.Set("1", "v1");
  entry_origins.delay = milliseconds(100);
  Connect(first.Endpoint(), second.Endpoint(), false);
  {
    net::Tcp::socket client(loop);
    client.connect(testing::Loopback(entry->server->Port()));
    const std::string request =
        "POST /stream/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 2\r\nLast-Event-Id: 1\r\nResumes: 1\r\n"
        "Deadline-Ms: 2000\r\nContent-Length: 2\r\n\r\nhi";
    net::asio::write(client, net::asio::buffer(request));
    testing::RunFor(loop, milliseconds(40));
  }
  testing::RunFor(loop, milliseconds(200));
  EXPECT_EQ(entry_origins.lookups, 1);
  EXPECT_EQ(entry->last_request.summary.outcome, "client_gone");
  EXPECT_EQ(first.requests(), 0);
}

// Guards against admission control that breaks off streams which have been admitted before.
TEST_F(StreamVersionsTest, AdmissionControlRefusesNoTakeUp) {
  constexpr int kStreams = 60;
  SequenceServer first(loop, std::vector<Answer>(kStreams, Ends("1")));
  SequenceServer second(loop, {});
  Connect(first.Endpoint(), second.Endpoint(), false);
  ChangeConfig(*entry, [](serving::RoutingConfig& config) {
    config.services["svc"].engine = serving::ModelEngineConfig{8, 90000};
    for (serving::RouteConfig& route : config.routes) route.target_latency = milliseconds(0);
  });
  int refused = 0;
  for (int i = 0; i < kStreams; ++i) refused += IsRefusal(Send("/stream/a", "1", milliseconds(1))) ? 1 : 0;
  EXPECT_GT(refused, 0);
  EXPECT_EQ(Reason(), entry->last_request.summary.outcome == "refused" ? "engines_late" : "");
  entry_origins.Set("1", "v1");
  for (int i = 0; i < 10; ++i) {
    const std::string response = Send("/stream/a", "1", milliseconds(1), "hi", TakeUp("1"));
    EXPECT_TRUE(IsWhole(response)) << response;
  }
}

}  // namespace
}  // namespace cornelplank

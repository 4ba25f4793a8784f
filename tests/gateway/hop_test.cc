#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "libs/rpc/rpc.h"
#include "tests/gateway/fake_fleet.h"

namespace cornelplank::gateway {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Handler of a node that only sends.
class NoHandler final : public rpc::NodeHandler {
 public:
  rpc::ForwardEnd OnForward(const rpc::ForwardRequest&, rpc::AnswerWriter&) override { return {}; }
  std::string OnControl(const rpc::PeerIdentity&, uint16_t, std::string_view) override { return ""; }
};

FakeUpstream::Handler Tokens() {
  return [](const http::Request& request) { return ScriptedStream(request, {.count = 5}); };
}

// Guards against a request whose data may be processed only in its home region but that runs in the region
// where it arrived, and against a hop that loses the answer.
TEST(HopTest, ServesARequestInTheHomeOfItsData) {
  FakeUpstream near(Tokens());
  FakeUpstream home(Tokens());
  FakeFleet fleet;
  fleet.AddEngine("a", "near", near.address());
  fleet.AddEngine("b", "home", home.address());
  const size_t a = fleet.StartVm("a");
  fleet.StartVm("b");
  const auto reachable = [](const std::string& dump) {
    const json state = json::parse(dump);
    for (const auto& zone : state["replicas"]["zones"]) {
      if (zone["zone"] == "b-1") return state["vms"].size() == 2 && zone["sum_age_ms"] >= 0;
    }
    return false;
  };
  ASSERT_TRUE(fleet.Await(a, reachable));
  auto request = fleet.Completion(a, true);
  request.headers["Authorization"] = "Bearer two";
  bool whole = false;
  const std::string stream = fleet.ReadStream(request, &whole);
  EXPECT_TRUE(whole) << stream;
  EXPECT_TRUE(stream.ends_with("data: [DONE]\n\n")) << stream;
  EXPECT_EQ(home.Received().size(), 1U);
  EXPECT_TRUE(near.Received().empty());
}

struct RefusedHopCase {
  const char* name;
  std::vector<std::string> visited;  // zones; the VM under test is in b-1
  std::string home;
  std::string residency;
  uint64_t config_seq;
  const char* code;  // empty: the hop is accepted
};
class RefusedHopTest : public testing::TestWithParam<RefusedHopCase> {};

// The receiver checks each hop again and does not rely on the VM that forwards it. Guards against loops,
// second hops, data whose home is elsewhere, and requests accepted under a newer configuration than the
// receiver's.
TEST_P(RefusedHopTest, IsRefusedAsNotRun) {
  FakeUpstream engine(Tokens());
  FakeFleet fleet;
  fleet.AddEngine("b", "e1", engine.address());
  const size_t vm = fleet.StartVm("b");
  NoHandler handler;
  rpc::NodeOptions options;
  options.identity = {"tester", 1, ""};
  options.shared_key = fleet.settings(vm).peers_key;
  const auto node = rpc::Node::Start(options, &handler, nullptr);
  rpc::ForwardRequest request;
  request.attempt_id = "r.1";
  request.remaining = milliseconds{2000};
  request.config_seq = GetParam().config_seq;
  request.visited_zones = GetParam().visited;
  request.client_id = "one";
  request.partner = "p";
  request.priority_class = "desk";
  request.home = GetParam().home;
  request.residency = GetParam().residency;
  request.target = "m";
  request.body = R"({"model":"m","stream":true,"messages":[{"content":"c"}]})";
  const auto call = node->Forward("127.0.0.1:" + std::to_string(fleet.vm(vm).peers_port()), request);
  rpc::ForwardEvent event;
  do {
    event = call->Next(milliseconds{5000});
  } while (event.kind == rpc::ForwardEvent::Kind::kHead || event.kind == rpc::ForwardEvent::Kind::kData);
  ASSERT_EQ(event.kind, rpc::ForwardEvent::Kind::kEnd);
  const bool accepted = std::string(GetParam().code).empty();
  EXPECT_EQ(event.end.complete, accepted);
  EXPECT_EQ(event.end.code, GetParam().code);
  EXPECT_EQ(engine.Received().size(), accepted ? 1U : 0U);
  if (!accepted) {
    EXPECT_EQ(event.end.outcome, base::Outcome::kNotRun);
  }
}
INSTANTIATE_TEST_SUITE_P(
    Table, RefusedHopTest,
    testing::Values(RefusedHopCase{"Accepted", {"a-1"}, "b", "home", 1, ""},
                    RefusedHopCase{"NoVisitedZone", {}, "b", "home", 1, "no-route"},
                    RefusedHopCase{"OwnZoneVisitedBefore", {"b-1"}, "b", "home", 1, "no-route"},
                    RefusedHopCase{"TwoHops", {"a-1", "c-1"}, "b", "home", 1, "no-route"},
                    RefusedHopCase{"HomeInAnotherRegion", {"a-1"}, "a", "home", 1, "no-route"},
                    RefusedHopCase{"UnknownResidencyRule", {"a-1"}, "b", "nothing", 1, "no-route"},
                    RefusedHopCase{"NewerConfig", {"a-1"}, "b", "home", 9, "older-configuration"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank::gateway

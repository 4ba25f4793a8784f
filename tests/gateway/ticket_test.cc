#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <thread>

#include "tests/gateway/fake_fleet.h"

namespace cornelplank::gateway {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Answers like a service; a POST takes 50 ms, so that repeated calls overlap.
http::Response Receipt(const http::Request& request) {
  http::Response response;
  if (request.method == "POST") std::this_thread::sleep_for(milliseconds{50});
  response.body = "receipt";
  return response;
}

std::string Mint(const FakeFleet& fleet, size_t vm) {
  const auto response = fleet.Send(fleet.Request(vm, "POST", "/v1/tickets", R"({"service":"ledger"})"));
  return response ? json::parse(response->body).value("ticket", "") : "";
}

http::ClientRequest Call(const FakeFleet& fleet, size_t vm, const std::string& ticket) {
  auto request = fleet.Request(vm, "POST", "/v1/services/ledger/receipts", "{}");
  if (!ticket.empty()) request.headers["Idempotency-Key"] = ticket;
  return request;
}

std::string OutcomeOf(const std::optional<http::Response>& response) {
  return response ? json::parse(response->body).value("outcome", "") : "no response";
}

// Guards against a second execution when a client sends its call several times at once, through the owner of
// the ticket and through other VMs.
TEST(TicketTest, RunsACallOnceHoweverOftenItIsSent) {
  FakeUpstream ledger(Receipt);
  FakeFleet fleet;
  fleet.AddService("a", "ledger-1", ledger.address());
  const size_t owner = fleet.StartVm("a");
  const size_t neighbour = fleet.StartVm("a");
  const size_t away = fleet.StartVm("b");
  ASSERT_TRUE(
      fleet.Await(away, [](const std::string& dump) { return json::parse(dump)["vms"].size() == 3; }));
  ASSERT_TRUE(
      fleet.Await(neighbour, [](const std::string& dump) { return json::parse(dump)["vms"].size() == 3; }));
  const std::string ticket = Mint(fleet, owner);
  std::vector<std::thread> clients;
  std::atomic<int> answered{0};
  for (const size_t vm : {owner, neighbour, away, owner, neighbour, away}) {
    clients.emplace_back([&fleet, &ticket, &answered, vm] {
      const auto response = fleet.Send(Call(fleet, vm, ticket));
      answered += response && response->status == 200 && response->body == "receipt" ? 1 : 0;
    });
  }
  for (auto& client : clients) client.join();
  EXPECT_EQ(answered, 6);
  EXPECT_EQ(ledger.Received().size(), 1U);
}

// The service runs the call but answers after the deadline. Guards against a second execution, and against
// the outcome `not-run`, when the client sends the call again.
TEST(TicketTest, ALostAnswerStaysUnknown) {
  FakeUpstream ledger([](const http::Request&) {
    http::Response response;
    std::this_thread::sleep_for(milliseconds{1500});
    return response;
  });
  FakeFleet fleet;
  fleet.AddService("a", "ledger-1", ledger.address());
  const size_t vm = fleet.StartVm("a");
  const std::string ticket = Mint(fleet, vm);
  auto request = Call(fleet, vm, ticket);
  request.headers["Request-Timeout-Ms"] = "300";
  EXPECT_EQ(OutcomeOf(fleet.Send(request)), "unknown");
  EXPECT_EQ(OutcomeOf(fleet.Send(Call(fleet, vm, ticket))), "unknown");
  EXPECT_EQ(ledger.Received().size(), 1U);
}

// Guards against a ticket that can still run after its call was answered with `not-run`: that outcome must
// hold for good. The call first fails because nothing listens at the replica's address, and is sent again
// when the address is right.
TEST(TicketTest, NotRunHoldsForGood) {
  FakeUpstream ledger(Receipt);
  FakeFleet fleet;
  fleet.AddService("a", "ledger-1", "127.0.0.1:1");  // nothing listens there
  const size_t vm = fleet.StartVm("a");
  const std::string ticket = Mint(fleet, vm);
  EXPECT_EQ(OutcomeOf(fleet.Send(Call(fleet, vm, ticket))), "not-run");
  fleet.platform.Append(
      {2, 1, "p",
       R"([{"op":"replace","path":"/upstreams/ledger-1/address","value":")" + ledger.address() + R"("}])"});
  ASSERT_TRUE(fleet.Await(
      vm, [](const std::string& dump) { return json::parse(dump)["status"]["config"]["version"] == 2; }));
  EXPECT_EQ(OutcomeOf(fleet.Send(Call(fleet, vm, ticket))), "not-run");
  EXPECT_TRUE(ledger.Received().empty());
}

// Guards against a ticket that runs on another VM after its owner has stopped, or is then refused with
// `not-run`: the owner may have run the call.
TEST(TicketTest, ADeadOwnersTicketIsUnknown) {
  FakeUpstream ledger(Receipt);
  FakeFleet fleet;
  fleet.AddService("a", "ledger-1", ledger.address());
  const size_t owner = fleet.StartVm("a");
  const size_t other = fleet.StartVm("a");
  ASSERT_TRUE(
      fleet.Await(other, [](const std::string& dump) { return json::parse(dump)["vms"].size() == 2; }));
  const std::string ticket = Mint(fleet, owner);
  fleet.StopVm(owner);
  EXPECT_EQ(OutcomeOf(fleet.Send(Call(fleet, other, ticket))), "unknown");
  EXPECT_TRUE(ledger.Received().empty());
}

// Guards against a client that runs a call with the ticket of another client.
TEST(TicketTest, BelongsToItsClient) {
  FakeUpstream ledger(Receipt);
  FakeFleet fleet;
  fleet.document.residency["home"].allow = {"home", "a"};
  fleet.AddService("a", "ledger-1", ledger.address());
  const size_t vm = fleet.StartVm("a");
  auto request = Call(fleet, vm, Mint(fleet, vm));
  request.headers["Authorization"] = "Bearer two";
  const auto response = fleet.Send(request);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 409);
  EXPECT_TRUE(ledger.Received().empty());
}

// Guards against an idempotent call that fails because one replica is down although another one could answer
// it.
TEST(ServiceTest, ALookupIsRepeatedOnAnotherReplica) {
  FakeUpstream ledger(Receipt);
  FakeFleet fleet;
  fleet.AddService("a", "ledger-1", "127.0.0.1:1");
  fleet.AddService("a", "ledger-2", ledger.address());
  const size_t vm = fleet.StartVm("a");
  for (int i = 0; i < 4; ++i) {
    const auto response = fleet.Send(fleet.Request(vm, "GET", "/v1/services/ledger/receipts"));
    ASSERT_TRUE(response);
    EXPECT_EQ(response->body, "receipt");
  }
}

}  // namespace
}  // namespace cornelplank::gateway

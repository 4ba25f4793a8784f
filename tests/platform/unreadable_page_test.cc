#include <gtest/gtest.h>

#include "tests/platform/vm_under_test.h"

namespace cornelplank {
namespace {

using testing::ConfigText;
using testing::FakeStore;
using testing::kFirstVmAddress;
using testing::MemberAt;
using testing::RunFor;
using testing::VmUnderTest;

struct UnreadableItemCase {
  const char* name;
  const char* item;  // of the answers of the VM that the VM under test reads from
};

/// A VM whose mirror answers every call with the same item for the configuration.
class FaultyMirror final : public net::RequestHandler {
 public:
  FaultyMirror(net::asio::io_context& loop, uint32_t address, uint16_t port, std::string item)
      : loop_(loop), item_(std::move(item)) {
    net::Error error;
    server_ = net::HttpServer::Listen(loop, {net::asio::ip::address_v4(address), port}, *this, &error);
    if (!server_) throw std::runtime_error(error.message());
  }

  int calls() const { return calls_; }

  net::Task<> Handle(net::Request& request, net::ResponseWriter& writer) override {
    ++calls_;
    if (request.target.starts_with("/kv-watch")) {
      co_await net::Sleep(loop_, std::chrono::milliseconds(200));
      co_await writer.Send({200, {}}, R"({"current_rev":50,"store_age_ms":0,"events":[]})");
      co_return;
    }
    std::string body = R"({"current_rev":50,"store_age_ms":0,"items":[)";
    if (request.target.find("path_prefix=op/") != std::string::npos) body += item_;
    co_await writer.Send({200, {}}, body + "]}");
  }

 private:
  net::asio::io_context& loop_;
  std::string item_;
  std::unique_ptr<net::HttpServer> server_;
  int calls_ = 0;
};

class UnreadablePageTest : public ::testing::TestWithParam<UnreadableItemCase> {};

// Guards against a VM that stays at an old configuration, since it can't read the new one of the VM that it
// reads from and takes the rest of that answer for complete.
TEST_P(UnreadablePageTest, IsReplacedByTheStoresInTime) {
  constexpr std::chrono::milliseconds kBound{4000};  // a new configuration has to be in force everywhere
  net::asio::io_context loop{1};
  base::SystemClock clock;
  FakeStore store{loop};
  store.Put("op/config", ConfigText(7));
  uint32_t own = kFirstVmAddress;
  uint32_t other = kFirstVmAddress + 1;
  const auto rank = [](uint32_t address) { return base::RendezvousWeight("z", std::to_string(address)); };
  if (rank(own) > rank(other)) std::swap(own, other);  // the other VM reads the store for the zone
  const uint16_t port = testing::OwnMirrorPort();
  const FaultyMirror mirror(loop, other, port, GetParam().item);
  VmUnderTest vm(loop, clock, store.Endpoint(), own, port);
  uint32_t heartbeats = 1;
  const auto run = [&](std::chrono::milliseconds time) {
    for (const base::TimePoint end = clock.Now() + time; clock.Now() < end;) {
      fleet::Member member = MemberAt(other);
      member.heartbeat_count = ++heartbeats;
      member.config_version = 7;
      member.store_contact = fleet::StoreContact::kInContact;
      vm.members.MergeMember(member, clock.Now());
      RunFor(loop, std::chrono::milliseconds(100));
    }
  };
  RunFor(loop, std::chrono::milliseconds(300));
  ASSERT_EQ(vm.versions.back(), 7U);
  run(std::chrono::milliseconds(2500));
  ASSERT_GT(mirror.calls(), 0);
  store.Put("op/config", ConfigText(8));
  run(kBound);
  EXPECT_EQ(vm.versions.back(), 8U);
}

INSTANTIATE_TEST_SUITE_P(
    Items, UnreadablePageTest,
    ::testing::Values(UnreadableItemCase{"NoDeflate",
                                         R"({"key":"op/config","revision":40,"packed":"////","size":9})"},
                      UnreadableItemCase{"NoSize", R"({"key":"op/config","revision":40,"packed":"////"})"},
                      UnreadableItemCase{"NoBase64", R"({"key":"op/config","revision":40,"value":"*"})"},
                      UnreadableItemCase{"NoValue", R"({"key":"op/config","revision":40})"},
                      UnreadableItemCase{"NoKey", R"({"revision":40,"value":"e30="})"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank

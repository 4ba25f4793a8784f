#include <gtest/gtest.h>

#include "platform/platform.h"
#include "tests/net/loopback.h"

namespace cornelplank {
namespace {

struct EntryDirectoryCase {
  const char* name;
  std::vector<std::string> ready_zones;
  std::vector<std::vector<std::string>> homes;  // of the host's routes
  std::string zone;
  std::string region;
  std::vector<std::string> named_zones;  // zones of the VMs that the answer names
};

class EntryDirectoryTest : public ::testing::TestWithParam<EntryDirectoryCase> {};

const std::map<std::string, std::string> kZones{
    {"k1", "kochi"}, {"k2", "kochi"}, {"t1", "thrissur"}, {"z1", "zikode"}};

uint32_t AddressOf(const std::string& zone) {
  return 0x0a000001 + static_cast<uint32_t>(std::distance(kZones.begin(), kZones.find(zone)));
}

// Guards against naming VMs where data of the host may not be processed, while the client's own region has
// none (a region whose VMs are replaced one after the other), also when no region suits all routes of the
// host.
TEST_P(EntryDirectoryTest, NamesTheBestRegion) {
  const auto& param = GetParam();
  net::asio::io_context loop(1);
  base::SystemClock clock;
  fleet::Member own;
  own.address = 1;
  own.zone = fleet::NameKey("z1");
  fleet::MemberTable members(own, kZones);
  for (const std::string& zone : param.ready_zones) {
    members.MergeMember({AddressOf(zone), 1, 1, fleet::NameKey(zone), fleet::MemberState::kReady},
                        clock.Now());
  }
  auto config = std::make_shared<serving::RoutingConfig>();
  for (const auto& homes : param.homes) {
    serving::RouteConfig route;
    route.host = "h.example";
    route.home_regions = homes;
    config->routes.push_back(route);
  }
  serving::ReplicaRegistry table;
  table.SetConfig(config);
  platform::EntryDirectory directory(members, table, clock, 80, [] { return true; });
  net::Error error;
  const auto server = net::HttpServer::Listen(loop, testing::Loopback(), directory, &error);
  ASSERT_TRUE(server) << error.message();
  net::Tcp::socket socket(loop);
  socket.connect(testing::Loopback(server->Port()));
  const std::string request = "GET /resolve?name=h.example&region=" + param.region + "&zone=" + param.zone +
                              " HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n";
  net::asio::write(socket, net::asio::buffer(request));
  testing::RunFor(loop, std::chrono::milliseconds(50));
  std::string answer(4096, '\0');
  answer.resize(socket.read_some(net::asio::buffer(answer), error));
  for (const auto& [zone, region] : kZones) {
    const std::string address = net::asio::ip::make_address_v4(AddressOf(zone)).to_string() + ":80";
    const bool named = answer.find(address) != std::string::npos;
    const bool expected =
        std::find(param.named_zones.begin(), param.named_zones.end(), zone) != param.named_zones.end();
    EXPECT_EQ(named, expected) << zone << " in " << answer;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Clients, EntryDirectoryTest,
    ::testing::Values(
        EntryDirectoryCase{"OwnZone", {"k1", "k2", "t1"}, {{}}, "k1", "kochi", {"k1"}},
        EntryDirectoryCase{"OwnRegion", {"k2", "t1"}, {{}}, "k1", "kochi", {"k2"}},
        EntryDirectoryCase{"HomeRegion", {"t1", "z1"}, {{}, {"kochi", "thrissur"}}, "k1", "kochi", {"t1"}},
        EntryDirectoryCase{
            "DifferentHomes", {"t1", "z1"}, {{"kochi"}, {"kochi", "thrissur"}, {}}, "k1", "kochi", {"t1"}},
        EntryDirectoryCase{"NoHomes", {"t1", "z1"}, {{}}, "k1", "kochi", {"t1", "z1"}},
        EntryDirectoryCase{"HomesWithoutVms", {"z1"}, {{"kochi"}}, "k1", "kochi", {"z1"}}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank

#include <gtest/gtest.h>
#include <unistd.h>

#include "tests/platform/fake_store.h"

namespace cornelplank {
namespace {

using testing::ConfigText;
using testing::FakeStore;
using testing::ReplicaText;
using testing::RunFor;
using Mode = FakeStore::Mode;

constexpr std::chrono::milliseconds kSoon{120};

fleet::Member MemberAt(uint32_t address) {
  fleet::Member member;
  member.address = address;
  member.incarnation = 1;
  member.heartbeat_count = 1;
  member.zone = fleet::NameKey("z");
  member.state = fleet::MemberState::kReady;
  return member;
}

/// What an entry VM holds to read the store, on its own address of the loopback range.
struct Vm {
  Vm(net::asio::io_context& loop, const base::Clock& clock, const net::Tcp::endpoint& store, uint32_t address,
     uint16_t mirror_port)
      : members(MemberAt(address), {{"z", "r"}}),
        sync(loop, clock, {store, mirror_port}, members, {{"z", "r"}}, table,
             [this](const serving::RoutingConfig& config) { versions.push_back(config.version); }),
        not_found(),
        mirrors(sync.MakeMirrorServer(not_found)) {
    net::Error error;
    server = net::HttpServer::Listen(
        loop, net::Tcp::endpoint(net::asio::ip::address_v4(address), mirror_port), *mirrors, &error);
    if (!server) throw std::runtime_error(error.message());
    sync.Start();
  }

  struct NotFound final : net::RequestHandler {
    net::Task<> Handle(net::Request&, net::ResponseWriter& writer) override {
      co_await writer.Send({404, {}}, "");
    }
  };

  serving::ReplicaRegistry table;
  fleet::MemberTable members;
  std::vector<uint64_t> versions;
  platform::StoreSync sync;
  NotFound not_found;
  std::unique_ptr<platform::MirrorServer> mirrors;
  std::unique_ptr<net::HttpServer> server;
};

constexpr uint32_t kFirstAddress = 0x7f000102;  // 127.0.1.2

struct StoreSyncTest : ::testing::Test {
  StoreSyncTest() {
    store.Put("op/config", ConfigText(7));
    store.Put("servers/i-1", ReplicaText("svc", testing::Loopback(9)));
  }

  // Tests run as processes side by side, so each takes another port.
  const uint16_t mirror_port = static_cast<uint16_t>(20000 + getpid() % 12000);

  std::unique_ptr<Vm> MakeVm(uint32_t index = 0) {
    return std::make_unique<Vm>(loop, clock, store.Endpoint(), kFirstAddress + index, mirror_port);
  }

  net::asio::io_context loop{1};
  base::SystemClock clock;
  FakeStore store{loop};
};

TEST_F(StoreSyncTest, LoadsAndFollows) {
  const auto vm = MakeVm();
  RunFor(loop, kSoon);
  ASSERT_TRUE(vm->sync.Loaded());
  EXPECT_TRUE(vm->table.Find("i-1"));
  store.Put("op/config", ConfigText(9));
  store.Put("op/evacuate/z", "{}");
  store.Put("servers/i-1", ReplicaText("svc", testing::Loopback(9), "draining"));
  RunFor(loop, kSoon);
  EXPECT_EQ(vm->versions, (std::vector<uint64_t>{7, 9}));
  EXPECT_TRUE(vm->table.EvacuatedZones().contains("z"));
  EXPECT_FALSE(vm->table.IsUsable(*vm->table.Find("i-1")));
  store.Remove("op/evacuate/z");
  RunFor(loop, kSoon);
  EXPECT_FALSE(vm->table.EvacuatedZones().contains("z"));
}

// Guards against going back to an older configuration, whoever publishes it.
TEST_F(StoreSyncTest, IgnoresAnOlderConfiguration) {
  const auto vm = MakeVm();
  RunFor(loop, kSoon);
  store.Put("op/config", ConfigText(5));
  RunFor(loop, kSoon);
  EXPECT_EQ(vm->versions, (std::vector<uint64_t>{7}));
}

struct UnusableCase {
  const char* name;
  std::string text;
};

class UnusableEntryTest : public StoreSyncTest, public ::testing::WithParamInterface<UnusableCase> {};

// Guards against entries of other writers: they name no replica to use, and the others hold.
TEST_P(UnusableEntryTest, NamesNoReplica) {
  const auto vm = MakeVm();
  store.Put("servers/i-odd", GetParam().text);
  RunFor(loop, kSoon);
  EXPECT_FALSE(vm->table.Find("i-odd"));
  EXPECT_TRUE(vm->table.Find("i-1"));
}

INSTANTIATE_TEST_SUITE_P(
    Entries, UnusableEntryTest,
    ::testing::Values(
        UnusableCase{"NoBytes", ""}, UnusableCase{"NoJson", "\xff\xfe"}, UnusableCase{"List", "[1,2]"},
        UnusableCase{"Empty", "{}"},
        UnusableCase{"SlotsAsText",
                     R"({"service":"svc","address":"10.0.0.1:1","zone":"z","slots":"4","state":"ready"})"},
        UnusableCase{"UnknownState",
                     R"({"service":"svc","address":"10.0.0.1:1","zone":"z","slots":4,"state":"odd"})"},
        UnusableCase{"UnknownZone",
                     R"({"service":"svc","address":"10.0.0.1:1","zone":"y","slots":4,"state":"ready"})"},
        UnusableCase{"NoPort",
                     R"({"service":"svc","address":"10.0.0.1","zone":"z","slots":4,"state":"ready"})"}),
    [](const auto& info) { return info.param.name; });

struct OutageCase {
  const char* name;
  Mode mode;
  std::chrono::milliseconds outage;
  std::chrono::milliseconds recovery;  // bound from the store's return to the change being in force
};

class OutageTest : public StoreSyncTest, public ::testing::WithParamInterface<OutageCase> {};

// Guards against losing what is known while the store is away, and against missing what changed meanwhile.
TEST_P(OutageTest, KeepsWhatIsKnownAndCatchesUp) {
  const auto vm = MakeVm();
  RunFor(loop, kSoon);
  store.SetMode(GetParam().mode);
  RunFor(loop, GetParam().outage);
  EXPECT_TRUE(vm->table.Find("i-1"));
  EXPECT_EQ(vm->versions.back(), 7U);
  store.SetMode(Mode::kServe);
  store.Put("op/config", ConfigText(8));
  RunFor(loop, GetParam().recovery);
  EXPECT_EQ(vm->versions.back(), 8U);
}

INSTANTIATE_TEST_SUITE_P(
    Modes, OutageTest,
    ::testing::Values(
        OutageCase{"Busy", Mode::kBusy, std::chrono::milliseconds(2500), std::chrono::milliseconds(1500)},
        OutageCase{"Silent", Mode::kSilent, std::chrono::milliseconds(1200), std::chrono::milliseconds(3000)},
        OutageCase{"HistoryGone", Mode::kHistoryGone, std::chrono::milliseconds(1600),
                   std::chrono::milliseconds(1000)}),
    [](const auto& info) { return info.param.name; });

// Guards against calls to the store that grow with the VMs: one VM of the zone reads, the others follow it.
TEST_F(StoreSyncTest, OneVmOfTheZoneReads) {
  std::vector<std::unique_ptr<Vm>> vms;
  for (uint32_t i = 0; i < 4; ++i) vms.push_back(MakeVm(i));
  for (const auto& vm : vms) {
    for (uint32_t i = 0; i < 4; ++i) vm->members.MergeMember(MemberAt(kFirstAddress + i), clock.Now());
  }
  RunFor(loop, std::chrono::milliseconds(2300));  // the first own watches have ended by then
  const int before = store.calls();
  store.Put("op/config", ConfigText(8));
  RunFor(loop, std::chrono::milliseconds(500));
  for (const auto& vm : vms) EXPECT_EQ(vm->versions.back(), 8U);
  EXPECT_LE(store.calls() - before, 4);
}

// Guards against a follower that misses what its reader learns from a listing: the store forgets its history
// while changes are made, and the listing brings changes older than the revision that watches have reached.
TEST(PrefixMirror, PassesOnWhatAListingBringsLate) {
  net::asio::io_context loop(1);
  platform::PrefixMirror mirror(loop);
  mirror.Replace({{"op/config", "old", 5}});
  mirror.Apply({{"op/evacuate/z", "{}", 20}});
  platform::StorePage known = mirror.List();
  mirror.Replace({{"op/config", "new", 15}, {"op/evacuate/z", "{}", 20}});
  platform::StorePage page;
  ASSERT_TRUE(testing::RunTask(loop, [](auto& watched, uint64_t after, auto* out) -> net::Task<> {
    *out = co_await watched.Watch(after, std::chrono::milliseconds(10));
  }(mirror, known.revision, &page)));
  ASSERT_EQ(page.changes.size(), 1U);
  EXPECT_EQ(page.changes[0].value, "new");
}

// Guards against two VMs that follow each other once the store has failed both: they would pass their own old
// news back and forth and never read the store again.
TEST_F(StoreSyncTest, VmsDoNotFollowEachOtherAfterAnOutage) {
  std::vector<std::unique_ptr<Vm>> vms;
  for (uint32_t i = 0; i < 2; ++i) vms.push_back(MakeVm(i));
  const auto beat = [&](uint32_t count) {
    for (const auto& vm : vms) {
      for (uint32_t i = 0; i < 2; ++i) {
        fleet::Member member = MemberAt(kFirstAddress + i);
        member.heartbeat_count = count;
        vm->members.MergeMember(member, clock.Now());
      }
    }
  };
  beat(2);
  RunFor(loop, std::chrono::milliseconds(500));
  store.SetMode(Mode::kBusy);
  for (uint32_t count = 3; count < 6; ++count) {
    beat(count);
    RunFor(loop, std::chrono::milliseconds(1000));
  }
  store.SetMode(Mode::kServe);
  for (uint32_t count = 6; count < 9; ++count) {
    beat(count);
    RunFor(loop, std::chrono::milliseconds(1000));
  }
  store.Put("servers/i-1", ReplicaText("svc", testing::Loopback(9), "draining"));
  RunFor(loop, std::chrono::milliseconds(500));
  for (const auto& vm : vms) EXPECT_FALSE(vm->table.IsUsable(*vm->table.Find("i-1")));
}

// Guards against a zone that hears nothing when the VM that reads for it stops.
TEST_F(StoreSyncTest, AnotherVmReadsWhenTheReaderIsGone) {
  std::vector<std::unique_ptr<Vm>> vms;
  for (uint32_t i = 0; i < 3; ++i) vms.push_back(MakeVm(i));
  for (const auto& vm : vms) {
    for (uint32_t i = 0; i < 3; ++i) vm->members.MergeMember(MemberAt(kFirstAddress + i), clock.Now());
  }
  RunFor(loop, std::chrono::milliseconds(1700));
  for (const auto& vm : vms) {
    if (platform::StoreSourceSelector(vm->members).PickPeer(clock.Now())) continue;
    vm->server->StopAccepting();  // the reader's mirror takes no connections any more
  }
  RunFor(loop, std::chrono::milliseconds(1500));
  store.Put("op/config", ConfigText(8));
  RunFor(loop, std::chrono::milliseconds(1500));
  int current = 0;
  for (const auto& vm : vms) current += vm->versions.back() == 8U ? 1 : 0;
  EXPECT_EQ(current, 3);
}

}  // namespace
}  // namespace cornelplank

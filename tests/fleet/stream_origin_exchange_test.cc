#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <set>

#include "libs/fleet/fleet.h"

namespace cornelplank::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr milliseconds kStep{5};
constexpr uint64_t kService = 11;
constexpr uint64_t kOld = 21;
constexpr uint64_t kNew = 22;
constexpr uint64_t kAttempt = 31;
constexpr size_t kVms = 8;  // two in each zone, four in each region
const std::map<std::string, std::string> kZones = {{"z0", "r0"}, {"z1", "r0"}, {"z2", "r1"}, {"z3", "r1"}};

struct Vm {
  Vm(VmAddress address, uint64_t incarnation)
      : members(MakeMember(address, incarnation), kZones), exchange(members, history, incarnation << 20) {
    history.SetRoutes({{"chat", {kService}}});
  }

  static Member MakeMember(VmAddress address, uint64_t incarnation) {
    Member member;
    member.address = address;
    member.incarnation = incarnation;
    member.zone = NameKey("z" + std::to_string((address - 1) / 2));
    member.state = MemberState::kReady;
    return member;
  }

  serving::SoftwareHistory history;
  MemberTable members;
  StreamOriginExchange exchange;
  bool dead = false;
};

struct Found {
  std::optional<uint64_t> software;
  base::Duration time{0};
};

/// VMs 0 to 7 and the datagrams between them, which need a millisecond in a region and 40 between regions.
class Fleet {
 public:
  Fleet() {
    for (size_t i = 0; i < kVms; ++i) Start(i, 1);
    for (auto& vm : vms_) vm->history.SetFirstStart();
    Run(seconds(1));
  }

  /// Starts a VM, or starts it again without what it knew.
  void Start(size_t index, uint64_t incarnation) {
    vms_.resize(std::max(vms_.size(), index + 1));
    vms_[index] = std::make_unique<Vm>(static_cast<VmAddress>(index + 1), incarnation);
    for (auto& vm : vms_) {
      if (vm != nullptr && !vm->dead) vms_[index]->members.MergeMember(vm->members.own(), now_);
    }
  }

  void Run(base::Duration time) {
    for (const base::TimePoint end = now_ + time; now_ < end;) Step();
  }

  void Step() {
    now_ += kStep;
    for (auto& vm : vms_) {
      if (vm->dead) continue;
      if (Every(milliseconds(500))) Beat(*vm);
      for (const uint64_t version : listed) vm->history.OnListed(kService, version, now_);
      vm->history.OnConfirmed(now_);
      if (Every(milliseconds(200))) vm->exchange.SendRecords(now_);
    }
    for (size_t i = 0; i < kVms; ++i) Collect(i);
    std::vector<Datagram> arrived;
    std::erase_if(datagrams_, [&](const Datagram& datagram) {
      if (datagram.at <= now_) arrived.push_back(datagram);
      return datagram.at <= now_;
    });
    for (const Datagram& datagram : arrived) {
      Vm& to = *vms_[datagram.to];
      if (to.dead) continue;
      if (!datagram.messages.records.empty()) holders.insert(datagram.to);
      to.exchange.OnMessages(static_cast<VmAddress>(datagram.from + 1), datagram.messages, now_);
    }
  }

  Found Find(size_t vm, std::optional<uint64_t> attempt = kAttempt,
             std::vector<uint64_t> services = {kService}) {
    StreamOriginExchange& exchange = vms_[vm]->exchange;
    const base::TimePoint begun_at = now_;
    const uint64_t lookup = exchange.Begin(attempt, std::move(services), now_);
    while (true) {
      const auto result = exchange.Poll(lookup, now_);
      if (result) return {result->software, now_ - begun_at};
      Collect(vm);
      Step();
    }
  }

  void Record(size_t vm, uint64_t software) { vms_[vm]->exchange.Record(kAttempt, software, now_); }
  void Kill(size_t vm) { vms_[vm]->dead = true; }
  void KillAll(const std::set<size_t>& vms) {
    for (const size_t vm : vms) Kill(vm);
  }
  Vm& vm(size_t index) { return *vms_[index]; }
  base::TimePoint now() const { return now_; }

  std::vector<uint64_t> listed = {kOld};  // versions that replicas have now
  std::set<size_t> holders;               // VMs that have got records
  size_t datagrams = 0;                   // that were sent
  std::function<bool(size_t from, size_t to)> is_lost = [](size_t, size_t) { return false; };

 private:
  struct Datagram {
    base::TimePoint at{};
    size_t from = 0;
    size_t to = 0;
    OriginMessages messages;
  };

  bool Every(milliseconds interval) const { return (now_ - kStart) % interval == base::Duration::zero(); }

  void Beat(Vm& vm) {
    ++vm.members.own().heartbeat_count;
    for (auto& other : vms_) {
      if (!other->dead) other->members.MergeMember(vm.members.own(), now_);
    }
  }

  /// Takes what a VM wants to be sent.
  void Collect(size_t from) {
    for (auto& [to, messages] : vms_[from]->exchange.TakeOutbox()) {
      ++datagrams;
      const size_t index = to - 1;
      if (vms_[from]->dead || is_lost(from, index)) continue;
      const auto delay = from / 4 == index / 4 ? milliseconds(1) : milliseconds(40);
      datagrams_.push_back({now_ + delay, from, index, messages});
    }
  }

  base::TimePoint now_ = kStart;
  std::vector<std::unique_ptr<Vm>> vms_;
  std::vector<Datagram> datagrams_;
};

/// A stream began at VM 0, at the old version, while two versions served.
struct FailureCase {
  const char* name;
  std::function<void(Fleet&)> fail;
  size_t asked;  // VM
  std::optional<uint64_t> expected;
  milliseconds limit;  // for the lookup
};

class StreamOriginFailureTest : public testing::TestWithParam<FailureCase> {};

// Guards against the loss of a stream's version with any one VM, zone or region, and against a version that
// nobody can know or that other records contradict.
TEST_P(StreamOriginFailureTest, FindsWhatIsLeft) {
  Fleet fleet;
  fleet.listed = {kOld, kNew};
  fleet.Run(milliseconds(50));
  fleet.vm(0).exchange.Record(kAttempt, kOld, fleet.now());
  GetParam().fail(fleet);
  const Found found = fleet.Find(GetParam().asked);
  EXPECT_EQ(found.software, GetParam().expected);
  EXPECT_LE(found.time, GetParam().limit);
}

INSTANTIATE_TEST_SUITE_P(
    All, StreamOriginFailureTest,
    testing::Values(FailureCase{"None", [](Fleet&) {}, 0, kOld, milliseconds(0)},
                    FailureCase{"AskedInTheRegion", [](Fleet&) {}, 3, kOld, milliseconds(20)},
                    FailureCase{"AskedInAnotherRegion", [](Fleet&) {}, 6, kOld, milliseconds(140)},
                    FailureCase{"BeginnerKilled",
                                [](Fleet& fleet) {
                                  fleet.Run(milliseconds(300));
                                  fleet.Kill(0);
                                },
                                1, kOld, milliseconds(140)},
                    FailureCase{"BeginnerLongDead",
                                [](Fleet& fleet) {
                                  fleet.Run(milliseconds(300));
                                  fleet.Kill(0);
                                  fleet.Run(seconds(10));
                                },
                                1, kOld, milliseconds(140)},
                    FailureCase{"KilledAtOnce", [](Fleet& fleet) { fleet.Kill(0); }, 1, std::nullopt,
                                milliseconds(410)},
                    FailureCase{"ZoneLost",
                                [](Fleet& fleet) {
                                  fleet.Run(milliseconds(300));
                                  fleet.KillAll({0, 1});
                                },
                                2, kOld, milliseconds(140)},
                    FailureCase{"RegionLost",
                                [](Fleet& fleet) {
                                  fleet.Run(milliseconds(300));
                                  fleet.KillAll({0, 1, 2, 3});
                                },
                                6, kOld, milliseconds(140)},
                    FailureCase{"OtherRegionLost",
                                [](Fleet& fleet) {
                                  fleet.Run(milliseconds(300));
                                  fleet.KillAll({0, 4, 5, 6, 7});
                                },
                                1, kOld, milliseconds(20)},
                    FailureCase{"ReceiversStartedAnewThenBeginnerKilled",
                                [](Fleet& fleet) {
                                  fleet.Run(milliseconds(300));
                                  for (const size_t vm : fleet.holders) fleet.Start(vm, 2);
                                  fleet.Run(seconds(2));
                                  fleet.Kill(0);
                                },
                                1, kOld, milliseconds(140)},
                    FailureCase{"AllStartedAnew",
                                [](Fleet& fleet) {
                                  fleet.Run(milliseconds(300));
                                  for (size_t vm = 0; vm < kVms; ++vm) fleet.Start(vm, 2);
                                  fleet.listed = {kNew};
                                  fleet.Run(seconds(3));
                                },
                                1, std::nullopt, milliseconds(140)},
                    FailureCase{"OtherVmStartedAnewAfterTheOldVersionLeft",
                                [](Fleet& fleet) {
                                  fleet.listed = {kNew};
                                  fleet.Run(seconds(5));
                                  fleet.Start(7, 2);
                                  fleet.Run(seconds(2));
                                },
                                7, kOld, milliseconds(140)},
                    FailureCase{"FirstDatagramsLost",
                                [](Fleet& fleet) {
                                  fleet.Run(milliseconds(300));
                                  fleet.Kill(0);
                                  const base::TimePoint lost_until = fleet.now() + milliseconds(100);
                                  fleet.is_lost = [&fleet, lost_until](size_t, size_t) {
                                    return fleet.now() < lost_until;
                                  };
                                },
                                1, kOld, milliseconds(260)},
                    FailureCase{"CutOff",
                                [](Fleet& fleet) {
                                  fleet.Run(milliseconds(300));
                                  fleet.is_lost = [](size_t, size_t) { return true; };
                                },
                                4, std::nullopt, milliseconds(410)},
                    FailureCase{"Forgotten", [](Fleet& fleet) { fleet.Run(seconds(62)); }, 1, std::nullopt,
                                milliseconds(140)}),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(Conflicts, StreamOriginFailureTest,
                         testing::Values(FailureCase{"Here", [](Fleet& fleet) { fleet.Record(0, kNew); }, 0,
                                                     std::nullopt, milliseconds(0)},
                                         FailureCase{"AtOneVm", [](Fleet& fleet) { fleet.Record(0, kNew); },
                                                     3, std::nullopt, milliseconds(20)},
                                         FailureCase{"AtTwoVms", [](Fleet& fleet) { fleet.Record(1, kNew); },
                                                     3, std::nullopt, milliseconds(20)},
                                         FailureCase{"TheFirstAgain",
                                                     [](Fleet& fleet) {
                                                       fleet.Record(0, kNew);
                                                       fleet.Run(seconds(50));
                                                       fleet.Record(0, kOld);
                                                       fleet.Run(seconds(50));
                                                     },
                                                     0, std::nullopt, milliseconds(0)}),
                         [](const auto& info) { return info.param.name; });

// Guards against records that only the first receivers have, which may be gone before the VM of the stream.
TEST(StreamOriginExchangeTest, TellsNewReceivers) {
  Fleet fleet;
  fleet.listed = {kOld, kNew};
  fleet.vm(0).exchange.Record(kAttempt, kOld, fleet.now());
  fleet.Run(seconds(1));
  ASSERT_EQ(fleet.holders.size(), 2U);
  EXPECT_EQ(*fleet.holders.begin() / 2, 1U);   // another zone of the region
  EXPECT_EQ(*fleet.holders.rbegin() / 4, 1U);  // another region
  fleet.KillAll(std::exchange(fleet.holders, {}));
  fleet.Run(seconds(5));
  EXPECT_EQ(fleet.holders.size(), 2U);
  fleet.Kill(0);
  EXPECT_EQ(fleet.Find(1).software, kOld);
}

// Guards against datagrams while one version serves, and against streams from before the second one whose
// version then only their VM knows.
TEST(StreamOriginExchangeTest, SendsRecordsOnceVersionsAreMixed) {
  Fleet fleet;
  for (uint64_t attempt = 1; attempt <= 1000; ++attempt) {
    fleet.vm(0).exchange.Record(attempt, kOld, fleet.now());
  }
  fleet.Run(seconds(10));
  EXPECT_EQ(fleet.datagrams, 0U);
  fleet.listed = {kOld, kNew};
  fleet.Run(seconds(1));
  EXPECT_EQ(fleet.vm(0).exchange.counters().records_sent, 2000U);
  EXPECT_EQ(fleet.datagrams, 2 * 9U);  // of about 1,100 bytes
  fleet.Run(seconds(10));
  EXPECT_EQ(fleet.datagrams, 2 * 9U);
  fleet.Kill(0);
  for (const uint64_t attempt : {1, 500, 1000}) EXPECT_EQ(fleet.Find(1, attempt).software, kOld);
}

// Guards against datagrams that don't fit an Ethernet frame, and against many of them at once.
TEST(StreamOriginExchangeTest, BoundsItsDatagrams) {
  Fleet fleet;
  fleet.listed = {kOld, kNew};
  fleet.Run(milliseconds(50));
  base::Random random(3);
  for (size_t i = 0; i < StreamOriginTable::kMaxRecords + 100; ++i) {
    fleet.vm(0).exchange.Record(random.Next(), random.Below(40), fleet.now());
  }
  size_t rounds = 0;
  size_t attempts = 0;
  bool left = true;
  for (; left; ++rounds) {
    left = fleet.vm(0).exchange.SendRecords(fleet.now());
    const auto sent = fleet.vm(0).exchange.TakeOutbox();
    EXPECT_LE(sent.size(), 32U);
    for (const auto& [to, messages] : sent) {
      for (const auto& records : messages.records) attempts += records.attempts.size();
      Heartbeat heartbeat;
      heartbeat.sender = fleet.vm(0).members.own();
      heartbeat.origins = messages;
      EXPECT_LE(EncodeHeartbeat(heartbeat).size(), 1400U);
    }
  }
  EXPECT_GT(rounds, 5U);
  EXPECT_EQ(attempts, 2 * StreamOriginTable::kMaxRecords);
}

/// What the VMs have seen of the versions; VM 5 is asked for a stream that nobody has a record of.
struct HistoryCase {
  const char* name;
  std::vector<uint64_t> seen_by_all;
  std::vector<uint64_t> seen_by_asker;
  bool asker_is_new;
  std::vector<uint64_t> services;
  std::optional<uint64_t> expected;
};

class StreamOriginHistoryTest : public testing::TestWithParam<HistoryCase> {};

// Guards against a version that is taken for the only one although another one served too.
TEST_P(StreamOriginHistoryTest, TellsTheOnlyVersion) {
  const HistoryCase& c = GetParam();
  for (const std::optional<uint64_t> attempt :
       {std::optional<uint64_t>(kAttempt), std::optional<uint64_t>()}) {
    Fleet fleet;
    fleet.listed = c.seen_by_all;
    fleet.Run(seconds(2));
    if (c.asker_is_new) fleet.Start(5, 2);
    fleet.Run(seconds(1));
    for (const uint64_t version : c.seen_by_asker) {
      fleet.vm(5).history.OnListed(kService, version, fleet.now());
    }
    const Found found = fleet.Find(5, attempt, c.services);
    EXPECT_EQ(found.software, c.expected);
    EXPECT_LE(found.time, milliseconds(140));
  }
}

INSTANTIATE_TEST_SUITE_P(
    All, StreamOriginHistoryTest,
    testing::Values(
        HistoryCase{"OwnHistory", {kOld}, {}, false, {kService}, kOld},
        HistoryCase{"HistoryOfOthers", {kOld}, {}, true, {kService}, kOld},
        HistoryCase{"TwoVersions", {kOld, kNew}, {}, true, {kService}, std::nullopt},
        HistoryCase{"AskerSawAnother", {kOld}, {kNew}, true, {kService}, std::nullopt},
        HistoryCase{"OtherService", {kOld}, {}, true, {12}, std::nullopt},
        HistoryCase{"NoService", {kOld}, {}, true, {}, std::nullopt},
        HistoryCase{"TooManyServices", {kOld}, {}, true, std::vector<uint64_t>(65, kService), std::nullopt}),
    [](const auto& info) { return info.param.name; });

// Guards against a version that another VM contradicts before the lookup ends, and against a conflict that is
// forgotten with the lookup.
TEST(StreamOriginExchangeTest, NoticesAnAnswerThatContradictsItsRecord) {
  Fleet fleet;
  fleet.listed = {kOld, kNew};
  fleet.Run(milliseconds(50));
  StreamOriginExchange& exchange = fleet.vm(3).exchange;
  const uint64_t lookup = exchange.Begin(kAttempt, {kService}, fleet.now());
  EXPECT_FALSE(exchange.Poll(lookup, fleet.now()).has_value());
  exchange.Record(kAttempt, kNew, fleet.now());
  OriginMessages answer;
  answer.answers = {{lookup, OriginAnswer::Kind::kRecorded, kOld}};
  exchange.OnMessages(1, answer, fleet.now());
  const auto found = exchange.Poll(lookup, fleet.now());
  ASSERT_TRUE(found.has_value());
  EXPECT_FALSE(found->software.has_value());
  EXPECT_FALSE(fleet.Find(3).software.has_value());
}

struct CostCase {
  const char* name;
  size_t new_lookups;   // every millisecond, of streams that nobody knows
  milliseconds time;    // for which they come
  size_t most_lookups;  // that ask other VMs
  size_t most_datagrams;
};
class StreamOriginCostTest : public testing::TestWithParam<CostCase> {};

// Guards against clients whose invented attempts make a VM of a large system flood the others.
TEST_P(StreamOriginCostTest, IsBounded) {
  constexpr VmAddress kMembers = 300;
  serving::SoftwareHistory history;
  MemberTable members(Vm::MakeMember(1, 1), kZones);
  for (VmAddress address = 2; address <= kMembers; ++address) {
    Member member = Vm::MakeMember(address, 1);
    member.zone = NameKey("z" + std::to_string(address % 4));
    members.MergeMember(member, kStart);
  }
  StreamOriginExchange exchange(members, history, 1);
  std::set<uint64_t> waiting;
  std::set<uint64_t> asked;
  size_t datagrams = 0;
  for (milliseconds time{0}; time < seconds(1); time += milliseconds(1)) {
    for (size_t i = 0; time < GetParam().time && i < GetParam().new_lookups; ++i) {
      waiting.insert(exchange.Begin(kAttempt, {kService}, kStart + time));
    }
    std::erase_if(waiting, [&](uint64_t lookup) { return exchange.Poll(lookup, kStart + time).has_value(); });
    for (const auto& [to, messages] : exchange.TakeOutbox()) {
      ++datagrams;
      for (const OriginQuery& query : messages.queries) asked.insert(query.sequence);
      Heartbeat heartbeat;
      heartbeat.sender = members.own();
      heartbeat.origins = messages;
      ASSERT_LE(EncodeHeartbeat(heartbeat).size(), 1400U);
    }
  }
  EXPECT_GT(asked.size(), 0U);
  EXPECT_LE(asked.size(), GetParam().most_lookups);
  EXPECT_LE(datagrams, GetParam().most_datagrams);
  RecordProperty("datagrams", static_cast<int>(datagrams));
}

INSTANTIATE_TEST_SUITE_P(All, StreamOriginCostTest,
                         testing::Values(CostCase{"One", 1, milliseconds(1), 1, 2 * 299},
                                         CostCase{"Flood", 10, seconds(1), 256 + 128, 51 * 299}),
                         [](const auto& info) { return info.param.name; });

// Guards against lookups without bound, and against answers from VMs that weren't asked.
TEST(StreamOriginExchangeTest, BoundsItsLookups) {
  Fleet fleet;
  fleet.listed = {kOld, kNew};
  fleet.Run(milliseconds(50));
  StreamOriginExchange& exchange = fleet.vm(0).exchange;
  uint64_t lookup = 0;
  for (size_t i = 0; i < StreamOriginExchange::kMaxLookups; ++i) {
    lookup = exchange.Begin(kAttempt + i, {kService}, fleet.now());
    EXPECT_FALSE(exchange.Poll(lookup, fleet.now()).has_value());
  }
  const auto refused = exchange.Poll(exchange.Begin(kAttempt, {kService}, fleet.now()), fleet.now());
  ASSERT_TRUE(refused.has_value());
  EXPECT_FALSE(refused->software.has_value());
  OriginMessages answer;
  answer.answers = {{lookup, OriginAnswer::Kind::kRecorded, kNew}};
  exchange.OnMessages(99, answer, fleet.now());  // not a member
  exchange.OnMessages(7, answer, fleet.now());   // of the other region, not asked yet
  EXPECT_FALSE(exchange.Poll(lookup, fleet.now()).has_value());
  exchange.OnMessages(2, answer, fleet.now());
  const auto found = exchange.Poll(lookup, fleet.now());
  ASSERT_TRUE(found.has_value());
  EXPECT_EQ(found->software, kNew);
}

}  // namespace
}  // namespace cornelplank::fleet

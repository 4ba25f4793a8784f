#include <gtest/gtest.h>

#include <optional>

#include "tests/platform/paged_store.h"
#include "tests/platform/vm_under_test.h"

namespace cornelplank {
namespace {

using testing::kFirstVmAddress;
using testing::RunFor;

std::set<std::string> KnownReplicas(const testing::VmUnderTest& vm) {
  std::set<std::string> ids;
  for (const auto& [id, replica] : vm.registry.replicas()) ids.insert(id);
  return ids;
}

struct OddKeyCase {
  const char* name;
  std::vector<std::string> ids;  // of the other writer's entries
  bool has_value = true;
};

/// A VM beside a store that lists three replicas and the entries of another writer, one item a page.
class OddKeyTest : public ::testing::TestWithParam<OddKeyCase> {
 protected:
  OddKeyTest() {
    store_.PutValue("op/config", testing::ConfigText(7));
    for (const char* id : {"a", "m", "z"}) {
      store_.PutValue(std::string("servers/") + id, testing::ReplicaText("svc", testing::Loopback(1)));
    }
    for (const std::string& id : GetParam().ids) {
      if (GetParam().has_value) {
        store_.PutValue("servers/" + id, "{}");
      } else {
        store_.Put("servers/" + id, "");
      }
    }
  }

  net::asio::io_context loop_{1};
  base::SystemClock clock_;
  testing::PagedStore store_{loop_};
  testing::VmUnderTest vm_{loop_, clock_, store_.Endpoint(), kFirstVmAddress, testing::OwnMirrorPort()};
};

// Guards against a listing that stops or never ends at a key of another writer, so that replicas are missing.
TEST_P(OddKeyTest, DoesNotHideTheOtherItems) {
  RunFor(loop_, std::chrono::milliseconds(1000));
  EXPECT_EQ(KnownReplicas(vm_), (std::set<std::string>{"a", "m", "z"}));
  EXPECT_TRUE(vm_.sync.Loaded());
  EXPECT_LE(store_.listing_calls(), static_cast<int>(1 + 3 + GetParam().ids.size()));
}

std::vector<OddKeyCase> OddKeyCases() {
  std::vector<OddKeyCase> cases = {{"Ampersand", {"b&c"}},
                                   {"Plus", {"b+c"}},
                                   {"Hash", {"b#c"}},
                                   {"Percent", {"b%zz", "b%2Fc", "b%"}},
                                   {"Blank", {"b c", " b"}},
                                   {"SlashAndQuestionMark", {"b/c?d=e"}},
                                   {"Quotes", {"b\"c", "b\\c"}},
                                   {"OwnCursor", {"b&after=servers/z", "b&after="}},
                                   {"LineBreak", {"b\r\nHost: c"}},
                                   {"OutsideAscii", {"b\xc3\xa9", "b\xf0\x9f\x98\x80"}},
                                   {"NoUtf8", {"b\xff", "b\xc3", "b\xed\xa0\x80"}},
                                   {"Empty", {""}}};
  OddKeyCase many{"Sixty", {}};
  for (int i = 0; i < 60; ++i) many.ids.push_back("b&" + std::to_string(i));
  cases.push_back(many);
  for (OddKeyCase plain :
       {OddKeyCase{"NoValueFirst", {"0"}}, {"NoValueLater", {"b"}}, {"NoValueLast", {"zz"}}}) {
    plain.has_value = false;
    cases.push_back(plain);
  }
  return cases;
}

INSTANTIATE_TEST_SUITE_P(Keys, OddKeyTest, ::testing::ValuesIn(OddKeyCases()),
                         [](const auto& info) { return info.param.name; });

// Guards against a plain list that depends on how the store reads escapes in a target.
TEST(PagingTest, OfPlainKeysNeedsNoDecoding) {
  net::asio::io_context loop{1};
  base::SystemClock clock;
  testing::PagedStore store{loop, 2};
  store.SetEscapes(testing::PagedStore::Escapes::kKeep);
  store.PutValue("op/config", testing::ConfigText(7));
  const std::set<std::string> ids = {"a", "b-c", "b.c", "b_c", "b~c", "b:1", "b@1", "b,c", "b=c", "b/c", "c"};
  for (const std::string& id : ids) {
    store.PutValue("servers/" + id, testing::ReplicaText("svc", testing::Loopback(1)));
  }
  testing::VmUnderTest vm(loop, clock, store.Endpoint(), kFirstVmAddress, testing::OwnMirrorPort());
  RunFor(loop, std::chrono::milliseconds(1000));
  EXPECT_TRUE(vm.sync.Loaded());
  EXPECT_EQ(KnownReplicas(vm), ids);
}

struct MisreadKeyCase {
  const char* name;
  std::set<std::string> ids;  // of replicas
  std::string odd_id;         // of the other writer's entry
  testing::PagedStore::Escapes escapes;
};
class MisreadKeyTest : public ::testing::TestWithParam<MisreadKeyCase> {};

// Guards against a key at the border of a page that hides replicas, since the store misreads or refuses its
// escapes.
TEST_P(MisreadKeyTest, DoesNotHideThePlainOnes) {
  net::asio::io_context loop{1};
  base::SystemClock clock;
  testing::PagedStore store{loop, 2};
  store.SetEscapes(GetParam().escapes);
  store.PutValue("op/config", testing::ConfigText(7));
  for (const std::string& id : GetParam().ids) {
    store.PutValue("servers/" + id, testing::ReplicaText("svc", testing::Loopback(1)));
  }
  store.PutValue("servers/" + GetParam().odd_id, "{}");
  testing::VmUnderTest vm(loop, clock, store.Endpoint(), kFirstVmAddress, testing::OwnMirrorPort());
  RunFor(loop, std::chrono::milliseconds(1000));
  EXPECT_TRUE(vm.sync.Loaded());
  EXPECT_EQ(KnownReplicas(vm), GetParam().ids);
}

using Escapes = testing::PagedStore::Escapes;
INSTANTIATE_TEST_SUITE_P(
    Keys, MisreadKeyTest,
    ::testing::Values(MisreadKeyCase{"ListedAgain", {"bz", "m", "z"}, "b\xc3\xa9", Escapes::kKeep},
                      MisreadKeyCase{"SkipsTheNext", {"a", "b!d", "z"}, "b c", Escapes::kKeep},
                      MisreadKeyCase{"Ampersand", {"a", "m", "z"}, "b&c", Escapes::kKeep},
                      MisreadKeyCase{"Refused", {"a", "m", "z"}, "b&c", Escapes::kRefuse}),
    [](const auto& info) { return info.param.name; });

struct FruitlessWatchCase {
  const char* name;
  testing::PagedStore::Watches watches;
};
class FruitlessWatchTest : public ::testing::TestWithParam<FruitlessWatchCase> {};

// Guards against calls without a pause to a store whose watches end at once and bring nothing new.
TEST_P(FruitlessWatchTest, LeadsToFewCalls) {
  net::asio::io_context loop{1};
  base::SystemClock clock;
  testing::PagedStore store{loop, 500};
  store.PutValue("op/config", testing::ConfigText(7));
  store.PutValue("servers/a", testing::ReplicaText("svc", testing::Loopback(1)));
  store.SetWatches(GetParam().watches);
  testing::VmUnderTest vm(loop, clock, store.Endpoint(), kFirstVmAddress, testing::OwnMirrorPort());
  RunFor(loop, std::chrono::milliseconds(3000));
  EXPECT_TRUE(vm.sync.Loaded());
  EXPECT_LE(store.calls(), 40);
  store.PutValue("servers/b", testing::ReplicaText("svc", testing::Loopback(1)));
  RunFor(loop, std::chrono::milliseconds(1500));
  EXPECT_EQ(KnownReplicas(vm), (std::set<std::string>{"a", "b"}));
  EXPECT_LE(store.calls(), 60);
}

using Watches = testing::PagedStore::Watches;
INSTANTIATE_TEST_SUITE_P(Answers, FruitlessWatchTest,
                         ::testing::Values(FruitlessWatchCase{"HistoryGone", Watches::kHistoryGone},
                                           FruitlessWatchCase{"NoWait", Watches::kNoWait},
                                           FruitlessWatchCase{"SameRevision", Watches::kSameRevision}),
                         [](const auto& info) { return info.param.name; });

// Guards against a pause before the listing that brings what was missed during an outage.
TEST(PagingTest, FollowsALossOfHistoryAtOnceAfterFailures) {
  net::asio::io_context loop{1};
  base::SystemClock clock;
  testing::PagedStore store{loop, 500};
  store.PutValue("op/config", testing::ConfigText(7));
  testing::VmUnderTest vm(loop, clock, store.Endpoint(), kFirstVmAddress, testing::OwnMirrorPort());
  RunFor(loop, std::chrono::milliseconds(300));
  store.SetWatches(Watches::kBusy);
  RunFor(loop, std::chrono::milliseconds(3000));
  store.SetWatches(Watches::kWait);
  store.DropHistory();
  RunFor(loop, std::chrono::milliseconds(3000));
  ASSERT_TRUE(store.TimeToList());
  EXPECT_LT(*store.TimeToList(), std::chrono::milliseconds(300));
}

// Guards against calls without a pause to a store whose pages do not advance.
TEST(PagingTest, OfAStoreThatDoesNotAdvanceIsAFailedCall) {
  net::asio::io_context loop{1};
  base::SystemClock clock;
  testing::PagedStore store{loop};
  for (const char* id : {"a", "b", "c"}) store.PutValue(std::string("servers/") + id, "{}");
  store.StopAdvancing();
  testing::VmUnderTest vm(loop, clock, store.Endpoint(), kFirstVmAddress, testing::OwnMirrorPort());
  RunFor(loop, std::chrono::milliseconds(2000));
  EXPECT_FALSE(vm.sync.Loaded());
  EXPECT_LE(store.listing_calls(), 40);
}

// Guards against a replica that is used further after its entry has become unreadable.
TEST(UnreadableEventTest, EndsTheUseOfItsReplicaOnly) {
  net::asio::io_context loop{1};
  base::SystemClock clock;
  testing::PagedStore store{loop, 500};
  store.PutValue("op/config", testing::ConfigText(7));
  for (const char* id : {"a", "m"}) {
    store.PutValue(std::string("servers/") + id, testing::ReplicaText("svc", testing::Loopback(1)));
  }
  testing::VmUnderTest vm(loop, clock, store.Endpoint(), kFirstVmAddress, testing::OwnMirrorPort());
  RunFor(loop, std::chrono::milliseconds(700));
  ASSERT_EQ(KnownReplicas(vm), (std::set<std::string>{"a", "m"}));
  store.Put("servers/a", R"(,"value":"*")");
  store.Put("op/config", "");
  RunFor(loop, std::chrono::milliseconds(700));
  RunFor(loop, serving::ReplicaRegistry::kUnlistedGrace);
  vm.registry.Tick(clock.Now());
  EXPECT_EQ(KnownReplicas(vm), (std::set<std::string>{"m"}));
  EXPECT_EQ(vm.versions.back(), 7U);
  EXPECT_EQ(store.listing_calls(), 2);
}

/// A VM beside a store that refuses escapes, so that its listings end at the page of an odd key.
class UnfinishedListingTest : public ::testing::Test {
 protected:
  UnfinishedListingTest() {
    store_.PutValue("op/config", testing::ConfigText(7));
    for (const char* id : {"a", "m", "z"}) PutReplica(id);
    store_.SetEscapes(Escapes::kRefuse);
  }

  void PutReplica(const std::string& id) {
    store_.PutValue("servers/" + id, testing::ReplicaText("svc", testing::Loopback(1)));
  }
  void Start() {
    vm_.emplace(loop_, clock_, store_.Endpoint(), kFirstVmAddress, testing::OwnMirrorPort());
    Run();
  }
  void Run() { RunFor(loop_, std::chrono::milliseconds(2500)); }

  net::asio::io_context loop_{1};
  base::SystemClock clock_;
  testing::PagedStore store_{loop_};
  std::optional<testing::VmUnderTest> vm_;
};

// Guards against a VM that serves nobody after its start, though it has read entries of replicas.
TEST_F(UnfinishedListingTest, AddsWhatWasReadAtTheStart) {
  store_.PutValue("servers/n&o", "{}");
  Start();
  EXPECT_EQ(KnownReplicas(*vm_), (std::set<std::string>{"a", "m"}));
  EXPECT_TRUE(vm_->sync.Loaded());
  EXPECT_LE(store_.listing_calls(), 40);
  store_.SetEscapes(Escapes::kDecode);
  store_.Remove("servers/a");
  Run();
  RunFor(loop_, serving::ReplicaRegistry::kUnlistedGrace);
  vm_->registry.Tick(clock_.Now());
  EXPECT_EQ(KnownReplicas(*vm_), (std::set<std::string>{"m", "z"}));
}

// Guards against a VM that stays without new replicas, or loses known ones, once it has to list again.
TEST_F(UnfinishedListingTest, AddsWhatWasReadLater) {
  Start();
  ASSERT_EQ(KnownReplicas(*vm_), (std::set<std::string>{"a", "m", "z"}));
  store_.DropHistory();
  store_.PutValue("servers/n&o", "{}");
  PutReplica("b");
  Run();
  vm_->registry.Tick(clock_.Now());
  EXPECT_EQ(KnownReplicas(*vm_), (std::set<std::string>{"a", "b", "m", "z"}));
}

}  // namespace
}  // namespace cornelplank

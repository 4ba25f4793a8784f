#include <gtest/gtest.h>

#include <optional>

#include "tests/platform/paged_store.h"
#include "tests/platform/vm_under_test.h"

namespace cornelplank {
namespace {

using testing::kFirstVmAddress;
using testing::RunFor;
using Escapes = testing::PagedStore::Escapes;

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
  EXPECT_EQ(vm.KnownReplicas(), ids);
}

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
  EXPECT_EQ(vm.KnownReplicas(), (std::set<std::string>{"a", "b"}));
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
  ASSERT_EQ(vm.KnownReplicas(), (std::set<std::string>{"a", "m"}));
  store.Put("servers/a", R"(,"value":"*")");
  store.Put("op/config", "");
  RunFor(loop, std::chrono::milliseconds(700));
  RunFor(loop, serving::ReplicaRegistry::kUnlistedGrace);
  vm.registry.Tick(clock.Now());
  EXPECT_EQ(vm.KnownReplicas(), (std::set<std::string>{"m"}));
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
  EXPECT_EQ(vm_->KnownReplicas(), (std::set<std::string>{"a", "m"}));
  EXPECT_TRUE(vm_->sync.Loaded());
  EXPECT_LE(store_.listing_calls(), 40);
  store_.SetEscapes(Escapes::kDecode);
  store_.Remove("servers/a");
  Run();
  RunFor(loop_, serving::ReplicaRegistry::kUnlistedGrace);
  vm_->registry.Tick(clock_.Now());
  EXPECT_EQ(vm_->KnownReplicas(), (std::set<std::string>{"m", "z"}));
}

// Guards against a VM that stays without new replicas, or loses known ones, once it has to list again.
TEST_F(UnfinishedListingTest, AddsWhatWasReadLater) {
  Start();
  ASSERT_EQ(vm_->KnownReplicas(), (std::set<std::string>{"a", "m", "z"}));
  store_.DropHistory();
  store_.PutValue("servers/n&o", "{}");
  PutReplica("b");
  Run();
  vm_->registry.Tick(clock_.Now());
  EXPECT_EQ(vm_->KnownReplicas(), (std::set<std::string>{"a", "b", "m", "z"}));
}

}  // namespace
}  // namespace cornelplank

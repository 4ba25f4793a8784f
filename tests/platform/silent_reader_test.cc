#include <gtest/gtest.h>

#include "tests/platform/store_path.h"
#include "tests/platform/vm_under_test.h"

namespace cornelplank {
namespace {

using std::chrono::milliseconds;
using testing::ConfigText;
using testing::FakeStore;
using testing::kFirstVmAddress;
using testing::ReplicaText;
using testing::RunFor;
using testing::StorePath;
using testing::VmUnderTest;

constexpr milliseconds kDrainBound{4000};  // a removed replica gets no request after it

/// The VMs of a zone, each with a path of its own to the store.
class ZoneTest : public ::testing::Test {
 protected:
  void Start(uint32_t count) {
    store_.Put("op/config", ConfigText(7));
    for (const char* id : {"i-1", "i-2"}) {
      store_.Put(std::string("servers/") + id, ReplicaText("svc", testing::Loopback(9)));
    }
    for (uint32_t i = 0; i < count; ++i) {
      paths_.push_back(std::make_unique<StorePath>(loop_, store_.Endpoint()));
      vms_.push_back(std::make_unique<VmUnderTest>(loop_, clock_, paths_[i]->Endpoint(), kFirstVmAddress + i,
                                                   testing::OwnMirrorPort()));
    }
    Run(milliseconds(4000));
  }
  void Run(milliseconds time) {
    const base::TimePoint end = clock_.Now() + time;
    while (clock_.Now() < end) {
      for (const auto& vm : vms_) {
        fleet::Member& own = vm->members.own();
        ++own.heartbeat_count;
        own.store_contact = vm->sync.Contact();
        for (const auto& other : vms_) other->members.MergeMember(own, clock_.Now());
        vm->registry.Tick(clock_.Now());
      }
      RunFor(loop_, std::min(milliseconds(50), std::chrono::ceil<milliseconds>(end - clock_.Now())));
    }
  }
  /// The VM that reads the store for the zone.
  size_t Reader() {
    std::vector<int> before;
    for (const auto& path : paths_) before.push_back(path->calls());
    Run(milliseconds(2000));
    size_t reader = 0;
    for (size_t i = 1; i < paths_.size(); ++i) {
      if (paths_[i]->calls() - before[i] > paths_[reader]->calls() - before[reader]) reader = i;
    }
    return reader;
  }

  net::asio::io_context loop_{1};
  base::SystemClock clock_;
  FakeStore store_{loop_};
  std::vector<std::unique_ptr<StorePath>> paths_;
  std::vector<std::unique_ptr<VmUnderTest>> vms_;
};

struct SilentReaderCase {
  const char* name;
  uint32_t vms;
  milliseconds delay;  // from the silence until the removal
};
void PrintTo(const SilentReaderCase& zone, std::ostream* out) { *out << zone.name; }

class SilentReaderTest : public ZoneTest, public ::testing::WithParamInterface<SilentReaderCase> {};

// Guards against a removed replica in use beyond the bound since the path from the reading VM fell silent.
TEST_P(SilentReaderTest, OthersLeaveARemovedReplicaInTime) {
  Start(GetParam().vms);
  const size_t reader = Reader();
  // The silence lasts longest unnoticed when the watches of both prefixes have just begun.
  const int calls = paths_[reader]->calls();
  for (int i = 0; i < 400 && paths_[reader]->calls() < calls + 2; ++i) RunFor(loop_, milliseconds(5));
  paths_[reader]->SetFault(StorePath::Fault::kSilent);
  Run(GetParam().delay);
  store_.Remove("servers/i-1");
  Run(kDrainBound);
  for (size_t i = 0; i < vms_.size(); ++i) {
    if (i == reader) continue;
    EXPECT_FALSE(vms_[i]->registry.Find("i-1")) << "VM " << i;
    EXPECT_TRUE(vms_[i]->registry.Find("i-2")) << "VM " << i;
  }
}

INSTANTIATE_TEST_SUITE_P(Zones, SilentReaderTest,
                         ::testing::Values(SilentReaderCase{"TwoVms", 2, milliseconds(50)},
                                           SilentReaderCase{"ThreeVms", 3, milliseconds(50)},
                                           SilentReaderCase{"FiveVms", 5, milliseconds(50)},
                                           SilentReaderCase{"RemovedLater", 3, milliseconds(300)}),
                         [](const auto& info) { return info.param.name; });

struct ExpiryCase {
  const char* name;
  FakeStore::Mode mode;
  milliseconds time;  // for which the store is away
};
void PrintTo(const ExpiryCase& outage, std::ostream* out) { *out << outage.name; }

class ExpiryTest : public ZoneTest, public ::testing::WithParamInterface<ExpiryCase> {};

// Guards against a replica that is dropped after an outage before its expired entry can be back.
TEST_P(ExpiryTest, LeavesReplicasTheTimeToReturn) {
  constexpr milliseconds kEntryReturn{2000};
  Start(3);
  store_.SetMode(GetParam().mode);
  Run(GetParam().time);
  store_.Remove("servers/i-1");
  store_.SetMode(FakeStore::Mode::kServe);
  Run(kEntryReturn);
  for (size_t i = 0; i < vms_.size(); ++i) EXPECT_TRUE(vms_[i]->registry.Find("i-1")) << "VM " << i;
}

INSTANTIATE_TEST_SUITE_P(Outages, ExpiryTest,
                         ::testing::Values(ExpiryCase{"Refused", FakeStore::Mode::kBusy, milliseconds(3000)},
                                           ExpiryCase{"Silent", FakeStore::Mode::kSilent, milliseconds(4000)},
                                           ExpiryCase{"Long", FakeStore::Mode::kBusy, milliseconds(7000)}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank

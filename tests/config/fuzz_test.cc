#include <gtest/gtest.h>

#include "tests/config/example.h"
#include "tests/config/store_harness.h"
#include "tests/fuzz/fuzz_target.h"

namespace cornelplank::config {
namespace {

constexpr uint64_t kSeed = 20'261;
constexpr uint64_t kSteps = 20'000;

// Guards against stores that disagree after entries and snapshots arrive stale, reordered, twice or not at
// all.
TEST(ConfigFuzzTest, StoresAgreeWithTheSequentialOracle) {
  const auto violation = RunStoreFuzz(
      [](Snapshot snapshot, const StoreOptions& options) {
        return std::make_unique<StoreUnderTest>(std::move(snapshot), options);
      },
      kSeed, kSteps);
  EXPECT_FALSE(violation) << *violation;
}

// Guards against crashes on mutated bytes, and against values that change when they are written and parsed
// again.
TEST(ConfigFuzzTest, CodecsSurviveMutatedBytes) {
  const auto violation = RunParseFuzz(kSeed, kSteps);
  EXPECT_FALSE(violation) << *violation;
}

/// A faulty store that adopts any snapshot, also an older one.
class AdoptsOlder final : public StoreUnderTest {
 public:
  using StoreUnderTest::StoreUnderTest;
  bool Adopt(Snapshot snapshot, ConfigReason* reason) override {
    if (snapshot.version.seq >= store_.version().seq) {
      return StoreUnderTest::Adopt(std::move(snapshot), reason);
    }
    if (snapshot.document.format <= options_.newest_format) Replace(std::move(snapshot));
    return true;
  }
};

/// A faulty store that applies a patch to the current version whatever version it names.
class IgnoresBase final : public StoreUnderTest {
 public:
  using StoreUnderTest::StoreUnderTest;
  ApplyResult Apply(const LogEntry& entry) override {
    LogEntry changed = entry;
    changed.base = store_.version().number;
    return StoreUnderTest::Apply(changed);
  }
};

/// A faulty store that applies the first operation of a refused patch.
class AppliesPartially final : public StoreUnderTest {
 public:
  using StoreUnderTest::StoreUnderTest;
  ApplyResult Apply(const LogEntry& entry) override {
    const auto before = store_.document();
    const ApplyResult result = StoreUnderTest::Apply(entry);
    const auto patch = nlohmann::json::parse(entry.patch_json);
    if (!result.processed || result.accepted || !patch.is_array() || patch.size() < 2) return result;
    auto first = ApplyPatch(*before, entry.author, nlohmann::json::array({patch[0]}).dump());
    if (first.document) Replace({store_.version(), *first.document});
    return result;
  }
};

/// A faulty store that skips missing entries.
class IgnoresGaps final : public StoreUnderTest {
 public:
  using StoreUnderTest::StoreUnderTest;
  ApplyResult Apply(const LogEntry& entry) override {
    if (entry.seq <= store_.version().seq + 1 || store_.blocked()) return StoreUnderTest::Apply(entry);
    Snapshot skipped = store_.ToSnapshot();
    skipped.version.seq = entry.seq - 1;
    Replace(std::move(skipped));
    return StoreUnderTest::Apply(entry);
  }
};

/// A faulty store that refuses an entry of an unknown format and continues.
class RefusesUnknownFormat final : public StoreUnderTest {
 public:
  using StoreUnderTest::StoreUnderTest;
  ApplyResult Apply(const LogEntry& entry) override {
    const ApplyResult result = StoreUnderTest::Apply(entry);
    if (result.reason.code != ConfigCode::kFormatUnknown) return result;
    Snapshot refused = store_.ToSnapshot();
    refused.version.digest = ChainDigest(refused.version.digest, entry.seq, entry.patch_json, false);
    refused.version.seq = entry.seq;
    Replace(refused);
    return {true, false, refused.version, result.reason};
  }
};

template <typename Faulty>
std::unique_ptr<StoreUnderTest> Make(Snapshot snapshot, const StoreOptions& options) {
  return std::make_unique<Faulty>(std::move(snapshot), options);
}

struct FaultyStoreCase {
  const char* name;
  StoreFactory factory;
};

class BrokenStoreTest : public testing::TestWithParam<FaultyStoreCase> {};

// Guards against a fuzzer that does not detect a faulty store.
TEST_P(BrokenStoreTest, IsCaught) { EXPECT_TRUE(RunStoreFuzz(GetParam().factory, kSeed, kSteps)); }

INSTANTIATE_TEST_SUITE_P(Variants, BrokenStoreTest,
                         testing::Values(FaultyStoreCase{"AdoptsOlder", Make<AdoptsOlder>},
                                         FaultyStoreCase{"IgnoresBase", Make<IgnoresBase>},
                                         FaultyStoreCase{"AppliesPartially", Make<AppliesPartially>},
                                         FaultyStoreCase{"IgnoresGaps", Make<IgnoresGaps>},
                                         FaultyStoreCase{"RefusesUnknownFormat", Make<RefusesUnknownFormat>}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank::config

#include <gtest/gtest.h>

#include "tests/config/example.h"
#include "tests/config/store_harness.h"
#include "tests/fuzz/fuzz_target.h"

namespace cornelplank::config {
namespace {

constexpr uint64_t kSeed = 20'261;
constexpr uint64_t kSteps = 20'000;

// Guards against stores that disagree after stale, reordered, doubled or missing reads.
TEST(ConfigFuzzTest, StoresAgreeWithTheSequentialOracle) {
  const auto violation = RunStoreFuzz(
      [](Snapshot snapshot, const StoreOptions& options) {
        return std::make_unique<StoreUnderTest>(std::move(snapshot), options);
      },
      kSeed, kSteps);
  EXPECT_FALSE(violation) << *violation;
}

// Guards against crashes and unstable text on mutated bytes.
TEST(ConfigFuzzTest, CodecsSurviveMutatedBytes) {
  const auto violation = RunParseFuzz(kSeed, kSteps);
  EXPECT_FALSE(violation) << *violation;
}

/// Adopts any snapshot, also an older one.
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

/// Applies a patch to the current version whatever version it names.
class IgnoresBase final : public StoreUnderTest {
 public:
  using StoreUnderTest::StoreUnderTest;
  ApplyResult Apply(const LogEntry& entry) override {
    LogEntry changed = entry;
    changed.base = store_.version().number;
    return StoreUnderTest::Apply(changed);
  }
};

/// Keeps the first operation of a refused patch in force.
class AppliesPartially final : public StoreUnderTest {
 public:
  using StoreUnderTest::StoreUnderTest;
  ApplyResult Apply(const LogEntry& entry) override {
    const auto before = store_.document();
    const ApplyResult verdict = StoreUnderTest::Apply(entry);
    const auto patch = nlohmann::json::parse(entry.patch_json);
    if (!verdict.processed || verdict.accepted || !patch.is_array() || patch.size() < 2) return verdict;
    auto first = ApplyPatch(*before, entry.author, nlohmann::json::array({patch[0]}).dump());
    if (first.document) Replace({store_.version(), *first.document});
    return verdict;
  }
};

/// Skips entries that are missing.
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

/// Treats an entry that it can't judge as refused and goes on.
class RefusesUnknownFormat final : public StoreUnderTest {
 public:
  using StoreUnderTest::StoreUnderTest;
  ApplyResult Apply(const LogEntry& entry) override {
    const ApplyResult verdict = StoreUnderTest::Apply(entry);
    if (verdict.reason.code != ConfigCode::kFormatUnknown) return verdict;
    Snapshot refused = store_.ToSnapshot();
    refused.version.digest = ChainDigest(refused.version.digest, entry.seq, entry.patch_json, false);
    refused.version.seq = entry.seq;
    Replace(refused);
    return {true, false, refused.version, verdict.reason};
  }
};

template <typename Broken>
std::unique_ptr<StoreUnderTest> Make(Snapshot snapshot, const StoreOptions& options) {
  return std::make_unique<Broken>(std::move(snapshot), options);
}

struct BrokenCase {
  const char* name;
  StoreFactory factory;
};

class BrokenStoreTest : public testing::TestWithParam<BrokenCase> {};

// Guards against a fuzzer that would not notice a wrong store.
TEST_P(BrokenStoreTest, IsCaught) { EXPECT_TRUE(RunStoreFuzz(GetParam().factory, kSeed, kSteps)); }

INSTANTIATE_TEST_SUITE_P(Variants, BrokenStoreTest,
                         testing::Values(BrokenCase{"AdoptsOlder", Make<AdoptsOlder>},
                                         BrokenCase{"IgnoresBase", Make<IgnoresBase>},
                                         BrokenCase{"AppliesPartially", Make<AppliesPartially>},
                                         BrokenCase{"IgnoresGaps", Make<IgnoresGaps>},
                                         BrokenCase{"RefusesUnknownFormat", Make<RefusesUnknownFormat>}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank::config

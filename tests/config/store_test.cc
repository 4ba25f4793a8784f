#include <gtest/gtest.h>

#include "tests/config/example.h"

namespace cornelplank::config {
namespace {

using nlohmann::json;

ConfigStore MakeStore(const StoreOptions& options = {}) {
  return ConfigStore::FromSnapshot(ExampleSnapshot(), options, nullptr).value();
}

// Guards against an accepted patch that does not change the document, or does not raise the version by one.
TEST(ConfigStoreTest, AppliesTheNextEntry) {
  ConfigStore store = MakeStore();
  const ApplyResult result = store.Apply(MakeEntry(8, 3, "gave", ReplacePatch("/upstreams/e1/slots", 9)));
  EXPECT_TRUE(result.processed && result.accepted) << result.reason.detail;
  EXPECT_EQ(result.version.seq, 8U);
  EXPECT_EQ(result.version.number, 4U);
  EXPECT_EQ(store.document()->upstreams.at("e1").slots, 9);
  EXPECT_EQ(result.version.digest,
            ChainDigest(std::string(32, '0'), 8, ReplacePatch("/upstreams/e1/slots", 9).dump(), true));
}

struct RefusalCase {
  const char* author;
  std::string patch;
  ConfigCode code;
  const char* detail;  // part of the reason's detail
};

class RefusalTest : public testing::TestWithParam<RefusalCase> {};

// Guards against a refused patch that changes the document or the version, and against wrong reasons.
TEST_P(RefusalTest, ConsumesTheSeqAndChangesNothing) {
  ConfigStore store = MakeStore();
  const auto before = store.document();
  const ApplyResult result = store.Apply({8, 3, GetParam().author, GetParam().patch});
  EXPECT_TRUE(result.processed);
  EXPECT_FALSE(result.accepted);
  EXPECT_EQ(CodeName(result.reason.code), CodeName(GetParam().code)) << result.reason.detail;
  EXPECT_NE(result.reason.detail.find(GetParam().detail), std::string::npos) << result.reason.detail;
  EXPECT_EQ(store.version().seq, 8U);
  EXPECT_EQ(store.version().number, 3U);
  EXPECT_EQ(store.document(), before);
  EXPECT_EQ(store.Find(8)->reason.code, GetParam().code);
}

INSTANTIATE_TEST_SUITE_P(
    Table, RefusalTest,
    testing::Values(
        RefusalCase{"gave", "[", ConfigCode::kMalformed, "not JSON"},
        RefusalCase{"gave", "{}", ConfigCode::kPatch, "list of operations"},
        RefusalCase{"gave", R"([{"path":"/format"}])", ConfigCode::kPatch, "/0"},
        RefusalCase{"gave", RemovePatch("/models/x").dump(), ConfigCode::kPatch, "/0"},
        RefusalCase{"gave", R"([{"op":"test","path":"/upstreams/e1/slots","value":5}])", ConfigCode::kPatch,
                    "/0"},
        RefusalCase{
            "gave",
            R"([{"op":"replace","path":"/upstreams/e1/slots","value":5},{"op":"remove","path":"/x"}])",
            ConfigCode::kPatch, "/1"},
        RefusalCase{"gave", RemovePatch("/models/letter").dump(), ConfigCode::kInvalid,
                    "/upstreams/e1/models/0"},
        RefusalCase{"gave", ReplacePatch("/format", 9).dump(), ConfigCode::kInvalid, "/format"},
        RefusalCase{"gave", RemovePatch("").dump(), ConfigCode::kPatch, "/0"},
        RefusalCase{"x", "[]", ConfigCode::kOwnership, "is not a partner"},
        RefusalCase{"", "[]", ConfigCode::kOwnership, "is not a partner"},
        RefusalCase{"leak", ReplacePatch("/upstreams/e1/slots", 5).dump(), ConfigCode::kOwnership,
                    "/upstreams/e1: belongs to partner 'gave'"},
        RefusalCase{"gave", RemovePatch("/upstreams/e2").dump(), ConfigCode::kOwnership,
                    "/upstreams/e2: belongs to partner 'leak'"},
        RefusalCase{"leak", ReplacePatch("/partners/gave/lends/leak", 0.9).dump(), ConfigCode::kOwnership,
                    "/partners/gave: belongs to partner 'gave'"},
        RefusalCase{"leak", ReplacePatch("/residency/gave-home/partner", "leak").dump(),
                    ConfigCode::kOwnership, "/residency/gave-home: belongs to partner 'gave'"},
        RefusalCase{"gave", ReplacePatch("/models/letter/partner", "leak").dump(), ConfigCode::kOwnership,
                    "/models/letter: can't be given to another partner"},
        RefusalCase{"gave",
                    R"([{"op":"add","path":"/residency/r","value":{"partner":"leak","allow":["home"]}}])",
                    ConfigCode::kOwnership, "/residency/r: can't be created for another partner"},
        RefusalCase{"gave", R"([{"op":"add","path":"/partners/x","value":{"objective":"cost"}}])",
                    ConfigCode::kOwnership, "/partners/x: can't be created for another partner"},
        RefusalCase{"gave", R"([{"op":"add","path":"/a/b/c/d/e/f/g/h/i","value":1}])", ConfigCode::kPatch,
                    "longer than any path"}));

// Guards against a patch that exhausts memory by copying the document into itself repeatedly.
TEST(ConfigStoreTest, LimitsTheValuesThatAPatchCopies) {
  json patch = json::array();
  for (int i = 0; i < 60; ++i) patch.push_back({{"op", "copy"}, {"from", ""}, {"path", "/models/m"}});
  ConfigStore store = MakeStore();
  const ApplyResult result = store.Apply(MakeEntry(8, 3, "gave", patch));
  EXPECT_EQ(result.reason.code, ConfigCode::kPatch);
  EXPECT_NE(result.reason.detail.find("copies or moves too many values"), std::string::npos)
      << result.reason.detail;
}

// Guards against a lost update when two operators publish at once: the second patch names a version that is
// no longer current.
TEST(ConfigStoreTest, RefusesAnOldBase) {
  ConfigStore store = MakeStore();
  EXPECT_TRUE(store.Apply(MakeEntry(8, 3, "gave", ReplacePatch("/upstreams/e1/slots", 9))).accepted);
  const ApplyResult second = store.Apply(MakeEntry(9, 3, "leak", ReplacePatch("/upstreams/e2/slots", 9)));
  EXPECT_TRUE(second.processed);
  EXPECT_EQ(second.reason.code, ConfigCode::kBase);
  const ApplyResult no_base = store.Apply(MakeEntry(10, kNoBase, "leak", json::array()));
  EXPECT_EQ(no_base.reason.code, ConfigCode::kBase);
}

// Guards against processing an entry after a gap, a duplicate, or a changed entry under a used sequence
// number.
TEST(ConfigStoreTest, ProcessesOnlyTheNextEntry) {
  ConfigStore store = MakeStore();
  const LogEntry first = MakeEntry(8, 3, "gave", ReplacePatch("/upstreams/e1/slots", 9));
  EXPECT_EQ(store.Apply(MakeEntry(9, 3, "gave", json::array())).reason.code, ConfigCode::kGap);
  EXPECT_TRUE(store.Apply(first).accepted);
  const Version version = store.version();
  EXPECT_EQ(store.Apply(first).reason.code, ConfigCode::kStale);
  EXPECT_EQ(store.Apply(MakeEntry(8, 3, "gave", json::array())).reason.code, ConfigCode::kConflict);
  EXPECT_EQ(store.version(), version);
}

// Guards against a return to an older configuration, and against histories that differ without a conflict.
TEST(ConfigStoreTest, AdoptsOnlyNewerSnapshots) {
  ConfigStore store = MakeStore();
  ASSERT_TRUE(store.Apply(MakeEntry(8, 3, "gave", ReplacePatch("/upstreams/e1/slots", 9))).accepted);
  ConfigReason reason;
  EXPECT_FALSE(store.Adopt(ExampleSnapshot(), &reason));
  EXPECT_EQ(reason.code, ConfigCode::kStale);
  Snapshot other = store.ToSnapshot();
  EXPECT_FALSE(store.Adopt(other, &reason));
  EXPECT_EQ(reason.code, ConfigCode::kStale);
  other.version.digest = std::string(32, 'e');
  EXPECT_FALSE(store.Adopt(other, &reason));
  EXPECT_EQ(reason.code, ConfigCode::kConflict);
  EXPECT_EQ(store.CheckPeerDigest(8, other.version.digest)->code, ConfigCode::kConflict);
  EXPECT_FALSE(store.CheckPeerDigest(8, store.version().digest));
  EXPECT_FALSE(store.CheckPeerDigest(99, other.version.digest));
  other.version.seq = 20;
  other.version.number = 1;
  EXPECT_FALSE(store.Adopt(other, &reason));
  EXPECT_EQ(reason.code, ConfigCode::kConflict);
  other.version.number = 9;
  EXPECT_TRUE(store.Adopt(other, &reason));
  EXPECT_EQ(store.version(), other.version);
}

// Guards against old and new binaries with different documents under one version number: the old binary must
// stop instead.
TEST(ConfigStoreTest, StopsAtAnUnknownFormat) {
  ConfigStore old_store = MakeStore({.newest_format = 1});
  ConfigStore new_store = MakeStore({.newest_format = 2});
  const LogEntry raise = MakeEntry(8, 3, "gave", ReplacePatch("/format", 2));
  const LogEntry refused = MakeEntry(9, 3, "gave", json::array());
  EXPECT_TRUE(new_store.Apply(raise).accepted);
  EXPECT_TRUE(new_store.Apply(refused).processed);
  for (const LogEntry& entry : {raise, refused, raise}) {
    const ApplyResult result = old_store.Apply(entry);
    EXPECT_FALSE(result.processed);
    EXPECT_EQ(result.reason.code, ConfigCode::kFormatUnknown);
  }
  EXPECT_TRUE(old_store.blocked());
  EXPECT_EQ(old_store.version(), ExampleSnapshot().version);
  ConfigReason reason;
  EXPECT_FALSE(old_store.Adopt(new_store.ToSnapshot(), &reason));
  EXPECT_EQ(reason.code, ConfigCode::kFormatUnknown);
  Snapshot later = ExampleSnapshot();
  later.version.seq = 12;
  EXPECT_TRUE(old_store.Adopt(later, &reason));
  EXPECT_TRUE(old_store.Apply(MakeEntry(13, 3, "gave", json::array())).accepted);
}

// Guards against a history that grows without limit or returns entries with a gap.
TEST(ConfigStoreTest, KeepsABoundedHistory) {
  ConfigStore store = MakeStore({.history_entries = 4});
  for (uint64_t i = 0; i < 10; ++i) {
    store.Apply(MakeEntry(8 + i, 3 + i, "gave", ReplacePatch("/upstreams/e1/slots", 1 + i)));
  }
  EXPECT_EQ(store.history().size(), 4U);
  EXPECT_FALSE(store.EntriesAfter(12, 10'000));
  EXPECT_EQ(store.EntriesAfter(13, 10'000)->size(), 4U);
  EXPECT_EQ(store.EntriesAfter(13, 1)->size(), 1U);
  EXPECT_EQ(store.EntriesAfter(13, 1)->front().seq, 14U);
  EXPECT_TRUE(store.EntriesAfter(17, 10'000)->empty());
  EXPECT_TRUE(store.EntriesAfter(99, 10'000)->empty());
  EXPECT_EQ(store.Find(13), nullptr);
  EXPECT_TRUE(store.Find(14)->accepted);
}

}  // namespace
}  // namespace cornelplank::config

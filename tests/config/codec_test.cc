#include <gtest/gtest.h>

#include <set>

#include <chrono>

#include "tests/config/example.h"

namespace cornelplank::config {
namespace {

using nlohmann::json;

struct SnapshotCase {
  std::string patch;  // JSON patch that makes the example's published form faulty
  ConfigCode code;
  const char* detail;  // start of the reason's detail
};

class SnapshotFaultTest : public testing::TestWithParam<SnapshotCase> {};

// Guards against snapshots that are accepted though their envelope or document is faulty.
TEST_P(SnapshotFaultTest, NamesThePointer) {
  const json faulty = json::parse(WriteSnapshot(ExampleSnapshot())).patch(json::parse(GetParam().patch));
  ConfigReason reason;
  EXPECT_FALSE(ParseSnapshot(faulty.dump(), &reason));
  EXPECT_EQ(CodeName(reason.code), CodeName(GetParam().code));
  EXPECT_EQ(reason.detail.rfind(GetParam().detail, 0), 0U) << reason.detail;
}

INSTANTIATE_TEST_SUITE_P(
    Table, SnapshotFaultTest,
    testing::Values(
        SnapshotCase{RemovePatch("/seq").dump(), ConfigCode::kInvalid, "/seq: is required"},
        SnapshotCase{ReplacePatch("/version", -1).dump(), ConfigCode::kInvalid, "/version: "},
        SnapshotCase{ReplacePatch("/digest", "00").dump(), ConfigCode::kInvalid, "/digest: "},
        SnapshotCase{RemovePatch("/format").dump(), ConfigCode::kInvalid, "/format: is required"},
        SnapshotCase{ReplacePatch("/format", 0).dump(), ConfigCode::kInvalid, "/format: must equal"},
        SnapshotCase{R"([{"op":"add","path":"/more","value":1}])", ConfigCode::kInvalid,
                     "/more: unknown field"},
        SnapshotCase{ReplacePatch("/document/links/0/a", "x").dump(), ConfigCode::kInvalid,
                     "/document/links/0/a: "},
        SnapshotCase{R"([{"op":"replace","path":"/format","value":2},{"op":"remove","path":"/seq"}])",
                     ConfigCode::kFormatUnknown, "format 2"},
        SnapshotCase{ReplacePatch("/document/format", 2).dump(), ConfigCode::kFormatUnknown, "format 2"}));

// Guards against a faulty entry that stops every node from reading the rest of the log.
TEST(LogPageTest, FaultyEntriesAreReadAndThenRefused) {
  const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
  const std::string text = R"({"head_seq":12,"oldest_seq":8,"entries":[
    {"seq":8,"base":"x","author":"gave","patch":[]},
    {"seq":9,"base":3,"author":7,"patch":[]},
    {"seq":10,"base":3,"author":"gave"},
    {"seq":11,"base":3,"author":"gave","patch":)" +
                           deep + R"(},
    {"seq":12,"base":3,"author":"gave","patch":[],"published_at":"ignored"}]})";
  ConfigReason reason;
  const auto page = ParseLogPage(text, &reason);
  ASSERT_TRUE(page) << reason.detail;
  ASSERT_EQ(page->entries.size(), 5U);
  ConfigStore store = ConfigStore::FromSnapshot(ExampleSnapshot(), {}, nullptr).value();
  std::string codes;
  for (const LogEntry& entry : page->entries) {
    const ApplyResult result = store.Apply(entry);
    EXPECT_TRUE(result.processed);
    codes += std::string(CodeName(result.reason.code)) + " ";
  }
  EXPECT_EQ(codes, "base ownership patch patch none ");
}

// Guards against a deeply nested entry that takes quadratic time to parse, and against an entry that gives
// different patches when read by itself and in a page.
TEST(LogPageTest, ReadsADeepEntryInLinearTimeAndInOneWay) {
  std::string entry = R"({"seq":8,"base":3,"author":"gave","patch":[{"a":"]}\""},)";
  entry.append(500, '[').append(500, ']');
  for (int i = 0; i < 200'000; ++i) entry += ",{}";
  entry += "]}";
  const auto start = std::chrono::steady_clock::now();
  const auto page = ParseLogPage(R"({"head_seq":8,"oldest_seq":8,"entries":[)" + entry + "]}", nullptr);
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds{5});
  ASSERT_TRUE(page);
  EXPECT_EQ(page->entries.at(0), ParseLogEntry(entry, nullptr));
  EXPECT_EQ(ParseLogPage(WriteLogPage(*page), nullptr), page);
}

// Guards against pages of which only a part is read.
TEST(LogPageTest, APageWithoutReadableSeqIsMalformed) {
  ConfigReason reason;
  EXPECT_FALSE(ParseLogPage(R"({"head_seq":1,"oldest_seq":1,"entries":[{"seq":1.5}]})", &reason));
  EXPECT_EQ(reason.code, ConfigCode::kMalformed);
  EXPECT_EQ(reason.detail.rfind("/entries/0/seq: ", 0), 0U) << reason.detail;
  EXPECT_FALSE(ParseLogPage(R"({"head_seq":1,"entries":[]})", &reason));
  EXPECT_EQ(reason.detail, "/oldest_seq: is required");
}

// Guards against a client that keeps its old residency rule when its new record is faulty.
TEST(ClientPageTest, FaultyRecordsCountAsRemoved) {
  const std::string key(64, 'a');
  const json page = {{"revision", 5},
                     {"clients",
                      {{{"id", "good"},
                        {"partner", "gave"},
                        {"key_sha256", key},
                        {"classes", {"desk"}},
                        {"home", "ost"},
                        {"residency", "gave-home"},
                        {"note", "ignored"}},
                       {{"id", "bad"},
                        {"partner", "gave"},
                        {"key_sha256", "AB"},
                        {"classes", {"desk"}},
                        {"home", "ost"},
                        {"residency", "gave-home"}},
                       {{"id", "none"},
                        {"partner", "gave"},
                        {"key_sha256", key},
                        {"classes", json::array()},
                        {"home", "ost"},
                        {"residency", "gave-home"}}}},
                     {"removed", {"gone"}}};
  Faults faults;
  const auto parsed = ParseClientPage(page.dump(), nullptr, &faults);
  ASSERT_TRUE(parsed);
  ASSERT_EQ(parsed->clients.size(), 1U);
  EXPECT_EQ(parsed->clients[0].id, "good");
  EXPECT_EQ(parsed->removed, (std::vector<std::string>{"gone", "bad", "none"}));
  ASSERT_EQ(faults.size(), 2U);
  EXPECT_EQ(faults[0].pointer, "/clients/1/key_sha256");
  EXPECT_EQ(faults[1].pointer, "/clients/2/classes");
}

struct VmListCase {
  std::string patch;               // JSON patch that makes the list faulty
  const char* detail;              // start of the first fault
  std::set<std::string> usable;    // ids
  std::set<std::string> unusable;  // ids
  bool unnamed;
};

class VmListFaultTest : public testing::TestWithParam<VmListCase> {};

// Guards against a list that is followed no longer because of one faulty record, and against one without that
// VM, as if it had been removed.
TEST_P(VmListFaultTest, LeavesOutOnlyTheFaultyRecord) {
  const VmList list{std::chrono::milliseconds{5},
                    {{"a", "gave", "ost", "ost-1", "10.0.0.1:7", "10.0.0.1:8", ~uint64_t{0}, VmState::kLive},
                     {"b", "gave", "ost", "ost-1", "10.0.0.2:7", "10.0.0.2:8", 2, VmState::kLeaving}}};
  const std::string text = WriteVmList(list);
  EXPECT_EQ(ParseVmList(text, nullptr), list);
  UnusableVmRecords unusable;
  const auto parsed =
      ParseVmList(json::parse(text).patch(json::parse(GetParam().patch)).dump(), nullptr, &unusable);
  ASSERT_TRUE(parsed);
  std::set<std::string> ids;
  for (const VmRecord& vm : parsed->vms) ids.insert(vm.id);
  EXPECT_EQ(ids, GetParam().usable);
  EXPECT_EQ(unusable.ids, GetParam().unusable);
  EXPECT_EQ(unusable.unnamed, GetParam().unnamed);
  ASSERT_FALSE(unusable.faults.empty());
  EXPECT_EQ(unusable.faults.front().Text().rfind(GetParam().detail, 0), 0U) << unusable.faults.front().Text();
}

INSTANTIATE_TEST_SUITE_P(
    Table, VmListFaultTest,
    testing::Values(
        VmListCase{
            ReplacePatch("/vms/1/state", "gone").dump(), "/vms/1/state: must be one of", {"a"}, {"b"}, false},
        VmListCase{ReplacePatch("/vms/0/rpc", "x").dump(), "/vms/0/rpc: ", {"b"}, {"a"}, false},
        VmListCase{ReplacePatch("/vms/0/rpc", "10.0.0.1:65536").dump(), "/vms/0/rpc: ", {"b"}, {"a"}, false},
        VmListCase{
            ReplacePatch("/vms/0/incarnation", 1e300).dump(), "/vms/0/incarnation: ", {"b"}, {"a"}, false},
        VmListCase{ReplacePatch("/vms/1/id", "a").dump(), "/vms/1: VM 'a' is listed twice", {}, {"a"}, false},
        VmListCase{ReplacePatch("/vms/1/id", 7).dump(), "/vms/1/id: ", {"a"}, {}, true},
        VmListCase{ReplacePatch("/vms/1", "odd").dump(), "/vms/1: must be an object", {"a"}, {}, true}));

// Guards against a list that is taken although what holds for all records is missing or nested too deeply.
TEST(VmListTest, FailsWithoutItsAgeOrWhenNestedTooDeeply) {
  ConfigReason reason;
  EXPECT_FALSE(ParseVmList(R"({"vms":[]})", &reason));
  EXPECT_EQ(reason.detail.rfind("/age_ms: is required", 0), 0U) << reason.detail;
  const std::string nested = std::string(1'000'000, '[') + std::string(1'000'000, ']');
  EXPECT_FALSE(ParseVmList(R"({"age_ms":1,"vms":[],"more":)" + nested + "}", &reason));
}

}  // namespace
}  // namespace cornelplank::config

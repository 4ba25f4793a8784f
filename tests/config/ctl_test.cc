#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

#include "apps/ctl/commands/commands.h"
#include "tests/config/example.h"

namespace cornelplank::ctl {
namespace {

using nlohmann::json;

constexpr const char* kPlatform = "http://10.0.0.1:9";

/// Returns the answers that a test prepared, by URL; other URLs fail with "connection refused".
class FakeTransport final : public Transport {
 public:
  std::optional<HttpResponse> Get(const std::string& url, const std::map<std::string, std::string>& headers,
                                  std::string* error) override {
    last_headers = headers;
    if (const auto found = answers.find(url); found != answers.end()) return found->second;
    *error = "connection refused";
    return std::nullopt;
  }

  std::map<std::string, HttpResponse> answers;
  std::map<std::string, std::string> last_headers;
};

class CtlTest : public testing::Test {
 protected:
  CtlTest() {
    options_.platform = kPlatform;
    options_.token = "secret";
    // Entry 8 is accepted. Entry 9 is refused because it names version 3, which is no longer current, and
    // entry 10 because it changes an upstream of the other partner.
    entries_ = {config::MakeEntry(8, 3, "gave", config::ReplacePatch("/upstreams/e1/slots", 9)),
                config::MakeEntry(9, 3, "gave", config::ReplacePatch("/upstreams/e1/slots", 8)),
                config::MakeEntry(10, 4, "leak", config::ReplacePatch("/upstreams/e1/slots", 7))};
    AddAnswer("/v1/config/snapshot", config::WriteSnapshot(config::ExampleSnapshot()));
    // Two pages, as from a platform that limits the size of its answers.
    AddAnswer("/v1/config/log?after=7&wait_ms=0", config::WriteLogPage({10, 8, {entries_[0], entries_[1]}}));
    AddAnswer("/v1/config/log?after=9&wait_ms=0", config::WriteLogPage({10, 8, {entries_[2]}}));
  }

  void AddAnswer(const std::string& path, std::string body, int status = 200) {
    transport_.answers[kPlatform + path] = {status, std::move(body)};
  }

  void AddGateway(const std::string& address, const char* region, uint64_t seq, const std::string& digest) {
    const json status = {{"region", region}, {"config", {{"seq", seq}, {"version", 4}, {"digest", digest}}}};
    transport_.answers["http://" + address + "/status"] = {200, status.dump()};
    options_.gateways.push_back(address);
  }

  /// A store that has processed the whole log.
  config::ConfigStore StoreAtHead() const {
    auto store = config::ConfigStore::FromSnapshot(config::ExampleSnapshot(), {}, nullptr).value();
    for (const auto& entry : entries_) store.Apply(entry);
    return store;
  }

  std::string WriteFile(const char* name, const std::string& text) {
    std::string path = testing::TempDir() + "/ctl_test_" + std::to_string(getpid()) + "_" + name;
    std::ofstream(path) << text;
    return path;
  }

  int Run(const std::string& command) {
    out_.str("");
    err_.str("");
    return RunCommand(command, options_, &transport_, {out_, err_});
  }

  bool OutputContains(const std::string& text) const {
    return out_.str().find(text) != std::string::npos || err_.str().find(text) != std::string::npos;
  }

  std::string PrintedOutput() const { return out_.str() + err_.str(); }

  Options options_;
  FakeTransport transport_;
  std::vector<config::LogEntry> entries_;
  std::ostringstream out_;
  std::ostringstream err_;
};

// Guards against a verdict that differs from the result of the nodes, which process the same log.
TEST_F(CtlTest, VerdictMatchesTheNodes) {
  options_.seq = 8;
  EXPECT_EQ(Run("verdict"), kDone) << PrintedOutput();
  EXPECT_TRUE(OutputContains("entry 8 by 'gave': accepted, version 4")) << PrintedOutput();
  options_.seq = 9;
  EXPECT_EQ(Run("verdict"), kRefused);
  EXPECT_TRUE(OutputContains("base: the patch names version 3, the current version is 4")) << PrintedOutput();
  options_.seq = 10;
  EXPECT_EQ(Run("verdict"), kRefused);
  EXPECT_TRUE(OutputContains("ownership: /upstreams/e1: belongs to partner 'gave'")) << PrintedOutput();
  EXPECT_TRUE(OutputContains(StoreAtHead().version().digest)) << PrintedOutput();
}

// Guards against a verdict on an entry that can't be processed.
TEST_F(CtlTest, VerdictReportsEntriesThatCantBeProcessed) {
  options_.seq = 11;
  EXPECT_EQ(Run("verdict"), kUnavailable);
  EXPECT_TRUE(OutputContains("entry 11 is not published; the head is 10")) << PrintedOutput();
  options_.seq = 7;
  EXPECT_EQ(Run("verdict"), kUnavailable);
  EXPECT_TRUE(OutputContains("the snapshot covers seq 7")) << PrintedOutput();
  options_.seq.reset();
  EXPECT_EQ(Run("verdict"), kUsage);
}

// Guards against a region that is reported as in force though one of its gateways lags or does not answer.
TEST_F(CtlTest, VerdictAsksTheGateways) {
  const std::string digest = StoreAtHead().version().digest;
  options_.seq = 10;
  AddGateway("10.1.0.1:5", "ost", 10, digest);
  AddGateway("10.1.0.2:5", "ost", 9, "");
  AddGateway("10.2.0.1:5", "kochi", 12, "later");
  EXPECT_EQ(Run("verdict"), kRefused);
  EXPECT_TRUE(OutputContains("region ost: not judged everywhere (1 of 2 gateways)")) << PrintedOutput();
  EXPECT_TRUE(OutputContains("region kochi: judged (1 of 1 gateways)")) << PrintedOutput();
  options_.seq = 8;
  EXPECT_EQ(Run("verdict"), kDone);
  EXPECT_TRUE(OutputContains("region ost: in force (2 of 2 gateways)")) << PrintedOutput();
  options_.gateways.push_back("10.9.0.1:5");
  EXPECT_EQ(Run("verdict"), kUnavailable);
  EXPECT_TRUE(OutputContains("gateway 10.9.0.1:5 gives no status: connection refused")) << PrintedOutput();
}

// Guards against a gateway whose different history goes unnoticed.
TEST_F(CtlTest, VerdictRaisesAnAlarmOnAnotherDigest) {
  options_.seq = 10;
  AddGateway("10.1.0.1:5", "ost", 10, "other");
  EXPECT_EQ(Run("verdict"), kUnavailable);
  EXPECT_TRUE(OutputContains("ALARM: gateway 10.1.0.1:5 has digest other at seq 10")) << PrintedOutput();
}

// Guards against a snapshot that differs from the configuration in force.
TEST_F(CtlTest, SnapshotAppliesTheWholeLog) {
  EXPECT_EQ(Run("snapshot"), kDone) << PrintedOutput();
  EXPECT_EQ(config::ParseSnapshot(out_.str(), nullptr), StoreAtHead().ToSnapshot());
  options_.output_file = testing::TempDir() + "/ctl_test_" + std::to_string(getpid()) + "_snapshot.json";
  EXPECT_EQ(Run("snapshot"), kDone) << PrintedOutput();
  EXPECT_EQ(config::ParseSnapshot(ReadFile(options_.output_file).value(), nullptr),
            StoreAtHead().ToSnapshot());
  options_.output_file = "/nonexistent/snapshot.json";
  EXPECT_EQ(Run("snapshot"), kUsage);
  options_.output_file.clear();
  options_.platform.clear();
  options_.document_file = WriteFile("document.json", config::ExampleJson().dump());
  EXPECT_EQ(Run("snapshot"), kDone) << PrintedOutput();
  // Peers take seq 0 for no configuration.
  EXPECT_EQ(config::ParseSnapshot(out_.str(), nullptr)->version.seq, 1U);
}

// Guards against reading the log forever, and against a snapshot that skips missing entries.
TEST_F(CtlTest, ReportsABrokenPlatform) {
  AddAnswer("/v1/config/log?after=9&wait_ms=0", config::WriteLogPage({10, 8, {}}));
  EXPECT_EQ(Run("snapshot"), kUnavailable);
  EXPECT_TRUE(OutputContains("names head 10 but returns no entry after 9")) << PrintedOutput();
  AddAnswer("/v1/config/log?after=7&wait_ms=0", config::WriteLogPage({10, 8, {entries_[1]}}));
  EXPECT_EQ(Run("snapshot"), kUnavailable);
  EXPECT_TRUE(OutputContains("entry 9 can't be judged: gap")) << PrintedOutput();
  AddAnswer("/v1/config/log?after=7&wait_ms=0", "{}", 410);
  EXPECT_EQ(Run("snapshot"), kUnavailable);
  EXPECT_TRUE(OutputContains("does not reach back to its snapshot")) << PrintedOutput();
  AddAnswer("/v1/config/log?after=7&wait_ms=0", "", 429);
  EXPECT_EQ(Run("snapshot"), kUnavailable);
  EXPECT_TRUE(OutputContains("read rate is exceeded")) << PrintedOutput();
  transport_.answers.clear();
  EXPECT_EQ(Run("snapshot"), kUnavailable);
  EXPECT_TRUE(OutputContains("does not answer")) << PrintedOutput();
}

struct CheckCase {
  const char* author;
  std::optional<uint64_t> base;
  std::string patch;
  int exit_code;
  std::vector<std::string> expected_texts;
};

class CheckPatchTest : public CtlTest, public testing::WithParamInterface<CheckCase> {};

// Guards against a check that accepts a patch that the nodes refuse, or that leaves out a fault.
TEST_P(CheckPatchTest, ChecksAgainstSnapshotAndPlatform) {
  options_.author = GetParam().author;
  options_.base = GetParam().base;
  options_.patch_file = WriteFile("patch.json", GetParam().patch);
  EXPECT_EQ(Run("check-patch"), GetParam().exit_code) << PrintedOutput();
  for (const std::string& text : GetParam().expected_texts) {
    EXPECT_TRUE(OutputContains(text)) << text << " in: " << PrintedOutput();
  }
  options_.platform.clear();
  options_.snapshot_file = WriteFile("snapshot.json", config::WriteSnapshot(StoreAtHead().ToSnapshot()));
  EXPECT_EQ(Run("check-patch"), GetParam().exit_code) << PrintedOutput();
  for (const std::string& text : GetParam().expected_texts) {
    EXPECT_TRUE(OutputContains(text)) << text << " in: " << PrintedOutput();
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table, CheckPatchTest,
    testing::Values(
        CheckCase{"gave",
                  4,
                  config::ReplacePatch("/upstreams/e1/slots", 5).dump(),
                  kDone,
                  {"accepted against version 4"}},
        CheckCase{"",
                  {},
                  R"({"author":"gave","base":4,"patch":[{"op":"remove","path":"/upstreams/l1"}]})",
                  kDone,
                  {"accepted against version 4"}},
        CheckCase{"gave", 3, "[]", kRefused, {"refused (base)", "names version 3, the current version is 4"}},
        CheckCase{"", {}, R"({"author":"gave","base":2,"patch":[]})", kRefused, {"names version 2"}},
        CheckCase{"gave",
                  {},
                  R"([{"op":"replace","path":"/upstreams/e1/slots","value":0},
                      {"op":"replace","path":"/upstreams/l1/zone","value":"x"}])",
                  kRefused,
                  {"refused (invalid)", "/upstreams/e1/slots: ", "/upstreams/l1/zone: "}},
        CheckCase{
            "leak",
            {},
            R"([{"op":"replace","path":"/upstreams/e1/slots","value":5},{"op":"remove","path":"/upstreams/l1"}])",
            kRefused,
            {"refused (ownership)", "/upstreams/e1: ", "/upstreams/l1: "}},
        CheckCase{"leak",
                  {},
                  config::ReplacePatch("/upstreams/e1/slots", 0).dump(),
                  kRefused,
                  {"refused (invalid)", "/upstreams/e1/slots: ", "/upstreams/e1: belongs to"}},
        CheckCase{"gave", {}, "[{", kRefused, {"refused (malformed)"}},
        CheckCase{
            "gave", {}, config::ReplacePatch("/format", 2).dump(), kUnavailable, {"can't judge the patch"}},
        CheckCase{"", {}, "[]", kUsage, {"needs --author"}}));

// Guards against usage errors that look like a refusal.
TEST_F(CtlTest, CheckPatchReportsWrongFiles) {
  options_.author = "gave";
  EXPECT_EQ(Run("check-patch"), kUsage);
  options_.patch_file = "/nonexistent";
  EXPECT_EQ(Run("check-patch"), kUsage);
  EXPECT_TRUE(OutputContains("/nonexistent can't be read")) << PrintedOutput();
  options_.patch_file = WriteFile("patch.json", "[]");
  options_.document_file = WriteFile("document.json", R"({"format":1})");
  EXPECT_EQ(Run("check-patch"), kUsage);
  EXPECT_TRUE(OutputContains("/regions: is required") && OutputContains("/partners: is required"))
      << PrintedOutput();
}

// Guards against a missing token, queries that are not URL-encoded, and answers that are printed changed.
TEST_F(CtlTest, QueriesPrintTheAnswerAsItCame) {
  options_.address = "10.1.0.1:5";
  options_.client = "clerks ost&x=1";
  options_.model = "letter";
  const std::string body = R"({"score":0.10,"score":2,"big":12345678901234567890})";
  transport_.answers["http://10.1.0.1:5/explain?client=clerks%20ost%26x%3D1&model=letter"] = {200, body};
  EXPECT_EQ(Run("explain"), kDone) << PrintedOutput();
  EXPECT_EQ(out_.str(), body + "\n");
  EXPECT_EQ(transport_.last_headers.at("Authorization"), "Bearer secret");
  transport_.answers["http://10.1.0.1:5/dump"] = {401, ""};
  EXPECT_EQ(Run("dump"), kUnavailable);
  EXPECT_TRUE(OutputContains("refuses the token")) << PrintedOutput();
  EXPECT_EQ(Run("status"), kUnavailable);
  EXPECT_TRUE(OutputContains("does not answer: connection refused")) << PrintedOutput();
  options_.model.clear();
  EXPECT_EQ(Run("explain"), kUsage);
  EXPECT_EQ(Run("publish"), kUsage);
}

// Guards against settings faults that are ignored, and against settings that override command line options.
TEST(CtlSettingsTest, ReportsFaultsAndKeepsOptions) {
  Options options;
  std::string token_file;
  options.address = "10.0.0.9:1";
  const auto faults = ReadSettings(
      base::Settings::Parse("ctl.ini",
                            "[ctl]\nplatform = 10.0.0.1:9\naddress = 10.0.0.2:1\ngateways = a:1\nkey = x\n"),
      &token_file, &options);
  ASSERT_EQ(faults.size(), 3U);
  EXPECT_EQ(faults[0].Text(), "ctl.ini:2: [ctl] platform: platform '10.0.0.1:9' must be http://IP:PORT");
  EXPECT_EQ(faults[1].Text(), "ctl.ini:4: [ctl] gateways: gateway 'a:1' must be IP:PORT");
  EXPECT_EQ(faults[2].Text(), "ctl.ini:5: [ctl] key: unknown key");
  EXPECT_EQ(options.address, "10.0.0.9:1");
}

}  // namespace
}  // namespace cornelplank::ctl

#include <sys/resource.h>
#include <sys/stat.h>

#include "tests/platform/entry_process.h"

namespace cornelplank {
namespace {

namespace asio = net::asio;
using testing::EntryProcessTest;
using testing::RunFor;

class StartTest : public EntryProcessTest, public ::testing::WithParamInterface<const char*> {};

// Guards against a VM that ends at once when the process before it still holds one of its addresses.
TEST_P(StartTest, WaitsForAnAddressThatIsInUse) {
  std::optional<net::Tcp::acceptor> holder;
  std::optional<asio::ip::udp::socket> udp_holder;
  const auto endpoint = EndpointOf(GetParam());
  if (std::string(GetParam()) == "beats") {
    udp_holder.emplace(loop_, asio::ip::udp::endpoint(endpoint.address(), endpoint.port()));
  } else {
    holder.emplace(loop_, endpoint);
  }
  StartStore();
  Start(Settings());
  RunFor(loop_, std::chrono::milliseconds(800));
  EXPECT_TRUE(process_->running()) << process_->Errors();
  holder.reset();
  udp_holder.reset();
  EXPECT_TRUE(WaitUntilReady()) << process_->Errors();
}

INSTANTIATE_TEST_SUITE_P(Listeners, StartTest, ::testing::Values("clients", "hops", "metrics", "beats"),
                         [](const auto& info) { return std::string(info.param); });

// Guards against a VM that waits for an address for good, or ends without a word on the reason.
TEST_F(EntryProcessTest, NamesTheAddressThatStaysInUse) {
  const net::Tcp::acceptor holder(loop_, EndpointOf("directory"));
  Start(Settings());
  EXPECT_EQ(process_->WaitForExit(kTimeout), 1);
  EXPECT_NE(process_->Errors().find("can't listen for directory"), std::string::npos) << process_->Errors();
}

struct IncompleteSettingsCase {
  const char* name;
  size_t bytes;  // of the settings that the VM finds when it starts
};
class IncompleteSettingsTest : public EntryProcessTest,
                               public ::testing::WithParamInterface<IncompleteSettingsCase> {};

// Guards against a VM that ends since the platform has not yet written all of its settings file.
TEST_P(IncompleteSettingsTest, AreReadAgain) {
  StartStore();
  Start(Settings().substr(0, GetParam().bytes));
  RunFor(loop_, std::chrono::milliseconds(500));
  std::ofstream(folder_ + "/vm.ini") << Settings();
  EXPECT_TRUE(WaitUntilReady()) << process_->Errors();
}

INSTANTIATE_TEST_SUITE_P(Files, IncompleteSettingsTest,
                         ::testing::Values(IncompleteSettingsCase{"Empty", 0},
                                           IncompleteSettingsCase{"FirstLines", 60}),
                         [](const auto& info) { return info.param.name; });

// Guards against a VM that doesn't start, since the platform writes its limits and bounds as fractions.
TEST_F(EntryProcessTest, StartsWithFractionsInItsSettings) {
  std::string settings = Settings();
  const auto replace = [&](const std::string& from, const std::string& to) {
    settings.replace(settings.find(from), from.size(), to);
  };
  replace("[listen]\n", "memory_mb=260.5\ndescriptors=4100.0\n[listen]\n");
  replace("grace=3s\n", "grace=2.5s\nchange_bound=4000.0ms\ndrain_bound=3999.5ms\n");
  StartStore();
  Start(settings);
  EXPECT_TRUE(WaitUntilReady()) << process_->Errors();
}

// Guards against a VM that doesn't start in a deployment of the planned size.
TEST_F(EntryProcessTest, StartsWithManyZonesAndSeeds) {
  std::string settings = Settings();
  std::string zones = "zones=z:r";
  for (int zone = 0; zone < 26; ++zone) {
    const std::string number = std::to_string(zone);
    zones += ",trondheim-availability-zone-" + number + ":trondheim-region-" + std::to_string(zone % 9);
  }
  std::string seeds = "seeds=" + AddressText("beats");
  for (int vm = 0; vm < 370; ++vm) seeds += ",127.9.9." + std::to_string(vm % 250) + ":8144";
  settings.replace(settings.find("zones=z:r"), 9, zones);
  settings.replace(settings.find("seeds="), 6 + AddressText("beats").size(), seeds);
  StartStore();
  Start(settings);
  EXPECT_TRUE(WaitUntilReady()) << process_->Errors();
}

// Guards against a VM that never becomes ready, since its settings file was removed, or is being replaced,
// just after it was read.
TEST_F(EntryProcessTest, BecomesReadyWithoutItsSettingsFile) {
  const std::string path = folder_ + "/vm.ini";
  ASSERT_EQ(mkfifo(path.c_str(), S_IRUSR | S_IWUSR), 0);
  StartStore();
  process_ = testing::Process::Start(folder_, "entry", "cornelplank-entry", {"--settings", path});
  ASSERT_NE(process_, nullptr);
  std::ofstream settings(path);  // opens once the VM reads
  settings << Settings() << std::flush;
  std::filesystem::remove(path);
  settings.close();  // ends the VM's read
  EXPECT_TRUE(WaitUntil([this] { return process_->Output().find("event=ready") != std::string::npos; }))
      << process_->Output() << process_->Errors();
}

// Guards against a VM that is ended by the signal for a file which has reached the limit of its size.
TEST_F(EntryProcessTest, ServesOnWhenItsLogFileIsFull) {
  constexpr rlim_t kMaxLogBytes = 8192;
  rlimit limit{};
  ASSERT_EQ(getrlimit(RLIMIT_FSIZE, &limit), 0);
  const rlimit low{kMaxLogBytes, limit.rlim_max};
  ASSERT_EQ(setrlimit(RLIMIT_FSIZE, &low), 0);
  Start(Settings());
  ASSERT_EQ(setrlimit(RLIMIT_FSIZE, &limit), 0);
  StartStore();
  ASSERT_TRUE(WaitUntilReady());
  const bool full =
      WaitUntil([this] {  // the store has no replica, so each request is refused with a log line
        SendRequest("clients", "/a/x");
        return !process_->running() || process_->Output().size() + 400 > kMaxLogBytes;
      });
  EXPECT_TRUE(full);
  for (int i = 0; i < 5; ++i) SendRequest("clients", "/a/x");
  EXPECT_TRUE(SendRequest("clients", "/a/x").starts_with("HTTP/1.1 503"));
  EXPECT_TRUE(process_->running());
}

}  // namespace
}  // namespace cornelplank

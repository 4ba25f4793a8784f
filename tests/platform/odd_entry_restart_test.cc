#include <gtest/gtest.h>
#include <linux/close_range.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "tests/platform/fake_store.h"
#include "tests/platform/paged_store.h"
#include "tests/system/harness/process.h"

namespace cornelplank {
namespace {

namespace asio = net::asio;
using harness::Process;
using testing::RunFor;

struct RestartCase {
  const char* name;
  std::map<std::string, std::string> entries;  // of the other writer: value by key
  size_t page_size = 1;
};

/// A replica that refuses requests for another id than its own.
class Replica final : public net::RequestHandler {
 public:
  Replica(asio::io_context& loop, std::string id) : id_(std::move(id)) {
    net::Error error;
    server_ = net::HttpServer::Listen(loop, testing::Loopback(), *this, &error);
    if (!server_) throw std::runtime_error(error.message());
  }

  net::Tcp::endpoint Endpoint() const { return testing::Loopback(server_->Port()); }
  /// Number of requests for another id.
  int refused() const { return refused_; }

  net::Task<> Handle(net::Request& request, net::ResponseWriter& writer) override {
    const bool expected = request.headers.Find("Expected-Instance") == id_;
    net::ResponseHead head{expected ? 200U : 421U, {}};
    head.headers.Add("Attempt-Id", std::string(request.headers.Find("Attempt-Id").value_or("")));
    head.headers.Add(expected ? "Response-Signature" : "Not-Executed", "1");
    if (!expected) ++refused_;
    co_await writer.Send(head, "body");
  }

 private:
  std::string id_;
  std::unique_ptr<net::HttpServer> server_;
  int refused_ = 0;
};

/// Two processes of the program `cornelplank-entry` in each of three zones, and a replica in each zone. The
/// store and the replicas run on the event loop of the test.
class EntryFleetTest : public ::testing::Test {
 protected:
  static constexpr std::chrono::seconds kTimeout{15};  // ample, as other processes may keep the machine busy
  static constexpr size_t kVms = 6;

  explicit EntryFleetTest(size_t page_size = 1) : store_(loop_, page_size) {
    folder_ = ::testing::TempDir() + "odd-entry-" + std::to_string(getpid());
    std::filesystem::create_directories(folder_);
    for (const char* name : {"clients", "readiness", "directory", "beats", "hops", "metrics"}) {
      ports_[name] = harness::FreePort();
    }
    store_.PutValue("op/config", testing::ConfigText(3));
    for (const char* zone : {"z1", "z2", "z3"}) {
      const std::string id = std::string("i-") + zone;
      replicas_.push_back(std::make_unique<Replica>(loop_, id));
      store_.PutValue("servers/" + id,
                      testing::ReplicaText("svc", replicas_.back()->Endpoint(), "ready", zone));
    }
  }
  ~EntryFleetTest() override {
    processes_.clear();
    std::filesystem::remove_all(folder_);
  }

  net::Tcp::endpoint EndpointOf(size_t vm, const std::string& listener) const {
    // Tests that run at the same time use other addresses.
    const auto first = 0x7f800000 + 8 * (static_cast<uint32_t>(getpid()) & 0x3ffff);
    return {asio::ip::address_v4(first + 1 + static_cast<uint32_t>(vm)), ports_.at(listener)};
  }
  static std::string Text(const net::Tcp::endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
  }

  void StartAll() {
    for (size_t vm = 0; vm < kVms; ++vm) {
      const std::string path = folder_ + "/vm-" + std::to_string(vm) + ".ini";
      std::ofstream file(path);
      file << "[vm]\nname=vm-" << vm << "\nip=" << EndpointOf(vm, "clients").address().to_string()
           << "\nzone=z" << 1 + vm / 2 << "\nzones=z1:r1,z2:r1,z3:r2\nseeds=" << Text(EndpointOf(0, "beats"))
           << "," << Text(EndpointOf(2, "beats")) << "," << Text(EndpointOf(4, "beats")) << "\n[listen]\n";
      for (const auto& [listener, port] : ports_) {
        file << listener << "=" << Text(EndpointOf(vm, listener)) << "\n";
      }
      file << "[store]\naddress=" << Text(store_.Endpoint()) << "\n[limits]\nsecond_sends=10\ngrace=3s\n";
      file.close();
      // Asio's sockets have no close-on-exec flag, and the process would hold those of the test.
      ASSERT_EQ(close_range(3, ~0U, CLOSE_RANGE_CLOEXEC), 0);
      processes_.push_back(
          Process::Start(folder_, "vm-" + std::to_string(vm), "cornelplank-entry", {"--settings", path}));
      ASSERT_NE(processes_.back(), nullptr);
    }
  }

  /// Sends a request on a connection of its own and returns the status; 0 when no answer arrives in time.
  int Request(size_t vm, const std::string& listener, const std::string& target) {
    constexpr std::chrono::milliseconds kPollInterval{5};
    constexpr std::chrono::seconds kLimit{4};  // longer than the route's timeout
    net::Tcp::socket socket(loop_);
    net::Error error;
    socket.connect(EndpointOf(vm, listener), error);
    if (error) return 0;
    asio::write(socket,
                asio::buffer("GET " + target +
                             " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 77\r\n"
                             "Deadline-Ms: 2000\r\nConnection: close\r\n\r\n"),
                error);
    std::string response;
    for (std::chrono::milliseconds waited{0}; waited < kLimit && response.size() < 12;
         waited += kPollInterval) {
      RunFor(loop_, kPollInterval);
      response += testing::ReadAvailable(socket);
    }
    return response.starts_with("HTTP/1.1 ") ? std::atoi(response.c_str() + 9) : 0;
  }

  /// Number of requests, of six to each VM, that are served.
  size_t CountServed() {
    size_t served = 0;
    for (size_t request = 0; request < 6 * kVms; ++request) {
      served += Request(request % kVms, "clients", "/a/x") == 200 ? 1 : 0;
    }
    return served;
  }

  /// Waits until all VMs report themselves ready. Returns the number of those that do.
  size_t WaitUntilReady() {
    size_t ready = 0;
    const auto end = std::chrono::steady_clock::now() + kTimeout;
    while (ready < kVms && std::chrono::steady_clock::now() < end) {
      RunFor(loop_, std::chrono::milliseconds(50));
      ready = 0;
      for (size_t vm = 0; vm < kVms; ++vm) ready += Request(vm, "readiness", "/readiness") == 200 ? 1 : 0;
    }
    return ready;
  }

  void KillAll() {
    for (const auto& process : processes_) process->Signal(SIGKILL);
    for (const auto& process : processes_) ASSERT_TRUE(process->WaitForExit(kTimeout));
    processes_.clear();
  }

  asio::io_context loop_{1};
  std::string folder_;
  std::map<std::string, uint16_t> ports_;
  testing::PagedStore store_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::vector<std::unique_ptr<Process>> processes_;
};

class OddEntryRestartTest : public EntryFleetTest, public ::testing::WithParamInterface<RestartCase> {
 protected:
  OddEntryRestartTest() : EntryFleetTest(GetParam().page_size) {}
};

// Guards against an entry of another writer that leaves all VMs without replicas once they have restarted.
TEST_P(OddEntryRestartTest, AllVmsServe) {
  StartAll();
  ASSERT_EQ(WaitUntilReady(), kVms);
  for (const auto& [key, value] : GetParam().entries) store_.PutValue(key, value);
  RunFor(loop_, std::chrono::seconds(1));
  EXPECT_EQ(CountServed(), 6 * kVms);
  KillAll();
  const int calls_before = store_.listing_calls();
  StartAll();
  EXPECT_EQ(WaitUntilReady(), kVms);
  EXPECT_EQ(CountServed(), 6 * kVms);
  // Each VM lists both prefixes at most twice: before and after it knows the VM that it reads from.
  const size_t pages = 4 + GetParam().entries.size();
  EXPECT_LE(store_.listing_calls() - calls_before, static_cast<int>(kVms * 2 * (pages + 1)));
}

// Guards against requests that fail since an entry names the address of another replica.
TEST_F(EntryFleetTest, ServesBesideACopyOfAnEntry) {
  store_.PutValue("servers/i-copy", testing::ReplicaText("svc", replicas_[0]->Endpoint(), "ready", "z1"));
  StartAll();
  ASSERT_EQ(WaitUntilReady(), kVms);
  EXPECT_EQ(CountServed(), 6 * kVms);
  EXPECT_GT(replicas_[0]->refused(), 0);
}

std::map<std::string, std::string> Entries(const std::vector<std::string>& ids) {
  std::map<std::string, std::string> entries;
  for (const std::string& id : ids) entries["servers/" + id] = "{}";
  return entries;
}

INSTANTIATE_TEST_SUITE_P(
    Entries, OddEntryRestartTest,
    ::testing::Values(
        RestartCase{"Separators", Entries({"i-z1&x", "i-z1+x", "i-z1#x", "i-z1%x", "i-z1 x"})},
        RestartCase{"SeparatorsAtBordersOfTwo", Entries({"i-z1&x", "i-z1+x", "i-z1#x", "i-z1%x", "i-z1 x"}),
                    2},
        RestartCase{"SeparatorsAtBordersOfThree", Entries({"i-z1&x", "i-z1+x", "i-z1#x"}), 3},
        RestartCase{"EscapesOfPlainNames", Entries({"%69-z1", "i%2dz1", "i-z1%00", "i-z1%", "i%252Dz1"})},
        RestartCase{"Controls",
                    Entries({std::string("i-z1\0", 5), "i-z1\t", "i-z1\x7f", "i-z1\x1b[2J", "i-z1\n"})},
        RestartCase{"OutsideAscii",
                    Entries({"i-z1\xe2\x80\xa8", "i-z1\xef\xbf\xbd", "i-z1\xc0\xaf", "\xf4\x90\x80\x80",
                             "i-z\xcc\x81"}),
                    2},
        RestartCase{"OnlyPercents", Entries({std::string(192, '%'), std::string(191, '&')})},
        RestartCase{"QueryOfItsOwn",
                    Entries({"i-z1?path_prefix=op/", "i-z1;after=j", "i-z1=&has_more=false"})},
        RestartCase{
            "OperatorKeys",
            {{"op/config&x", "{}"}, {"op/evacuate/z1&x", "{}"}, {"op/evacuate/z1 ", "{}"}, {"op/ ", "{}"}}},
        RestartCase{"Values",
                    {{"servers/i-z1&a", ""},
                     {"servers/i-z1&b", "[[[[["},
                     {"servers/i-z1&c", std::string(2000, '\0')},
                     {"servers/i-z1&d", R"({"service":"svc","service":7,"state":"gone","zone":"z9"})"},
                     {"servers/i-z1&e", std::string(200000, 'x')}},
                    2}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank

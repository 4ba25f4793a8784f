#pragma once

#include <gtest/gtest.h>
#include <linux/close_range.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "tests/platform/fake_store.h"
#include "tests/system/harness/process.h"

namespace cornelplank::testing {

using harness::Process;

/// Runs the program `cornelplank-entry` with settings for one VM. The store and the replicas run on the event
/// loop of the test.
class EntryProcessTest : public ::testing::Test {
 protected:
  static constexpr std::chrono::milliseconds kPollInterval{20};
  static constexpr std::chrono::seconds kTimeout{15};  // ample, as other processes may keep the machine busy

  EntryProcessTest() {
    folder_ = ::testing::TempDir() + "entry-" + std::to_string(getpid());
    std::filesystem::create_directories(folder_);
    for (const char* name : {"clients", "readiness", "directory", "beats", "hops", "metrics", "store"}) {
      ports_[name] = harness::FreePort();
    }
  }
  ~EntryProcessTest() override { std::filesystem::remove_all(folder_); }

  /// A loopback address that depends on the process id, so that tests that run at the same time don't use
  /// each other's ports.
  static net::Tcp::endpoint Address(uint16_t port) {
    const auto pid = static_cast<uint32_t>(getpid());
    return {asio::ip::address_v4(0x7f010000 | (pid & 0xffff)), port};
  }
  net::Tcp::endpoint EndpointOf(const std::string& name) { return Address(ports_.at(name)); }
  std::string AddressText(const std::string& name) {
    const auto endpoint = EndpointOf(name);
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
  }

  std::string Settings() {
    std::string text = "[vm]\nname=vm-1\nip=" + Address(0).address().to_string() +
                       "\nzone=z\nzones=z:r\nseeds=" + AddressText("beats") + "\n[listen]\n";
    for (const char* name : {"clients", "readiness", "directory", "beats", "hops", "metrics"}) {
      text += std::string(name) + "=" + AddressText(name) + "\n";
    }
    return text + "[store]\naddress=" + AddressText("store") + "\n[limits]\nsecond_sends=10\ngrace=3s\n";
  }

  void Start(const std::string& settings) {
    const std::string path = folder_ + "/vm.ini";
    std::ofstream(path) << settings;
    // Asio's sockets have no close-on-exec flag, and the process would hold those of the test.
    ASSERT_EQ(close_range(3, ~0U, CLOSE_RANGE_CLOEXEC), 0);
    process_ = Process::Start(folder_, "entry", "cornelplank-entry", {"--settings", path});
    ASSERT_NE(process_, nullptr);
  }

  void StartStore() {
    store_ = std::make_unique<FakeStore>(loop_, EndpointOf("store"));
    store_->Put("op/config", ConfigText(3));
  }

  /// Sends a request to the listener `port` and returns what arrives within `limit`; empty when nothing does.
  std::string SendRequest(const std::string& port, const std::string& target,
                          std::chrono::milliseconds limit = std::chrono::milliseconds(500)) {
    net::Tcp::socket socket(loop_);
    net::Error error;
    socket.connect(EndpointOf(port), error);
    if (error) return "";
    asio::write(socket,
                asio::buffer("GET " + target +
                             " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 77\r\nDeadline-Ms: 2000\r\n"
                             "Connection: close\r\n\r\n"),
                error);
    return ReadResponse(socket, limit);
  }

  std::string ReadResponse(net::Tcp::socket& socket, std::chrono::milliseconds limit) {
    std::string response;
    socket.non_blocking(true);
    for (std::chrono::milliseconds waited{0}; waited < limit; waited += kPollInterval) {
      RunFor(loop_, kPollInterval);
      char part[4096];
      net::Error error;
      const size_t size = socket.read_some(asio::buffer(part), error);
      response.append(part, size);
      if (error && error != asio::error::would_block) break;
    }
    return response;
  }

  /// Runs the loop until `condition` holds; false when it doesn't within `kTimeout`.
  bool WaitUntil(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + kTimeout;
    while (std::chrono::steady_clock::now() < end) {
      if (condition()) return true;
      RunFor(loop_, kPollInterval);
    }
    return false;
  }

  bool WaitUntilReady() {
    return WaitUntil([this] { return SendRequest("readiness", "/readiness").starts_with("HTTP/1.1 200"); });
  }

  bool WaitUntilStatus(const std::string& status) {
    return WaitUntil([&] { return SendRequest("clients", "/a/x").starts_with("HTTP/1.1 " + status); });
  }

  asio::io_context loop_{1};
  // Keeps the loop running while there is neither a store nor a replica.
  asio::executor_work_guard<asio::io_context::executor_type> guard_{loop_.get_executor()};
  std::string folder_;
  std::map<std::string, uint16_t> ports_;
  std::unique_ptr<FakeStore> store_;
  std::unique_ptr<Process> process_;
};

}  // namespace cornelplank::testing

#pragma once

#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "libs/http/http.h"
#include "tests/system/harness/process.h"

namespace cornelplank::harness {

/// The response to a request that a test sends. Status 0 means that no complete response arrived; `body` then
/// says why.
struct Reply {
  int status = 0;
  http::Headers headers;
  std::string body;

  /// The body as JSON; a discarded value if it is not valid JSON.
  nlohmann::json Json() const { return nlohmann::json::parse(body, nullptr, false); }
};

/// The processes and files of one test. The destructor kills every process and removes the folder. A watchdog
/// kills the processes and aborts the test program when the test exceeds its time limit, so that a test that
/// hangs leaves no process behind.
class TestProcesses {
 public:
  explicit TestProcesses(std::chrono::seconds time_limit = std::chrono::seconds{100});
  ~TestProcesses();
  TestProcesses(const TestProcesses&) = delete;
  TestProcesses& operator=(const TestProcesses&) = delete;

  /// Starts a binary of the build under `name`; an earlier process of that name is killed. Throws
  /// std::runtime_error if it can't be started.
  Process& Start(const std::string& name, const std::string& program,
                 const std::vector<std::string>& arguments);
  /// Starts a binary and waits up to 10 s for its first "listening on IP:PORT" line. Throws
  /// std::runtime_error with the program's error output if the line does not appear.
  Process& StartListening(const std::string& name, const std::string& program,
                          const std::vector<std::string>& arguments);
  Process& at(const std::string& name) { return *processes_.at(name); }
  /// The IP:PORT in the first "listening on" line of a process.
  const std::string& address(const std::string& name) const { return addresses_.at(name); }
  std::string url(const std::string& name) const { return "http://" + address(name); }

  /// Kills a process with SIGKILL and reaps it.
  void Kill(const std::string& name);
  /// Sends SIGTERM to a process and returns its exit code, or nullopt if it has not ended within `limit`.
  std::optional<int> Terminate(const std::string& name,
                               std::chrono::milliseconds limit = std::chrono::seconds{10});

  /// Writes a file to the test's folder and returns its path.
  std::string WriteFile(const std::string& name, const std::string& text) const;
  const std::string& folder() const { return folder_; }
  /// The output and error output of all processes, for failure messages.
  std::string Logs() const;

  Reply Send(const http::ClientRequest& request) const;
  Reply Get(const std::string& url, std::chrono::milliseconds timeout = std::chrono::seconds{10}) const;
  Reply Post(const std::string& url, const nlohmann::json& body, const http::Headers& headers = {},
             std::chrono::milliseconds timeout = std::chrono::seconds{10}) const;

 private:
  void RunWatchdog(std::chrono::seconds time_limit);

  std::string folder_;
  std::unique_ptr<http::Client> client_;
  mutable std::mutex mutex_;
  std::condition_variable finished_changed_;
  bool finished_ = false;
  std::map<std::string, std::unique_ptr<Process>> processes_;
  std::map<std::string, std::string> addresses_;
  std::thread watchdog_;
};

/// A section of an INI file: its name and its keys with their values.
using IniSection = std::pair<std::string, std::vector<std::pair<std::string, std::string>>>;
/// Returns the text of an INI file with the sections in the given order.
std::string IniText(const std::vector<IniSection>& sections);

/// Calls `done` every 10 ms until it returns true or `limit` has passed. Returns whether it did.
template <typename Done>
bool WaitUntil(std::chrono::milliseconds limit, Done done) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!done()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  return true;
}

}  // namespace cornelplank::harness

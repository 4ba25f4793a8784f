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

/// A response to a test's own request. Status 0 means that no whole response came.
struct Reply {
  int status = 0;
  http::Headers headers;
  std::string body;

  /// The body as JSON; a discarded value when it is none.
  nlohmann::json Json() const { return nlohmann::json::parse(body, nullptr, false); }
};

/// The processes and files of one test. At destruction every process is killed and the folder is removed. A
/// watchdog kills the processes and aborts the test when it takes longer than the bound, so that none is left
/// behind when the test hangs.
class Fleet {
 public:
  explicit Fleet(std::chrono::seconds bound = std::chrono::seconds{100});
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts a binary under a name that must be new. Throws std::runtime_error when it can't be started.
  Process& Start(const std::string& name, const std::string& program,
                 const std::vector<std::string>& arguments);
  /// Starts a binary and waits for its first "listening on IP:PORT" line. Throws std::runtime_error with the
  /// program's error output when the line does not come.
  Process& StartListening(const std::string& name, const std::string& program,
                          const std::vector<std::string>& arguments);
  Process& at(const std::string& name) { return *processes_.at(name); }
  /// The address that the process named in its first "listening on" line.
  const std::string& address(const std::string& name) const { return addresses_.at(name); }
  std::string url(const std::string& name) const { return "http://" + address(name); }

  /// Kills the process with SIGKILL and reaps it.
  void Kill(const std::string& name);
  /// Ends the process with SIGTERM and returns its exit code, or nothing when it did not end within `limit`.
  std::optional<int> Terminate(const std::string& name,
                               std::chrono::milliseconds limit = std::chrono::seconds{10});

  /// Writes a file into the test's folder and returns its path.
  std::string WriteFile(const std::string& name, const std::string& text) const;
  const std::string& folder() const { return folder_; }
  /// The output and error output of all processes, for failure messages.
  std::string Logs() const;

  Reply Send(const http::ClientRequest& request) const;
  Reply Get(const std::string& url, std::chrono::milliseconds timeout = std::chrono::seconds{10}) const;
  Reply Post(const std::string& url, const nlohmann::json& body, const http::Headers& headers = {},
             std::chrono::milliseconds timeout = std::chrono::seconds{10}) const;

 private:
  void Watch(std::chrono::seconds bound);

  std::string folder_;
  std::unique_ptr<http::Client> client_;
  mutable std::mutex mutex_;
  std::condition_variable finished_changed_;
  bool finished_ = false;
  std::map<std::string, std::unique_ptr<Process>> processes_;
  std::map<std::string, std::string> addresses_;
  std::thread watchdog_;
};

/// An INI file from sections, in the given order.
using IniSection = std::pair<std::string, std::vector<std::pair<std::string, std::string>>>;
std::string IniText(const std::vector<IniSection>& sections);

/// Waits until `done` returns true, at most `limit`. Returns whether it did.
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

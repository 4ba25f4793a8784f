#include "tests/system/harness/test_processes.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>

namespace cornelplank::harness {
namespace {

constexpr std::chrono::seconds kStartLimit{10};

}  // namespace

TestProcesses::TestProcesses(std::chrono::seconds time_limit) : client_(http::Client::Create()) {
  std::string pattern = (std::filesystem::temp_directory_path() / "cornelplank-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("can't create a temporary folder");
  folder_ = pattern;
  watchdog_ = std::thread([this, time_limit] { RunWatchdog(time_limit); });
}

TestProcesses::~TestProcesses() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    finished_ = true;
  }
  finished_changed_.notify_all();
  watchdog_.join();
  // Kills all before it reaps any, so that no process runs for long without the ones that it depends on.
  for (auto& [name, process] : processes_) process->Signal(SIGKILL);
  processes_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void TestProcesses::RunWatchdog(std::chrono::seconds time_limit) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (finished_changed_.wait_for(lock, time_limit, [this] { return finished_; })) return;
  std::fputs("the test exceeded its time limit; its processes are killed\n", stderr);
  for (auto& [name, process] : processes_) process->Signal(SIGKILL);
  std::abort();
}

Process& TestProcesses::Start(const std::string& name, const std::string& program,
                              const std::vector<std::string>& arguments) {
  auto process = Process::Start(folder_, name, program, arguments);
  if (!process) throw std::runtime_error("can't start " + program);
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& slot = processes_[name];
  slot = std::move(process);
  return *slot;
}

Process& TestProcesses::StartListening(const std::string& name, const std::string& program,
                                       const std::vector<std::string>& arguments) {
  Process& process = Start(name, program, arguments);
  const auto address = process.WaitForLine("listening on ", kStartLimit);
  if (!address) throw std::runtime_error(name + " does not listen: " + process.Errors());
  addresses_[name] = *address;
  return process;
}

void TestProcesses::Kill(const std::string& name) {
  at(name).Signal(SIGKILL);
  at(name).WaitForExit(std::chrono::seconds{10});
}

std::optional<int> TestProcesses::Terminate(const std::string& name, std::chrono::milliseconds limit) {
  at(name).Signal(SIGTERM);
  return at(name).WaitForExit(limit);
}

std::string TestProcesses::WriteFile(const std::string& name, const std::string& text) const {
  std::string path = folder_ + "/" + name;
  std::ofstream(path) << text;
  return path;
}

std::string TestProcesses::Logs() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string text;
  for (const auto& [name, process] : processes_) {
    text += "--- " + name + "\n" + process->Output() + process->Errors();
  }
  return text;
}

Reply TestProcesses::Send(const http::ClientRequest& request) const {
  http::HttpReason reason;
  http::ExchangeState state;
  auto response = client_->Send(request, &reason, &state);
  if (!response) return {0, {}, reason.detail};
  return {response->status, std::move(response->headers), std::move(response->body)};
}

Reply TestProcesses::Get(const std::string& url, std::chrono::milliseconds timeout) const {
  http::ClientRequest request;
  request.url = url;
  request.timeout = timeout;
  return Send(request);
}

Reply TestProcesses::Post(const std::string& url, const nlohmann::json& body, const http::Headers& headers,
                          std::chrono::milliseconds timeout) const {
  http::ClientRequest request;
  request.method = "POST";
  request.url = url;
  request.headers = headers;
  request.body = body.dump();
  request.timeout = timeout;
  // On a reused connection the HTTP client may send a request twice; tests count how often a call runs.
  request.single_use_connection = true;
  return Send(request);
}

std::string IniText(const std::vector<IniSection>& sections) {
  std::string text;
  for (const auto& [section, keys] : sections) {
    text += "[" + section + "]\n";
    for (const auto& [key, value] : keys) text.append(key).append(" = ").append(value).append("\n");
    text += "\n";
  }
  return text;
}

}  // namespace cornelplank::harness

#pragma once

#include <sys/types.h>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornelplank::harness {

/// A child process whose output goes to files. The destructor kills and reaps it.
class Process {
 public:
  /// Starts the binary `program` of the build, or the one at an absolute path, with its output in
  /// FOLDER/NAME.out and FOLDER/NAME.err. Returns null if it can't be started.
  static std::unique_ptr<Process> Start(const std::string& folder, const std::string& name,
                                        const std::string& program,
                                        const std::vector<std::string>& arguments);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Waits for a line of standard output that starts with `prefix` and returns the rest of the line. Returns
  /// nullopt if the line has not appeared within `limit` or before the process ended.
  std::optional<std::string> WaitForLine(const std::string& prefix, std::chrono::milliseconds limit);

  /// Sends a signal (SIGTERM, SIGKILL, SIGSTOP, SIGCONT).
  void Signal(int signal) const;
  /// Waits for the process to end. Returns its exit code, or 128 plus the number of the signal that killed
  /// it; nullopt if it still runs after `limit`.
  std::optional<int> WaitForExit(std::chrono::milliseconds limit);
  bool running();

  pid_t pid() const { return pid_; }
  const std::string& name() const { return name_; }
  std::string Output() const;  // standard output so far
  std::string Errors() const;  // standard error so far

 private:
  Process(std::string folder, std::string name, pid_t pid);

  std::string folder_;
  std::string name_;
  pid_t pid_;
  std::optional<int> exit_code_;
};

/// Returns a TCP port of 127.0.0.1 that is free now, or 0 if there is none. Another process may take it
/// before it is used, so use it only for programs that don't accept port 0.
uint16_t FreePort();

}  // namespace cornelplank::harness

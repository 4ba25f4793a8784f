#pragma once

#include <sys/types.h>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornelplank::harness {

/// A child process whose output goes to files. It is killed and reaped at destruction.
class Process {
 public:
  /// Starts a binary of the build with its output in FOLDER/NAME.out and FOLDER/NAME.err; null when it can't
  /// be started.
  static std::unique_ptr<Process> Start(const std::string& folder, const std::string& name,
                                        const std::string& program,
                                        const std::vector<std::string>& arguments);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// The rest of the first line of standard output that starts with `prefix`; nothing when it has not
  /// appeared within `limit` or the process has ended.
  std::optional<std::string> WaitLine(const std::string& prefix, std::chrono::milliseconds limit);

  /// Sends a signal (SIGTERM, SIGKILL, SIGSTOP, SIGCONT).
  void Signal(int signal) const;
  /// The exit code, or 128 plus the signal that ended it; nothing while it runs at the end of `limit`.
  std::optional<int> WaitExit(std::chrono::milliseconds limit);
  bool running();

  pid_t pid() const { return pid_; }
  const std::string& name() const { return name_; }
  std::string Output() const;
  std::string Errors() const;

 private:
  Process(std::string folder, std::string name, pid_t pid);

  std::string folder_;
  std::string name_;
  pid_t pid_;
  std::optional<int> exit_code_;
};

/// A port of 127.0.0.1 that was free a moment ago. Use it only where a program can't be given port 0.
uint16_t FreePort();

}  // namespace cornelplank::harness

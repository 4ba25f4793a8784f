#pragma once

#include <sys/types.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace cornelplank::testing {

/// The greatest resident memory and the greatest number of open descriptors of a process, as sampled.
class ResourcePeaks {
 public:
  explicit ResourcePeaks(pid_t pid) : folder_("/proc/" + std::to_string(pid)) {}

  /// Does nothing once the process has ended.
  void Sample() {
    std::ifstream status(folder_ + "/status");
    const std::string key = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with(key)) memory_kb_ = std::stoul(line.substr(key.size()));
    }
    std::error_code error;
    const std::filesystem::directory_iterator files(folder_ + "/fd", error);
    if (!error) {
      descriptors_ = std::max(descriptors_, static_cast<size_t>(std::distance(begin(files), end(files))));
    }
  }

  /// Samples, and returns true when for some calls in a row neither `progress` nor the memory has changed.
  bool Settled(size_t progress) {
    const size_t memory = memory_kb_;
    Sample();
    const bool quiet = progress == progress_ && memory_kb_ == memory;
    progress_ = progress;
    quiet_calls_ = quiet ? quiet_calls_ + 1 : 0;
    return quiet_calls_ >= kQuietCalls;
  }

  size_t memory_kb() const { return memory_kb_; }
  size_t descriptors() const { return descriptors_; }

 private:
  static constexpr int kQuietCalls = 25;

  std::string folder_;
  size_t memory_kb_ = 0;
  size_t descriptors_ = 0;
  size_t progress_ = 0;
  int quiet_calls_ = 0;
};

}  // namespace cornelplank::testing

#pragma once

#include <atomic>
#include <functional>
#include <optional>
#include <string>

#include "libs/gateway/internal/config_sync.h"
#include "libs/gateway/internal/shared_state.h"

namespace cornelplank::gateway {

/// Reads what the platform publishes: configuration, VM list and client directory. Blocks; runs on a thread
/// of its own. Readers of the zone watch; the other VMs read only when their peers have nothing fresh.
class PlatformReader {
 public:
  /// `on_entries` is called after new entries were judged, with the sequence number before them.
  PlatformReader(SharedState* shared, ConfigSync* sync, std::function<void(uint64_t after)> on_entries);

  /// Returns soon after `Stop`.
  void Run();
  void Stop() { stopping_.store(true); }

 private:
  /// The body of a 200 answer. `status` is 0 when there was no answer.
  std::optional<std::string> Get(const char* what, const std::string& path, std::chrono::milliseconds timeout,
                                 int* status);
  void ReadConfig();
  bool ReadSnapshot();
  bool ReadLog(bool reader);
  void ReadVms(bool reader);
  void ReadClients(bool reader);
  bool IsReader() const;

  SharedState* shared_;
  ConfigSync* sync_;
  std::function<void(uint64_t)> on_entries_;
  std::unique_ptr<http::Client> http_;
  membership::ReadSchedule schedule_;
  base::Random random_;
  base::TimePoint next_vms_{};
  base::TimePoint next_clients_{};
  std::atomic<bool> stopping_{false};
};

}  // namespace cornelplank::gateway

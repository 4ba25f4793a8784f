#pragma once

#include <atomic>
#include <functional>
#include <optional>
#include <string>

#include "libs/gateway/internal/config_sync.h"
#include "libs/gateway/internal/shared_state.h"

namespace cornelplank::gateway {

/// Reads what the platform publishes: configuration, VM list and client directory. The VMs selected as
/// readers of their zone watch the platform; the other VMs read it only when their peers have no recent data.
/// Blocks, and so runs on a thread of its own.
class PlatformReader {
 public:
  /// `on_entries` is called after new configuration entries were applied, with the sequence number before
  /// them.
  PlatformReader(SharedState* shared, ConfigSync* sync, std::function<void(uint64_t after)> on_entries);

  /// Reads until `Stop` is called; returns about 100 ms later.
  void Run();
  void Stop() { stopping_.store(true); }

 private:
  /// Returns the body of a response with status 200, or nothing. Sets `status` to the HTTP status, or to 0
  /// when there was no complete response. `what` names the data in the metrics.
  std::optional<std::string> Get(const char* what, const std::string& path, std::chrono::milliseconds timeout,
                                 int* status);
  void ReadConfig();
  // ReadSnapshot and ReadLog return false when the platform did not answer.
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

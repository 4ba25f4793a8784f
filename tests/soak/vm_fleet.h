#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/soak/config_lag.h"
#include "tests/soak/ledger.h"
#include "tests/system/harness/process.h"

namespace cornelplank::soak {

/// The zones of a run and the region of each.
struct Zone {
  std::string name;
  std::string region;
};
inline const std::vector<Zone>& Zones() {
  static const auto* zones = new std::vector<Zone>{{"z1", "r1"}, {"z2", "r1"}, {"z3", "r2"}};
  return *zones;
}

/// Memory of a VM, as in the deployments.
inline constexpr size_t kMemoryMb = 260;
/// Descriptors of a VM, as in the deployments: those that are left for sockets.
inline constexpr size_t kDescriptors = 3900;

/// The processes of the program under test, one for each VM. All VMs use the same ports on their own loopback
/// addresses.
class VmFleet final : public FaultView {
 public:
  enum class State { kDown, kStarting, kUp, kStopping, kFrozen };

  struct Vm {
    int index = 0;
    net::asio::ip::address_v4 address;
    Zone zone;
    State state = State::kDown;
    int incarnation = 0;  // grows with each start
    std::unique_ptr<harness::Process> process;
    TimePoint started;
    TimePoint frozen_until;  // end of the last freeze
    TimePoint killed;        // by SIGKILL
    TimePoint terminated;    // SIGTERM of the present process; unset before
  };

  /// `base`: the address before that of the first VM.
  VmFleet(net::asio::io_context& loop, int vms, const net::asio::ip::address_v4& base, std::string folder,
          const net::Tcp::endpoint& store);

  void SetLedger(Ledger& ledger) { ledger_ = &ledger; }
  /// Sets the program that the VMs run, a path, and the memory that each may use.
  void SetProgram(std::string program, size_t memory_mb) {
    program_ = std::move(program);
    memory_mb_ = memory_mb;
  }
  /// Sets the file descriptors that each VM may use.
  void SetDescriptors(size_t descriptors) { descriptors_ = descriptors; }
  ConfigLag& config_lag() { return config_lag_; }
  std::vector<Vm>& vms() { return vms_; }
  net::Tcp::endpoint EndpointOf(const Vm& vm, const std::string& listener) const {
    return {vm.address, ports_.at(listener)};
  }
  Vm* FindVm(const net::asio::ip::address& address);
  /// Number of VMs that are neither starting, stopping, frozen nor down.
  size_t CountUp() const;

  /// Starts the process and waits until it runs.
  net::Task<> Start(int index);
  /// Ends the process by SIGTERM and starts it again after `pause`.
  net::Task<> Restart(int index, Duration pause);
  net::Task<> KillAndRestart(int index, Duration pause);
  net::Task<> Freeze(int index, Duration time);
  /// Writes other settings (faulty ones without `valid`) and sends SIGHUP.
  void Reload(Vm& vm, int second_sends, bool valid);
  /// Removes the settings file, and writes it again after `time`.
  net::Task<> ReplaceSettings(int index, Duration time);
  /// Reports processes that have ended by themselves, and starts them again. Does the same with those that
  /// use more memory than they may.
  net::Task<> Watch();
  /// Reports processes that have ended by themselves since `Watch` looked last. Call it at the end of a run.
  void CheckEnds();
  /// Greatest resident memory of any process, in bytes.
  size_t peak_memory() const { return peak_memory_; }

  void SetStoreServing(bool serving);

  bool Disturbed(int vm, const std::string& region, TimePoint since) const override;
  bool StoreDisturbed(TimePoint since) const override;
  bool ShuttingDown(int vm, int incarnation) const override;
  bool Restarted(int vm, TimePoint since) const override;
  std::string RegionOf(int vm) const override { return vms_[static_cast<size_t>(vm)].zone.region; }
  std::string Describe(int vm) const override;

 private:
  static bool WasDisturbed(const Vm& vm, TimePoint since);
  void ReportEnd(Vm& vm);
  std::string SettingsPath(const Vm& vm) const;
  void WriteSettings(const Vm& vm, int second_sends, bool valid) const;

  net::asio::io_context& loop_;
  std::string folder_;
  std::string store_;
  std::string program_ = "cornelplank-entry";
  size_t memory_mb_ = kMemoryMb;
  size_t descriptors_ = kDescriptors;
  std::map<std::string, uint16_t> ports_;
  std::vector<Vm> vms_;
  Ledger* ledger_ = nullptr;
  ConfigLag config_lag_;
  size_t peak_memory_ = 0;
  bool store_serving_ = true;
  TimePoint store_back_;  // when the store began to serve again
};

}  // namespace cornelplank::soak

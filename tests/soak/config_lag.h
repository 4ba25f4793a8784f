#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tests/soak/ledger.h"

namespace cornelplank::soak {

/// Measures, from the logs of the VMs, how long each version of the configuration took until it was in force
/// at every VM without trouble of its own.
class ConfigLag {
 public:
  /// The time within which a version has to be in force: the default of the setting `change_bound`.
  static constexpr std::chrono::milliseconds kBound{4000};

  /// The store is about to publish the version.
  void OnPublished(uint64_t version) { published_.emplace_back(Now(), version); }
  /// The VM was frozen or down, or the store did not serve, from `begin` to now.
  void OnVmTrouble(int vm, TimePoint begin) { vm_troubles_[vm].push_back({begin, Now()}); }
  void OnStoreTrouble(TimePoint begin) { store_troubles_.push_back({begin, Now()}); }

  /// Reads the logs of the VM's processes in `folder`, which must have ended. Reports each version that was
  /// not in force in time.
  void Check(int vm, const std::string& folder, TimePoint end, Ledger& ledger);
  /// The longest time that a version took at a VM without trouble.
  Duration max_lag() const { return max_lag_; }

 private:
  struct Span {
    TimePoint begin;
    TimePoint end;
  };

  /// The versions that came into force at the VM, in the order of time.
  static std::multimap<TimePoint, uint64_t> ReadLogs(int vm, const std::string& folder);
  /// Begin of the first trouble that the VM was in, or had had within `kStaleLimit`, from `begin` on.
  std::optional<TimePoint> FirstTrouble(int vm, TimePoint begin) const;

  std::vector<std::pair<TimePoint, uint64_t>> published_;
  std::map<int, std::vector<Span>> vm_troubles_;
  std::vector<Span> store_troubles_;
  Duration max_lag_{};
};

}  // namespace cornelplank::soak

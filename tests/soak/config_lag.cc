#include "tests/soak/config_lag.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace cornelplank::soak {
namespace {

/// The number in the field NAME=NUMBER of a log line; 0 when it is missing.
uint64_t Field(const std::string& line, const std::string& name) {
  const size_t position = line.find(name + "=");
  return position == std::string::npos
             ? 0
             : std::strtoull(line.c_str() + position + name.size() + 1, nullptr, 10);
}

/// The logs state the time of day.
TimePoint FromWallClock(uint64_t time_ms) {
  const auto offset = std::chrono::system_clock::now().time_since_epoch() - Now().time_since_epoch();
  return TimePoint(std::chrono::milliseconds(time_ms) - offset);
}

}  // namespace

std::multimap<TimePoint, uint64_t> ConfigLag::ReadLogs(int vm, const std::string& folder) {
  std::multimap<TimePoint, uint64_t> in_force;
  const std::string prefix = "vm-" + std::to_string(vm) + ".";
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    const std::string name = entry.path().filename();
    if (!name.starts_with(prefix) || !name.ends_with(".out")) continue;
    std::ifstream file(entry.path());
    for (std::string line; std::getline(file, line);) {
      if (line.find("event=config_in_force") == std::string::npos) continue;
      in_force.emplace(FromWallClock(Field(line, "time_ms")), Field(line, " version"));
    }
  }
  return in_force;
}

std::optional<TimePoint> ConfigLag::FirstTrouble(int vm, TimePoint begin) const {
  std::optional<TimePoint> first;
  const auto look = [&](const std::vector<Span>& spans) {
    for (const Span& span : spans) {
      if (span.end + kStaleLimit < begin) continue;
      if (!first || span.begin < *first) first = span.begin;
    }
  };
  look(store_troubles_);
  if (const auto own = vm_troubles_.find(vm); own != vm_troubles_.end()) look(own->second);
  return first;
}

void ConfigLag::Check(int vm, const std::string& folder, TimePoint end, Ledger& ledger) {
  const auto in_force = ReadLogs(vm, folder);
  for (const auto& [published_at, version] : published_) {
    const TimePoint at = published_at;
    const uint64_t wanted = version;
    const auto reached = std::find_if(in_force.begin(), in_force.end(), [&](const auto& entry) {
      return entry.first >= at - std::chrono::milliseconds(1) && entry.second >= wanted;
    });
    const TimePoint known_at = reached == in_force.end() ? end : reached->first;
    const TimePoint trouble_at = FirstTrouble(vm, at).value_or(end);
    if (trouble_at < at) continue;
    const Duration lag = std::min(known_at, trouble_at) - at;
    // A version that trouble overtook was not known to be late.
    if (known_at <= trouble_at) max_lag_ = std::max(max_lag_, lag);
    if (lag <= kBound) continue;
    ledger.Fail("config_lag", "vm-" + std::to_string(vm),
                "version " + std::to_string(version) + " not in force after " +
                    std::to_string(std::chrono::duration<double>(lag).count()) + " s");
  }
}

}  // namespace cornelplank::soak

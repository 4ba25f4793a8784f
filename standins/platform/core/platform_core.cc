#include "standins/platform/core/platform_core.h"

namespace cornelplank::standins::platform {

std::string_view EndpointName(Endpoint endpoint) {
  switch (endpoint) {
    case Endpoint::kSnapshot:
      return "config-snapshot";
    case Endpoint::kLog:
      return "config-log";
    case Endpoint::kVms:
      return "vms";
    case Endpoint::kClients:
      return "clients";
    case Endpoint::kWeights:
      return "weights";
  }
  return "";
}

PlatformCore::PlatformCore(const PlatformOptions& options)
    : options_(options),
      live_{PublishedConfig(options.kept_entries), PublishedVmList(options.vm_lag), PublishedClients()},
      read_limit_(options.reads_per_second, options.read_burst),
      weights_limit_(options.weights_bytes_per_second, options.weights_bytes_per_second) {}

const PublishedState& PlatformCore::VisibleState(Endpoint endpoint) const {
  const EndpointState& endpoint_state = state(endpoint);
  return endpoint_state.old_copy ? *endpoint_state.old_copy : live_;
}

void PlatformCore::SetMode(Endpoint endpoint, Mode mode, std::optional<uint64_t> seq) {
  EndpointState& changed = states_[static_cast<size_t>(endpoint)];
  changed.mode = mode;
  changed.old_copy.reset();
  if (mode != Mode::kStale) return;
  changed.old_copy = live_;
  if (seq) changed.old_copy->config = live_.config.AtHead(*seq);
}

bool PlatformCore::AdmitRead(Endpoint endpoint, base::TimePoint now) {
  CallCounters& counted = calls(endpoint);
  ++counted.calls;
  if (read_limit_.Take(1, 1, now) >= 1) return true;
  ++counted.refused;
  return false;
}

double PlatformCore::GrantWeights(double wanted_bytes, base::TimePoint now) {
  return weights_limit_.Take(wanted_bytes, 1, now);
}

}  // namespace cornelplank::standins::platform

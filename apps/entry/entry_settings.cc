#include "apps/entry/entry_settings.h"

#include <algorithm>

#include "platform/platform.h"

namespace cornelplank::entry {
namespace {

// Megabytes as the platform measures them: its limit on the memory of a process counts 1,000 kB for each.
constexpr double kBytesPerMb = 1e6;
// Part of `memory_mb` for bytes from outside. The rest is for the program, its tables and buffers in between.
constexpr double kReceivedShare = 0.6;
constexpr double kDefaultReceivedMb = 64;  // without `memory_mb`
// Two of the longest bodies, so that one never waits for small requests.
constexpr double kMinReceivedMb = 8;
// Greatest values that the settings accept.
constexpr double kMaxMemoryMb = 1e6;
constexpr double kMaxDescriptors = 1e6;
constexpr double kMinHeaderFields = 40;  // that clients send
constexpr double kMaxHeaderFields = 10'000;
constexpr double kMaxSecondSendBurst = 100'000;
constexpr std::chrono::milliseconds kMaxGrace{600'000};
constexpr std::chrono::milliseconds kMaxChangeBound{600'000};
constexpr std::chrono::milliseconds kMaxQuotaWindow{600'000};
constexpr double kMaxQuotaOverage = 10;
constexpr double kMaxQuotaSlack = 1e9;

/// Adds a fault and returns an empty endpoint when the key is missing or is not IP:PORT.
net::Tcp::endpoint RequiredEndpoint(base::Settings& settings, const char* section, const char* key) {
  const std::string text = settings.RequiredText(section, key);
  if (text.empty()) return {};
  const auto endpoint = net::ParseEndpoint(text);
  if (!endpoint) settings.AddFault(section, key, "is not IP:PORT");
  return endpoint.value_or(net::Tcp::endpoint());
}

/// Returns no value when the key is missing; adds a fault when it is not IP:PORT.
std::optional<net::Tcp::endpoint> OptionalEndpoint(base::Settings& settings, const char* section,
                                                   const char* key) {
  const std::string text = settings.Text(section, key, "");
  if (text.empty()) return std::nullopt;
  const auto endpoint = net::ParseEndpoint(text);
  if (!endpoint) settings.AddFault(section, key, "is not IP:PORT");
  return endpoint;
}

std::optional<fleet::VmAddress> ParseIp(const std::string& text) {
  net::Error error;
  const auto address = net::asio::ip::make_address_v4(text, error);
  if (error) return std::nullopt;
  return address.to_uint();
}

/// Reads the regions of all zones ("ZONE:REGION,...") and checks that they include the VM's own zone.
void ReadZones(base::Settings& settings, EntrySettings* out) {
  for (const std::string& pair : settings.List("vm", "zones")) {
    const size_t colon = pair.find(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == pair.size()) {
      settings.AddFault("vm", "zones", "'" + pair + "' is not ZONE:REGION");
      continue;
    }
    out->zone_regions[pair.substr(0, colon)] = pair.substr(colon + 1);
  }
  if (!out->zone.empty() && !out->zone_regions.contains(out->zone)) {
    settings.AddFault("vm", "zone", "is not one of the zones");
  }
}

/// Reads a time within which changes at the store have to be known.
void ReadBound(base::Settings& settings, const char* key, std::chrono::milliseconds* bound) {
  *bound = settings.Time("limits", key, *bound, kMaxChangeBound);
  const auto least = platform::ReadTimes::kMinBound;
  if (*bound < least) settings.AddFault("limits", key, "is below " + std::to_string(least.count()) + "ms");
}

/// Reads a truth value that the platform renders from its own document: also as 1, 0, True or False.
void ReadFlag(base::Settings& settings, const char* section, const char* key, bool* flag) {
  const std::string text = settings.Text(section, key, *flag ? "true" : "false");
  *flag = text == "true" || text == "True" || text == "1";
  if (!*flag && text != "false" && text != "False" && text != "0" && !text.empty()) {
    settings.AddFault(section, key, "must be true or false");
  }
}

}  // namespace

size_t MemoryLimit(const EntrySettings& settings) {
  double megabytes = settings.received_mb;
  if (megabytes == 0) {
    megabytes = settings.memory_mb == 0 ? kDefaultReceivedMb : settings.memory_mb * kReceivedShare;
  }
  return static_cast<size_t>(std::max(megabytes, kMinReceivedMb) * kBytesPerMb);
}

std::optional<EntrySettings> LoadEntrySettings(const std::string& path,
                                               std::vector<base::SettingsFault>* faults) {
  EntrySettings out;
  std::error_code ignored;  // reading the file reports that it is missing
  out.modified_at = std::filesystem::last_write_time(path, ignored);
  base::Settings settings = base::Settings::Load(path);
  out.name = settings.RequiredText("vm", "name");
  const std::string ip = settings.RequiredText("vm", "ip");
  if (const auto parsed = ParseIp(ip)) {
    out.ip = *parsed;
  } else if (!ip.empty()) {
    settings.AddFault("vm", "ip", "is no IPv4 address");
  }
  out.zone = settings.RequiredText("vm", "zone");
  ReadZones(settings, &out);
  for (const std::string& seed : settings.List("vm", "seeds")) {
    if (const auto endpoint = net::ParseEndpoint(seed)) {
      out.seeds.push_back(endpoint->address().to_v4().to_uint());
    } else {
      settings.AddFault("vm", "seeds", "'" + seed + "' is not IP:PORT");
    }
  }
  out.memory_mb = settings.Number("vm", "memory_mb", out.memory_mb, 0, kMaxMemoryMb);
  out.descriptors = static_cast<int64_t>(
      settings.Number("vm", "descriptors", static_cast<double>(out.descriptors), 64, kMaxDescriptors));
  ReadFlag(settings, "vm", "first_start", &out.first_start);
  out.clients = RequiredEndpoint(settings, "listen", "clients");
  out.readiness = RequiredEndpoint(settings, "listen", "readiness");
  out.directory = RequiredEndpoint(settings, "listen", "directory");
  out.heartbeats = RequiredEndpoint(settings, "listen", "beats");
  out.hops = RequiredEndpoint(settings, "listen", "hops");
  out.metrics = OptionalEndpoint(settings, "listen", "metrics");
  out.store = RequiredEndpoint(settings, "store", "address");
  out.second_send_burst =
      settings.Number("limits", "second_sends", out.second_send_burst, 0, kMaxSecondSendBurst);
  ReadBound(settings, "change_bound", &out.change_bound);
  ReadBound(settings, "evacuation_bound", &out.evacuation_bound);
  ReadBound(settings, "drain_bound", &out.drain_bound);
  tenancy::QuotaBounds& quota = out.quota_bounds;
  quota.window =
      settings.Time("limits", "quota_window",
                    std::chrono::duration_cast<std::chrono::milliseconds>(quota.window), kMaxQuotaWindow);
  quota.overage = settings.Number("limits", "quota_overage", quota.overage, 0, kMaxQuotaOverage);
  quota.slack = settings.Number("limits", "quota_slack", quota.slack, 0, kMaxQuotaSlack);
  ReadFlag(settings, "limits", "strict_revocation", &out.strict_revocation);
  out.revocation_bound = settings.Time("limits", "revocation_bound", out.revocation_bound, kMaxChangeBound);
  out.grace = settings.Time("limits", "grace", out.grace, kMaxGrace);
  out.received_mb = settings.Number("limits", "received_mb", out.received_mb, 0, kMaxMemoryMb);
  out.header_fields = static_cast<size_t>(settings.Number(
      "limits", "header_fields", static_cast<double>(out.header_fields), kMinHeaderFields, kMaxHeaderFields));
  *faults = settings.Finish();
  if (!faults->empty()) return std::nullopt;
  return out;
}

}  // namespace cornelplank::entry

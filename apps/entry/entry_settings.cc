#include "apps/entry/entry_settings.h"

namespace cornelplank::entry {
namespace {

constexpr int64_t kMostDescriptors = 1'000'000;
constexpr double kMostSecondSends = 100'000;
constexpr std::chrono::milliseconds kLongestGrace{600'000};

net::Tcp::endpoint Endpoint(base::Settings& settings, const char* section, const char* key) {
  const std::string text = settings.RequiredText(section, key);
  if (text.empty()) return {};
  const auto endpoint = net::ParseEndpoint(text);
  if (!endpoint) settings.AddFault(section, key, "is not IP:PORT");
  return endpoint.value_or(net::Tcp::endpoint());
}

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

}  // namespace

std::optional<EntrySettings> LoadEntrySettings(const std::string& path,
                                               std::vector<base::SettingsFault>* faults) {
  base::Settings settings = base::Settings::Load(path);
  EntrySettings out;
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
  settings.Integer("vm", "memory_mb", 0, 0, kMostDescriptors);  // informative
  out.descriptors = settings.Integer("vm", "descriptors", out.descriptors, 64, kMostDescriptors);
  out.clients = Endpoint(settings, "listen", "clients");
  out.readiness = Endpoint(settings, "listen", "readiness");
  out.directory = Endpoint(settings, "listen", "directory");
  out.beats = Endpoint(settings, "listen", "beats");
  out.hops = Endpoint(settings, "listen", "hops");
  out.metrics = OptionalEndpoint(settings, "listen", "metrics");
  out.store = Endpoint(settings, "store", "address");
  out.second_sends = settings.Number("limits", "second_sends", out.second_sends, 0, kMostSecondSends);
  out.grace = settings.Time("limits", "grace", out.grace, kLongestGrace);
  *faults = settings.Finish();
  if (!faults->empty()) return std::nullopt;
  return out;
}

}  // namespace cornelplank::entry

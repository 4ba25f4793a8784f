#include "libs/gateway/internal/gateway_settings.h"

#include <fstream>
#include <iterator>

namespace cornelplank::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr size_t kMinSecretBytes = 16;

/// Reads a secret from the file that the setting names, so that the secret is in no settings file and in no
/// process list. Trailing line ends are dropped. A file that can't be read or is too short adds a fault.
std::string ReadSecret(base::Settings* settings, const std::string& section, const std::string& key) {
  const std::string path = settings->RequiredText(section, key);
  if (path.empty()) return "";
  std::ifstream file(path);
  std::string secret(std::istreambuf_iterator<char>(file), {});
  while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r')) secret.pop_back();
  if (!file) {
    settings->AddFault(section, key, "the file can't be read");
  } else if (secret.size() < kMinSecretBytes) {
    settings->AddFault(section, key, "the secret in the file must have at least 16 bytes");
  }
  return secret;
}

void CheckName(base::Settings* settings, const std::string& key, const std::string& value) {
  if (value.find('/') != std::string::npos) settings->AddFault("vm", key, "must not contain '/'");
}

void ReadLimits(base::Settings* settings, GatewaySettings* result) {
  result->max_body_bytes =
      static_cast<size_t>(settings->Integer("limits", "body_bytes", 1 << 20, 1024, 16 << 20));
  result->max_connections = static_cast<unsigned>(settings->Integer("limits", "connections", 2000, 1, 20000));
  result->max_hops = static_cast<unsigned>(settings->Integer("limits", "hops", 1000, 1, 20000));
  result->idle_timeout = settings->Time("limits", "idle", seconds{30}, minutes{10});
  result->default_timeout = settings->Time("limits", "default_timeout", seconds{60}, minutes{60});
  result->max_timeout = settings->Time("limits", "max_timeout", minutes{10}, minutes{60});
  result->drain_limit = settings->Time("limits", "drain", minutes{2}, minutes{60});
  result->progress_limit = settings->Time("limits", "progress", seconds{2}, minutes{1});
  result->connect_limit = settings->Time("limits", "connect", milliseconds{250}, seconds{10});
  result->poll_interval = settings->Time("upstreams", "poll_interval", seconds{1}, minutes{1});
}

std::string OptionalAddress(base::Settings* settings, const std::string& key) {
  if (settings->Text("advertise", key, "").empty()) return "";
  return settings->Address("advertise", key, "");
}

}  // namespace

std::optional<GatewaySettings> LoadGatewaySettings(const std::string& path,
                                                   std::vector<base::SettingsFault>* faults) {
  base::Settings settings = base::Settings::Load(path);
  GatewaySettings result;
  result.vm = settings.RequiredText("vm", "id");
  result.partner = settings.RequiredText("vm", "partner");
  result.region = settings.RequiredText("vm", "region");
  result.zone = settings.RequiredText("vm", "zone");
  CheckName(&settings, "id", result.vm);
  CheckName(&settings, "zone", result.zone);
  result.clients_listen = settings.Address("listen", "clients", "127.0.0.1:0");
  result.peers_listen = settings.Address("listen", "peers", "127.0.0.1:0");
  result.operators_listen = settings.Address("listen", "operators", "127.0.0.1:0");
  result.clients_advertise = OptionalAddress(&settings, "clients");
  result.peers_advertise = OptionalAddress(&settings, "peers");
  result.platform = settings.Address("platform", "address", "");
  result.seeds = settings.List("peers", "seeds");
  result.peers_key = ReadSecret(&settings, "peers", "key_file");
  result.operators_token = ReadSecret(&settings, "operators", "token_file");
  ReadLimits(&settings, &result);
  *faults = settings.Finish();
  if (!faults->empty()) return std::nullopt;
  return result;
}

}  // namespace cornelplank::gateway

#include "apps/ctl/commands/options.h"

#include <fstream>
#include <iterator>
#include <string_view>

#include "libs/config/config.h"

namespace cornelplank::ctl {
namespace {

constexpr const char* kSection = "ctl";

}  // namespace

std::vector<base::SettingsFault> ReadSettings(base::Settings settings, std::string* token_file,
                                              Options* options) {
  Options platform;
  platform.platform = settings.Text(kSection, "platform", "");
  if (const auto fault = FindOptionFault(platform)) settings.AddFault(kSection, "platform", *fault);
  Options address;
  address.address = settings.Text(kSection, "address", "");
  if (const auto fault = FindOptionFault(address)) settings.AddFault(kSection, "address", *fault);
  Options gateways;
  gateways.gateways = settings.List(kSection, "gateways");
  if (const auto fault = FindOptionFault(gateways)) settings.AddFault(kSection, "gateways", *fault);
  const std::string settings_token_file = settings.Text(kSection, "token_file", "");
  if (token_file->empty() && !settings_token_file.empty() && !ReadFile(settings_token_file)) {
    settings.AddFault(kSection, "token_file", "the file can't be read");
  }
  if (options->platform.empty()) options->platform = platform.platform;
  if (options->address.empty()) options->address = address.address;
  if (options->gateways.empty()) options->gateways = gateways.gateways;
  if (token_file->empty()) *token_file = settings_token_file;
  return settings.Finish();
}

std::optional<std::string> FindOptionFault(const Options& options) {
  constexpr std::string_view kScheme = "http://";
  std::string_view platform = options.platform;
  while (platform.ends_with('/')) platform.remove_suffix(1);
  const bool is_url = platform.starts_with(kScheme) && config::IsAddress(platform.substr(kScheme.size()));
  if (!platform.empty() && !is_url) return "platform '" + options.platform + "' must be http://IP:PORT";
  if (!options.address.empty() && !config::IsAddress(options.address)) {
    return "address '" + options.address + "' must be IP:PORT";
  }
  for (const std::string& gateway : options.gateways) {
    if (!config::IsAddress(gateway)) return "gateway '" + gateway + "' must be IP:PORT";
  }
  return std::nullopt;
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) return std::nullopt;
  std::string text(std::istreambuf_iterator<char>(stream), {});
  if (stream.bad()) return std::nullopt;
  return text;
}

}  // namespace cornelplank::ctl

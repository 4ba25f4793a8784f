#include "apps/ctl/commands/options.h"

#include <fstream>
#include <iterator>

namespace cornelplank::ctl {
namespace {

constexpr const char* kSection = "ctl";

/// An address that may be absent.
std::string OptionalAddress(base::Settings* settings, const char* key) {
  return settings->Text(kSection, key, "").empty() ? "" : settings->Address(kSection, key, "");
}

}  // namespace

std::vector<base::SettingsFault> ReadSettings(base::Settings settings, std::string* token_file,
                                              Options* options) {
  const std::string platform = settings.Text(kSection, "platform", "");
  if (!platform.empty() && !platform.starts_with("http://")) {
    settings.AddFault(kSection, "platform", "must be http://IP:PORT");
  }
  const std::string address = OptionalAddress(&settings, "address");
  const std::vector<std::string> gateways = settings.List(kSection, "gateways");
  const std::string settings_token_file = settings.Text(kSection, "token_file", "");
  if (token_file->empty() && !settings_token_file.empty() && !ReadFile(settings_token_file)) {
    settings.AddFault(kSection, "token_file", "the file can't be read");
  }
  if (options->platform.empty()) options->platform = platform;
  if (options->address.empty()) options->address = address;
  if (options->gateways.empty()) options->gateways = gateways;
  if (token_file->empty()) *token_file = settings_token_file;
  return settings.Finish();
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) return std::nullopt;
  std::string text(std::istreambuf_iterator<char>(stream), {});
  if (stream.bad()) return std::nullopt;
  return text;
}

}  // namespace cornelplank::ctl

#include <curl/curl.h>

#include <memory>
#include <utility>
#include <vector>

#include "apps/ctl/commands/commands.h"

namespace cornelplank::ctl {
namespace {

std::string Encode(const std::string& text) {
  const std::unique_ptr<char, decltype(&curl_free)> encoded(
      curl_easy_escape(nullptr, text.c_str(), static_cast<int>(text.size())), &curl_free);
  return encoded == nullptr ? "" : encoded.get();
}

std::string ExplainPath(const Options& options) {
  const std::vector<std::pair<const char*, const std::string*>> fields = {{"client", &options.client},
                                                                          {"class", &options.priority_class},
                                                                          {"model", &options.model},
                                                                          {"service", &options.service},
                                                                          {"home", &options.home}};
  std::string path = "/explain";
  char separator = '?';
  for (const auto& [name, value] : fields) {
    if (value->empty()) continue;
    path += separator + std::string(name) + "=" + Encode(*value);
    separator = '&';
  }
  return path;
}

}  // namespace

int RunQuery(const std::string& name, const Options& options, Transport* transport, const Output& output) {
  if (options.address.empty() || options.token.empty()) {
    output.err << name << " needs --address IP:PORT and --token-file FILE\n";
    return kUsage;
  }
  if (name == "explain" && (options.client.empty() || options.model.empty() == options.service.empty())) {
    output.err << "explain needs --client and one of --model and --service\n";
    return kUsage;
  }
  const std::string path = name == "explain" ? ExplainPath(options) : "/" + name;
  std::string error;
  const auto answer = transport->Get("http://" + options.address + path,
                                     {{"Authorization", "Bearer " + options.token}}, &error);
  if (!answer) {
    output.err << "the gateway at " << options.address << " does not answer: " << error << "\n";
    return kUnavailable;
  }
  if (answer->status == 401 || answer->status == 403) {
    output.err << "the gateway at " << options.address << " refuses the token (status " << answer->status
               << ")\n";
    return kUnavailable;
  }
  if (answer->status != 200) {
    output.err << "the gateway at " << options.address << " answered with status " << answer->status << ": "
               << answer->body << "\n";
    return kUnavailable;
  }
  output.out << answer->body;
  if (!answer->body.ends_with('\n')) output.out << "\n";
  return kDone;
}

}  // namespace cornelplank::ctl

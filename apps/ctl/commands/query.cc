#include <curl/curl.h>

#include <memory>
#include <utility>
#include <vector>

#include "apps/ctl/commands/commands.h"

namespace cornelplank::ctl {
namespace {

std::string UrlEncode(const std::string& text) {
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
    path += separator + std::string(name) + "=" + UrlEncode(*value);
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
  const auto response = transport->Get("http://" + options.address + path,
                                       {{"Authorization", "Bearer " + options.token}}, &error);
  if (!response) {
    output.err << "the gateway at " << options.address << " does not answer: " << error << "\n";
    return kUnavailable;
  }
  if (response->status == 401 || response->status == 403) {
    output.err << "the gateway at " << options.address << " refuses the token (status " << response->status
               << ")\n";
    return kUnavailable;
  }
  if (response->status != 200) {
    output.err << "the gateway at " << options.address << " answered with status " << response->status << ": "
               << response->body << "\n";
    return kUnavailable;
  }
  output.out << response->body;
  if (!response->body.ends_with('\n')) output.out << "\n";
  return kDone;
}

}  // namespace cornelplank::ctl

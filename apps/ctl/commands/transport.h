#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace cornelplank::ctl {

struct HttpResponse {
  int status = 0;
  std::string body;
};

/// Sends HTTP GET requests. It has no other method because the tool never writes to another system.
class Transport {
 public:
  virtual ~Transport() = default;
  /// The complete response of any status, or nothing with a message in `error`.
  virtual std::optional<HttpResponse> Get(const std::string& url,
                                          const std::map<std::string, std::string>& headers,
                                          std::string* error) = 0;
};

}  // namespace cornelplank::ctl

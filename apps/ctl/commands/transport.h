#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace cornelplank::ctl {

struct HttpAnswer {
  int status = 0;
  std::string body;
};

/// Sends HTTP GET requests. Nothing else is needed: the tool never writes to another system.
class Transport {
 public:
  virtual ~Transport() = default;
  /// The whole answer, or nothing with a sentence in `error`.
  virtual std::optional<HttpAnswer> Get(const std::string& url,
                                        const std::map<std::string, std::string>& headers,
                                        std::string* error) = 0;
};

}  // namespace cornelplank::ctl

#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cornelplank::http {

/// Orders header names without regard to ASCII case.
struct CaseInsensitiveLess {
  bool operator()(std::string_view a, std::string_view b) const;
  using is_transparent = void;
};
using Headers = std::map<std::string, std::string, CaseInsensitiveLess>;

/// The value of a header, or an empty view when it is missing.
std::string_view HeaderValue(const Headers& headers, std::string_view name);

/// A request as a `Server` received it.
struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;  // decoded
  Headers headers;
  std::string body;
};

/// A response body that is produced while it is sent. `Read` runs on the connection's own thread and may
/// block.
class BodySource {
 public:
  virtual ~BodySource() = default;
  /// Writes up to `capacity` bytes to `buffer`. Returns their count, 0 at the end of the body, or nothing
  /// when the body can't be completed: the connection is then closed without the terminating chunk, so that
  /// the client recognizes a truncated body.
  virtual std::optional<size_t> Read(char* buffer, size_t capacity) = 0;
};

/// A response that a `Server` sends or a `Client` received.
struct Response {
  int status = 200;
  Headers headers;
  std::string body;                    // used when `stream` is empty
  std::unique_ptr<BodySource> stream;  // destroyed when the response has been sent or the client is gone
};

}  // namespace cornelplank::http

#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cornelplank::http {

/// Header names compare without regard to case.
struct CaseInsensitiveLess {
  bool operator()(std::string_view a, std::string_view b) const;
  using is_transparent = void;
};
using Headers = std::map<std::string, std::string, CaseInsensitiveLess>;

/// The value of a header, or an empty view.
std::string_view HeaderValue(const Headers& headers, std::string_view name);

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  Headers headers;
  std::string body;
};

/// A response body that is produced while it is sent. Called on the connection's own thread; may block.
class BodySource {
 public:
  virtual ~BodySource() = default;
  /// Fills up to `capacity` bytes. Returns the count, 0 at the proper end, or nothing when the body broke:
  /// the connection is then closed without the terminating chunk, so that the peer can tell.
  virtual std::optional<size_t> Read(char* buffer, size_t capacity) = 0;
};

struct Response {
  int status = 200;
  Headers headers;
  std::string body;                    // used when `stream` is empty
  std::unique_ptr<BodySource> stream;  // destroyed when the response has ended or the peer has left
};

}  // namespace cornelplank::http

#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelplank::net {

struct Header {
  std::string name;
  std::string value;
};

/// Header fields in the order of the wire. Repeated fields and the case of names are kept; lookups ignore
/// case.
class Headers {
 public:
  void Add(std::string_view name, std::string_view value) {
    fields_.push_back({std::string(name), std::string(value)});
  }
  /// The value of the first field with that name, or nothing.
  std::optional<std::string_view> Find(std::string_view name) const;
  /// Removes all fields with that name.
  void Remove(std::string_view name);
  /// Replaces all fields with that name by one, which goes to the end.
  void Set(std::string_view name, std::string_view value) {
    Remove(name);
    Add(name, value);
  }
  /// Allocates room for `count` fields.
  void Reserve(size_t count) { fields_.reserve(count); }
  const std::vector<Header>& fields() const { return fields_; }

 private:
  std::vector<Header> fields_;
};

/// True when the two names are equal without regard to ASCII case.
bool SameHeaderName(std::string_view left, std::string_view right);

/// Removes the fields that concern one connection only (Connection and those it lists, Keep-Alive,
/// Transfer-Encoding, Content-Length, ...).
void RemoveHopByHop(Headers* headers);

/// The bytes of a request's body. Copies share them, so that each attempt refers to the one body of its
/// request.
class Body {
 public:
  Body() = default;
  Body(std::string bytes)  // NOLINT(google-explicit-constructor): a body is made from text in many places
      : bytes_(std::make_shared<const std::string>(std::move(bytes))) {}
  Body(const char* text) : Body(std::string(text)) {}  // NOLINT(google-explicit-constructor)
  explicit Body(std::shared_ptr<const std::string> bytes) : bytes_(std::move(bytes)) {}

  std::string_view text() const { return bytes_ ? std::string_view(*bytes_) : std::string_view(); }
  size_t size() const { return bytes_ ? bytes_->size() : 0; }
  bool empty() const { return size() == 0; }

 private:
  std::shared_ptr<const std::string> bytes_;
};

/// A request as received from a client or sent to a server.
struct Request {
  std::string method;
  std::string target;  // path and query, not decoded
  Headers headers;
  Body body;  // complete, with the transfer coding (chunks) removed
};

/// The status and the header fields of a response, without its body.
struct ResponseHead {
  unsigned status = 0;
  Headers headers;
};

}  // namespace cornelplank::net

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelplank::net {

struct Header {
  std::string name;
  std::string value;
};

/// Header fields in the order of the wire, with repetitions and spelling kept.
class Headers {
 public:
  void Add(std::string_view name, std::string_view value) {
    fields_.push_back({std::string(name), std::string(value)});
  }
  /// The first value of `name`, compared without case.
  std::optional<std::string_view> Find(std::string_view name) const;
  void Remove(std::string_view name);
  /// Replaces all fields of that name by one.
  void Set(std::string_view name, std::string_view value) {
    Remove(name);
    Add(name, value);
  }
  const std::vector<Header>& fields() const { return fields_; }

 private:
  std::vector<Header> fields_;
};

/// True when the two names are equal without regard to ASCII case.
bool SameHeaderName(std::string_view left, std::string_view right);

/// Drops the fields that concern one connection only (Connection and those it lists, Keep-Alive,
/// Transfer-Encoding, Content-Length, ...).
void RemoveHopByHop(Headers* headers);

struct Request {
  std::string method;
  std::string target;  // raw, as received
  Headers headers;
  std::string body;  // whole and without transfer coding
};

struct ResponseHead {
  unsigned status = 0;
  Headers headers;
};

}  // namespace cornelplank::net

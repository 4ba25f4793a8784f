#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "libs/config/internal/names.h"
#include "libs/config/internal/reason.h"

namespace cornelplank::config {

using Json = nlohmann::json;

/// Limit of a list of names. Finding duplicates takes quadratic time in the length. Lists hold zones,
/// regions, models, classes or methods; the largest planned deployment has 26 zones.
inline constexpr size_t kMaxNames = 1000;

/// Parses `text` strictly. If it is not JSON or is nested too deeply, the result is empty and `reason` (may
/// be null) holds kMalformed.
std::optional<Json> ParseJson(std::string_view text, ConfigReason* reason);

/// The path of a value in a JSON text: a linked list from the value up to the root. It is converted to a JSON
/// pointer only for a fault, because most values have none.
struct JsonPath {
  const JsonPath* parent = nullptr;
  std::string_view token;  // key or index of the value in its parent

  std::string ToPointer() const;
};

/// The JSON pointer (RFC 6901) made of `tokens`, with '~' and '/' escaped.
std::string JoinPointer(std::initializer_list<std::string_view> tokens);

/// Reads the fields of a JSON object and collects every fault. If a field is absent, an accessor returns its
/// fallback; without a fallback the absence is a fault. If a field is faulty, it returns the fallback, or
/// without one the lowest or empty value.
class ObjectReader {
 public:
  ObjectReader(const Json& value, const JsonPath& path, Faults* faults);

  /// False when the value is not an object; the constructor then reports a fault.
  bool ok() const { return ok_; }
  const JsonPath& path() const { return path_; }

  /// The field, or null when it is absent. RejectUnknown won't report a field that was asked for.
  const Json* Find(std::string_view key);
  /// Like Find, but reports a fault when the field is absent.
  const Json* Require(std::string_view key);

  std::string RequiredName(std::string_view key);
  /// Any string without control characters, at most 256 bytes.
  std::string RequiredText(std::string_view key);
  std::string RequiredAddress(std::string_view key);
  int64_t Integer(std::string_view key, std::optional<int64_t> fallback, int64_t low, int64_t high);
  uint64_t Unsigned(std::string_view key);
  double Number(std::string_view key, std::optional<double> fallback, double low, double high);
  bool Flag(std::string_view key, bool fallback);
  /// A list of at most kMaxNames distinct names.
  std::vector<std::string> Names(std::string_view key, bool required);
  /// The index of the field's text in `choices`.
  size_t Choice(std::string_view key, std::span<const std::string_view> choices,
                std::optional<size_t> fallback);

  /// Reports a fault for each field that no accessor asked for.
  void RejectUnknown();
  void AddFault(std::string_view key, std::string problem);

 private:
  const Json& value_;
  const JsonPath& path_;
  Faults* faults_;
  bool ok_;
  std::vector<std::string_view> known_;
};

/// Calls `read(name, value, path)` for each member of the object at `key`, which may be absent.
template <typename Read>
void ForEachMember(ObjectReader* reader, std::string_view key, bool required, Faults* faults, Read&& read) {
  const Json* value = required ? reader->Require(key) : reader->Find(key);
  if (value == nullptr) return;
  const JsonPath path{&reader->path(), key};
  if (!value->is_object()) {
    faults->push_back({path.ToPointer(), "must be an object"});
    return;
  }
  for (const auto& [name, member] : value->items()) {
    const JsonPath member_path{&path, name};
    if (!IsName(name)) faults->push_back({member_path.ToPointer(), "is not a valid name"});
    read(name, member, member_path);
  }
}

/// Calls `read(value, path)` for each element of the array at `key`, which may be absent.
template <typename Read>
void ForEachElement(ObjectReader* reader, std::string_view key, bool required, Faults* faults, Read&& read) {
  const Json* value = required ? reader->Require(key) : reader->Find(key);
  if (value == nullptr) return;
  const JsonPath path{&reader->path(), key};
  if (!value->is_array()) {
    faults->push_back({path.ToPointer(), "must be a list"});
    return;
  }
  for (size_t i = 0; i < value->size(); ++i) {
    const std::string index = std::to_string(i);
    const JsonPath element_path{&path, index};
    read((*value)[i], element_path);
  }
}

}  // namespace cornelplank::config

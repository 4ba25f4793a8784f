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

/// The deepest published form has 8 levels. Without a bound, a deep value would exhaust the stack of the
/// recursive functions of the JSON library.
inline constexpr int kMaxJsonDepth = 64;

/// True when the brackets of `text` nest deeper than `max_depth`. The JSON library could tell while parsing,
/// but its callback makes the parser take quadratic time in the members of an object.
bool IsTooDeep(std::string_view text, int max_depth = kMaxJsonDepth);
/// Replaces each object and list that is nested deeper than `max_depth` by null.
std::string CutDeepValues(std::string_view text, int max_depth);

/// A list of names is searched for each of its elements, so its length is bounded. Lists hold zones, regions,
/// models, classes or methods; the design scale has 26 zones.
inline constexpr size_t kMaxNames = 1000;

/// Parses `text` strictly. Nothing when it is not JSON or is nested too deeply.
std::optional<Json> ParseJson(std::string_view text, ConfigReason* reason);

/// The place of a value: a chain from the value to the root, rendered as a JSON pointer only for faults.
struct Place {
  const Place* parent = nullptr;
  std::string_view token;

  std::string Text() const;
};

/// The JSON pointer made of `tokens`, with '~' and '/' escaped.
std::string JoinPointer(std::initializer_list<std::string_view> tokens);

/// Reads the fields of one JSON object and collects every fault. Accessors return the fallback on a fault.
class ObjectReader {
 public:
  ObjectReader(const Json& value, const Place& place, Faults* faults);

  /// False when the value is not an object; that is reported as a fault.
  bool ok() const { return ok_; }
  const Place& place() const { return place_; }

  /// The field, or null when it is absent. Marks the field as known.
  const Json* Find(std::string_view key);
  /// Like Find, but absence is a fault.
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
  /// One of `choices`; its index.
  size_t Choice(std::string_view key, std::span<const std::string_view> choices,
                std::optional<size_t> fallback);

  /// Reports the fields that no accessor asked for.
  void RejectUnknown();
  void AddFault(std::string_view key, std::string problem);

 private:
  const Json& value_;
  const Place& place_;
  Faults* faults_;
  bool ok_;
  std::vector<std::string_view> known_;
};

/// Calls `read(name, value, place)` for each member of the object at `key`, which may be absent.
template <typename Read>
void ForEachMember(ObjectReader* reader, std::string_view key, bool required, Faults* faults, Read&& read) {
  const Json* value = required ? reader->Require(key) : reader->Find(key);
  if (value == nullptr) return;
  const Place place{&reader->place(), key};
  if (!value->is_object()) {
    faults->push_back({place.Text(), "must be an object"});
    return;
  }
  for (const auto& [name, member] : value->items()) {
    const Place member_place{&place, name};
    if (!IsName(name)) faults->push_back({member_place.Text(), "is not a valid name"});
    read(name, member, member_place);
  }
}

/// Calls `read(value, place)` for each element of the array at `key`, which may be absent.
template <typename Read>
void ForEachElement(ObjectReader* reader, std::string_view key, bool required, Faults* faults, Read&& read) {
  const Json* value = required ? reader->Require(key) : reader->Find(key);
  if (value == nullptr) return;
  const Place place{&reader->place(), key};
  if (!value->is_array()) {
    faults->push_back({place.Text(), "must be a list"});
    return;
  }
  for (size_t i = 0; i < value->size(); ++i) {
    const std::string index = std::to_string(i);
    const Place element_place{&place, index};
    read((*value)[i], element_place);
  }
}

}  // namespace cornelplank::config

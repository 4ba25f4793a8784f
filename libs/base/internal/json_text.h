#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace cornelplank::base {

/// Limit of nested objects and lists. The deepest published form has 8 levels. A value of many levels takes
/// up to 100 times the memory of its text, and overflows the stack when it is copied or written.
inline constexpr int kMaxJsonDepth = 64;

/// True when the brackets of `text` nest deeper than `max_depth`. The parser callback of the JSON library
/// could check this while parsing, but with a callback the parser takes quadratic time in the members of an
/// object.
bool IsTooDeep(std::string_view text, int max_depth = kMaxJsonDepth);
/// Returns `text` with each object and list that is nested deeper than `max_depth` replaced by null.
std::string CutDeepValues(std::string_view text, int max_depth);

/// Parses JSON that comes from outside. The result is discarded (`is_discarded`) when `text` is malformed or
/// nested deeper than `kMaxJsonDepth`.
nlohmann::json ParseJson(std::string_view text);

}  // namespace cornelplank::base

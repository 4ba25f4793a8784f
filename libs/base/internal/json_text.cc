#include "libs/base/internal/json_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cornelplank::base {
namespace {

/// Counts the open brackets of JSON text, one byte at a time; brackets within strings don't count.
class NestingCounter {
 public:
  /// Returns the number of open brackets after `c`.
  int Next(char c) {
    if (in_string_) {
      in_string_ = escaped_ || c != '"';
      escaped_ = !escaped_ && c == '\\';
    } else if (c == '"') {
      in_string_ = true;
    } else if (c == '[' || c == '{') {
      ++depth_;
    } else if (c == ']' || c == '}') {
      --depth_;
    }
    return depth_;
  }

 private:
  int depth_ = 0;
  bool in_string_ = false;
  bool escaped_ = false;
};

}  // namespace

bool IsTooDeep(std::string_view text, int max_depth) {
  NestingCounter nesting;
  return std::any_of(text.begin(), text.end(), [&](char c) { return nesting.Next(c) > max_depth; });
}

std::string CutDeepValues(std::string_view text, int max_depth) {
  std::string result;
  NestingCounter nesting;
  int previous_depth = 0;
  for (const char c : text) {
    const int depth = nesting.Next(c);
    if (depth > max_depth && previous_depth <= max_depth) result += "null";
    // When `c` closes a replaced value, the depth has fallen back to the limit; `c` is left out too.
    if (depth <= max_depth && previous_depth <= max_depth) result += c;
    previous_depth = depth;
  }
  return result;
}

nlohmann::json ParseJson(std::string_view text) {
  if (IsTooDeep(text)) return nlohmann::json(nlohmann::json::value_t::discarded);
  return nlohmann::json::parse(text, nullptr, false);
}

}  // namespace cornelplank::base

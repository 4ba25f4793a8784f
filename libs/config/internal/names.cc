#include "libs/config/internal/names.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string>

namespace cornelplank::config {
namespace {

constexpr size_t kMaxNameBytes = 64;

bool IsAlphanumeric(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

}  // namespace

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameBytes || !IsAlphanumeric(text[0])) return false;
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return IsAlphanumeric(c) || c == '.' || c == '_' || c == '-'; });
}

bool IsAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  in_addr address{};
  if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &address) != 1) return false;
  const std::string_view digits = text.substr(colon + 1);
  uint16_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  return error == std::errc{} && end == digits.data() + digits.size() && port != 0;
}

}  // namespace cornelplank::config

#include "libs/base/internal/socket_address.h"

#include <arpa/inet.h>

#include <charconv>

namespace cornelplank::base {

std::optional<sockaddr_in> ParseSocketAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (parsed.ec != std::errc{} || parsed.ptr != end) return std::nullopt;
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1) return std::nullopt;
  address.sin_port = htons(port);
  return address;
}

}  // namespace cornelplank::base

#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>

namespace cornelplank::base {

/// An IPv4 address and port from `IP:PORT`; nothing when the text is anything else.
std::optional<sockaddr_in> ParseSocketAddress(const std::string& text);

}  // namespace cornelplank::base

#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>

namespace cornelplank::base {

/// Parses an IPv4 address and port of the form `IP:PORT`. Returns nothing when the text is anything else.
std::optional<sockaddr_in> ParseSocketAddress(const std::string& text);

}  // namespace cornelplank::base

#pragma once

#include <string_view>

namespace cornelplank::config {

/// True for 1 to 64 ASCII letters, digits, '.', '_' and '-', of which the first is a letter or digit.
bool IsName(std::string_view text);
/// True for IPV4:PORT with a port from 1 to 65535.
bool IsAddress(std::string_view text);

}  // namespace cornelplank::config

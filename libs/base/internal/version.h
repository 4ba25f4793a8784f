#pragma once

namespace cornelplank::base {

inline constexpr char kVersion[] = "0.1.0";

}  // namespace cornelplank::base

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cornelplank::base {

/// XXH3 64-bit hash, equal on every node and build.
uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);

/// XXH128 digest as 32 hexadecimal digits.
std::string Digest128(std::string_view bytes);

/// Weight of `member` for `key` under rendezvous (highest random weight) hashing.
uint64_t RendezvousWeight(std::string_view key, std::string_view member);

}  // namespace cornelplank::base

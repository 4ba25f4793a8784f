#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cornelplank::base {

/// XXH3 64-bit hash. The value is the same on every node and in every build. Not cryptographic.
uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);

/// XXH3 128-bit digest as 32 hexadecimal digits. Not cryptographic.
std::string Digest128(std::string_view bytes);

/// Weight of `member` for `key` under rendezvous (highest random weight) hashing: the member with the
/// greatest weight is chosen.
uint64_t RendezvousWeight(std::string_view key, std::string_view member);

}  // namespace cornelplank::base

#include "libs/base/internal/hash.h"

#include <xxhash.h>

#include <cinttypes>
#include <cstdio>

namespace cornelplank::base {

uint64_t Hash64(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string Digest128(std::string_view bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  char text[33];
  std::snprintf(text, sizeof text, "%016" PRIx64 "%016" PRIx64, static_cast<uint64_t>(hash.high64),
                static_cast<uint64_t>(hash.low64));
  return text;
}

uint64_t RendezvousWeight(std::string_view key, std::string_view member) {
  return Hash64(member, Hash64(key));
}

}  // namespace cornelplank::base

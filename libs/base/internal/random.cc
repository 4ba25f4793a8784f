#include "libs/base/internal/random.h"

#include <random>

namespace cornelplank::base {

uint64_t EntropySeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

}  // namespace cornelplank::base

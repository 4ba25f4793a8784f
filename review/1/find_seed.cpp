// Searches for configurations that a VM can't read from another VM, and counts them. Not part of the case;
// needs Boost: g++ -std=c++20 -O2 -I. review/1/find_seed.cpp platform/internal/value_packing.cc -o find_seed

#include <iostream>

#include "platform/internal/value_packing.h"
#include "review/1/config_text.h"

int main() {
  constexpr int kSeeds = 60;
  int all_unreadable = 0;
  int all = 0;
  for (int routes = 20; routes <= 300; routes += 2) {
    int unreadable = 0;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const std::string text = review::ConfigText(8, "huvo11a", routes, seed);
      const std::string packed = cornelplank::platform::PackValue(text);
      if (cornelplank::platform::UnpackValue(packed, text.size()) != text) ++unreadable;
    }
    all += kSeeds;
    all_unreadable += unreadable;
    if (unreadable > 0) std::cout << routes << " routes: " << unreadable << " of " << kSeeds << "\n";
  }
  std::cout << all_unreadable << " of " << all << " configurations can't be read\n";
}

#include "libs/serving/internal/data_residency.h"

#include <algorithm>

namespace cornelplank::serving {

bool DataResidency::Bound() const {
  return std::any_of(homes_.begin(), homes_.end(), [](const auto* homes) { return !homes->empty(); });
}

bool DataResidency::Allows(std::string_view region) const {
  return !Unknown() && std::all_of(homes_.begin(), homes_.end(), [&](const auto* homes) {
    return homes->empty() || std::find(homes->begin(), homes->end(), region) != homes->end();
  });
}

}  // namespace cornelplank::serving

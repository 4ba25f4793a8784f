#include "libs/serving/internal/completion_estimate.h"

namespace cornelplank::serving {
namespace {

// Parts of the averages that one observation replaces, by RFC 6298.
constexpr int kAverageParts = 8;
constexpr int kDeviationParts = 4;
constexpr int kDeviations = 4;

}  // namespace

void CompletionEstimate::Observe(const std::string& route, base::Duration time) {
  const auto known = routes_.find(route);
  if (known == routes_.end()) {
    if (routes_.size() >= kMaxRoutes) routes_.clear();
    routes_[route] = {time, time / 2};
    return;
  }
  Times& times = known->second;
  const base::Duration error = time - times.average;
  times.deviation += (std::chrono::abs(error) - times.deviation) / kDeviationParts;
  times.average += error / kAverageParts;
}

std::optional<base::Duration> CompletionEstimate::Upper(const std::string& route) const {
  const auto known = routes_.find(route);
  if (known == routes_.end()) return std::nullopt;
  return known->second.average + known->second.deviation * kDeviations;
}

}  // namespace cornelplank::serving

#include "apps/load/core/stats.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace cornelplank::load {
namespace {

double Rounded(double milliseconds) { return std::round(milliseconds * 1000) / 1000; }

nlohmann::json QuantileJson(const Quantiles& quantiles) {
  return {{"count", quantiles.count},
          {"p50", Rounded(quantiles.p50)},
          {"p95", Rounded(quantiles.p95)},
          {"p99", Rounded(quantiles.p99)},
          {"max", Rounded(quantiles.max)}};
}

/// Counts a name unless it is empty.
void CountNamed(std::map<std::string, uint64_t>& counts, const std::string& name) {
  if (!name.empty()) ++counts[name];
}

}  // namespace

Quantiles QuantilesOf(std::vector<float> values) {
  Quantiles quantiles;
  quantiles.count = values.size();
  if (values.empty()) return quantiles;
  std::sort(values.begin(), values.end());
  const auto quantile = [&values](double share) {
    const auto rank = static_cast<size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values[std::max<size_t>(rank, 1) - 1];
  };
  quantiles.p50 = quantile(0.5);
  quantiles.p95 = quantile(0.95);
  quantiles.p99 = quantile(0.99);
  quantiles.max = values.back();
  return quantiles;
}

void Stats::Add(Measurement measurement) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++results_[static_cast<size_t>(measurement.result)];
  CountNamed(codes_, measurement.code);
  CountNamed(regions_, measurement.served_region);
  CountNamed(reasons_, measurement.route_reason);
  tokens_ += measurement.tokens;
  if (measurement.first_token_ms >= 0) {
    first_token_ms_.push_back(static_cast<float>(measurement.first_token_ms));
  }
  gaps_ms_.insert(gaps_ms_.end(), measurement.gaps_ms.begin(), measurement.gaps_ms.end());
  // Only complete answers count for the total time, because refusals are quick and would lower it.
  if (measurement.result == Result::kWhole) total_ms_.push_back(static_cast<float>(measurement.total_ms));
}

uint64_t Stats::Count(Result result) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return results_[static_cast<size_t>(result)];
}

uint64_t Stats::Violations() const { return Count(Result::kWrong) + Count(Result::kUnmarkedTruncation); }

nlohmann::json Stats::Json(double seconds) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  nlohmann::json results = nlohmann::json::object();
  for (size_t index = 0; index < kResultCount; ++index) {
    results[std::string(ResultName(static_cast<Result>(index)))] = results_[index];
  }
  return {{"seconds", seconds},
          {"results", results},
          {"codes", codes_},
          {"served_regions", regions_},
          {"route_reasons", reasons_},
          {"tokens", tokens_},
          {"first_token_ms", QuantileJson(QuantilesOf(first_token_ms_))},
          {"between_tokens_ms", QuantileJson(QuantilesOf(gaps_ms_))},
          {"total_ms", QuantileJson(QuantilesOf(total_ms_))}};
}

std::string Stats::Text(double seconds) const {
  const nlohmann::json all = Json(seconds);
  std::ostringstream text;
  text << std::fixed << std::setprecision(1);
  text << "time " << seconds << " s, tokens " << all["tokens"].get<uint64_t>() << "\n";
  for (const auto& [name, count] : all["results"].items()) {
    if (count.get<uint64_t>() > 0) text << "  " << name << ": " << count.get<uint64_t>() << "\n";
  }
  for (const char* group : {"codes", "served_regions", "route_reasons"}) {
    for (const auto& [name, count] : all[group].items()) {
      text << "  " << group << " " << name << ": " << count.get<uint64_t>() << "\n";
    }
  }
  for (const char* name : {"first_token_ms", "between_tokens_ms", "total_ms"}) {
    const auto& quantiles = all[name];
    text << name << ": p50 " << quantiles["p50"].get<double>() << ", p95 " << quantiles["p95"].get<double>()
         << ", p99 " << quantiles["p99"].get<double>() << ", max " << quantiles["max"].get<double>() << " ("
         << quantiles["count"].get<uint64_t>() << ")\n";
  }
  return text.str();
}

}  // namespace cornelplank::load

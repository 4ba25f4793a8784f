#include "libs/pace/internal/service_pace.h"

#include <algorithm>
#include <cmath>

namespace cornelplank::pace {
namespace {

// Time for a token before the first measurement: the middle of the 3 to 6 ms that engines need for a step.
constexpr double kDefaultUnitMs = 5;
// Weight of one observation of a replica in the mean over the replicas.
constexpr double kUnitWeight = 0.02;
// Weight of one request in the calibration.
constexpr double kCalibrationWeight = 0.03;
// Greatest logarithm of a ratio that one observation counts for: a frozen replica or VM would otherwise shift
// all estimates.
constexpr double kMaxLogRatio = 1;
// Bounds of the correction, as a logarithm: a quarter to four times.
constexpr double kMaxLogCorrection = 1.4;
// An optimistic time is the mean less so many mean deviations, but at least kLeastShare of the mean.
constexpr double kOptimisticDeviations = 2;
constexpr double kLeastShare = 0.25;
// First events come late when work was ahead that this VM didn't know of. Speeds above the mean therefore
// count for more.
constexpr double kFasterWeight = 0.05;
constexpr double kSlowerWeight = 0.015;
constexpr double kMinTokensPerMs = 10;
constexpr double kMaxTokensPerMs = 400;
// 1.7 makes the logistic function follow the normal distribution, whose mean deviation is 0.8 of its standard
// deviation.
constexpr double kLogisticScale = 1.7 * 0.8;

double ToMs(base::Duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

base::Duration Scale(base::Duration time, double factor) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, base::Duration::period>(static_cast<double>(time.count()) * factor));
}

}  // namespace

base::Duration ExpectedTime::Optimistic() const {
  return std::max(mean - Scale(spread, kOptimisticDeviations), Scale(mean, kLeastShare));
}

double ExpectedTime::ChanceBeyond(base::Duration limit) const {
  const double deviation = std::max(ToMs(spread), 1.0);
  return 1 / (1 + std::exp(kLogisticScale * (ToMs(limit) - ToMs(mean)) / deviation));
}

ExpectedTime Calibration::Apply(base::Duration raw) const {
  const base::Duration mean = Scale(raw, factor_);
  return {mean, Scale(mean, deviation_)};
}

void Calibration::Observe(base::Duration estimated, base::Duration observed) {
  const double error = std::clamp(std::log(std::max(ToMs(observed), 1.0) / std::max(ToMs(estimated), 1.0)),
                                  -kMaxLogRatio, kMaxLogRatio);
  log_ratio_ = std::clamp(log_ratio_ + kCalibrationWeight * error, -kMaxLogCorrection, kMaxLogCorrection);
  factor_ = std::exp(log_ratio_);
  deviation_ += kCalibrationWeight * (std::abs(error) - deviation_);
}

void Calibration::ObserveCutOff(base::Duration estimated, base::Duration at_least) {
  if (at_least > estimated) Observe(estimated, at_least);
}

double ServicePace::UnitMs() const { return has_unit_ ? std::exp(log_unit_ms_) : kDefaultUnitMs; }

void ServicePace::ObserveUnit(double log_unit_ms) {
  if (!has_unit_) log_unit_ms_ = log_unit_ms;
  has_unit_ = true;
  log_unit_ms_ += kUnitWeight * (log_unit_ms - log_unit_ms_);
}

void ServicePace::ObservePrefill(double tokens_per_ms) {
  const double bounded = std::clamp(tokens_per_ms, kMinTokensPerMs, kMaxTokensPerMs);
  const double weight = bounded > prefill_tokens_per_ms_ ? kFasterWeight : kSlowerWeight;
  prefill_tokens_per_ms_ += weight * (bounded - prefill_tokens_per_ms_);
}

}  // namespace cornelplank::pace

#include "libs/pace/internal/service_pace.h"

#include <algorithm>
#include <cmath>

namespace cornelplank::pace {
namespace {

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
// Mean deviations around the mean within which nearly all times lie.
constexpr double kChanceRange = 2.5;

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
  const double beyond = (ToMs(mean) - ToMs(limit)) / deviation;
  const double place = std::clamp((beyond / kChanceRange + 1) / 2, 0.0, 1.0);
  return place * place * (3 - 2 * place);
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

void ServicePace::ObserveUnit(double log_unit_ms) {
  if (!has_unit_) log_unit_ms_ = log_unit_ms;
  has_unit_ = true;
  log_unit_ms_ += kUnitWeight * (log_unit_ms - log_unit_ms_);
  unit_ms_ = std::exp(log_unit_ms_);
}

void ServicePace::SetUnit(double log_unit_ms) {
  has_unit_ = true;
  log_unit_ms_ = log_unit_ms;
  unit_ms_ = std::exp(log_unit_ms_);
}

void ServicePace::ObservePrefill(double tokens_per_ms) {
  const double bounded = std::clamp(tokens_per_ms, kMinTokensPerMs, kMaxTokensPerMs);
  const double weight = bounded > prefill_tokens_per_ms_ ? kFasterWeight : kSlowerWeight;
  prefill_tokens_per_ms_ += weight * (bounded - prefill_tokens_per_ms_);
}

}  // namespace cornelplank::pace

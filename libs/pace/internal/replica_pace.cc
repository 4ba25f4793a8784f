#include "libs/pace/internal/replica_pace.h"

#include <algorithm>
#include <cmath>

namespace cornelplank::pace {
namespace {

// Least weight of one observation; the first ones count for more.
constexpr double kUnitWeight = 0.08;
// Weight of a window of tokens that took longer than known. Prompts of other requests are processed between
// the tokens, so that the low values show the speed of the machine.
constexpr double kLongerWeight = 0.03;
constexpr uint32_t kMaxObservations = 1000;
constexpr double kMinUnitMs = 0.05;
constexpr double kMaxUnitMs = 60000;
// Greatest logarithm of a ratio that one observation counts for.
constexpr double kMaxLogStep = 1;
// Greatest slowdown that is concluded from the tokens of a stream, and the weight of the conclusion. Waits
// for prompts of other requests look the same, so that the replica's own statement counts for more.
constexpr double kMaxSeenSlowdown = 2.5;
constexpr double kSeenSlowdownWeight = 0.25;
// Observations after which a slowdown is concluded from the tokens of a stream.
constexpr uint32_t kKnownObservations = 10;
// Age, in time constants, after which a stated slowdown counts for nothing.
constexpr double kForgottenAge = 8;
// Steps of the logarithm to base 2 in a report, for one of the natural logarithm.
constexpr double kLog2Steps = 64 / 0.6931471805599453;
// Greatest number of observations in the sum of several reports; it is sent in 8 bits.
constexpr int kMaxReportedTotal = 255;
// Observations of other VMs that count: later ones replace earlier ones.
constexpr double kMaxSharedWeight = 400;
// How long a VM reports a unit that it no longer observes.
constexpr std::chrono::seconds kReportedTime{10};
// Fewer prompt tokens say little about the time for a token.
constexpr uint64_t kMinPrefillTokens = 500;

double ToMs(base::Duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

}  // namespace

void PaceReport::Add(const PaceReport& other, base::Duration elapsed) {
  if (other.observations > 0) {
    const int total = observations + other.observations;
    log2_unit =
        static_cast<int16_t>((log2_unit * observations + other.log2_unit * other.observations) / total);
    observations = static_cast<uint8_t>(std::min(total, kMaxReportedTotal));
  }
  if (other.percent > 0 && (percent == 0 || other.age + elapsed < age)) {
    percent = other.percent;
    age = other.age + elapsed;
  }
}

void ReplicaPace::OnStatedSlowdown(double percent, base::TimePoint now) {
  stated_percent_ = std::clamp(percent, kMinPercent, kMaxPercent);
  stated_at_ = now;
  slowdown_ = stated_percent_ / 100;
  slowdown_at_ = now;
}

PaceReport ReplicaPace::Report(bool with_unit, base::TimePoint now) const {
  PaceReport report;
  if (with_unit && observations_ > 0 && now - own_observed_at_ < kReportedTime) {
    report.log2_unit = static_cast<int16_t>(std::lround(log_unit_ms_ * kLog2Steps));
    report.observations = static_cast<uint8_t>(std::min<uint32_t>(observations_, kReportedObservations));
  }
  if (stated_percent_ > 0 && now - stated_at_ < kNewsTime) {
    report.percent = static_cast<uint16_t>(stated_percent_);
    report.age = now - stated_at_;
  }
  return report;
}

void ReplicaPace::Merge(const PaceReport& report, base::TimePoint now) {
  if (report.observations > 0) {
    const double seen = std::clamp(report.log2_unit / kLog2Steps, std::log(kMinUnitMs), std::log(kMaxUnitMs));
    shared_weight_ = std::min(shared_weight_ + report.observations, kMaxSharedWeight);
    shared_log_unit_ms_ += (seen - shared_log_unit_ms_) * std::min(1.0, report.observations / shared_weight_);
    observed_at_ = now;
  }
  if (report.percent > 0 && now - report.age > slowdown_at_) {
    slowdown_ = std::clamp<double>(report.percent, kMinPercent, kMaxPercent) / 100;
    slowdown_at_ = now - report.age;
  }
}

double ReplicaPace::LogUnitMs() const {
  const double own = std::min<double>(observations_, kReportedObservations);
  return (own * log_unit_ms_ + shared_weight_ * shared_log_unit_ms_) / (own + shared_weight_);
}

void ReplicaPace::Refresh(const ServicePace& service) {
  if (!Known()) return;
  // One observation more that the replica is like the mean: a single one may be of a slow phase.
  const double weight = std::min<double>(observations_, kReportedObservations) + shared_weight_;
  factor_ = std::exp((LogUnitMs() - service.LogUnitMs()) * weight / (weight + 1));
}

void ReplicaPace::ObserveUnit(ServicePace* service, double unit_ms, double up, double down,
                              base::TimePoint now) {
  const double seen = std::log(std::clamp(unit_ms, kMinUnitMs, kMaxUnitMs));
  if (observations_ == 0) log_unit_ms_ = seen;
  const double error = std::clamp(seen - log_unit_ms_, -kMaxLogStep, kMaxLogStep);
  const double early = 1.0 / (observations_ + 1.0);
  log_unit_ms_ += std::max(error > 0 ? up : down, early) * error;
  observations_ = std::min(observations_ + 1, kMaxObservations);
  observed_at_ = now;
  own_observed_at_ = now;
  service->ObserveUnit(LogUnitMs());
  Refresh(*service);
}

void ReplicaPace::OnTokens(ServicePace* service, uint32_t tokens, base::Duration time, base::TimePoint now) {
  if (tokens == 0 || time.count() <= 0) return;
  const double unit_ms = ToMs(time) / tokens;
  const double usual = service->UnitMs() * TimeFactor(now);
  ObserveUnit(service, unit_ms / Slowdown(now), kLongerWeight, kUnitWeight, now);
  if (observations_ <= kKnownObservations) return;
  const double seen = std::clamp(unit_ms / usual, 1.0, kMaxSeenSlowdown);
  const double known = Slowdown(now);
  slowdown_ = known + kSeenSlowdownWeight * (seen - known);
  slowdown_at_ = now;
}

void ReplicaPace::OnFirstEvent(ServicePace* service, uint64_t tokens, base::Duration time,
                               base::TimePoint now) const {
  if (tokens < kMinPrefillTokens || time.count() <= 0) return;
  const double usual_ms = ToMs(time) / (TimeFactor(now) * MeanSlowdown(Slowdown(now), time));
  service->ObservePrefill(static_cast<double>(tokens) / usual_ms);
}

void ReplicaPace::OnAnswer(ServicePace* service, base::Duration time, base::TimePoint now) {
  if (time.count() <= 0) return;
  ObserveUnit(service, ToMs(time) / Slowdown(now), kUnitWeight, kUnitWeight, now);
}

double ReplicaPace::TimeFactor(base::TimePoint now) const {
  if (!Known()) return 1;
  const double age = std::chrono::duration<double>(now - observed_at_) / kSpeedTime;
  return 1 + (factor_ - 1) / (1 + age * age);
}

double ReplicaPace::Slowdown(base::TimePoint now) const {
  if (slowdown_ == 1) return 1;
  const double age = std::chrono::duration<double>(now - slowdown_at_) / kSlowdownTime;
  return age > kForgottenAge ? 1 : 1 + (slowdown_ - 1) * std::exp(-age);
}

double ReplicaPace::MeanSlowdown(double slowdown, base::Duration time) {
  if (slowdown == 1) return 1;
  // Within 2% of (1 - exp(-x)) / x up to x = 3, and cheap: it is computed for each replica at each choice.
  const double x = std::chrono::duration<double>(time) / kSlowdownTime;
  return 1 + (slowdown - 1) / (1 + x / 2 + x * x / (12 + 2 * x));
}

}  // namespace cornelplank::pace

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
// Fewer prompt tokens say little about the time for a token.
constexpr uint64_t kMinPrefillTokens = 500;

double ToMs(base::Duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

}  // namespace

void ReplicaPace::OnStatedSlowdown(double percent, base::TimePoint now) {
  slowdown_ = std::clamp(percent, kMinPercent, kMaxPercent) / 100;
  slowdown_at_ = now;
}

void ReplicaPace::ObserveUnit(ServicePace* service, double unit_ms, double up, double down,
                              base::TimePoint now) {
  const double seen = std::log(std::clamp(unit_ms, kMinUnitMs, kMaxUnitMs));
  if (!service->HasUnit()) service->ObserveUnit(seen);
  // After a pause the known value has partly returned to that of the service.
  log_unit_ms_ = service->LogUnitMs() + std::log(TimeFactor(now));
  const double error = std::clamp(seen - log_unit_ms_, -kMaxLogStep, kMaxLogStep);
  const double early = 1.0 / (observations_ + 2.0);
  log_unit_ms_ += std::max(error > 0 ? up : down, early) * error;
  observations_ = std::min(observations_ + 1, kMaxObservations);
  observed_at_ = now;
  service->ObserveUnit(log_unit_ms_);
  factor_ = std::exp(log_unit_ms_ - service->LogUnitMs());
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
  if (observations_ == 0) return 1;
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

#include "libs/serving/internal/config_freshness.h"

#include <algorithm>

namespace cornelplank::serving {

const char* ConfigStateName(ConfigFreshness::State state) {
  switch (state) {
    case ConfigFreshness::State::kCurrent:
      return "current";
    case ConfigFreshness::State::kUnconfirmed:
      return "unconfirmed";
    case ConfigFreshness::State::kOutdated:
      return "outdated";
    case ConfigFreshness::State::kIsolated:
      return "isolated";
  }
  return "unknown";
}

void ConfigFreshness::OnConfirmed(base::TimePoint confirmed_at) {
  confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, confirmed_at) : confirmed_at;
  failing_since_.reset();
}

void ConfigFreshness::OnReadFailed(base::TimePoint now) {
  if (!failing_since_) failing_since_ = now;
}

void ConfigFreshness::OnApplied(uint64_t version) { applied_ = std::max(applied_, version); }

void ConfigFreshness::OnVersionHeard(uint64_t version, base::TimePoint now) {
  // Later versions don't restart the time: the VM has been behind since the first one.
  if (newest_heard_ <= applied_) newer_heard_at_ = now;
  newest_heard_ = version;
}

ConfigFreshness::State ConfigFreshness::Assess(base::TimePoint now) const {
  if (newest_heard_ > applied_ && now - newer_heard_at_ > kPropagationTime) return State::kOutdated;
  if (!confirmed_at_ && !failing_since_) return State::kCurrent;
  if (confirmed_at_ && now - *confirmed_at_ <= max_age_) return State::kCurrent;
  const bool isolated = failing_since_ && now - *failing_since_ > kIsolationTime;
  return isolated ? State::kIsolated : State::kUnconfirmed;
}

bool ConfigFreshness::MayDeny(base::TimePoint now) const {
  return Assess(now) == State::kCurrent && newest_heard_ <= applied_;
}

bool ConfigFreshness::MayPlaceBoundRequests(base::TimePoint now) const {
  const State state = Assess(now);
  return state == State::kCurrent || state == State::kIsolated;
}

base::Duration ConfigFreshness::TimeBehind(base::TimePoint now) const {
  return newest_heard_ > applied_ ? now - newer_heard_at_ : base::Duration::zero();
}

std::optional<base::Duration> ConfigFreshness::Age(base::TimePoint now) const {
  if (!confirmed_at_) return std::nullopt;
  return now - *confirmed_at_;
}

}  // namespace cornelplank::serving

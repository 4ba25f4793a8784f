#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "libs/upstreams/upstreams.h"

namespace cornelplank::upstreams {

/// The expected state of one upstream, by a simple implementation of the rules that shares no code with
/// `UpstreamTable`.
struct UpstreamOracle {
  bool config_leaving = false;
  bool report_leaving = false;
  bool response_leaving = false;
  bool response_unknown = false;  // the leaving response came before any report
  base::TimePoint response_at{};
  uint64_t incarnation = 0;
  base::TimePoint measured{};
  bool has_report = false;
  uint32_t running = 0;

  int failures = 0;  // consecutive
  bool ejected = false;
  int64_t back_off_s = 0;
  bool readmitted = false;
  base::TimePoint readmitted_at{};
  base::TimePoint retry_at{};
  base::TimePoint suspect_until{};
  double recent_successes = 0;  // recent results, halved every 10 s
  double recent_failures = 0;

  bool Leaving() const { return config_leaving || report_leaving || response_leaving; }

  void Report(uint64_t of, EngineState state, uint32_t now_running, base::TimePoint at) {
    if (of < incarnation) return;
    if (of > incarnation && incarnation != 0) *this = Restarted();
    const bool younger = of > incarnation || !has_report || at > measured;
    incarnation = of;
    report_leaving = report_leaving || state == EngineState::kLeaving;
    if (!younger) return;
    if (state == EngineState::kReady && response_unknown && at > response_at + std::chrono::seconds{1}) {
      response_leaving = response_unknown = false;
    }
    has_report = true;
    measured = at;
    running = now_running;
  }

  void LeavingResponse(base::TimePoint now) {
    response_leaving = true;
    response_unknown = incarnation == 0;
    response_at = now;
  }

  void Success(bool probe, base::TimePoint now) {
    if (ejected && !probe) return;
    if (ejected || failures >= 5) {
      readmitted = true;
      readmitted_at = now;
    }
    if (ejected || failures >= 5) recent_successes = recent_failures = 0;
    recent_successes += ejected ? 0 : 1;
    ejected = false;
    failures = 0;
    suspect_until = {};
  }

  /// `may_eject` is true when the zone may eject one more replica.
  void Failure(bool probe, bool may_eject, base::TimePoint now) {
    if (ejected && !probe) return;
    ++failures;
    ++recent_failures;
    if (ejected) {
      retry_at = now + NextBackOff(now);
    } else if (failures >= 5) {
      EjectOrSuspect(may_eject, now);
    }
  }

  void EjectOrSuspect(bool may_eject, base::TimePoint now) {
    if (now < suspect_until) return;
    const base::TimePoint until = now + NextBackOff(now);
    (may_eject ? retry_at : suspect_until) = until;
    ejected = may_eject;
  }

  base::Duration NextBackOff(base::TimePoint now) {
    const bool fresh = readmitted && now - readmitted_at > std::chrono::seconds{30};
    readmitted = false;
    back_off_s = back_off_s == 0 || fresh ? 1 : std::min<int64_t>(back_off_s * 2, 30);
    return std::chrono::seconds{back_off_s};
  }

  UpstreamOracle Restarted() const {
    UpstreamOracle next;
    next.config_leaving = config_leaving;
    return next;
  }
};

/// True when a zone of `size` replicas, `ejected` of them ejected, may eject one more.
inline bool MayEjectOneMore(size_t size, size_t ejected) { return 10 * (ejected + 1) <= 3 * size; }

}  // namespace cornelplank::upstreams

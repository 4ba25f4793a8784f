#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "libs/upstreams/upstreams.h"

namespace cornelplank::upstreams {

/// What a node must know of one upstream, by the plainest reading of the rules. It shares no code with
/// `UpstreamTable`.
struct UpstreamOracle {
  bool config_leaving = false;
  bool report_leaving = false;
  bool response_leaving = false;
  bool response_unknown = false;  // the response came before any report
  base::TimePoint response_at{};
  uint64_t incarnation = 0;
  base::TimePoint measured{};
  bool has_report = false;
  uint32_t running = 0;

  int failures = 0;  // in a row
  bool ejected = false;
  int64_t back_off_s = 0;
  bool returned = false;
  base::TimePoint returned_at{};
  base::TimePoint retry_at{};
  base::TimePoint suspect_until{};
  double won = 0;  // results that fade
  double lost = 0;

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
      returned = true;
      returned_at = now;
    }
    if (ejected || failures >= 5) won = lost = 0;
    won += ejected ? 0 : 1;
    ejected = false;
    failures = 0;
    suspect_until = {};
  }

  /// `room` tells whether the zone may eject one more.
  void Failure(bool probe, bool room, base::TimePoint now) {
    if (ejected && !probe) return;
    ++failures;
    ++lost;
    if (ejected) {
      retry_at = now + NextPause(now);
    } else if (failures >= 5) {
      Distrust(room, now);
    }
  }

  void Distrust(bool room, base::TimePoint now) {
    if (now < suspect_until) return;
    const base::TimePoint until = now + NextPause(now);
    (room ? retry_at : suspect_until) = until;
    ejected = room;
  }

  base::Duration NextPause(base::TimePoint now) {
    const bool fresh = returned && now - returned_at > std::chrono::seconds{30};
    returned = false;
    back_off_s = back_off_s == 0 || fresh ? 1 : std::min<int64_t>(back_off_s * 2, 30);
    return std::chrono::seconds{back_off_s};
  }

  UpstreamOracle Restarted() const {
    UpstreamOracle next;
    next.config_leaving = config_leaving;
    return next;
  }
};

/// Whether a zone of `size` replicas with `ejected` ejected ones may eject one more.
inline bool HasRoom(size_t size, size_t ejected) { return 10 * (ejected + 1) <= 3 * size; }

}  // namespace cornelplank::upstreams

#pragma once

#include <algorithm>
#include <chrono>

#include "libs/base/base.h"

namespace cornelplank::membership {

/// Detects a peer connection that has gone silent while new connections may still work.
///
/// With a call outstanding, some byte must arrive every `kProgressDeadline`; otherwise the connection is to
/// be replaced. Only when the replacement fails too is the peer itself to be suspected. Not thread-safe.
class ConnectionHealth {
 public:
  static constexpr base::Duration kProgressDeadline = std::chrono::seconds{2};
  /// Silence after which a ping tells a slow call from a silent connection.
  static constexpr base::Duration kPingAfter = std::chrono::seconds{1};

  enum class Advice {
    kNone,
    kPing,         // send a ping call; its answer counts as progress
    kReplace,      // drop the connection and open a new one
    kSuspectPeer,  // the replacement failed too; report a missed call and open a new one
  };

  explicit ConnectionHealth(base::TimePoint now) : last_progress_(now), last_check_(now) {}

  void OnCallStarted(base::TimePoint now) {
    if (outstanding_++ == 0) last_progress_ = std::max(last_progress_, now);
  }
  void OnCallEnded() { outstanding_ = std::max(outstanding_ - 1, 0); }
  /// Bytes arrived on the current connection.
  void OnProgress(base::TimePoint now) {
    last_progress_ = std::max(last_progress_, now);
    proven_ = true;
    ping_sent_ = false;
  }
  /// The current connection could not be opened or was closed by the peer.
  Advice OnConnectionFailed(base::TimePoint now) { return Drop(now); }

  /// Call it every 250 ms or so. Calls on a dropped connection count as ended.
  Advice Check(base::TimePoint now) {
    // A late check means that this process was paused; bytes may wait unread, so it allows one more deadline.
    if (now - last_check_ > kProgressDeadline) last_progress_ = now;
    last_check_ = now;
    if (outstanding_ == 0) return Advice::kNone;
    const base::Duration silence = now - last_progress_;
    if (silence >= kProgressDeadline) return Drop(now);
    if (silence < kPingAfter || ping_sent_) return Advice::kNone;
    ping_sent_ = true;
    return Advice::kPing;
  }

 private:
  Advice Drop(base::TimePoint now) {
    outstanding_ = 0;
    ping_sent_ = false;
    last_progress_ = std::max(last_progress_, now);
    const Advice advice = proven_ ? Advice::kReplace : Advice::kSuspectPeer;
    proven_ = false;
    return advice;
  }

  base::TimePoint last_progress_;
  base::TimePoint last_check_;
  int outstanding_ = 0;
  bool ping_sent_ = false;
  bool proven_ = true;  // bytes arrived on this connection, or none was replaced yet
};

}  // namespace cornelplank::membership

#pragma once

#include <algorithm>
#include <chrono>

#include "libs/base/base.h"

namespace cornelplank::membership {

/// Detects a connection to a peer that has gone silent, although a new connection to the peer may still work.
///
/// While a call is outstanding, at least one byte must arrive within each `kProgressDeadline`; otherwise the
/// caller should replace the connection. Only when the replacement delivers no byte either should the caller
/// suspect the peer itself. Not thread-safe.
class ConnectionHealth {
 public:
  static constexpr base::Duration kProgressDeadline = std::chrono::seconds{2};
  /// Silence after which a ping is sent, to distinguish a slow call from a silent connection.
  static constexpr base::Duration kPingAfter = std::chrono::seconds{1};

  /// What the caller should do with the connection.
  enum class Advice {
    kNone,
    kPing,         // send a ping call; its answer counts as progress
    kReplace,      // drop the connection and open a new one
    kSuspectPeer,  // the replacement failed too: report a missed call of the peer and open a new connection
  };

  explicit ConnectionHealth(base::TimePoint now) : last_progress_(now), last_check_(now) {}

  void OnCallStarted(base::TimePoint now) {
    if (outstanding_++ == 0) last_progress_ = std::max(last_progress_, now);
  }
  void OnCallEnded() { outstanding_ = std::max(outstanding_ - 1, 0); }
  /// Bytes arrived on the current connection.
  void OnProgress(base::TimePoint now) {
    last_progress_ = std::max(last_progress_, now);
    has_delivered_ = true;
    ping_sent_ = false;
  }
  /// The current connection could not be opened or was closed by the peer.
  Advice OnConnectionFailed(base::TimePoint now) { return Drop(now); }

  /// Checks the deadlines; to be called about every 250 ms. After kReplace or kSuspectPeer the calls on the
  /// dropped connection count as ended.
  Advice Check(base::TimePoint now) {
    // A late check means that this process was paused. Bytes may wait unread, so the deadline starts anew.
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
    const Advice advice = has_delivered_ ? Advice::kReplace : Advice::kSuspectPeer;
    has_delivered_ = false;
    return advice;
  }

  base::TimePoint last_progress_;
  base::TimePoint last_check_;
  int outstanding_ = 0;
  bool ping_sent_ = false;
  bool has_delivered_ = true;  // a byte arrived on this connection, or it is the first one
};

}  // namespace cornelplank::membership

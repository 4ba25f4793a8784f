#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::retry {

/// Identifies one attempt of one request. It is sent with the attempt and returned with every part of the
/// response.
struct AttemptId {
  uint64_t request = 0;
  uint32_t number = 0;  // 1 is the first attempt
  bool operator==(const AttemptId&) const = default;
};

/// Why an attempt is made: kRetry repeats a failed attempt, kHedge runs beside a slow one, and kResume
/// continues a stream that broke off.
enum class AttemptKind { kFirst, kRetry, kHedge, kResume };

/// What to do with a part, an end or a failure that arrived for an attempt. All but kAccept are dropped.
enum class Disposition {
  kAccept,
  kLate,            // the attempt has failed, or another attempt won, or the request was closed
  kDuplicate,       // the attempt's response has already ended
  kUnknownAttempt,  // the id belongs to another request or to an attempt that was never started
};

/// An attempt as it was started.
struct AttemptInfo {
  AttemptId id;
  AttemptKind kind = AttemptKind::kFirst;
  uint64_t replica = 0;  // the caller's key of the replica
  base::TimePoint started;
};

/// Tracks the attempts of one request. The first attempt that brings a part of a response wins; the others
/// lose and are returned once for cancelling. After the winner has failed, a later attempt can win. Not
/// thread-safe.
class AttemptTracker {
 public:
  /// With `idempotent` false, Start succeeds only once.
  AttemptTracker(uint64_t request, bool idempotent) : request_(request), idempotent_(idempotent) {}

  /// Starts an attempt and returns its id. Returns nothing when the request has ended, when an attempt has
  /// already won, or for a second attempt of a call that must not be repeated.
  std::optional<AttemptId> Start(uint64_t replica, AttemptKind kind, base::TimePoint now);

  /// Reports a part of a response. kAccept makes the attempt the winner.
  Disposition OnPart(AttemptId id);
  /// Reports the regular end of a response. kAccept ends the request.
  Disposition OnEnd(AttemptId id);
  /// Reports that an attempt failed. kAccept when it was still open; the request goes on with its other
  /// attempts.
  Disposition OnFailure(AttemptId id);
  /// Ends the request because the client left or the deadline passed. All open attempts lose.
  void Close();

  /// Returns the attempts that have lost and are to be cancelled at their upstream, each once.
  std::vector<AttemptInfo> TakeAttemptsToCancel();
  /// The number of attempts that have neither ended, failed nor lost.
  uint32_t open() const;
  bool ended() const { return ended_; }
  std::optional<AttemptId> winner() const;
  /// Returns null when this request has no such attempt.
  const AttemptInfo* Find(AttemptId id) const;
  /// The number of attempts that were started on the replica.
  uint32_t AttemptsOn(uint64_t replica) const;
  /// The number of attempts that were started.
  uint32_t started() const { return static_cast<uint32_t>(records_.size()); }

 private:
  enum class State { kOpen, kEnded, kFailed, kLost };
  struct Record {
    AttemptInfo attempt;
    State state = State::kOpen;
    bool handed_out = false;
  };

  Record* FindRecord(AttemptId id);
  Disposition DispositionFor(const Record* record) const;
  void MarkOthersLost(uint32_t winner);

  uint64_t request_;
  bool idempotent_;
  bool ended_ = false;
  uint32_t winner_ = 0;  // attempt number; 0 is none
  std::vector<Record> records_;
};

}  // namespace cornelplank::retry

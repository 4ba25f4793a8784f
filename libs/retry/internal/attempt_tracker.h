#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::retry {

/// Names one attempt. It travels with the attempt and comes back with every part of the response.
struct AttemptId {
  uint64_t request = 0;
  uint32_t number = 0;  // 1 is the first attempt
  bool operator==(const AttemptId&) const = default;
};

enum class AttemptKind { kFirst, kRetry, kHedge, kResume };

/// What to do with something that arrived for an attempt.
enum class Disposition {
  kAccept,
  kLate,            // the attempt has lost, failed or been cancelled
  kDuplicate,       // the attempt's response has already ended
  kUnknownAttempt,  // it belongs to another request or to an attempt that was never started
};

struct AttemptInfo {
  AttemptId id;
  AttemptKind kind = AttemptKind::kFirst;
  uint64_t replica = 0;
  base::TimePoint started;
};

/// The attempts of one request. The first attempt to bring a part of a response wins; the others lose and are
/// handed out once for cancelling. After the winner has failed a further attempt can win. Not thread-safe.
class AttemptTracker {
 public:
  /// With `idempotent` false only one attempt can ever be started.
  AttemptTracker(uint64_t request, bool idempotent) : request_(request), idempotent_(idempotent) {}

  /// Nothing when the request has ended, or a second attempt of a call that must not be repeated.
  std::optional<AttemptId> Start(uint64_t replica, AttemptKind kind, base::TimePoint now);

  /// A part of a response arrived. kAccept makes the attempt the winner.
  Disposition OnPart(AttemptId id);
  /// The response has ended properly. kAccept ends the request.
  Disposition OnEnd(AttemptId id);
  /// The attempt failed. kAccept when it was still open; the request goes on with the others, if any.
  Disposition OnFailure(AttemptId id);
  /// The client left or the deadline passed: all open attempts are to be cancelled.
  void Close();

  /// Attempts to be cancelled at their upstream; each is returned once.
  std::vector<AttemptInfo> TakeAttemptsToCancel();
  /// Attempts that are open: neither ended, failed nor lost.
  uint32_t open() const;
  bool ended() const { return ended_; }
  std::optional<AttemptId> winner() const;
  const AttemptInfo* Find(AttemptId id) const;
  /// Attempts that the replica has had.
  uint32_t AttemptsOn(uint64_t replica) const;
  uint32_t started() const { return static_cast<uint32_t>(records_.size()); }

 private:
  enum class State { kOpen, kEnded, kFailed, kLost };
  struct Record {
    AttemptInfo attempt;
    State state = State::kOpen;
    bool cancel_taken = false;
  };

  Record* Get(AttemptId id);
  Disposition Judge(const Record* record) const;
  void LoseOthers(uint32_t winner);

  uint64_t request_;
  bool idempotent_;
  bool ended_ = false;
  uint32_t winner_ = 0;  // attempt number; 0 is none
  std::vector<Record> records_;
};

}  // namespace cornelplank::retry

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::admission {

/// Why a request was refused.
enum class AdmissionCode {
  kNone,
  kUnknownPool,       // the pool does not exist or has no slots on this node
  kUnknownClass,      // the configuration has no such partner or class
  kNotLent,           // the pool's owner does not lend to this partner
  kLendingSuspended,  // lending to other partners is suspended on this node
  kQueueFull,         // the class already has its maximum of waiting items
  kWaitPastDeadline,  // the estimated wait passes the deadline
  kDeadline,          // the deadline has passed, on arrival or in the queue
  kDuplicateId,       // an item with this id is waiting or running
};
/// The code's stable name, which clients and operators read, for example "queue-full".
std::string_view AdmissionCodeName(AdmissionCode code);

/// A request for a slot of a pool. `id` is unique among waiting and running requests.
struct WorkItem {
  uint64_t id = 0;
  std::string pool;
  std::string partner;
  std::string priority_class;
  std::string client;
  base::TimePoint deadline;
  double cost = 1;           // relative size for the fairness between clients, clamped to [0.25, 4]
  bool cancellable = false;  // idempotent, so it may be cancelled and resumed elsewhere
};

/// A refused item was never granted a slot, so its outcome is always `not-run`.
struct Refusal {
  uint64_t id = 0;
  AdmissionCode code = AdmissionCode::kNone;
  base::Duration retry_after{0};  // 0: a retry on this node would be refused again
};

/// kQueued: the item waits; `NextGrant` or `TakeRefusals` returns it later.
enum class AdmissionDecisionKind { kGranted, kQueued, kRefused };

/// What became of a submitted item.
struct AdmissionDecision {
  AdmissionDecisionKind kind = AdmissionDecisionKind::kRefused;
  Refusal refusal;  // only for kRefused
};

/// A slot for an item that had to wait. The item counts as running until `Finish`.
struct Grant {
  uint64_t id = 0;
  bool borrowed = false;     // the item's class runs more than its guaranteed slots
  base::Duration waited{0};  // time in the queue
};

/// Decides which requests of one node run now. After each call the caller takes everything from `NextGrant`
/// and `TakeRefusals`; a timer calls `Tick` at least every 100 ms. Not thread-safe: guard it with one mutex.
class Controller {
 public:
  virtual ~Controller() = default;

  /// Grants a slot at once, queues the item or refuses it.
  virtual AdmissionDecision Submit(const WorkItem& item, base::TimePoint now) = 0;
  /// Returns the next item that was queued and has now been granted a slot, or nothing.
  virtual std::optional<Grant> NextGrant(base::TimePoint now) = 0;
  /// Returns the items that were queued and have since been refused, each once.
  virtual std::vector<Refusal> TakeRefusals(base::TimePoint now) = 0;
  /// Returns the running items whose slots are reclaimed, each once. The caller cancels them at the upstream
  /// and then calls `Finish`.
  virtual std::vector<uint64_t> TakeCancellations(base::TimePoint now) = 0;
  /// Reports that a running item has ended, or that a client has withdrawn a waiting one. Unknown ids are
  /// ignored.
  virtual void Finish(uint64_t id, base::TimePoint now) = 0;
  /// Refuses waiting items whose deadline has passed and starts those that can start by now.
  virtual void Tick(base::TimePoint now) = 0;
};

}  // namespace cornelplank::admission

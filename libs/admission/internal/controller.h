#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::admission {

enum class AdmissionCode {
  kNone,
  kUnknownPool,
  kUnknownClass,      // the configuration has no such partner or class
  kNotLent,           // the pool's owner does not lend to this partner
  kLendingSuspended,  // the node is cut off and lends nothing to another partner
  kQueueFull,
  kWaitPastDeadline,  // the estimated wait passes the deadline
  kDeadline,          // the deadline passed while it waited
  kDuplicateId,       // an item with this id is waiting or running
};
std::string_view AdmissionCodeName(AdmissionCode code);

/// One request that asks for a slot of a pool. `id` is unique among waiting and running requests.
struct WorkItem {
  uint64_t id = 0;
  std::string pool;
  std::string partner;
  std::string priority_class;
  std::string client;
  base::TimePoint deadline;
  double cost = 1;           // relative size for the fairness between clients, clamped to [0.1, 10]
  bool cancellable = false;  // idempotent: may be cancelled and resumed elsewhere
};

/// A refusal is always `not-run`: the item has never been granted.
struct Refusal {
  uint64_t id = 0;
  AdmissionCode code = AdmissionCode::kNone;
  base::Duration retry_after{0};  // 0: the same request will be refused again here
};

enum class AdmissionDecisionKind { kGranted, kQueued, kRefused };

struct AdmissionDecision {
  AdmissionDecisionKind kind = AdmissionDecisionKind::kRefused;
  Refusal refusal;  // only for kRefused
};

struct Grant {
  uint64_t id = 0;
  bool borrowed = false;
  base::Duration waited{0};
};

/// Decides which requests of one node run now. After each call the owner drains `NextGrant` and
/// `TakeRefusals`; a timer calls `Tick` at least every 100 ms. Not thread-safe: guard it with one mutex.
class Controller {
 public:
  virtual ~Controller() = default;

  virtual AdmissionDecision Submit(const WorkItem& item, base::TimePoint now) = 0;
  /// The next waiting item that has been granted a slot, if any.
  virtual std::optional<Grant> NextGrant(base::TimePoint now) = 0;
  /// Items that waited and are refused; each is returned once.
  virtual std::vector<Refusal> TakeRefusals(base::TimePoint now) = 0;
  /// Running items whose slot is to be given back: cancel them at the upstream and call Finish. Each is
  /// returned once.
  virtual std::vector<uint64_t> TakeCancellations(base::TimePoint now) = 0;
  /// A running item has ended, or a waiting one was withdrawn by its client. Unknown ids are ignored.
  virtual void Finish(uint64_t id, base::TimePoint now) = 0;
  virtual void Tick(base::TimePoint now) = 0;
};

}  // namespace cornelplank::admission

#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "libs/admission/admission.h"
#include "libs/base/base.h"

namespace cornelplank::gateway {

class AdmissionGate;

/// A granted slot of an admission pool. The destructor returns the slot to the pool.
class AdmissionSlot {
 public:
  AdmissionSlot(AdmissionGate* gate, uint64_t id, bool borrowed,
                std::shared_ptr<const std::atomic<bool>> reclaimed)
      : gate_(gate), id_(id), borrowed_(borrowed), reclaimed_(std::move(reclaimed)) {}
  ~AdmissionSlot();
  AdmissionSlot(const AdmissionSlot&) = delete;
  AdmissionSlot& operator=(const AdmissionSlot&) = delete;

  /// Whether the slot is capacity that another partner lends.
  bool borrowed() const { return borrowed_; }
  /// True once the owner of a borrowed slot needs it back. The holder must then cancel its request.
  bool reclaimed() const { return reclaimed_->load(std::memory_order_acquire); }

 private:
  AdmissionGate* gate_;
  const uint64_t id_;
  const bool borrowed_;
  std::shared_ptr<const std::atomic<bool>> reclaimed_;
};

/// Blocking front end of the admission controller: request threads wait here until the controller grants them
/// a slot. Thread-safe.
class AdmissionGate {
 public:
  explicit AdmissionGate(const base::Clock& clock);

  struct Result {
    std::unique_ptr<AdmissionSlot> slot;  // null when refused
    bool waited = false;                  // the item was queued before it was granted or refused
    admission::Refusal refusal;           // set when `slot` is null
  };
  /// Blocks until the item is granted a slot or refused, at the latest until its deadline. Assigns the item's
  /// id; the caller's value is ignored.
  Result Acquire(admission::WorkItem item);

  void SetConfig(const admission::AdmissionConfig& config);
  /// Sets this VM's share of the zone's capacity, from 0 to 1.
  void SetFraction(double fraction);
  void SetLendingSuspended(bool lending_suspended);
  /// Lets the controller refuse expired items and reclaim borrowed slots. Call it at least every 100 ms.
  void Tick();

  std::vector<admission::AdmissionController::FlowStatus> Status() const;
  std::map<admission::DisplacementCounters::Key, admission::DisplacementCounters::Counts> Displacements()
      const;
  /// Returns the number of requests offered since the last call, by partner and class, and resets it.
  std::map<admission::FlowKey, uint64_t> TakeOfferedCounts();

 private:
  friend class AdmissionSlot;
  struct Waiter {
    bool granted = false;
    bool refused = false;
    bool borrowed = false;
    admission::Refusal refusal;
    std::shared_ptr<std::atomic<bool>> reclaimed = std::make_shared<std::atomic<bool>>(false);
  };

  void Release(uint64_t id);
  /// Passes the controller's grants, refusals and cancellations on to the waiters. The caller holds the
  /// mutex.
  void ApplyDecisions();

  const base::Clock& clock_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  admission::AdmissionController controller_;
  uint64_t next_id_ = 1;
  std::map<uint64_t, Waiter> waiters_;
  std::map<admission::FlowKey, uint64_t> offered_;
};

}  // namespace cornelplank::gateway

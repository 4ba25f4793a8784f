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

/// A slot of a pool while it lives.
class AdmissionSlot {
 public:
  AdmissionSlot(AdmissionGate* gate, uint64_t id, bool borrowed,
                std::shared_ptr<const std::atomic<bool>> reclaimed)
      : gate_(gate), id_(id), borrowed_(borrowed), reclaimed_(std::move(reclaimed)) {}
  ~AdmissionSlot();
  AdmissionSlot(const AdmissionSlot&) = delete;
  AdmissionSlot& operator=(const AdmissionSlot&) = delete;

  bool borrowed() const { return borrowed_; }
  /// True once the owner wants its capacity back; the request is then to be cancelled.
  bool reclaimed() const { return reclaimed_->load(std::memory_order_acquire); }

 private:
  AdmissionGate* gate_;
  const uint64_t id_;
  const bool borrowed_;
  std::shared_ptr<const std::atomic<bool>> reclaimed_;
};

/// Lets request threads wait for the admission controller. Thread-safe.
class AdmissionGate {
 public:
  explicit AdmissionGate(const base::Clock& clock);

  struct Result {
    std::unique_ptr<AdmissionSlot> slot;  // null when refused
    bool waited = false;
    admission::Refusal refusal;
  };
  /// Blocks until the item has a slot or is refused, at the latest at its deadline. The item's id is set
  /// here.
  Result Acquire(admission::WorkItem item);

  void SetConfig(const admission::AdmissionConfig& terms);
  void SetFraction(double fraction);
  void SetLendingSuspended(bool home_only);
  /// Call at least every 100 ms.
  void Tick();

  std::vector<admission::AdmissionController::FlowStatus> Status() const;
  std::map<admission::DisplacementCounters::Key, admission::DisplacementCounters::Counts> Displacements()
      const;
  /// Requests offered since the last call, by partner and class.
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

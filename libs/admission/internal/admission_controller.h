#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libs/admission/internal/admission_config.h"
#include "libs/admission/internal/controller.h"
#include "libs/admission/internal/displacement_counters.h"
#include "libs/admission/internal/pool.h"

namespace cornelplank::admission {

struct AdmissionLimits {
  // How long a flow waits for a guaranteed slot before running work of flows above their guarantees is
  // cancelled. A guaranteed slot must be free within 2 s, of which the timer (100 ms) and the cancellation
  // take the rest.
  base::Duration reclaim_after = std::chrono::milliseconds(1800);
  // Bounds of a refusal's `retry_after`, which is otherwise the estimated wait.
  base::Duration min_retry_after = std::chrono::seconds(1);
  base::Duration max_retry_after = std::chrono::seconds(30);
};

/// Shares one node's slots of its zone's pools between partners, their classes and the clients of a class.
/// See docs/admission.md for the rules.
class AdmissionController final : public Controller {
 public:
  AdmissionController(const AdmissionConfig& config, double node_fraction,
                      const AdmissionLimits& limits = {});

  /// Applies a newer configuration. Waiting items of removed classes are refused; running ones go on.
  void SetConfig(const AdmissionConfig& config, base::TimePoint now);
  /// Sets the node's fraction of the zone's capacity, in (0, 1]; see NodeShare.
  void SetFraction(double node_fraction, base::TimePoint now);
  /// While suspended, partners use only their own pools; the owner's classes still share them.
  void SetLendingSuspended(bool lending_suspended, base::TimePoint now);

  AdmissionDecision Submit(const WorkItem& item, base::TimePoint now) override;
  std::optional<Grant> NextGrant(base::TimePoint now) override;
  std::vector<Refusal> TakeRefusals(base::TimePoint now) override;
  std::vector<uint64_t> TakeCancellations(base::TimePoint now) override;
  void Finish(uint64_t id, base::TimePoint now) override;
  void Tick(base::TimePoint now) override;

  const DisplacementCounters& displacements() const { return displacements_; }

  /// The present state of one flow in one pool.
  struct FlowStatus {
    std::string pool;
    FlowKey key;
    double guaranteed = 0;  // slots
    size_t running = 0;     // requests
    size_t waiting = 0;     // requests
  };
  /// Returns the state of every flow of every pool.
  std::vector<FlowStatus> Status() const;
  /// The node's slots of a pool; 0 for an unknown pool.
  size_t Slots(const std::string& pool) const;

 private:
  struct Record {
    WorkItem item;
    Pool* pool = nullptr;
    Flow* flow = nullptr;
    FlowKey cause;  // the flow that held the item back when it was submitted
    base::TimePoint submitted;
    base::TimePoint started;
    uint64_t start_order = 0;
    bool running = false;
    bool cancelling = false;
  };

  void ApplyConfig(base::TimePoint now);
  base::TimePoint Advance(base::TimePoint now);
  void Schedule(Pool* pool, base::TimePoint now);
  Refusal Refuse(uint64_t id, AdmissionCode code, base::TimePoint now);
  void RefuseWaiting(const Flow& flow, AdmissionCode code, base::TimePoint now);
  bool RemoveGrant(uint64_t id);

  AdmissionConfig config_;
  double node_fraction_;
  bool lending_suspended_ = false;
  AdmissionLimits limits_;
  base::TimePoint latest_{};  // the latest time of any call
  uint64_t next_start_order_ = 1;
  std::map<std::string, Pool> pools_;
  std::unordered_map<uint64_t, Record> records_;
  std::set<std::pair<base::TimePoint, uint64_t>> deadlines_;  // of waiting items
  std::deque<Grant> granted_;
  std::vector<Refusal> refusals_;
  DisplacementCounters displacements_;
};

}  // namespace cornelplank::admission

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
  // The time that a flow waits for a guaranteed slot before borrowed streams are cancelled. Below the bound
  // of 2 s by what the timer (100 ms) and the cancellation take.
  base::Duration reclaim_after = std::chrono::milliseconds(1800);
  base::Duration min_retry_after = std::chrono::seconds(1);
  base::Duration max_retry_after = std::chrono::seconds(30);
};

/// Shares out one node's part of its zone's pools. See docs/admission.md.
class AdmissionController final : public Controller {
 public:
  AdmissionController(const AdmissionConfig& terms, double fraction, const AdmissionLimits& limits = {});

  /// A newer configuration. Waiting items of removed classes are refused; running ones go on.
  void SetConfig(const AdmissionConfig& terms, base::TimePoint now);
  /// The node's fraction of the zone's capacity, see NodeShare.
  void SetFraction(double fraction, base::TimePoint now);
  /// While true nothing is lent to another partner; the owner's classes still share the owner's pools.
  void SetLendingSuspended(bool home_only, base::TimePoint now);

  AdmissionDecision Submit(const WorkItem& item, base::TimePoint now) override;
  std::optional<Grant> NextGrant(base::TimePoint now) override;
  std::vector<Refusal> TakeRefusals(base::TimePoint now) override;
  std::vector<uint64_t> TakeCancellations(base::TimePoint now) override;
  void Finish(uint64_t id, base::TimePoint now) override;
  void Tick(base::TimePoint now) override;

  const DisplacementCounters& displacements() const { return ledger_; }

  struct FlowStatus {
    std::string pool;
    FlowKey key;
    double guaranteed = 0;  // slots
    size_t running = 0;
    size_t waiting = 0;
  };
  std::vector<FlowStatus> Status() const;
  /// Slots of the node in a pool; 0 when there is none.
  size_t Slots(const std::string& pool) const;

 private:
  struct Record {
    WorkItem item;
    Pool* pool = nullptr;
    Flow* flow = nullptr;
    FlowKey cause;  // what held it back when it came
    base::TimePoint offered;
    base::TimePoint started;
    uint64_t order = 0;
    bool running = false;
    bool cancelling = false;
  };

  void Configure(base::TimePoint now);
  base::TimePoint Advance(base::TimePoint now);
  void Schedule(Pool* pool, base::TimePoint now);
  Refusal Refuse(uint64_t id, AdmissionCode code, base::TimePoint now);
  void RefuseWaiting(const Flow& flow, AdmissionCode code, base::TimePoint now);
  bool TakeGrant(uint64_t id);

  AdmissionConfig terms_;
  double fraction_;
  bool home_only_ = false;
  AdmissionLimits limits_;
  base::TimePoint latest_{};
  uint64_t next_order_ = 1;
  std::map<std::string, Pool> pools_;
  std::unordered_map<uint64_t, Record> records_;
  std::set<std::pair<base::TimePoint, uint64_t>> deadlines_;  // of waiting items
  std::deque<Grant> granted_;
  std::vector<Refusal> refusals_;
  DisplacementCounters ledger_;
};

}  // namespace cornelplank::admission

#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "libs/admission/internal/controller.h"

namespace cornelplank::admission {

/// Serves first come, first served under one limit for all requests, without guaranteed shares, fairness
/// between clients or reclaiming. The baseline that AdmissionController is compared with; not used in
/// production.
class NaiveController final : public Controller {
 public:
  NaiveController(size_t slots, size_t max_queue) : slots_(slots), max_queue_(max_queue) {}

  AdmissionDecision Submit(const WorkItem& item, base::TimePoint now) override;
  std::optional<Grant> NextGrant(base::TimePoint now) override;
  std::vector<Refusal> TakeRefusals(base::TimePoint now) override;
  std::vector<uint64_t> TakeCancellations(base::TimePoint) override { return {}; }
  void Finish(uint64_t id, base::TimePoint now) override;
  void Tick(base::TimePoint) override {}

 private:
  struct Waiting {
    uint64_t id = 0;
    base::TimePoint submitted;
    base::TimePoint deadline;
  };

  size_t slots_;
  size_t max_queue_;
  std::deque<Waiting> queue_;
  std::unordered_map<uint64_t, bool> running_;
  std::vector<Refusal> refusals_;
};

}  // namespace cornelplank::admission

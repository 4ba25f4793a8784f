#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libs/admission/internal/admission_config.h"
#include "libs/admission/internal/client_queues.h"
#include "libs/admission/internal/displacement_counters.h"
#include "libs/admission/internal/occupancy.h"
#include "libs/base/base.h"

namespace cornelplank::admission {

/// The requests of one class of one partner in one pool.
struct Flow {
  FlowKey key;
  ClassConfig config;
  bool configured = false;   // the class is in the present configuration
  bool owner = false;        // the partner owns the pool
  double guaranteed = 0;     // slots
  double partner_limit = 0;  // slots that the flow's partner may use in all
  ClientQueues queues;
  Occupancy
      demand;  // running plus waiting items, at most the pool's slots; observed for the owner's flows only
  // Since when the flow has waited for a guaranteed slot while all slots are in use.
  std::optional<base::TimePoint> starved_since;
  std::map<uint64_t, uint64_t> cancellable;  // start order -> id of running items
  size_t cancelling = 0;                     // running items that are being cancelled

  size_t running() const { return queues.running(); }
  bool below_guarantee() const { return static_cast<double>(running()) < guaranteed; }
};

/// The slots of one pool on one node and who may use them. See docs/admission.md for the rules.
class Pool {
 public:
  /// Applies a configuration. `node_slots` is the node's part of the pool.
  void Configure(const AdmissionConfig& config, const std::string& owner, double node_slots,
                 bool lending_suspended);

  /// Returns the flow of a configured class, or null.
  Flow* FindFlow(const FlowKey& key);
  const std::map<FlowKey, Flow>& flows() const { return flows_; }
  size_t slots() const { return slots_; }
  size_t running() const { return running_; }

  /// Returns whether the flow's partner may use any slot of the pool.
  bool IsAvailableTo(const Flow& flow) const { return flow.owner || flow.partner_limit >= 1; }

  /// Gives a free slot to the next item and returns the item and its flow, or nothing when no item may start.
  std::optional<std::pair<Flow*, uint64_t>> PopNext(base::TimePoint now);
  /// Registers an item that PopNext returned. `order` numbers the starts of all items.
  void OnStart(Flow* flow, uint64_t id, uint64_t order, bool cancellable);
  /// Frees the slot of a running item, which it held for `hold_time`.
  void OnFinish(Flow* flow, const std::string& client, uint64_t order, bool cancelling,
                base::Duration hold_time, base::TimePoint now);

  /// A running item that is cancelled to free a guaranteed slot.
  struct Victim {
    Flow* flow;
    uint64_t id;
    const Flow* cause;  // the flow that the slot is freed for
  };
  /// Picks the items to cancel for the flows that have waited for a guaranteed slot for `after` or longer.
  std::vector<Victim> Reclaim(base::Duration after, base::TimePoint now);

  /// Returns the flow that holds `affected` back: `affected` itself when no other flow does.
  const FlowKey& FindCause(const Flow& affected) const;
  /// Estimates the wait of a client's newest waiting item; 0 before the first item has ended.
  base::Duration EstimateWait(const Flow& flow, const std::string& client) const;
  /// Updates the mean demand of the owner's flows. Call it before their items change.
  void Observe(base::TimePoint now);

 private:
  static bool HasPrecedence(const Flow& other, const Flow& flow);
  double SlotLimit(const Flow& flow) const;
  double PartnerRunning(const std::string& partner) const;
  Flow* PickVictimFlow();

  size_t slots_ = 0;
  size_t running_ = 0;
  std::map<FlowKey, Flow> flows_;
  double mean_hold_seconds_ = 0;  // mean time that an item holds a slot; 0 before the first item has ended
};

}  // namespace cornelplank::admission

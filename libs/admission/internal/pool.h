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

/// One class of one partner in one pool.
struct Flow {
  FlowKey key;
  ClassConfig terms;
  bool configured = false;
  bool owner = false;     // the partner owns the pool
  double guaranteed = 0;  // slots
  double greatest = 0;    // slots that the flow's partner may use in all
  ClientQueues queues;
  Occupancy demand;  // running and waiting items, at most all slots
  std::optional<base::TimePoint> starved_since;
  std::map<uint64_t, uint64_t> cancellable;  // start order -> id of running items
  size_t cancelling = 0;

  size_t running() const { return queues.running(); }
  bool entitled() const { return static_cast<double>(running()) < guaranteed; }
};

/// The slots of one pool on one node and who may use them. See docs/admission.md for the rules.
class Pool {
 public:
  /// Sets the partners' terms and the node's part of the pool, in slots.
  void Configure(const AdmissionConfig& terms, const std::string& owner, double node_slots, bool home_only);

  /// The flow of a configured class, or null.
  Flow* FindFlow(const FlowKey& key);
  const std::map<FlowKey, Flow>& flows() const { return flows_; }
  size_t slots() const { return slots_; }
  size_t running() const { return running_; }

  /// Whether a partner may use the pool at all under the present terms.
  bool Lent(const Flow& flow) const { return flow.owner || flow.greatest >= 1; }

  /// The flow and item that get the next free slot; the item becomes running.
  std::optional<std::pair<Flow*, uint64_t>> PopNext(base::TimePoint now);
  void OnStart(Flow* flow, uint64_t id, uint64_t order, bool cancellable);
  void OnFinish(Flow* flow, const std::string& client, uint64_t order, bool cancelling, base::Duration held,
                base::TimePoint now);

  /// Items whose slot goes back to flows that have waited for a guaranteed slot for `after`, each with the
  /// flow that it is given back to.
  struct Victim {
    Flow* flow;
    uint64_t id;
    const Flow* cause;
  };
  std::vector<Victim> Reclaim(base::Duration after, base::TimePoint now);

  /// The flow that holds back `affected`, which is itself when nobody else does.
  const FlowKey& Cause(const Flow& affected) const;
  /// Estimated wait of the newest item of a client.
  base::Duration EstimateWait(const Flow& flow, const std::string& client) const;
  void Observe(base::TimePoint now);

 private:
  static bool ComesBefore(const Flow& other, const Flow& flow);
  double Limit(const Flow& flow) const;
  double PartnerRunning(const std::string& partner) const;
  Flow* PickVictimFlow();

  size_t slots_ = 0;
  size_t running_ = 0;
  std::map<FlowKey, Flow> flows_;
  double held_s_ = 0;  // running mean of the time that an item holds a slot, in seconds; 0 is not known
};

}  // namespace cornelplank::admission

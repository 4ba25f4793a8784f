#include "libs/admission/internal/pool.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace cornelplank::admission {
namespace {

// Shares are products of floating-point numbers: 2.9999 slots must round down to 3, not to 2.
constexpr double kRoundingTolerance = 1e-6;
// No slots are kept free for a class whose mean use is below this, about one request in 4 minutes: on a node
// with few slots, nothing could be lent otherwise. Such a class gets its guaranteed slots by reclaiming them.
constexpr double kIdleSlots = 0.06;

double FloorSlots(double slots) { return std::floor(slots + kRoundingTolerance); }
double CeilSlots(double slots) { return std::ceil(slots - kRoundingTolerance); }

}  // namespace

void Pool::Configure(const AdmissionConfig& config, const std::string& owner, double node_slots,
                     bool lending_suspended) {
  // A node that has any part of a pool can run at least one request.
  slots_ = node_slots > 0 ? static_cast<size_t>(std::max(1.0, FloorSlots(node_slots))) : 0;
  const auto capacity = static_cast<double>(slots_);
  for (auto& [key, flow] : flows_) {
    flow.configured = false;
    flow.guaranteed = 0;
    flow.partner_limit = 0;
  }
  const auto lender = config.partners.find(owner);
  for (const auto& [partner, partner_config] : config.partners) {
    double lent = partner == owner ? 1 : 0;
    if (partner != owner && !lending_suspended && lender != config.partners.end()) {
      const auto found = lender->second.lends.find(partner);
      if (found != lender->second.lends.end()) lent = std::clamp(found->second, 0.0, 1.0);
    }
    double guaranteed_sum = 0;
    for (const auto& [name, class_config] : partner_config.classes) guaranteed_sum += class_config.guaranteed;
    for (const auto& [name, class_config] : partner_config.classes) {
      Flow& flow = flows_[FlowKey{partner, name}];
      flow.key = FlowKey{partner, name};
      flow.config = class_config;
      flow.configured = true;
      flow.owner = partner == owner;
      flow.guaranteed = flow.owner ? capacity * class_config.guaranteed / std::max(1.0, guaranteed_sum) : 0;
      flow.partner_limit = FloorSlots(capacity * lent);
    }
  }
}

Flow* Pool::FindFlow(const FlowKey& key) {
  const auto found = flows_.find(key);
  return found == flows_.end() || !found->second.configured ? nullptr : &found->second;
}

std::optional<std::pair<Flow*, uint64_t>> Pool::PopNext(base::TimePoint now) {
  // Guaranteed slots come first: whole ones by priority, then fractions of a slot by the smallest used part
  // of the guarantee. Spare slots go to the owner's classes before the borrowers', each by priority.
  using Rank = std::tuple<int, double, int, double>;
  std::optional<Rank> best;
  Flow* chosen = nullptr;
  Allowance chosen_allowance;
  const bool full = running_ >= slots_;
  for (auto& [key, flow] : flows_) {
    const bool waits = flow.queues.waiting() > 0;
    if (!waits || (full && !flow.below_guarantee())) {
      flow.starved_since.reset();
      continue;
    }
    const Allowance allowance{SlotLimit(flow), flow.guaranteed};
    if (!flow.queues.CanPop(allowance, now)) {
      flow.starved_since.reset();
      continue;
    }
    if (full) {
      if (!flow.starved_since) flow.starved_since = now;
      continue;
    }
    const auto used = static_cast<double>(flow.running());
    Rank rank;
    if (used + 1 <= FloorSlots(flow.guaranteed)) {
      rank = {0, 0, flow.config.priority, used / flow.guaranteed};
    } else if (flow.below_guarantee()) {
      rank = {1, used / flow.guaranteed, flow.config.priority, 0};
    } else {
      rank = {flow.owner ? 2 : 3, 0, flow.config.priority, used};
    }
    if (best && *best <= rank) continue;
    best = rank;
    chosen = &flow;
    chosen_allowance = allowance;
  }
  if (chosen == nullptr) return std::nullopt;
  const auto id = chosen->queues.Pop(chosen_allowance, now);
  if (!id) return std::nullopt;
  ++running_;
  return std::make_pair(chosen, *id);
}

void Pool::OnStart(Flow* flow, uint64_t id, uint64_t order, bool cancellable) {
  if (cancellable) flow->cancellable[order] = id;
}

void Pool::OnFinish(Flow* flow, const std::string& client, uint64_t order, bool cancelling,
                    base::Duration hold_time, base::TimePoint now) {
  flow->queues.OnFinish(client, now);
  flow->cancellable.erase(order);
  if (cancelling) --flow->cancelling;
  --running_;
  if (cancelling) return;  // its time does not show how long items take
  const double seconds = std::chrono::duration<double>(hold_time).count();
  mean_hold_seconds_ =
      mean_hold_seconds_ == 0 ? seconds : mean_hold_seconds_ + 0.05 * (seconds - mean_hold_seconds_);
}

std::vector<Pool::Victim> Pool::Reclaim(base::Duration after, base::TimePoint now) {
  std::vector<Victim> victims;
  size_t cancelling = 0;
  for (const auto& [key, flow] : flows_) cancelling += flow.cancelling;
  for (auto& [key, flow] : flows_) {
    if (!flow.starved_since || now - *flow.starved_since < after) continue;
    const double missing = CeilSlots(flow.guaranteed) - static_cast<double>(flow.running());
    auto need = static_cast<size_t>(std::clamp(missing, 0.0, static_cast<double>(flow.queues.waiting())));
    // Slots of items that are already being cancelled go to the first flows that need them.
    const size_t being_freed = std::min(cancelling, need);
    cancelling -= being_freed;
    for (need -= being_freed; need > 0; --need) {
      Flow* victim_flow = PickVictimFlow();
      if (victim_flow == nullptr) return victims;
      const auto newest = std::prev(victim_flow->cancellable.end());
      victims.push_back(Victim{victim_flow, newest->second, &flow});
      victim_flow->cancellable.erase(newest);
      ++victim_flow->cancelling;
    }
  }
  return victims;
}

const FlowKey& Pool::FindCause(const Flow& affected) const {
  // A borrower that uses all that it is lent is held back by its own load.
  const bool uses_all_lent =
      !affected.owner && PartnerRunning(affected.key.partner) + 1 > affected.partner_limit;
  if (uses_all_lent) return affected.key;
  const Flow* cause = &affected;
  // A class of the owner is held back by the flow that uses most beyond its guarantee, if that is more than
  // the class itself uses beyond its own. A borrower is held back by the flow that uses most, because all
  // capacity is the owner's.
  double most = static_cast<double>(affected.running()) - affected.guaranteed;
  if (affected.below_guarantee()) most = 0;
  for (const auto& [key, flow] : flows_) {
    if (&flow == &affected) continue;
    const double weight = static_cast<double>(flow.running()) - (affected.owner ? flow.guaranteed : 0);
    if (weight <= most) continue;
    most = weight;
    cause = &flow;
  }
  return cause->key;
}

base::Duration Pool::EstimateWait(const Flow& flow, const std::string& client) const {
  const ClientQueues& queues = flow.queues;
  const size_t ahead = std::min(queues.waiting(), queues.waiting_of(client) * queues.waiting_clients());
  const double served = std::max({1.0, static_cast<double>(queues.running()), FloorSlots(flow.guaranteed)});
  const std::chrono::duration<double> wait(static_cast<double>(ahead) * mean_hold_seconds_ / served);
  return std::chrono::duration_cast<base::Duration>(wait);
}

void Pool::Observe(base::TimePoint now) {
  for (auto& [key, flow] : flows_) {
    if (!flow.owner) continue;
    const size_t wanted = flow.running() + flow.queues.waiting();
    flow.demand.Observe(static_cast<double>(std::min(wanted, slots_)), now);
  }
}

// Whether slots for `other` are kept free from `flow` beyond the guarantee of `other`. A load whose mean fits
// its guarantee exceeds it now and then; at these times it precedes borrowers, and classes of lower priority
// whose mean exceeds their guarantee.
bool Pool::HasPrecedence(const Flow& other, const Flow& flow) {
  if (!other.owner || other.demand.mean() > other.guaranteed) return false;
  if (!flow.owner) return true;
  return flow.demand.mean() > flow.guaranteed && other.config.priority < flow.config.priority;
}

// The number of slots that the flow may use: its guaranteed ones, or more while the slots that other flows
// use, or that are kept free for their usual load, leave some over.
double Pool::SlotLimit(const Flow& flow) const {
  double spare = static_cast<double>(slots_);
  for (const auto& [key, other] : flows_) {
    if (&other == &flow) continue;
    const double usual = other.demand.mean() < kIdleSlots ? 0 : other.demand.CoveringSlots();
    const double kept_free =
        FloorSlots(HasPrecedence(other, flow) ? usual : std::min(other.guaranteed, usual));
    spare -= std::max(static_cast<double>(other.running()), kept_free);
  }
  // Nothing runs, so the loads that slots are kept free for have ended.
  if (running_ == 0) spare = std::max(spare, 1.0);
  const auto used = static_cast<double>(flow.running());
  if (!flow.owner) spare = std::min(spare, flow.partner_limit - (PartnerRunning(flow.key.partner) - used));
  return std::max(CeilSlots(flow.guaranteed), spare);
}

double Pool::PartnerRunning(const std::string& partner) const {
  double sum = 0;
  for (const auto& [key, flow] : flows_) {
    if (key.partner == partner) sum += static_cast<double>(flow.running());
  }
  return sum;
}

// Picks the flow whose newest item is cancelled next: a borrower's, or else the owner's flow of the lowest
// priority, among the flows above their guarantees. Returns null when there is none.
Flow* Pool::PickVictimFlow() {
  Flow* chosen = nullptr;
  for (auto& [key, flow] : flows_) {
    const auto used = static_cast<double>(flow.running()) - static_cast<double>(flow.cancelling);
    if (flow.cancellable.empty() || used <= CeilSlots(flow.guaranteed)) continue;
    const bool better = chosen == nullptr || std::make_pair(!flow.owner, flow.config.priority) >
                                                 std::make_pair(!chosen->owner, chosen->config.priority);
    if (better) chosen = &flow;
  }
  return chosen;
}

}  // namespace cornelplank::admission

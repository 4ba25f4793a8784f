#include "libs/admission/internal/pool.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace cornelplank::admission {
namespace {

// Shares are products of floating point numbers; 3 slots must not become 2.9999.
constexpr double kRounding = 1e-6;
// A class that uses less than this many slots, about one request in 4 minutes, has none kept ready: with few
// slots nothing could be lent otherwise. It gets its slots back by reclaim.
constexpr double kIdle = 0.06;

double Whole(double slots) { return std::floor(slots + kRounding); }
double WholeUp(double slots) { return std::ceil(slots - kRounding); }

}  // namespace

void Pool::Configure(const AdmissionConfig& terms, const std::string& owner, double node_slots,
                     bool home_only) {
  // A node that has any part of a pool can run at least one request.
  slots_ = node_slots > 0 ? static_cast<size_t>(std::max(1.0, Whole(node_slots))) : 0;
  const auto capacity = static_cast<double>(slots_);
  for (auto& [key, flow] : flows_) {
    flow.configured = false;
    flow.guaranteed = 0;
    flow.greatest = 0;
  }
  const auto lender = terms.partners.find(owner);
  for (const auto& [partner, partner_terms] : terms.partners) {
    double lent = partner == owner ? 1 : 0;
    if (partner != owner && !home_only && lender != terms.partners.end()) {
      const auto found = lender->second.lends.find(partner);
      if (found != lender->second.lends.end()) lent = std::clamp(found->second, 0.0, 1.0);
    }
    double promised = 0;
    for (const auto& [name, class_terms] : partner_terms.classes) promised += class_terms.guaranteed;
    for (const auto& [name, class_terms] : partner_terms.classes) {
      Flow& flow = flows_[FlowKey{partner, name}];
      flow.key = FlowKey{partner, name};
      flow.terms = class_terms;
      flow.configured = true;
      flow.owner = partner == owner;
      flow.guaranteed = flow.owner ? capacity * class_terms.guaranteed / std::max(1.0, promised) : 0;
      flow.greatest = Whole(capacity * lent);
    }
  }
}

Flow* Pool::FindFlow(const FlowKey& key) {
  const auto found = flows_.find(key);
  return found == flows_.end() || !found->second.configured ? nullptr : &found->second;
}

std::optional<std::pair<Flow*, uint64_t>> Pool::PopNext(base::TimePoint now) {
  // Guaranteed slots first: whole ones by priority, then parts of a slot by the least used. Spare slots go to
  // the owner's classes before the borrowers', each by priority.
  using Rank = std::tuple<int, double, int, double>;
  std::optional<Rank> best;
  Flow* chosen = nullptr;
  Allowance chosen_allowance;
  const bool full = running_ >= slots_;
  for (auto& [key, flow] : flows_) {
    const bool waits = flow.queues.waiting() > 0;
    if (!waits || (full && !flow.entitled())) {
      flow.starved_since.reset();
      continue;
    }
    const Allowance allowance{Limit(flow), flow.guaranteed};
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
    if (used + 1 <= Whole(flow.guaranteed)) {
      rank = {0, 0, flow.terms.priority, used / flow.guaranteed};
    } else if (flow.entitled()) {
      rank = {1, used / flow.guaranteed, flow.terms.priority, 0};
    } else {
      rank = {flow.owner ? 2 : 3, 0, flow.terms.priority, used};
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
                    base::Duration held, base::TimePoint now) {
  flow->queues.OnFinish(client, now);
  flow->cancellable.erase(order);
  if (cancelling) --flow->cancelling;
  --running_;
  if (cancelling) return;  // a cancelled item says nothing about how long items take
  const double seconds = std::chrono::duration<double>(held).count();
  held_s_ = held_s_ == 0 ? seconds : held_s_ + 0.05 * (seconds - held_s_);
}

std::vector<Pool::Victim> Pool::Reclaim(base::Duration after, base::TimePoint now) {
  std::vector<Victim> victims;
  size_t pending = 0;
  for (const auto& [key, flow] : flows_) pending += flow.cancelling;
  for (auto& [key, flow] : flows_) {
    if (!flow.starved_since || now - *flow.starved_since < after) continue;
    const double missing = WholeUp(flow.guaranteed) - static_cast<double>(flow.running());
    auto need = static_cast<size_t>(std::clamp(missing, 0.0, static_cast<double>(flow.queues.waiting())));
    // Slots that are already on their way back serve the first flows that need them.
    const size_t coming = std::min(pending, need);
    pending -= coming;
    for (need -= coming; need > 0; --need) {
      Flow* loser = PickVictimFlow();
      if (loser == nullptr) return victims;
      const auto newest = std::prev(loser->cancellable.end());
      victims.push_back(Victim{loser, newest->second, &flow});
      loser->cancellable.erase(newest);
      ++loser->cancelling;
    }
  }
  return victims;
}

const FlowKey& Pool::Cause(const Flow& affected) const {
  // A borrower that has all that it may have is held back by its own load.
  const bool lent_out = !affected.owner && PartnerRunning(affected.key.partner) + 1 > affected.greatest;
  if (lent_out) return affected.key;
  const Flow* cause = &affected;
  // The owner's classes are held back by what others use beyond their guarantee, if that is more than the
  // affected itself uses beyond its own. Borrowers are held back by whoever uses most: all capacity is the
  // owner's.
  double most = static_cast<double>(affected.running()) - affected.guaranteed;
  if (affected.entitled()) most = 0;
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
  const double served = std::max({1.0, static_cast<double>(queues.running()), Whole(flow.guaranteed)});
  const std::chrono::duration<double> wait(static_cast<double>(ahead) * held_s_ / served);
  return std::chrono::duration_cast<base::Duration>(wait);
}

void Pool::Observe(base::TimePoint now) {
  for (auto& [key, flow] : flows_) {
    if (!flow.owner) continue;
    const size_t wanted = flow.running() + flow.queues.waiting();
    flow.demand.Observe(static_cast<double>(std::min(wanted, slots_)), now);
  }
}

// A load whose mean fits its guarantee passes it now and then. For that time it comes before borrowers, and
// before classes of lower priority whose mean passes their guarantee, so slots are kept ready against those.
bool Pool::ComesBefore(const Flow& other, const Flow& flow) {
  if (!other.owner || other.demand.mean() > other.guaranteed) return false;
  if (!flow.owner) return true;
  return flow.demand.mean() > flow.guaranteed && other.terms.priority < flow.terms.priority;
}

// The slots that the flow may use in all: its guaranteed ones, or more while the other flows' slots that are
// in use, or are kept ready for their usual load, leave room.
double Pool::Limit(const Flow& flow) const {
  double spare = static_cast<double>(slots_);
  for (const auto& [key, other] : flows_) {
    if (&other == &flow) continue;
    const double usual = other.demand.mean() < kIdle ? 0 : other.demand.Cover();
    const double ready = Whole(ComesBefore(other, flow) ? usual : std::min(other.guaranteed, usual));
    spare -= std::max(static_cast<double>(other.running()), ready);
  }
  // Nothing runs, so the loads that slots are kept ready for have ended.
  if (running_ == 0) spare = std::max(spare, 1.0);
  const auto used = static_cast<double>(flow.running());
  if (!flow.owner) spare = std::min(spare, flow.greatest - (PartnerRunning(flow.key.partner) - used));
  return std::max(WholeUp(flow.guaranteed), spare);
}

double Pool::PartnerRunning(const std::string& partner) const {
  double sum = 0;
  for (const auto& [key, flow] : flows_) {
    if (key.partner == partner) sum += static_cast<double>(flow.running());
  }
  return sum;
}

// Borrowers give back first, then the owner's class of the lowest priority that is beyond its guarantee.
Flow* Pool::PickVictimFlow() {
  Flow* chosen = nullptr;
  for (auto& [key, flow] : flows_) {
    const auto used = static_cast<double>(flow.running()) - static_cast<double>(flow.cancelling);
    if (flow.cancellable.empty() || used <= WholeUp(flow.guaranteed)) continue;
    const bool better = chosen == nullptr || std::make_pair(!flow.owner, flow.terms.priority) >
                                                 std::make_pair(!chosen->owner, chosen->terms.priority);
    if (better) chosen = &flow;
  }
  return chosen;
}

}  // namespace cornelplank::admission

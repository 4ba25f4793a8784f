#include "tests/admission/admission_fuzz.h"

#include <cmath>
#include <map>
#include <memory>
#include <set>

#include "libs/admission/admission.h"
#include "tests/fuzz/fuzz_target.h"
#include "tests/tickets/fuzz_steps.h"

namespace cornelplank::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRounding = 1e-6;

struct FlowSpec {
  const char* partner;
  const char* priority_class;
};
constexpr FlowSpec kFlows[] = {
    {"g", "desk"}, {"g", "tax"}, {"g", "yearend"}, {"l", "caller"}, {"l", "draft"}};

AdmissionConfig MakeConfig(uint64_t version) {
  AdmissionConfig config;
  auto& g = config.partners["g"];
  g.classes["desk"] = {2, version % 3 == 0 ? 0.5 : 0.3, 14, false};
  g.classes["tax"] = {0, 0.25, 6, false};
  if (version % 4 != 3) g.classes["yearend"] = {6, 0, 8, true};
  g.lends["l"] = version % 2 == 0 ? 0.34 : 0.17;
  auto& l = config.partners["l"];
  l.classes["caller"] = {0, 0.6, 6, false};
  l.classes["draft"] = {5, 0.2, 6, false};
  l.lends["g"] = 0.5;
  config.pools["g/engine"] = {"g", 12};
  config.pools["l/engine"] = {"l", 6};
  return config;
}

/// One node's controller, and an oracle that records every item and checks the rules of docs/admission.md.
class AdmissionWorld {
 public:
  static constexpr const char* kNames[] = {"offer",          "offer",     "offer",
                                           "offer",          "offer",     "offer",
                                           "offer",          "flood",     "finish",
                                           "finish",         "finish",    "finish",
                                           "withdraw",       "wait",      "wait",
                                           "wait",           "pause",     "clock-jump",
                                           "partition",      "heal",      "publish",
                                           "fraction",       "kill",      "cancelled",
                                           "cancelled",      "cancelled", "duplicate-finish",
                                           "duplicate-offer"};

  explicit AdmissionWorld(AdmissionFault fault) : fault_(fault) { Restart(); }
  std::string violation;  // the first one found; empty without any

  void Apply(size_t kind, size_t a, size_t b) {
    const std::string name = kNames[kind];
    waited_before_ = Starved();
    borrowed_granted_.clear();
    if (name == "offer") Submit(a % 5, a / 5 % 4, b);
    if (name == "flood") {
      for (size_t i = 0; i < 6; ++i) Submit(a % 5, 0, b);
    }
    if (name == "finish") Finish(Pick(State::kRunning, a));
    if (name == "withdraw") Finish(Pick(State::kWaiting, a));
    if (name == "cancelled") Finish(Pick(State::kCancelling, a));
    if (name == "duplicate-finish" && next_id_ > 1) {
      const uint64_t id = 1 + a % (next_id_ - 1);
      if (!items_.contains(id)) controller_->Finish(id, now_);
    }
    if (name == "duplicate-offer" && !items_.empty()) OfferAgain(items_.begin()->first);
    if (name == "wait") now_ += milliseconds(10 * a);
    if (name == "pause" || name == "clock-jump") now_ += milliseconds(200 * a);
    if (name == "partition" || name == "heal") SetLendingSuspended(name == "partition");
    if (name == "publish") SetConfig(version_ + 1);
    if (name == "fraction") SetFraction(a % 3 == 0 ? 0.5 : 1.0);
    if (name == "kill" && b % 4 == 0) Restart();
    controller_->Tick(now_);
    Drain();
    Check();
  }

  // Ends all running items for up to 20 s, after which every waiting item must have started or been refused.
  void End() {
    SetLendingSuspended(false);
    for (int i = 0; i < 200 && !items_.empty() && violation.empty(); ++i) {
      now_ += milliseconds(100);
      std::vector<uint64_t> running;
      for (const auto& [id, item] : items_) {
        if (item.state != State::kWaiting) running.push_back(id);
      }
      for (const uint64_t id : running) Finish(id);
      controller_->Tick(now_);
      Drain();
    }
    Forbid(!items_.empty(), "an item waits although nothing runs");
  }

 private:
  enum class State { kWaiting, kRunning, kCancelling };
  using FlowId = std::pair<std::string, size_t>;  // pool, index in kFlows
  struct Item {
    State state = State::kWaiting;
    FlowId flow;
    size_t client = 0;
    base::TimePoint offered;
    bool cancellable = false;
    std::map<size_t, size_t> overtaken;  // client -> its grants while this item's client ran nothing
  };
  struct Count {
    size_t running = 0;
    size_t cancelling = 0;
    size_t cancellable = 0;
    size_t waiting = 0;
    std::map<size_t, size_t> running_by_client;
    std::set<size_t> waiting_clients;
  };

  void Forbid(bool seen, std::string_view text) {
    if (seen && violation.empty()) violation = text;
  }

  void Restart() {
    items_.clear();
    refused_.clear();
    delayed_.clear();
    cancelled_.clear();
    starved_since_.clear();
    if (fault_ == AdmissionFault::kNaive) {
      controller_ = std::make_unique<NaiveController>(static_cast<size_t>(Slots("g/engine")), 30);
      return;
    }
    auto controller = std::make_unique<AdmissionController>(ConfigWithFault(), fraction_);
    admission_ = controller.get();
    controller_ = std::move(controller);
    if (fault_ != AdmissionFault::kSuspensionIgnored) {
      admission_->SetLendingSuspended(lending_suspended_, now_);
    }
  }
  AdmissionConfig ConfigWithFault() const {
    AdmissionConfig config = MakeConfig(version_);
    if (fault_ == AdmissionFault::kLentTwice) config.partners["g"].lends["l"] *= 2;
    if (fault_ == AdmissionFault::kNoGuarantee) {
      for (auto& [partner, partner_config] : config.partners) {
        for (auto& [name, class_config] : partner_config.classes) class_config.guaranteed = 0;
      }
    }
    return config;
  }
  void SetLendingSuspended(bool lending_suspended) {
    lending_suspended_ = lending_suspended;
    if (admission_ != nullptr && fault_ != AdmissionFault::kSuspensionIgnored) {
      admission_->SetLendingSuspended(lending_suspended, now_);
    }
  }
  void SetConfig(uint64_t version) {
    if (admission_ == nullptr) return;
    version_ = version;
    admission_->SetConfig(ConfigWithFault(), now_);
  }
  void SetFraction(double fraction) {
    if (admission_ == nullptr) return;
    fraction_ = fraction;
    admission_->SetFraction(fraction, now_);
  }

  double Slots(const std::string& pool) const {
    return std::floor(MakeConfig(version_).pools.at(pool).zone_slots * fraction_ + kRounding);
  }
  double GuaranteedSlots(const FlowId& flow) const {
    const AdmissionConfig config = MakeConfig(version_);
    const FlowSpec& spec = kFlows[flow.second];
    if (config.pools.at(flow.first).owner != spec.partner) return 0;
    const auto& classes = config.partners.at(spec.partner).classes;
    const auto found = classes.find(spec.priority_class);
    return found == classes.end() ? 0 : Slots(flow.first) * found->second.guaranteed;
  }
  double LentSlots(const FlowId& flow) const {
    const AdmissionConfig config = MakeConfig(version_);
    const std::string owner = config.pools.at(flow.first).owner;
    const std::string partner = kFlows[flow.second].partner;
    if (owner == partner) return Slots(flow.first);
    return lending_suspended_
               ? 0
               : std::floor(Slots(flow.first) * config.partners.at(owner).lends.at(partner) + kRounding);
  }

  std::map<FlowId, Count> Counts() const {
    std::map<FlowId, Count> counts;
    for (const auto& [id, item] : items_) {
      Count& count = counts[item.flow];
      if (item.state == State::kWaiting) {
        ++count.waiting;
        count.waiting_clients.insert(item.client);
        continue;
      }
      ++count.running;
      ++count.running_by_client[item.client];
      if (item.state == State::kCancelling) ++count.cancelling;
      if (item.state == State::kRunning && item.cancellable) ++count.cancellable;
    }
    return counts;
  }

  // Flows in which a client below its equal part waits although a whole guaranteed slot of the flow is not in
  // use.
  std::set<FlowId> Starved() const {
    std::set<FlowId> starved;
    for (const auto& [flow, count] : Counts()) {
      const double guaranteed = std::floor(GuaranteedSlots(flow) + kRounding);
      if (static_cast<double>(count.running + 1) > guaranteed) continue;
      std::set<size_t> active = count.waiting_clients;
      for (const auto& [client, running] : count.running_by_client) active.insert(client);
      for (const size_t client : count.waiting_clients) {
        const auto found = count.running_by_client.find(client);
        const size_t running = found == count.running_by_client.end() ? 0 : found->second;
        if (static_cast<double>((running + 1) * active.size()) <= guaranteed) starved.insert(flow);
      }
    }
    return starved;
  }

  WorkItem Work(uint64_t id, const Item& item, base::TimePoint deadline) const {
    const FlowSpec& spec = kFlows[item.flow.second];
    const std::string client = fault_ == AdmissionFault::kOneQueue ? "all" : std::to_string(item.client);
    return WorkItem{id,
                    item.flow.first,
                    spec.partner,
                    spec.priority_class,
                    client,
                    deadline,
                    1,
                    item.cancellable || fault_ == AdmissionFault::kCancelAny};
  }

  void Submit(size_t flow_index, size_t client, size_t b) {
    const uint64_t id = next_id_++;
    const bool naive = admission_ == nullptr;
    Item item;
    item.flow = {b % 4 == 0 && !naive ? "l/engine" : "g/engine", naive ? flow_index % 3 : flow_index};
    item.client = naive ? 0 : client;
    item.offered = now_;
    item.cancellable = b % 5 != 0;
    items_[id] = item;
    const auto before = Counts();
    const AdmissionDecision decision = controller_->Submit(Work(id, item, now_ + seconds(2 + b)), now_);
    if (decision.kind == AdmissionDecisionKind::kGranted) OnGrant(id);
    if (decision.kind == AdmissionDecisionKind::kRefused) OnRefusal(decision.refusal);
    Drain();
    const size_t limit = flow_index == 0 ? 14 : flow_index == 2 ? 8 : 6;
    Forbid(!naive && Counts()[item.flow].waiting > limit, "more items wait than the class allows");
  }

  void OfferAgain(uint64_t id) {
    if (admission_ == nullptr) return;
    const AdmissionDecision decision = controller_->Submit(Work(id, items_.at(id), now_ + seconds(9)), now_);
    Forbid(decision.kind != AdmissionDecisionKind::kRefused, "an id was taken twice");
  }

  uint64_t Pick(State state, size_t a) const {
    std::vector<uint64_t> ids;
    for (const auto& [id, item] : items_) {
      if (item.state == state) ids.push_back(id);
    }
    return ids.empty() ? 0 : ids[a % ids.size()];
  }
  void Finish(uint64_t id) {
    if (id == 0) return;
    items_.erase(id);
    controller_->Finish(id, now_);
  }

  void Drain() {
    // Refusals come first, because an item whose deadline has passed no longer waits when others are granted.
    for (const Refusal& refusal : controller_->TakeRefusals(now_)) {
      OnRefusal(refusal);
      if (fault_ == AdmissionFault::kRefusedRuns) OnGrant(refusal.id);
    }
    while (const auto grant = controller_->NextGrant(now_)) OnGrant(grant->id);
    if (fault_ == AdmissionFault::kKeepBorrowed) return;
    for (const uint64_t id : controller_->TakeCancellations(now_)) OnCancel(id);
  }

  void OnGrant(uint64_t id) {
    const auto found = items_.find(id);
    if (found == items_.end()) return Forbid(true, "granted an item that was refused or has ended");
    Item& item = found->second;
    if (item.state != State::kWaiting) return Forbid(true, "granted twice");
    item.state = State::kRunning;
    if (now_ > item.offered) ++delayed_[item.flow];
    CheckOvertaking(item);
    const auto counts = Counts();
    double total = 0;
    double partner = 0;
    for (const auto& [flow, count] : counts) {
      if (flow.first != item.flow.first) continue;
      total += static_cast<double>(count.running);
      const bool same = std::string(kFlows[flow.second].partner) == kFlows[item.flow.second].partner;
      if (same) partner += static_cast<double>(count.running);
    }
    Forbid(total > Slots(item.flow.first), "more items run than there are slots");
    Forbid(partner > LentSlots(item.flow), "a partner runs more than it was lent");
    const double flow_running = static_cast<double>(counts.at(item.flow).running);
    if (flow_running > std::ceil(GuaranteedSlots(item.flow) - kRounding)) {
      borrowed_granted_.insert(item.flow.first);
    }
  }

  // While a client runs nothing, no other client of its class may be served more than kMaxOvertakings times
  // before it.
  void CheckOvertaking(const Item& granted) {
    constexpr size_t kMaxOvertakings = 3;
    const auto counts = Counts();
    const auto& running = counts.at(granted.flow).running_by_client;
    for (auto& [id, item] : items_) {
      if (item.state != State::kWaiting || item.flow != granted.flow || item.client == granted.client) {
        continue;
      }
      if (running.contains(item.client)) {
        item.overtaken.clear();
      } else if (++item.overtaken[granted.client] > kMaxOvertakings) {
        Forbid(true, "a client is served again and again before another");
      }
    }
    for (auto& [id, item] : items_) {
      if (item.flow == granted.flow && item.client == granted.client) item.overtaken.clear();
    }
  }

  void OnRefusal(const Refusal& refusal) {
    const auto found = items_.find(refusal.id);
    if (found == items_.end()) return Forbid(true, "refused an item that has ended");
    if (found->second.state != State::kWaiting) return Forbid(true, "refused an item that ran");
    const bool by_config = found->second.offered == now_ && refusal.retry_after == base::Duration{0};
    if (!by_config) ++refused_[found->second.flow];
    items_.erase(found);
  }

  void OnCancel(uint64_t id) {
    const auto found = items_.find(id);
    if (found == items_.end() || found->second.state != State::kRunning) {
      return Forbid(true, "cancelled what does not run");
    }
    Item& item = found->second;
    Forbid(!item.cancellable, "cancelled work that must not be repeated");
    const Count count = Counts()[item.flow];
    const auto kept = static_cast<double>(count.running - count.cancelling);
    Forbid(kept <= std::ceil(GuaranteedSlots(item.flow) - kRounding), "cancelled guaranteed work");
    item.state = State::kCancelling;
    ++cancelled_[item.flow];
  }

  void Check() {
    const auto starved = Starved();
    std::map<std::string, double> running;
    std::map<std::string, size_t> victims;
    std::map<std::string, size_t> cancelling;
    for (const auto& [flow, count] : Counts()) {
      running[flow.first] += static_cast<double>(count.running);
      cancelling[flow.first] += count.cancelling;
      const double kept = static_cast<double>(count.running - count.cancelling) -
                          std::ceil(GuaranteedSlots(flow) - kRounding);
      victims[flow.first] += std::min(count.cancellable, static_cast<size_t>(std::max(0.0, kept)));
    }
    std::erase_if(starved_since_, [&](const auto& entry) { return !starved.contains(entry.first); });
    for (const FlowId& flow : starved) {
      Forbid(running[flow.first] < Slots(flow.first), "a guaranteed share is not honoured: a slot is free");
      Forbid(waited_before_.contains(flow) && borrowed_granted_.contains(flow.first),
             "a guaranteed share is not honoured: borrowed work was started");
      const auto since = starved_since_.emplace(flow, now_).first->second;
      Forbid(now_ - since > seconds(2) && victims[flow.first] > 0 && cancelling[flow.first] == 0,
             "a guaranteed share is not honoured: borrowed capacity is not called back");
    }
    CheckDisplacements();
  }

  void CheckDisplacements() {
    if (admission_ == nullptr) return;
    std::map<std::string, std::array<uint64_t, kDisplacementKinds>> counted;
    for (const auto& [key, counts] : admission_->displacements().entries()) {
      if (fault_ == AdmissionFault::kUncountedDisplacement && key.cause.partner != key.affected.partner) {
        continue;
      }
      for (size_t kind = 0; kind < kDisplacementKinds; ++kind) {
        counted[key.affected.partner + key.affected.priority_class][kind] += counts.by_kind[kind];
      }
    }
    std::map<std::string, std::array<uint64_t, kDisplacementKinds>> seen;
    const std::map<FlowId, uint64_t>* kinds[] = {&refused_, &delayed_, &cancelled_};
    for (size_t kind = 0; kind < kDisplacementKinds; ++kind) {
      for (const auto& [flow, count] : *kinds[kind]) {
        seen[std::string(kFlows[flow.second].partner) + kFlows[flow.second].priority_class][kind] += count;
      }
    }
    Forbid(counted != seen, "a displacement is not counted");
  }

  AdmissionFault fault_;
  std::unique_ptr<Controller> controller_;
  AdmissionController* admission_ = nullptr;
  base::TimePoint now_{seconds(1000)};
  uint64_t version_ = 0;
  double fraction_ = 1;
  bool lending_suspended_ = false;
  uint64_t next_id_ = 1;
  std::map<uint64_t, Item> items_;
  std::map<FlowId, uint64_t> refused_;
  std::map<FlowId, uint64_t> delayed_;
  std::map<FlowId, uint64_t> cancelled_;
  std::map<FlowId, base::TimePoint> starved_since_;
  std::set<FlowId> waited_before_;
  std::set<std::string> borrowed_granted_;
};

const bool kRegistered = fuzz::RegisterFuzzTarget({"admission", [](uint64_t seed, uint64_t steps) {
                                                     return FuzzAdmission(seed, steps, AdmissionFault::kNone);
                                                   }});

}  // namespace

std::optional<std::string> FuzzAdmission(uint64_t seed, uint64_t steps, AdmissionFault fault) {
  return fuzz::RunWorlds<AdmissionWorld>(seed, steps, 200, [fault] { return AdmissionWorld(fault); });
}

}  // namespace cornelplank::admission

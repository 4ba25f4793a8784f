#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libs/membership/membership.h"
#include "tests/membership/command_sequence.h"

namespace cornelplank::membership {

/// Deliberate faults that the fuzzers must find.
enum class MembershipFault {
  kNone,
  kAcceptOlder,     // a message of a lower incarnation replaces a higher one
  kOneWayEvidence,  // an incoming call counts as an answered own call, so suspicions flap
  kAgeFromCalls,    // ages in incoming calls confirm the configuration
  kNoReadBudget,    // fall-back reads are not limited in rate
};

inline constexpr int kSimNodes = 5;  // nodes 0 to 2 are in zone ost-1, 3 and 4 in nord-1
inline constexpr base::Duration kSimTick = std::chrono::milliseconds{250};
inline constexpr base::Duration kSimCallTimeout = std::chrono::seconds{1};
inline constexpr base::TimePoint kSimStart{std::chrono::hours{1}};

/// For the regions nord and ost and for the platform: the latest time whose state can be known to a node,
/// because a chain of messages leads from there to the node. No age that the node computes may be shorter.
using CausalTimes = std::array<base::TimePoint, 3>;
inline constexpr size_t kPlatformIndex = 2;

struct SimNode {
  VmListEntry self;
  std::unique_ptr<VmTable> table;
  std::unique_ptr<GossipState> gossip;
  std::unique_ptr<ReadSchedule> schedule;
  bool alive = true;
  bool paused = false;
  CausalTimes causal_times{};
  std::vector<VmListEntry> list;  // newest VM list that was delivered to the node
  base::TimePoint list_produced_at{};
};

struct SimMessage {
  base::TimePoint deliver_at;
  int from = 0;
  int to = 0;
  VmListEntry sender;
  uint64_t to_incarnation = 0;
  uint64_t call = 0;
  bool is_answer = false;
  GossipMessage gossip;
  CausalTimes causal_times{};
};

struct SimCall {
  int from = 0;
  int to = 0;
  base::TimePoint started;
};

/// Simulates a few nodes, with the real VM tables and gossip, on an in-memory network with faults, in virtual
/// time.
class ZoneSim {
 public:
  ZoneSim(MembershipFault fault, uint64_t seed) : fault_(fault), random_(seed) {
    names_.regions = {"nord", "ost"};
    names_.zones = {"nord-1", "ost-1"};
    names_.replicas = {"r0", "r1"};
    names_.slots = {8, 8};
    for (int i = 0; i < kSimNodes; ++i) Start(i);
    list_ = CurrentList();
    for (int i = 0; i < kSimNodes; ++i) DeliverList(i, list_, base::Duration{0});
  }
  virtual ~ZoneSim() = default;

  void Start(int i) {
    SimNode& node = Node(i);
    const std::string region = RegionIndexOf(i) == 0 ? "nord" : "ost";
    node.self = {
        std::to_string(i), "p", region, region + "-1", "", "", ++incarnations_[static_cast<size_t>(i)],
        VmState::kLive};
    node.table = std::make_unique<VmTable>(node.self, now_);
    node.gossip = std::make_unique<GossipState>(GossipSettings{}, names_, *node.table, random_.Next(), now_);
    node.gossip->SetConfigPosition({1, 1}, now_);
    node.schedule = std::make_unique<ReadSchedule>(random_.Next(), now_);
    node.alive = true;
    node.paused = false;
    node.causal_times.fill(base::TimePoint{});
    node.list.clear();
    node.list_produced_at = base::TimePoint{};
    // A starting node reads the VM list before it serves requests.
    DeliverList(i, list_, std::chrono::seconds{1});
    OnStart(i);
  }
  void Kill(int i) { Node(i).alive = false; }

  std::vector<VmListEntry> CurrentList() const {
    std::vector<VmListEntry> list;
    for (const SimNode& node : nodes_) {
      if (node.alive) list.push_back(node.self);
    }
    return list;
  }
  void DeliverList(int i, const std::vector<VmListEntry>& list, base::Duration age) {
    if (!IsRunning(i)) return;
    Node(i).table->ApplyVmList(list, age, now_);
    if (now_ - age < Node(i).list_produced_at) return;
    Node(i).list_produced_at = now_ - age;
    Node(i).list = list;
  }

  /// Advances the time by `step` and runs every node.
  void Tick(base::Duration step = kSimTick) {
    now_ += step;
    DeliverDue();
    TimeOutCalls();
    for (int i = 0; i < kSimNodes; ++i) {
      if (!IsRunning(i)) continue;
      SimNode& node = Node(i);
      node.table->Tick(now_);
      for (const std::string& id : node.gossip->TakeDueZoneCalls(*node.table, now_)) Call(i, std::stoi(id));
      if (const auto peer = node.gossip->TakeDueCrossZoneCall(*node.table, now_)) Call(i, std::stoi(*peer));
      OnTick(i);
    }
  }

  SimNode& Node(int i) { return nodes_[static_cast<size_t>(i)]; }
  const SimNode& Node(int i) const { return nodes_[static_cast<size_t>(i)]; }
  bool IsRunning(int i) const { return Node(i).alive && !Node(i).paused; }
  static size_t RegionIndexOf(int i) { return i >= 3 ? 0 : 1; }
  static size_t PairIndex(int i, int j) {
    return static_cast<size_t>(i) * size_t{kSimNodes} + static_cast<size_t>(j);
  }
  bool& Blocked(int from, int to) { return blocked_[PairIndex(from, to)]; }
  void HealAll() {
    blocked_.fill(false);
    delay_ = base::Duration{0};
  }

 protected:
  virtual void OnStart(int /*i*/) {}
  virtual void OnTick(int /*i*/) {}
  virtual void OnMessageMerged(int /*i*/, const VmListEntry& /*from*/, bool /*answer*/) {}
  virtual void OnCallFailed(int /*i*/, int /*to*/) {}

  CausalTimes CausalTimesOf(int i) {
    CausalTimes causal_times = Node(i).causal_times;
    causal_times[RegionIndexOf(i)] = now_;
    return causal_times;
  }

  void Call(int from, int to) {
    const Vm* vm = Node(from).table->Find(std::to_string(to));
    if (vm == nullptr) return;
    const uint64_t call = ++last_call_;
    calls_[call] = {from, to, now_};
    GossipMessage gossip = Node(from).gossip->BuildMessage(*vm, *Node(from).table, nullptr, now_);
    SendMessage({now_, from, to, Node(from).table->own().entry, Node(to).self.incarnation, call, false,
                 std::move(gossip), CausalTimesOf(from)});
  }

  void SendMessage(SimMessage message) {
    if (Blocked(message.from, message.to)) return;
    message.deliver_at = now_ + std::chrono::milliseconds{1 + random_.Below(100)} + delay_;
    network_.push_back(std::move(message));
  }

  void DeliverDue() {
    std::vector<SimMessage> due;
    for (size_t i = 0; i < network_.size();) {
      const SimNode& to = Node(network_[i].to);
      // A paused node reads its messages after the pause.
      if (network_[i].deliver_at > now_ || (to.alive && to.paused)) {
        ++i;
        continue;
      }
      due.push_back(std::move(network_[i]));
      network_[i] = std::move(network_.back());
      network_.pop_back();
    }
    for (const SimMessage& message : due) Deliver(message);
  }

  void Deliver(const SimMessage& message) {
    const int i = message.to;
    SimNode& node = Node(i);
    if (!node.alive || message.to_incarnation != node.self.incarnation) return;
    if (message.is_answer) {
      const auto call = calls_.find(message.call);
      if (call == calls_.end()) return;
      MergeCausalTimes(node, message.causal_times);
      const base::TimePoint started = call->second.started;
      calls_.erase(call);
      node.gossip->MergeAnswer(message.sender, message.gossip, started, *node.table, now_);
      OnMessageMerged(i, message.sender, true);
      return;
    }
    ApplyFault(node, message);
    MergeCausalTimes(node, message.causal_times);
    node.gossip->MergeCall(message.sender, message.gossip, *node.table, now_);
    OnMessageMerged(i, message.sender, false);
    const Vm* vm = node.table->Find(message.sender.id);
    if (vm == nullptr) return;
    GossipMessage answer = node.gossip->BuildMessage(*vm, *node.table, &message.gossip, now_);
    SendMessage({now_, i, message.from, node.table->own().entry, message.sender.incarnation, message.call,
                 true, std::move(answer), CausalTimesOf(i)});
  }

  void ApplyFault(SimNode& node, const SimMessage& message) {
    const Vm* vm = node.table->Find(message.sender.id);
    const bool older = vm != nullptr && message.sender.incarnation < vm->entry.incarnation;
    if (fault_ == MembershipFault::kAcceptOlder && older) RemoveVm(node, message.sender.id);
    if (fault_ == MembershipFault::kAgeFromCalls) {
      node.gossip->MergeAnswer(message.sender, message.gossip, now_, *node.table, now_);
    }
    if (fault_ == MembershipFault::kOneWayEvidence) {
      for (int n = 0; n < VmTable::kSuspicionObservations; ++n) {
        node.table->RecordAnswer(message.sender.id, 0, VmState::kLive, now_);
      }
    }
  }

  /// Rebuilds the table without one VM, so that it accepts any incarnation of it.
  void RemoveVm(SimNode& node, const std::string& id) {
    VmTable table(node.self, now_);
    for (const auto& [other, vm] : node.table->vms()) {
      if (vm.suspected) return;
      if (other != id) table.RecordHeartbeat(vm.entry, now_);
    }
    std::vector<VmListEntry> list = node.list;
    std::erase_if(list, [&](const VmListEntry& entry) { return entry.id == id; });
    table.ApplyVmList(list, base::Duration{0}, now_);
    *node.table = std::move(table);
  }

  static void MergeCausalTimes(SimNode& node, const CausalTimes& times) {
    for (size_t i = 0; i < times.size(); ++i) node.causal_times[i] = std::max(node.causal_times[i], times[i]);
  }

  void TimeOutCalls() {
    for (auto it = calls_.begin(); it != calls_.end();) {
      const SimCall call = it->second;
      if (now_ - call.started < kSimCallTimeout || (Node(call.from).alive && Node(call.from).paused)) {
        ++it;
        continue;
      }
      it = calls_.erase(it);
      if (!IsRunning(call.from)) continue;
      Node(call.from).gossip->RecordFailedCall(std::to_string(call.to), *Node(call.from).table, now_);
      OnCallFailed(call.from, call.to);
    }
  }

  MembershipFault fault_;
  base::Random random_;
  base::TimePoint now_ = kSimStart;
  NameIndex names_;
  std::array<uint64_t, kSimNodes> incarnations_{};
  std::array<SimNode, kSimNodes> nodes_;
  std::array<bool, size_t{kSimNodes} * kSimNodes> blocked_{};
  std::vector<VmListEntry> list_;  // the platform's VM list, which may lag behind the nodes
  std::vector<SimMessage> network_;
  std::map<uint64_t, SimCall> calls_;
  uint64_t last_call_ = 0;
  base::Duration delay_{0};
};

}  // namespace cornelplank::membership

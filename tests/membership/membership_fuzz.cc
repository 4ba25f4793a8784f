#include "tests/membership/membership_fuzz.h"

namespace cornelplank::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// What the test has observed of one node's view of another; the next view must be consistent with it.
struct ExpectedView {
  uint64_t incarnation = 0;  // highest one in the view
  bool leaving = false;      // whether the view showed that incarnation as leaving
  bool suspected = false;
  bool present = false;
  base::TimePoint last_answer{};
  base::TimePoint last_heard{};
  int answers = 0;  // since the VM became suspected
  int misses = 0;   // since the last answer
};

class MembershipSimulation : public ZoneSim {
 public:
  MembershipSimulation(MembershipFault fault, uint64_t seed) : ZoneSim(fault, seed) {
    for (int i = 0; i < kSimNodes; ++i) OnStart(i);
  }

  std::optional<std::string> Step(fuzz::CommandWord word) {
    const int command = word.Take(24);
    const int a = word.Take(kSimNodes);
    const int b = word.Take(kSimNodes);
    if (command == 0) Kill(a);
    if (command == 1) Start(a);
    if (command == 2) Node(a).paused = true;
    if (command == 3) Node(a).paused = false;
    if (command == 4) Blocked(a, b) = Blocked(b, a) = true;
    if (command == 5) Blocked(a, b) = true;
    if (command == 6) Blocked(a, b) = Blocked(b, a) = false;
    if (command == 7) HealAll();
    if (command == 8) list_ = CurrentList();
    if (command == 9) DeliverList(a, list_, seconds{word.Take(30)});
    if (command == 10 && word.Take(4) == 0) Leave(a);
    if (command == 11) Duplicate(static_cast<size_t>(word.Take(64)), seconds{word.Take(15)});
    if (command == 12 && !network_.empty()) {
      network_.erase(network_.begin() + word.Take(64) % std::ssize(network_));
    }
    if (command == 13) delay_ = milliseconds{word.Take(2) * word.Take(1200)};
    if (command == 14) Tick(seconds{word.Take(20)});
    if (command == 15) ConfirmFromPlatform(a);
    for (int n = command > 15 ? word.Take(6) : -1; n >= 0; --n) Tick();
    Observe();
    return violation_;
  }

  /// Ends all faults. Within 100 ticks all live nodes must know each other's state and be confirmed.
  std::optional<std::string> Finish() {
    HealAll();
    for (int i = 0; i < kSimNodes; ++i) Node(i).paused = false;
    // A late copy of a dead VM's call would keep the VM in the tables for another 10 s, as the rules ask.
    const base::TimePoint soon = now_ + seconds{1};
    std::erase_if(network_, [&](const SimMessage& message) { return message.deliver_at > soon; });
    for (int n = 0; n < 100; ++n) {
      Tick();
      Observe();
      if (n != 4 && n != 60) continue;
      list_ = CurrentList();
      for (int i = 0; i < kSimNodes; ++i) DeliverList(i, list_, base::Duration{0});
    }
    for (int i = 0; i < kSimNodes; ++i) {
      if (!IsRunning(i)) continue;
      for (int j = 0; j < kSimNodes; ++j) CheckConverged(i, j);
      if (!Node(i).gossip->IsConfirmed(*Node(i).table, now_)) Fail(i, i, "is not confirmed after the heal");
    }
    return violation_;
  }

 private:
  ExpectedView& View(int i, int j) { return views_[PairIndex(i, j)]; }
  void Fail(int i, int j, const std::string& text) {
    if (!violation_) violation_ = "node " + std::to_string(i) + ", VM " + std::to_string(j) + ": " + text;
  }

  void Leave(int i) {
    if (!IsRunning(i)) return;
    Node(i).table->SetOwnLeaving();
    Node(i).self.state = VmState::kLeaving;
  }
  void ConfirmFromPlatform(int i) {
    if (!IsRunning(i)) return;
    Node(i).gossip->RecordPlatformHead(1, now_, now_);
    Node(i).causal_times[kPlatformIndex] = now_;
  }

  void OnStart(int i) override {
    for (int j = 0; j < kSimNodes; ++j) {
      View(i, j) = {};
      View(i, j).last_answer = now_;
    }
  }
  void OnMessageMerged(int i, const VmListEntry& from, bool answer) override {
    ExpectedView& view = View(i, std::stoi(from.id));
    // The table may have learned a higher incarnation earlier in this tick; the message is then ignored.
    const Vm* vm = Node(i).table->Find(from.id);
    const uint64_t known = std::max(view.incarnation, vm == nullptr ? 0 : vm->entry.incarnation);
    if (from.incarnation < known) return;
    view.last_heard = now_;
    if (!answer) return;
    view.last_answer = now_;
    ++view.answers;
    view.misses = 0;
    // Observes after each outcome of a call, because only these raise and clear suspicions.
    Observe();
  }
  void OnCallFailed(int i, int to) override {
    ++View(i, to).misses;
    Observe();
  }

  void Duplicate(size_t pick, base::Duration late) {
    if (network_.empty()) return;
    SimMessage copy = network_[pick % network_.size()];
    if (copy.is_answer || network_.size() > 200) return;
    copy.deliver_at += late;
    network_.push_back(std::move(copy));
  }

  void Observe() {
    for (int i = 0; i < kSimNodes; ++i) {
      if (!IsRunning(i)) continue;
      for (int j = 0; j < kSimNodes; ++j) {
        if (i != j) ObserveView(i, j);
      }
      const Confirmation& confirmation = Node(i).gossip->confirmation();
      for (size_t region = 0; region < 2; ++region) {
        if (region == RegionIndexOf(i)) continue;
        const base::Duration actual_age = now_ - Node(i).causal_times[region];
        if (confirmation.RegionAge(region, now_) < actual_age) {
          Fail(i, i, "the information from a region looks younger than it is");
        }
      }
      const base::Duration actual_age = now_ - Node(i).causal_times[kPlatformIndex];
      if (confirmation.HeadAge(now_) < actual_age) Fail(i, i, "the platform's head looks younger than it is");
    }
  }

  void ObserveView(int i, int j) {
    ExpectedView& view = View(i, j);
    const Vm* vm = Node(i).table->Find(std::to_string(j));
    if (vm == nullptr) {
      const auto& list = Node(i).list;
      const bool listed = std::any_of(
          list.begin(), list.end(), [&](const VmListEntry& entry) { return entry.id == std::to_string(j); });
      if (view.present && listed) Fail(i, j, "removed although the newest list contains it");
      if (view.present && now_ - view.last_heard < seconds{10}) Fail(i, j, "removed although not silent");
      view.present = false;
      return;
    }
    view.present = true;
    if (vm->entry.incarnation < view.incarnation) Fail(i, j, "replaced by an older incarnation");
    if (vm->entry.incarnation > incarnations_[static_cast<size_t>(j)]) Fail(i, j, "unknown incarnation");
    const bool same = vm->entry.incarnation == view.incarnation;
    if (same && view.leaving && vm->entry.state == VmState::kLive) Fail(i, j, "a leaving VM became live");
    if (vm->suspected && !(same && view.suspected)) {
      if (now_ - view.last_answer < VmTable::kSuspicionDelay) Fail(i, j, "suspected before 3 s");
      if (view.misses < VmTable::kSuspicionObservations) Fail(i, j, "suspected without two own observations");
      view.answers = 0;
    }
    if (same && view.suspected && !vm->suspected && view.answers < VmTable::kSuspicionObservations) {
      Fail(i, j, "the suspicion was cleared without two answers");
    }
    if (!same) view.misses = std::min(view.misses, 1);
    view.incarnation = vm->entry.incarnation;
    view.leaving = vm->entry.state == VmState::kLeaving;
    view.suspected = vm->suspected;
  }

  void CheckConverged(int i, int j) {
    if (i == j) return;
    const Vm* vm = Node(i).table->Find(std::to_string(j));
    if (!Node(j).alive) {
      if (vm != nullptr) Fail(i, j, "a dead VM that is not on the list was not removed");
      return;
    }
    if (vm == nullptr) return Fail(i, j, "a live VM is missing");
    if (vm->suspected) Fail(i, j, "a live VM is suspected after the heal");
    if (vm->entry.incarnation != Node(j).self.incarnation) Fail(i, j, "not at the newest incarnation");
    if (vm->entry.state != Node(j).self.state) Fail(i, j, "the state is wrong after the heal");
  }

  std::array<ExpectedView, size_t{kSimNodes} * kSimNodes> views_{};
  std::optional<std::string> violation_;
};

const bool kRegistered =
    fuzz::RegisterFuzzTarget({"membership", [](uint64_t seed, uint64_t steps) {
                                return FuzzMembership(MembershipFault::kNone, seed, steps);
                              }});

}  // namespace

std::optional<std::string> FuzzMembership(MembershipFault fault, uint64_t seed, uint64_t steps) {
  return fuzz::RunCommands(seed, steps, fault == MembershipFault::kNone,
                           [&] { return MembershipSimulation(fault, seed); });
}

}  // namespace cornelplank::membership

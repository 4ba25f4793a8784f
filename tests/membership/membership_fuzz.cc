#include "tests/membership/membership_fuzz.h"

namespace cornelplank::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// What the oracle knows of one node's view of another.
struct ViewTruth {
  uint64_t incarnation = 0;  // highest seen
  bool leaving = false;      // seen for that incarnation
  bool suspected = false;
  bool present = false;
  base::TimePoint last_answer{};
  base::TimePoint last_heard{};
  int answers = 0;  // since the suspicion
  int misses = 0;   // since the last answer
};

class MembershipWorld : public ZoneSim {
 public:
  MembershipWorld(MembershipFault fault, uint64_t seed) : ZoneSim(fault, seed) {
    for (int i = 0; i < kSimNodes; ++i) OnStart(i);
  }

  std::optional<std::string> Step(fuzz::Word word) {
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

  /// Heals everything; soon all live nodes must know each other as they are and be confirmed.
  std::optional<std::string> Finish() {
    HealAll();
    for (int i = 0; i < kSimNodes; ++i) Node(i).paused = false;
    // A late copy of a dead VM's call would rightly keep it for another 10 s.
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
      if (!Runs(i)) continue;
      for (int j = 0; j < kSimNodes; ++j) CheckConverged(i, j);
      if (!Node(i).gossip->IsConfirmed(*Node(i).table, now_)) Fail(i, i, "is not confirmed after the heal");
    }
    return violation_;
  }

 private:
  ViewTruth& View(int i, int j) { return views_[PairIndex(i, j)]; }
  void Fail(int i, int j, const std::string& text) {
    if (!violation_) violation_ = std::to_string(i) + " of " + std::to_string(j) + ": " + text;
  }

  void Leave(int i) {
    if (!Runs(i)) return;
    Node(i).table->SetOwnLeaving();
    Node(i).self.state = VmState::kLeaving;
  }
  void ConfirmFromPlatform(int i) {
    if (!Runs(i)) return;
    Node(i).gossip->RecordPlatformHead(1, now_, now_);
    Node(i).truth[kPlatformTruth] = now_;
  }

  void OnStart(int i) override {
    for (int j = 0; j < kSimNodes; ++j) {
      View(i, j) = {};
      View(i, j).last_answer = now_;
    }
  }
  void OnHeard(int i, const VmListEntry& from, bool answer) override {
    ViewTruth& view = View(i, std::stoi(from.id));
    // The table may have learned a newer incarnation earlier in this tick; the message then counts for
    // nothing.
    const Vm* vm = Node(i).table->Find(from.id);
    const uint64_t known = std::max(view.incarnation, vm == nullptr ? 0 : vm->entry.incarnation);
    if (from.incarnation < known) return;
    view.last_heard = now_;
    if (!answer) return;
    view.last_answer = now_;
    ++view.answers;
    view.misses = 0;
    // A suspicion can be raised and cleared between two observations of the views only through these calls.
    Observe();
  }
  void OnMissed(int i, int to) override {
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
      if (!Runs(i)) continue;
      for (int j = 0; j < kSimNodes; ++j) {
        if (i != j) ObserveView(i, j);
      }
      const Confirmation& confirmation = Node(i).gossip->confirmation();
      for (size_t region = 0; region < 2; ++region) {
        if (region == RegionIndexOf(i)) continue;
        const base::Duration real = now_ - Node(i).truth[region];
        if (confirmation.RegionAge(region, now_) < real) {
          Fail(i, i, "news of a region looks younger than it is");
        }
      }
      const base::Duration real = now_ - Node(i).truth[kPlatformTruth];
      if (confirmation.HeadAge(now_) < real) Fail(i, i, "news of the platform looks younger than it is");
    }
  }

  void ObserveView(int i, int j) {
    ViewTruth& view = View(i, j);
    const Vm* vm = Node(i).table->Find(std::to_string(j));
    if (vm == nullptr) {
      const auto& list = Node(i).list;
      const bool listed = std::any_of(
          list.begin(), list.end(), [&](const VmListEntry& entry) { return entry.id == std::to_string(j); });
      if (view.present && listed) Fail(i, j, "removed although the newest list shows it");
      if (view.present && now_ - view.last_heard < seconds{10}) Fail(i, j, "removed although it was heard");
      view.present = false;
      return;
    }
    view.present = true;
    if (vm->entry.incarnation < view.incarnation) Fail(i, j, "went back to an older incarnation");
    if (vm->entry.incarnation > incarnations_[static_cast<size_t>(j)]) Fail(i, j, "invented an incarnation");
    const bool same = vm->entry.incarnation == view.incarnation;
    if (same && view.leaving && vm->entry.state == VmState::kLive) Fail(i, j, "forgot that it is leaving");
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
      if (vm != nullptr) Fail(i, j, "a dead VM that the list dropped is still there");
      return;
    }
    if (vm == nullptr) return Fail(i, j, "a live VM is missing");
    if (vm->suspected) Fail(i, j, "a live VM is suspected after the heal");
    if (vm->entry.incarnation != Node(j).self.incarnation) Fail(i, j, "not at the newest incarnation");
    if (vm->entry.state != Node(j).self.state) Fail(i, j, "the state is wrong after the heal");
  }

  std::array<ViewTruth, size_t{kSimNodes} * kSimNodes> views_{};
  std::optional<std::string> violation_;
};

const bool kRegistered =
    fuzz::RegisterFuzzTarget({"membership", [](uint64_t seed, uint64_t steps) {
                                return FuzzMembership(MembershipFault::kNone, seed, steps);
                              }});

}  // namespace

std::optional<std::string> FuzzMembership(MembershipFault fault, uint64_t seed, uint64_t steps) {
  return fuzz::RunCommands(seed, steps, fault == MembershipFault::kNone,
                           [&] { return MembershipWorld(fault, seed); });
}

}  // namespace cornelplank::membership

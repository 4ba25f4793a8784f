#include "tests/membership/membership_fuzz.h"

namespace cornelplank::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time of unchanged conditions within which each zone that can reach the platform must have read it: the
/// longest back-off (30 s), the fall-back limit with its jitter (10 s) and one call (5 s).
constexpr base::Duration kReadBound = seconds{45};

struct ReadCall {
  bool running = false;
  base::TimePoint ends;
  bool answered = false;
};

class ReadersSimulation : public ZoneSim {
 public:
  ReadersSimulation(MembershipFault fault, uint64_t seed) : ZoneSim(fault, seed) { reachable_.fill(true); }

  std::optional<std::string> Step(fuzz::CommandWord word) {
    const int command = word.Take(16);
    const int a = word.Take(kSimNodes);
    const int b = word.Take(kSimNodes);
    if (command == 0) Kill(a);
    if (command == 1) Start(a);
    if (command == 2) Node(a).paused = true;
    if (command == 3) Node(a).paused = false;
    if (command == 4) Blocked(a, b) = Blocked(b, a) = true;
    if (command == 5) Blocked(a, b) = true;
    if (command == 6) HealAll();
    if (command == 7) reachable_[static_cast<size_t>(a)] = word.Take(2) == 0;
    if (command == 8) platform_up_ = word.Take(2) == 0;
    if (command == 9) DeliverList(a, list_ = CurrentList(), base::Duration{0});
    if (command == 10 && IsRunning(a) && word.Take(4) == 0) Node(a).table->SetOwnLeaving();
    for (int n = command > 10 ? word.Take(8) : -1; n >= 0; --n) Tick();
    return violation_;
  }

  /// Leaves the conditions unchanged; the zones that can reach the platform must go on reading it.
  std::optional<std::string> Finish() {
    if (!platform_up_) return violation_;
    const base::TimePoint from = now_;
    last_read_at_.fill(base::TimePoint{});
    while (now_ - from < kReadBound) Tick();
    for (int i = 0; i < kSimNodes; ++i) {
      // A zone whose readers can't reach the platform may stay confirmed through gossip with another zone.
      const base::Duration age = Node(i).gossip->confirmation().PlatformConfirmationAge(now_);
      const bool can_read = IsRunning(i) && reachable_[static_cast<size_t>(i)];
      if (can_read && last_read_at_[RegionIndexOf(i)] < from && age >= 2 * ReadSchedule::kFallbackAfter) {
        Fail("no node of the zone of node " + std::to_string(i) + " reads the platform");
      }
    }
    return violation_;
  }

 private:
  void Fail(std::string text) {
    if (!violation_) violation_ = std::move(text);
  }

  void OnStart(int i) override {
    platform_calls_[static_cast<size_t>(i)] = {};
    last_start_[static_cast<size_t>(i)] = base::TimePoint{};
  }

  void OnTick(int i) override {
    SimNode& node = Node(i);
    ReadCall& call = platform_calls_[static_cast<size_t>(i)];
    const bool is_reader = ReaderSelector::IsOwnReader(*node.table);
    if (call.running && now_ >= call.ends) {
      call.running = false;
      node.schedule->OnCallEnded(call.answered, now_);
      if (call.answered) node.gossip->RecordPlatformHead(1, now_ - milliseconds{10}, now_);
      if (call.answered) last_read_at_[RegionIndexOf(i)] = now_;
    }
    const base::Duration age = node.gossip->confirmation().PlatformConfirmationAge(now_);
    bool due = node.schedule->IsDue(is_reader, age, now_);
    if (fault_ == MembershipFault::kNoReadBudget && !call.running) due = due || age > seconds{5};
    if (!due) return;
    if (!is_reader) CheckBudget(i, age);
    node.schedule->OnCallStarted(now_);
    last_start_[static_cast<size_t>(i)] = now_;
    call.running = true;
    call.answered = platform_up_ && reachable_[static_cast<size_t>(i)];
    // An answered watch of a reader ends after its wait. Any other call ends at once or after 1 s.
    call.ends = now_ + (call.answered && is_reader ? ReadSchedule::kWatchWait
                                                   : base::Duration{seconds{random_.Below(2)}});
  }

  void CheckBudget(int i, base::Duration age) {
    const base::TimePoint last = last_start_[static_cast<size_t>(i)];
    if (now_ - last < ReadSchedule::kFallbackInterval) Fail("two fall-back reads of a node within 5 s");
    if (age < ReadSchedule::kFallbackAfter) Fail("a fall-back read in spite of a recent confirmation");
  }

  std::array<bool, kSimNodes> reachable_{};
  bool platform_up_ = true;
  std::array<ReadCall, kSimNodes> platform_calls_{};
  std::array<base::TimePoint, kSimNodes> last_start_{};
  std::array<base::TimePoint, 2> last_read_at_{};
  std::optional<std::string> violation_;
};

const bool kRegistered = fuzz::RegisterFuzzTarget({"readers", [](uint64_t seed, uint64_t steps) {
                                                     return FuzzReaders(MembershipFault::kNone, seed, steps);
                                                   }});

}  // namespace

std::optional<std::string> FuzzReaders(MembershipFault fault, uint64_t seed, uint64_t steps) {
  return fuzz::RunCommands(seed, steps, fault == MembershipFault::kNone,
                           [&] { return ReadersSimulation(fault, seed); });
}

}  // namespace cornelplank::membership

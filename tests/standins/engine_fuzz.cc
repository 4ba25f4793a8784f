#include "tests/standins/engine_fuzz.h"

#include <algorithm>
#include <map>

#include "standins/engine/core/engine_core.h"
#include "standins/engine/core/tokens.h"
#include "tests/fuzz/fuzz_target.h"

namespace cornelplank::standins::engine {
namespace {

using std::chrono::milliseconds;

constexpr int kMaxCommands = 100;
constexpr base::TimePoint kStart{std::chrono::seconds{1000}};

EngineOptions FuzzOptions() {
  EngineOptions options;
  options.slots = 3;
  options.max_queue = 4;
  options.ms_per_token = 7;
  options.batch_slowdown = 0.3;
  options.prefill_us_per_token = 900;
  options.cache_tokens = kTokensPerBlock * 5;
  options.orders.models = {{"m", "1"}};
  options.orders.load_gb_s = 20;
  return options;
}

/// Splits a random number into several smaller ones.
class RandomChoices {
 public:
  explicit RandomChoices(uint64_t bits) : bits_(bits) {}
  /// Returns a number from 0 to `bound` - 1.
  uint64_t Take(uint64_t bound) {
    const uint64_t value = bits_ % bound;
    bits_ /= bound;
    return value;
  }

 private:
  uint64_t bits_;
};

/// Runs random commands on an engine and checks its invariants after each one. A second engine gets the same
/// commands but is advanced in smaller steps; both must behave the same.
class EngineModelCheck {
 public:
  EngineModelCheck() : core_(FuzzOptions(), kStart), stepwise_core_(FuzzOptions(), kStart) {}

  void Run(uint64_t bits) {
    RandomChoices choices(bits);
    const uint64_t command = choices.Take(10);
    if (command < 4) {
      Submit(choices);
    } else if (command < 7) {
      Advance(milliseconds{choices.Take(120)});
    } else if (command == 7) {
      Cancel(choices);
    } else if (command == 8) {
      Close(choices);
    } else {
      RunControlCommand(choices);
    }
    Check();
  }

 private:
  struct Expected {
    uint64_t max_tokens = 0;
    unsigned priority = 0;
    uint64_t prompt_tokens = 0;
    RequestProgress last;
  };

  void Submit(RandomChoices& choices) {
    EngineRequest request;
    request.id = std::to_string(choices.Take(6));
    request.model = choices.Take(12) == 0 ? "other" : "m";
    request.priority = static_cast<unsigned>(choices.Take(8));
    request.prompt.assign(choices.Take(7) * 100, static_cast<char>('a' + choices.Take(3)));
    request.max_tokens = 1 + choices.Take(12);
    request.resume_tokens = choices.Take(4) == 0 ? choices.Take(14) : 0;
    if (choices.Take(4) == 0) request.deadline = now_ + milliseconds{choices.Take(200)};
    const auto handle = core_.Submit(request, now_, nullptr);
    if (handle != stepwise_core_.Submit(request, now_, nullptr)) {
      RC_FAIL("smaller time steps changed whether a request was accepted");
    }
    if (!handle) {
      ++ended_count_;
      return;
    }
    if (leaving_) RC_FAIL("a leaving engine accepted work");
    open_[*handle] = {request.max_tokens, request.priority, PromptTokens(request.prompt), {}};
  }

  void Advance(milliseconds time) {
    for (auto& [handle, expected] : open_) expected.last = core_.Progress(handle);
    for (int part = 1; part <= 5; ++part) stepwise_core_.AdvanceTo(now_ + time * part / 5);
    now_ += time;
    core_.AdvanceTo(now_);
    for (const auto& [started, expected] : open_) {
      const bool starts = !expected.last.started && core_.Progress(started).started;
      for (const auto& [waiting, other] : open_) {
        if (!starts || core_.Progress(waiting).state != RequestState::kQueued) continue;
        if (std::pair(other.priority, waiting) < std::pair(expected.priority, started)) {
          RC_FAIL("a request started before one of higher priority");
        }
      }
    }
  }

  void Cancel(RandomChoices& choices) {
    const std::string id = std::to_string(choices.Take(6));
    if (core_.Cancel(id, now_) != stepwise_core_.Cancel(id, now_)) {
      RC_FAIL("smaller time steps changed how many requests were cancelled");
    }
  }

  void Close(RandomChoices& choices) {
    if (open_.empty()) return;
    const auto closed = std::next(open_.begin(), static_cast<int64_t>(choices.Take(open_.size())));
    const bool whole = core_.Progress(closed->first).state == RequestState::kFinished;
    core_.Close(closed->first, whole, now_);
    stepwise_core_.Close(closed->first, whole, now_);
    const bool complete = core_.log().back().outcome == "complete";
    if (complete != whole) RC_FAIL("the log calls an unfinished request complete");
    open_.erase(closed);
    ++ended_count_;
  }

  void RunControlCommand(RandomChoices& choices) {
    const uint64_t kind = choices.Take(8);
    if (kind == 0 && choices.Take(4) == 0) {
      leaving_ = true;
      core_.Leave(now_);
      stepwise_core_.Leave(now_);
      return;
    }
    if (kind < 4) {
      const EngineFaultKind fault = kind == 1   ? EngineFaultKind::kStallAfterTokens
                                    : kind == 2 ? EngineFaultKind::kSlow
                                                : EngineFaultKind::kNone;
      const uint64_t n = choices.Take(6);
      core_.SetFault(fault, n, now_);
      stepwise_core_.SetFault(fault, n, now_);
      return;
    }
    const ReceivedOrder order{
        std::to_string(choices.Take(5)), choices.Take(4), "z", kind < 6 ? "load" : "unload", "m",
        std::to_string(choices.Take(3))};
    const auto status = core_.SubmitOrder(order, now_, nullptr);
    if (status != stepwise_core_.SubmitOrder(order, now_, nullptr)) {
      RC_FAIL("smaller time steps changed the status of an order");
    }
    if (core_.orders().fence() < fence_) RC_FAIL("the fence decreased");
    if (status && order.fence < fence_) RC_FAIL("an order with an old fence was accepted");
    fence_ = core_.orders().fence();
  }

  void Check() {
    core_.AdvanceTo(now_);
    stepwise_core_.AdvanceTo(now_);
    unsigned running = 0;
    unsigned queued = 0;
    for (auto& [handle, expected] : open_) {
      const RequestProgress view = core_.Progress(handle);
      const RequestProgress other = stepwise_core_.Progress(handle);
      if (view.state != other.state || view.produced != other.produced) {
        RC_FAIL("smaller time steps changed the progress of a request");
      }
      if (view.produced > expected.max_tokens) RC_FAIL("a request produced more than max_tokens");
      const bool finished = view.state == RequestState::kFinished;
      if (finished && view.produced != expected.max_tokens) RC_FAIL("a request finished before max_tokens");
      if (view.cached_tokens > expected.prompt_tokens) RC_FAIL("more cached tokens than the prompt has");
      running += view.state == RequestState::kRunning ? 1 : 0;
      queued += view.state == RequestState::kQueued ? 1 : 0;
    }
    if (running != core_.running() || queued != core_.queued()) {
      RC_FAIL("running() or queued() differs from the states of the requests");
    }
    if (running > core_.options().slots) RC_FAIL("more running requests than slots");
    if (core_.log().size() != ended_count_) RC_FAIL("not exactly one log record for each ended request");
  }

  EngineCore core_;
  EngineCore stepwise_core_;
  base::TimePoint now_ = kStart;
  std::map<uint64_t, Expected> open_;
  size_t ended_count_ = 0;
  bool leaving_ = false;
  uint64_t fence_ = 0;
};

const bool kRegistered = fuzz::RegisterFuzzTarget({"standin_engine", RunEngineFuzz});

}  // namespace

std::optional<std::string> RunEngineFuzz(uint64_t seed, uint64_t steps) {
  const auto command = rc::gen::resize(rc::kNominalSize, rc::gen::inRange<uint64_t>(0, uint64_t{1} << 60));
  const uint64_t cases = std::max<uint64_t>(20, steps * 2 / kMaxCommands);
  return fuzz::CheckProperty(seed, cases, kMaxCommands, [&] {
    EngineModelCheck machine;
    for (const uint64_t bits : *rc::gen::container<std::vector<uint64_t>>(command)) machine.Run(bits);
  });
}

}  // namespace cornelplank::standins::engine

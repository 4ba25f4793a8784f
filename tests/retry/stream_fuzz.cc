#include <deque>

#include "libs/retry/retry.h"
#include "tests/fuzz/fuzz_target.h"
#include "tests/retry/retry_fuzz.h"
#include "tests/tickets/fuzz_steps.h"

namespace cornelplank::retry {
namespace {

/// Engines that stream the same response, a network that drops, duplicates and reorders messages, and a
/// client that checks what it gets. The tokens of the response are "0", "1", ... up to kLength - 1.
class StreamWorld {
 public:
  static constexpr const char* kNames[] = {
      "emit", "emit",    "emit", "emit",  "deliver", "deliver",  "deliver",  "deliver", "deliver",   "drop",
      "copy", "reorder", "kill", "start", "start",   "terminal", "terminal", "give-up", "old-source"};
  static constexpr uint64_t kLength = 12;

  explicit StreamWorld(StreamFault fault) : fault_(fault) { Start(0); }
  std::string violation;  // the first one found; empty without any

  void Apply(size_t kind, size_t a, size_t b) {
    const std::string name = kNames[kind];
    Engine& engine = engines_[engines_.size() - 1 - a % std::min<size_t>(2, engines_.size())];
    if (name == "emit" && !engine.dead && engine.next < kLength) Emit(&engine, 1 + b % 3);
    if (name == "terminal" && !engine.dead && engine.next == kLength) {
      network_.push_back(Message{{engine.id, kLength, {}}, true});
    }
    if (name == "deliver" && !network_.empty()) Deliver(b % 4 == 0 ? a % network_.size() : 0);
    if (name == "drop" && b % 3 == 0 && !network_.empty()) network_.erase(At(a));
    if (name == "copy" && !network_.empty()) network_.push_back(*At(a));
    if (name == "reorder" && b % 3 == 0 && network_.size() > 1) std::swap(*At(a), *At(b));
    if (name == "kill" && b % 3 == 0) BreakOff(&engine);
    if (name == "start") Start(b % 3);
    if (name == "old-source") {
      Forbid(assembler_.SetCurrentAttempt(engine.id), "an earlier attempt was taken again");
    }
    if (name == "give-up" && b % 8 == 0) {
      const bool was_open = assembler_.state() == StreamState::kOpen;
      Forbid(assembler_.Fail() != was_open, "a stream that has ended can't fail");
      failed_ = failed_ || was_open;
    }
    Check();
  }

  // Streams a last attempt to its end over a network without faults, after which an open stream must be
  // complete.
  void End() {
    network_.clear();
    Start(0);
    Emit(&engines_.back(), kLength);
    network_.push_back(Message{{engines_.back().id, kLength, {}}, true});
    while (!network_.empty()) Deliver(0);
    Check();
    Forbid(violation.empty() && !ended_ && !failed_, "a whole stream was not ended");
  }

 private:
  void Forbid(bool seen, std::string_view text) {
    if (seen && violation.empty()) violation = text;
  }

  struct Engine {
    AttemptId id;
    uint64_t next = 0;
    bool dead = false;
  };
  struct Message {
    TokenChunk chunk;
    bool terminal = false;
  };

  std::deque<Message>::iterator At(size_t index) {
    return network_.begin() + static_cast<std::ptrdiff_t>(index % network_.size());
  }

  // Starts an attempt. `overlap`: the number of tokens before the resume point that the engine repeats.
  void Start(uint64_t overlap) {
    const AttemptId id{1, static_cast<uint32_t>(engines_.size() + 1)};
    const uint64_t from = assembler_.next_index() - std::min(overlap, assembler_.next_index());
    engines_.push_back(Engine{id, from, false});
    const bool taken = assembler_.SetCurrentAttempt(id);
    Forbid(taken != (assembler_.state() == StreamState::kOpen), "a later attempt was not taken");
  }

  void Emit(Engine* engine, uint64_t count) {
    Message message{{engine->id, engine->next, {}}, false};
    for (; count > 0 && engine->next < kLength; --count) {
      message.chunk.tokens.push_back(std::to_string(engine->next++));
    }
    network_.push_back(message);
  }

  void Deliver(size_t index) {
    Message message = network_[index];
    network_.erase(At(index));
    const bool current = message.chunk.attempt == engines_.back().id;
    if (fault_ == StreamFault::kLateAccepted) message.chunk.attempt = engines_.back().id;
    if (message.terminal) {
      uint64_t total = message.chunk.first;
      if (fault_ == StreamFault::kEndWithGap) total = assembler_.next_index();
      const AssemblyResult event = assembler_.End(message.chunk.attempt, total);
      Forbid(event == AssemblyResult::kEnded && ended_, "two terminal events");
      if (event == AssemblyResult::kEnded) ended_ = true;
      Forbid(event == AssemblyResult::kEnded && failed_, "a terminal event after the failure");
      return;
    }
    std::vector<std::string> passed;
    const AssemblyResult event = assembler_.Accept(message.chunk, &passed);
    if (fault_ == StreamFault::kTokenTwice && event == AssemblyResult::kNewTokens) {
      passed = message.chunk.tokens;
    }
    Forbid((event == AssemblyResult::kNewTokens) != !passed.empty(),
           "the event does not tell what was passed");
    Forbid(!passed.empty() && (ended_ || failed_), "a token after the end");
    Forbid(!passed.empty() && !current, "a token of a replaced attempt");
    client_.insert(client_.end(), passed.begin(), passed.end());
  }

  void BreakOff(Engine* engine) {
    engine->dead = true;
    if (fault_ == StreamFault::kNoTerminal && assembler_.state() == StreamState::kOpen) {
      ended_ = assembler_.End(engines_.back().id, assembler_.next_index()) == AssemblyResult::kEnded;
    }
  }

  void Check() {
    for (size_t i = 0; i < client_.size(); ++i) {
      Forbid(client_[i] != std::to_string(i), "token " + client_[i] + " at place " + std::to_string(i));
    }
    Forbid(ended_ && client_.size() != kLength, "ended with tokens missing");
    Forbid(ended_ != (assembler_.state() == StreamState::kComplete), "complete without a terminal event");
    Forbid(failed_ != (assembler_.state() == StreamState::kFailed), "the failure is not marked");
  }

  StreamFault fault_;
  StreamAssembler assembler_;
  std::vector<Engine> engines_;
  std::deque<Message> network_;
  std::vector<std::string> client_;
  bool ended_ = false;
  bool failed_ = false;
};

const bool kRegistered = fuzz::RegisterFuzzTarget(
    {"stream", [](uint64_t seed, uint64_t steps) { return FuzzStream(seed, steps, StreamFault::kNone); }});

}  // namespace

std::optional<std::string> FuzzStream(uint64_t seed, uint64_t steps, StreamFault fault) {
  return fuzz::RunWorlds<StreamWorld>(seed, steps, 200, [fault] { return StreamWorld(fault); });
}

}  // namespace cornelplank::retry

#include "tests/tickets/tickets_fuzz.h"

#include <map>
#include <memory>
#include <set>

#include "libs/tickets/tickets.h"
#include "tests/fuzz/fuzz_target.h"
#include "tests/tickets/fuzz_steps.h"

namespace cornelplank::tickets {
namespace {

using std::chrono::seconds;

TicketLimits SmallLimits() { return {8, 3, 100, 100, seconds(20), seconds(60), seconds(3)}; }

/// One owner VM with its incarnations, clients and relays that reach it over a faulty network, an upstream
/// that counts executions, and an oracle that checks the answer to each call and lookup.
class TicketWorld {
 public:
  // A repeated name is drawn more often. Most commands serve calls, so that faults meet calls in every state.
  static constexpr const char* kNames[] = {"mint",
                                           "mint",
                                           "call",
                                           "call",
                                           "call",
                                           "call",
                                           "implicit-call",
                                           "deliver",
                                           "deliver",
                                           "deliver",
                                           "deliver",
                                           "deliver",
                                           "deliver",
                                           "drop",
                                           "duplicate",
                                           "duplicate",
                                           "refuse",
                                           "send",
                                           "send",
                                           "send",
                                           "execute",
                                           "execute",
                                           "answer",
                                           "answer",
                                           "lookup",
                                           "lookup",
                                           "wait",
                                           "wait",
                                           "clock-jump",
                                           "publish",
                                           "progress-deadline",
                                           "catch-up",
                                           "pause",
                                           "wake",
                                           "wake",
                                           "refresh",
                                           "refresh",
                                           "heal",
                                           "partition",
                                           "kill",
                                           "forge",
                                           "drain",
                                           "replace",
                                           "late-clock"};

  explicit TicketWorld(TicketFault fault) : fault_(fault) { Restart(); }
  std::string violation;  // the first one found; empty without any

  void Apply(size_t kind, size_t a, size_t b) {
    const std::string name = kNames[kind];
    if (name == "mint") Mint(b % 3, false);
    if (name == "call" && !texts_.empty()) {
      Call(PickRecent(texts_, a), b % 9 == 8 ? b % 3 : SIZE_MAX, b, false);
    }
    if (name == "implicit-call") Mint(b % 3, true);
    if (name == "deliver" && !partitioned_ && !paused_ && !network_.empty()) Deliver(a % network_.size());
    if (name == "drop" && !network_.empty()) Drop(a % network_.size(), b % 2 == 0);
    if (name == "duplicate" && !network_.empty()) {
      network_[a % network_.size()].duplicated = true;
      network_.push_back(network_[a % network_.size()]);
    }
    if (name == "pause") paused_ = true;
    if (name == "wake" && paused_) {
      paused_ = false;
      if (incarnation_status_ == IncarnationStatus::kCurrent) {
        incarnation_status_ = IncarnationStatus::kUnconfirmed;
      }
    }
    if (name == "refresh" && incarnation_status_ == IncarnationStatus::kUnconfirmed && !paused_) {
      incarnation_status_ = IncarnationStatus::kCurrent;
    }
    if (name == "replace" && a % 8 == 0) incarnation_status_ = IncarnationStatus::kReplaced;
    if (name == "kill" && a % 3 == 0) Restart();
    if (name == "partition") partitioned_ = true;
    if (name == "heal") partitioned_ = false;
    if (name == "wait") now_ += std::chrono::milliseconds(50 * a);
    if (name == "clock-jump" && b % 3 == 0) now_ += seconds(3 * a);
    if (name == "publish") ++published_;
    if (name == "catch-up") own_config_ = published_;
    if (name == "drain" && a % 8 == 0) table_->Drain();
    if (name == "late-clock") table_->Expire(now_ - seconds(a));
    if (name == "forge" && !texts_.empty()) Forge(PickRecent(texts_, a), b);
    if (name == "lookup" && !texts_.empty() && !paused_) {
      const std::string& text = PickRecent(texts_, a);
      const MintedRecord& record = minted_.at(text);
      CheckAnswer(text, record.client, record.client,
                  table_->Lookup(text, Binding(record.client), record.client, now_));
    }
    if (!sends_.empty()) ApplyToSend(name, &PickRecent(sends_, a));
    Forbid(table_->size() > limits_.max_tickets, "more entries than allowed");
    Forbid(table_->result_bytes() > limits_.max_total_bytes, "more result bytes than allowed");
  }

  // Executes every call that was sent, so that a wrong `not-run` is detected.
  void End() {
    for (Send& send : sends_) ApplyToSend("execute", &send);
  }

 private:
  void Forbid(bool seen, std::string_view text) {
    if (seen && violation.empty()) violation = text;
  }

  struct Message {
    std::string text;
    size_t client = 0;
    size_t request = 0;
    base::TimePoint deadline;
    base::TimePoint arrived;
    uint64_t config = 0;
    bool private_ticket = false;
    bool duplicated = false;
  };
  struct Send {
    Message call;
    SendId id;
    int incarnation = 0;
    bool sent = false;
    bool executed = false;
    bool settled = false;
  };
  struct MintedRecord {
    size_t client = 0;
    int incarnation = 0;
    base::TimePoint expiry;
    bool reached_owner = false;  // a call on the ticket reached its owner
  };

  static TicketBinding Binding(size_t client) { return {"partner", std::to_string(client), "booking"}; }
  static std::string Body(const Message& call) {
    const std::string own = std::to_string(call.client) + "|" + std::to_string(call.request);
    // Some bodies exceed max_result_bytes.
    return call.text + "|" + own + std::string(call.request % 5 == 4 ? 80 : 0, '.');
  }

  // Returns mostly one of the last three.
  template <typename T>
  static T& PickRecent(std::vector<T>& list, size_t a) {
    const size_t reach = a % 7 == 6 ? list.size() : std::min<size_t>(3, list.size());
    return list[list.size() - 1 - a % reach];
  }

  void Restart() {
    ++incarnation_;
    TicketCodec::Key key{};
    key[0] = static_cast<unsigned char>(incarnation_);
    table_ = std::make_unique<TicketTable>(TicketCodec("z", "vm", static_cast<uint64_t>(incarnation_), key),
                                           limits_);
    paused_ = false;
    incarnation_status_ = IncarnationStatus::kCurrent;
    own_config_ = published_;
  }

  void Mint(size_t client, bool implicit) {
    if (partitioned_ || paused_) return;
    const auto minted = table_->Mint(Binding(client), now_, nullptr);
    if (!minted) return;
    Forbid(minted_.contains(minted->text), "the same ticket was minted twice");
    minted_[minted->text] = MintedRecord{client, incarnation_, now_ + minted->expires_in, false};
    if (!implicit) texts_.push_back(minted->text);
    if (implicit) Call(minted->text, SIZE_MAX, client, true);
  }

  void Call(const std::string& text, size_t client, size_t b, bool private_ticket) {
    const MintedRecord& record = minted_.at(text);
    const size_t own = client == SIZE_MAX ? record.client : client;
    // Mostly the same request, as from a client that repeats its call.
    const size_t request = b % 7 == 6 ? b : record.client;
    const uint64_t config = b % 5 == 0 ? published_ : own_config_;
    network_.push_back(
        Message{text, own, request, now_ + seconds(1 + b % 8), now_, config, private_ticket, false});
  }

  void Deliver(size_t index) {
    const Message call = network_[index];
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
    SendConditions conditions{now_, call.deadline, call.config, own_config_, incarnation_status_};
    if (fault_ == TicketFault::kOldTime) conditions.now = call.arrived;
    if (fault_ == TicketFault::kIncarnationIgnored) {
      conditions.incarnation_status = IncarnationStatus::kCurrent;
    }
    if (fault_ == TicketFault::kConfigIgnored) conditions.own_config_seq = call.config;
    const size_t request = fault_ == TicketFault::kRequestIgnored ? 0 : call.request;
    const TicketAnswer answer = table_->Begin(call.text, Binding(call.client), request, conditions);
    const auto found = minted_.find(call.text);
    if (found != minted_.end() && found->second.incarnation == incarnation_ &&
        found->second.client == call.client) {
      CheckStarted(call, &found->second, answer);
    }
    bool start = answer.decision == TicketDecision::kStart;
    const bool passes = CheckSendConditions(conditions) == TicketCode::kNone;
    if (passes && fault_ == TicketFault::kDoubleSend && answer.decision == TicketDecision::kInProgress) {
      start = true;
    }
    if (passes && fault_ == TicketFault::kForgottenRunnable && found != minted_.end() &&
        (answer.code == TicketCode::kForgotten || answer.code == TicketCode::kOtherIncarnation)) {
      start = true;
    }
    if (!start) return CheckAnswer(call.text, call.client, call.request, answer);
    Forbid(now_ >= call.deadline, "started after the deadline");
    Forbid(incarnation_status_ != IncarnationStatus::kCurrent, "started by an owner that is not current");
    Forbid(own_config_ < call.config, "started under an older configuration");
    sends_.push_back(Send{call, answer.send, incarnation_, false, false, false});
  }

  // A table that refused everything would break no rule about executions, so a call on an unused ticket must
  // start.
  void CheckStarted(const Message& call, MintedRecord* record, const TicketAnswer& answer) {
    const bool may_send = now_ < call.deadline && incarnation_status_ == IncarnationStatus::kCurrent &&
                          own_config_ >= call.config;
    const bool unused = !record->reached_owner && now_ < record->expiry;
    record->reached_owner = true;
    Forbid(unused && may_send && fault_ == TicketFault::kNone && answer.decision != TicketDecision::kStart,
           "an unused ticket was not started: " + std::string(TicketCodeName(answer.code)));
  }

  void Drop(size_t index, bool refused_connection) {
    const Message call = network_[index];
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
    const FailedRelay relay{!refused_connection || call.duplicated, call.private_ticket};
    base::Outcome outcome = OutcomeOfFailedRelay(relay);
    if (fault_ == TicketFault::kRelayNotRun && !relay.may_have_arrived) outcome = base::Outcome::kNotRun;
    if (outcome == base::Outcome::kNotRun) OnNotRun(call.text);
  }

  void ApplyToSend(const std::string& name, Send* send) {
    const bool owner_acts = send->incarnation == incarnation_ && !paused_ && !send->settled;
    if (name == "refuse" && owner_acts && !send->sent) {
      send->settled = true;
      if (table_->Abandon(send->id, now_)) OnNotRun(send->call.text);
    }
    if (name == "send" && owner_acts) send->sent = true;
    if (name == "execute" && send->sent && !send->executed) {
      send->executed = true;
      Forbid(++executions_[send->call.text] > 1, "executed twice: " + send->call.text);
      Forbid(not_run_.contains(send->call.text), "executed after not-run: " + send->call.text);
    }
    if (name == "answer" && owner_acts && send->executed) {
      table_->Complete(send->id, StoredResult{200, "", Body(send->call)}, now_);
      send->settled = true;
    }
    if (name == "progress-deadline" && owner_acts && send->sent) {
      if (fault_ == TicketFault::kSilenceIsNotRun) {
        if (table_->Abandon(send->id, now_)) OnNotRun(send->call.text);
      } else {
        table_->MarkUnknown(send->id, now_);  // the answer may still come
      }
    }
  }

  void Forge(std::string text, size_t b) {
    text[text.size() - 1 - b % 22] = text[text.size() - 1 - b % 22] == 'A' ? 'B' : 'A';
    if (minted_.contains(text)) return;
    network_.push_back(Message{text, b % 3, b, now_ + seconds(8), now_, own_config_, false, false});
  }

  void CheckAnswer(const std::string& text, size_t client, size_t request, const TicketAnswer& answer) {
    if (answer.outcome == base::Outcome::kNotRun) OnNotRun(text);
    if (answer.outcome != base::Outcome::kRan) return;
    Forbid(executions_[text] != 1, "reported ran, but executed another number of times");
    Message own;
    own.text = text;
    own.client = client;
    own.request = request;
    Forbid(answer.result != nullptr && answer.result->body != Body(own), "the result of another call");
  }

  void OnNotRun(const std::string& text) {
    Forbid(executions_[text] > 0, "not-run after an execution: " + text);
    not_run_.insert(text);
  }

  TicketFault fault_;
  const TicketLimits limits_ = SmallLimits();
  std::unique_ptr<TicketTable> table_;
  int incarnation_ = 0;
  base::TimePoint now_{seconds(1000)};
  IncarnationStatus incarnation_status_ = IncarnationStatus::kCurrent;
  bool paused_ = false;
  bool partitioned_ = false;
  uint64_t published_ = 1;
  uint64_t own_config_ = 1;
  std::vector<std::string> texts_;
  std::map<std::string, MintedRecord> minted_;
  std::vector<Message> network_;
  std::vector<Send> sends_;
  std::map<std::string, int> executions_;
  std::set<std::string> not_run_;
};

const bool kRegistered = fuzz::RegisterFuzzTarget(
    {"tickets", [](uint64_t seed, uint64_t steps) { return FuzzTickets(seed, steps, TicketFault::kNone); }});

}  // namespace

std::optional<std::string> FuzzTickets(uint64_t seed, uint64_t steps, TicketFault fault) {
  return fuzz::RunWorlds<TicketWorld>(seed, steps, 200, [fault] { return TicketWorld(fault); });
}

}  // namespace cornelplank::tickets

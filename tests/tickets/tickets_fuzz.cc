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

/// One owner VM with its incarnations, relays that reach it over a network, clients, and an upstream that
/// counts.
class TicketWorld {
 public:
  // Repeated names are drawn more often: most commands serve calls, so that faults meet calls in every state.
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
  std::string violation;  // the first one

  void Apply(size_t kind, size_t a, size_t b) {
    const std::string name = kNames[kind];
    if (name == "mint") Mint(b % 3, false);
    if (name == "call" && !texts_.empty()) Call(Recent(texts_, a), b % 9 == 8 ? b % 3 : SIZE_MAX, b, false);
    if (name == "implicit-call") Mint(b % 3, true);
    if (name == "deliver" && !cut_ && !paused_ && !network_.empty()) Deliver(a % network_.size());
    if (name == "drop" && !network_.empty()) Drop(a % network_.size(), b % 2 == 0);
    if (name == "duplicate" && !network_.empty()) {
      network_[a % network_.size()].copied = true;
      network_.push_back(network_[a % network_.size()]);
    }
    if (name == "pause") paused_ = true;
    if (name == "wake" && paused_) {
      paused_ = false;
      if (standing_ == IncarnationStatus::kCurrent) standing_ = IncarnationStatus::kUnconfirmed;
    }
    if (name == "refresh" && standing_ == IncarnationStatus::kUnconfirmed && !paused_)
      standing_ = IncarnationStatus::kCurrent;
    if (name == "replace" && a % 8 == 0) standing_ = IncarnationStatus::kReplaced;
    if (name == "kill" && a % 3 == 0) Restart();
    if (name == "partition") cut_ = true;
    if (name == "heal") cut_ = false;
    if (name == "wait") now_ += std::chrono::milliseconds(50 * a);
    if (name == "clock-jump" && b % 3 == 0) now_ += seconds(3 * a);
    if (name == "publish") ++published_;
    if (name == "catch-up") own_config_ = published_;
    if (name == "drain" && a % 8 == 0) table_->Drain();
    if (name == "late-clock") table_->Expire(now_ - seconds(a));
    if (name == "forge" && !texts_.empty()) Forge(Recent(texts_, a), b);
    if (name == "lookup" && !texts_.empty() && !paused_) {
      const std::string& text = Recent(texts_, a);
      const Model& model = models_.at(text);
      Told(text, model.client, model.client, table_->Lookup(text, Binding(model.client), model.client, now_));
    }
    if (!sends_.empty()) ApplyToSend(name, &Recent(sends_, a));
    Forbid(table_->size() > limits_.max_tickets, "more entries than allowed");
    Forbid(table_->result_bytes() > limits_.max_total_bytes, "more result bytes than allowed");
  }

  // Everything that has left arrives in the end, so that a wrong `not-run` shows.
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
    bool copied = false;
  };
  struct Send {
    Message call;
    SendId id;
    int generation = 0;
    bool left = false;
    bool executed = false;
    bool settled = false;
  };
  struct Model {
    size_t client = 0;
    int generation = 0;
    base::TimePoint expiry;
    bool touched = false;  // a call reached the owner's gate
  };

  static TicketBinding Binding(size_t client) { return {"partner", std::to_string(client), "booking"}; }
  static std::string Body(const Message& call) {
    const std::string own = std::to_string(call.client) + "|" + std::to_string(call.request);
    // Some bodies are above the limit for one result.
    return call.text + "|" + own + std::string(call.request % 5 == 4 ? 80 : 0, '.');
  }

  // Mostly one of the last three.
  template <typename T>
  static T& Recent(std::vector<T>& list, size_t a) {
    const size_t reach = a % 7 == 6 ? list.size() : std::min<size_t>(3, list.size());
    return list[list.size() - 1 - a % reach];
  }

  void Restart() {
    ++generation_;
    TicketCodec::Key key{};
    key[0] = static_cast<unsigned char>(generation_);
    table_ = std::make_unique<TicketTable>(TicketCodec("z", "vm", static_cast<uint64_t>(generation_), key),
                                           limits_);
    paused_ = false;
    standing_ = IncarnationStatus::kCurrent;
    own_config_ = published_;
  }

  void Mint(size_t client, bool implicit) {
    if (cut_ || paused_) return;
    const auto minted = table_->Mint(Binding(client), now_, nullptr);
    if (!minted) return;
    Forbid(models_.contains(minted->text), "the same ticket was minted twice");
    models_[minted->text] = Model{client, generation_, now_ + minted->expires_in, false};
    if (!implicit) texts_.push_back(minted->text);
    if (implicit) Call(minted->text, SIZE_MAX, client, true);
  }

  void Call(const std::string& text, size_t client, size_t b, bool private_ticket) {
    const Model& model = models_.at(text);
    const size_t own = client == SIZE_MAX ? model.client : client;
    // Mostly the same request again, as a client that repeats a call sends it.
    const size_t request = b % 7 == 6 ? b : model.client;
    const uint64_t config = b % 5 == 0 ? published_ : own_config_;
    network_.push_back(
        Message{text, own, request, now_ + seconds(1 + b % 8), now_, config, private_ticket, false});
  }

  void Deliver(size_t index) {
    const Message call = network_[index];
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
    SendConditions gate{now_, call.deadline, call.config, own_config_, standing_};
    if (fault_ == TicketFault::kOldClock) gate.now = call.arrived;
    if (fault_ == TicketFault::kOldStanding) gate.incarnation_status = IncarnationStatus::kCurrent;
    if (fault_ == TicketFault::kOldConfig) gate.own_config_seq = call.config;
    const size_t request = fault_ == TicketFault::kAnyRequest ? 0 : call.request;
    const TicketAnswer answer = table_->Begin(call.text, Binding(call.client), request, gate);
    const auto found = models_.find(call.text);
    if (found != models_.end() && found->second.generation == generation_ &&
        found->second.client == call.client) {
      CheckServed(call, &found->second, answer);
    }
    bool start = answer.decision == TicketDecision::kStart;
    const bool passes = CheckSendConditions(gate) == TicketCode::kNone;
    if (passes && fault_ == TicketFault::kDoubleSend && answer.decision == TicketDecision::kInProgress) {
      start = true;
    }
    if (passes && fault_ == TicketFault::kForgottenRunnable && found != models_.end() &&
        (answer.code == TicketCode::kForgotten || answer.code == TicketCode::kOtherIncarnation)) {
      start = true;
    }
    if (!start) return Told(call.text, call.client, call.request, answer);
    Forbid(now_ >= call.deadline, "started after the deadline");
    Forbid(standing_ != IncarnationStatus::kCurrent, "started without standing");
    Forbid(own_config_ < call.config, "started under an older configuration");
    sends_.push_back(Send{call, answer.send, generation_, false, false, false});
  }

  // A table that refused everything would break no rule about executions, so a fresh ticket must start.
  void CheckServed(const Message& call, Model* model, const TicketAnswer& answer) {
    const bool open =
        now_ < call.deadline && standing_ == IncarnationStatus::kCurrent && own_config_ >= call.config;
    const bool fresh = !model->touched && now_ < model->expiry;
    model->touched = true;
    Forbid(fresh && open && fault_ == TicketFault::kNone && answer.decision != TicketDecision::kStart,
           "a fresh ticket was not started: " + std::string(TicketCodeName(answer.code)));
  }

  void Drop(size_t index, bool refused_connection) {
    const Message call = network_[index];
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
    const FailedRelay relay{!refused_connection || call.copied, call.private_ticket};
    base::Outcome outcome = OutcomeOfFailedRelay(relay);
    if (fault_ == TicketFault::kRelayNotRun && !relay.may_have_arrived) outcome = base::Outcome::kNotRun;
    if (outcome == base::Outcome::kNotRun) NotRun(call.text);
  }

  void ApplyToSend(const std::string& name, Send* send) {
    const bool owner_acts = send->generation == generation_ && !paused_ && !send->settled;
    if (name == "refuse" && owner_acts && !send->left) {
      send->settled = true;
      if (table_->Abandon(send->id, now_)) NotRun(send->call.text);
    }
    if (name == "send" && owner_acts) send->left = true;
    if (name == "execute" && send->left && !send->executed) {
      send->executed = true;
      Forbid(++executions_[send->call.text] > 1, "executed twice: " + send->call.text);
      Forbid(not_run_.contains(send->call.text), "executed after not-run: " + send->call.text);
    }
    if (name == "answer" && owner_acts && send->executed) {
      table_->Complete(send->id, StoredResult{200, "", Body(send->call)}, now_);
      send->settled = true;
    }
    if (name == "progress-deadline" && owner_acts && send->left) {
      if (fault_ == TicketFault::kSilentIsNotRun) {
        if (table_->Abandon(send->id, now_)) NotRun(send->call.text);
      } else {
        table_->MarkUnknown(send->id, now_);  // the answer may still come
      }
    }
  }

  void Forge(std::string text, size_t b) {
    text[text.size() - 1 - b % 22] = text[text.size() - 1 - b % 22] == 'A' ? 'B' : 'A';
    if (models_.contains(text)) return;
    network_.push_back(Message{text, b % 3, b, now_ + seconds(8), now_, own_config_, false, false});
  }

  void Told(const std::string& text, size_t client, size_t request, const TicketAnswer& answer) {
    if (answer.outcome == base::Outcome::kNotRun) NotRun(text);
    if (answer.outcome != base::Outcome::kRan) return;
    Forbid(executions_[text] != 1, "reported ran, but executed another number of times");
    Message own;
    own.text = text;
    own.client = client;
    own.request = request;
    Forbid(answer.result != nullptr && answer.result->body != Body(own), "the result of another call");
  }

  void NotRun(const std::string& text) {
    Forbid(executions_[text] > 0, "not-run after an execution: " + text);
    not_run_.insert(text);
  }

  TicketFault fault_;
  const TicketLimits limits_ = SmallLimits();
  std::unique_ptr<TicketTable> table_;
  int generation_ = 0;
  base::TimePoint now_{seconds(1000)};
  IncarnationStatus standing_ = IncarnationStatus::kCurrent;
  bool paused_ = false;
  bool cut_ = false;
  uint64_t published_ = 1;
  uint64_t own_config_ = 1;
  std::vector<std::string> texts_;
  std::map<std::string, Model> models_;
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

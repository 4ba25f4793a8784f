#include "libs/tickets/internal/ticket_table.h"

#include <algorithm>

namespace cornelplank::tickets {
namespace {

using base::Outcome;

std::string ClientKey(const TicketBinding& binding) { return binding.partner + "/" + binding.client; }

TicketAnswer Refused(TicketCode code) { return {TicketDecision::kRefused, Outcome::kNotRun, code, {}, {}}; }
TicketAnswer Unknown(TicketCode code) { return {TicketDecision::kUnknown, Outcome::kUnknown, code, {}, {}}; }

}  // namespace

TicketTable::TicketTable(const TicketCodec& codec, const TicketLimits& limits)
    : codec_(codec), limits_(limits) {}

std::optional<MintedTicket> TicketTable::Mint(const TicketBinding& binding, base::TimePoint now,
                                              TicketReason* reason) {
  now = Advance(now);
  if (draining_) {
    base::SetReason(reason, TicketCode::kDraining, "the VM is leaving");
    return std::nullopt;
  }
  size_t& minted = minted_by_client_[ClientKey(binding)];
  if (minted >= limits_.max_minted_per_client) {
    base::SetReason(reason, TicketCode::kClientLimit, "too many unused tickets");
    return std::nullopt;
  }
  if (!EvictIfFull()) {
    if (minted == 0) minted_by_client_.erase(ClientKey(binding));
    base::SetReason(reason, TicketCode::kTableFull, "all tickets of the table are open");
    return std::nullopt;
  }
  ++minted;
  const uint64_t counter = next_counter_++;
  Entry& entry = entries_[counter];
  entry.binding = binding;
  ++open_;
  Schedule(counter, &entry, now + limits_.minted_lifetime);
  return MintedTicket{codec_.Encode(counter), limits_.minted_lifetime};
}

TicketAnswer TicketTable::Begin(std::string_view ticket, const TicketBinding& binding,
                                uint64_t request_digest, const SendConditions& conditions) {
  const base::TimePoint now = Advance(conditions.now);
  TicketAnswer answer;
  Entry* entry = FindEntry(ticket, binding, &answer);
  if (entry == nullptr) return answer;
  if (entry->state != State::kMinted) {
    if (entry->state != State::kClosed && entry->request_digest != request_digest) {
      return Unknown(TicketCode::kMismatch);
    }
    return AnswerFor(*entry);
  }
  const uint64_t counter = *codec_.Decode(ticket, nullptr);
  SendConditions current = conditions;
  current.now = now;
  const TicketCode refusal = CheckSendConditions(current);
  if (refusal != TicketCode::kNone) {
    Settle(counter, entry, State::kClosed, refusal, now);
    return Refused(refusal);
  }
  ReleaseMinted(entry->binding);
  entry->state = State::kSent;
  entry->request_digest = request_digest;
  Schedule(counter, entry, conditions.deadline + limits_.sent_grace);
  return {TicketDecision::kStart, Outcome::kUnknown, TicketCode::kNone, SendId{counter}, {}};
}

TicketAnswer TicketTable::Lookup(std::string_view ticket, const TicketBinding& binding,
                                 uint64_t request_digest, base::TimePoint now) {
  Advance(now);
  TicketAnswer answer;
  const Entry* entry = FindEntry(ticket, binding, &answer);
  if (entry == nullptr) return answer;
  const bool was_sent = entry->state != State::kMinted && entry->state != State::kClosed;
  if (was_sent && entry->request_digest != request_digest) return Unknown(TicketCode::kMismatch);
  return AnswerFor(*entry);
}

bool TicketTable::Complete(SendId send, StoredResult result, base::TimePoint now) {
  now = Advance(now);
  const auto found = entries_.find(send.counter);
  if (found == entries_.end()) return false;
  Entry& entry = found->second;
  if (entry.state != State::kSent && entry.state != State::kUnknown) return false;
  Settle(send.counter, &entry, State::kRan, TicketCode::kNone, now);
  KeepResult(send.counter, &entry, std::move(result));
  return true;
}

bool TicketTable::MarkUnknown(SendId send, base::TimePoint now) {
  now = Advance(now);
  const auto found = entries_.find(send.counter);
  if (found == entries_.end() || found->second.state != State::kSent) return false;
  Settle(send.counter, &found->second, State::kUnknown, TicketCode::kNoAnswer, now);
  return true;
}

bool TicketTable::Abandon(SendId send, base::TimePoint now) {
  now = Advance(now);
  const auto found = entries_.find(send.counter);
  if (found == entries_.end() || found->second.state != State::kSent) return false;
  Settle(send.counter, &found->second, State::kClosed, TicketCode::kConnectionRefused, now);
  return true;
}

void TicketTable::Expire(base::TimePoint now) { Advance(now); }

base::TimePoint TicketTable::Advance(base::TimePoint now) {
  latest_ = std::max(latest_, now);
  while (!deadlines_.empty() && deadlines_.begin()->first <= latest_) {
    const uint64_t counter = deadlines_.begin()->second;
    Entry& entry = entries_.at(counter);
    switch (entry.state) {
      case State::kMinted:
        Settle(counter, &entry, State::kClosed, TicketCode::kExpired, latest_);
        break;
      case State::kSent:
        Settle(counter, &entry, State::kUnknown, TicketCode::kNoAnswer, latest_);
        break;
      default:
        Remove(counter);
    }
  }
  return latest_;
}

TicketTable::Entry* TicketTable::FindEntry(std::string_view ticket, const TicketBinding& binding,
                                           TicketAnswer* answer) {
  TicketReason reason;
  const auto counter = codec_.Decode(ticket, &reason);
  if (!counter) {
    // A text that no incarnation minted has never run and never will. A ticket of another incarnation may
    // have run.
    const bool never_minted = reason.code == TicketCode::kForged || reason.code == TicketCode::kMalformed;
    *answer = never_minted ? Refused(reason.code) : Unknown(reason.code);
    return nullptr;
  }
  const auto found = entries_.find(*counter);
  if (found == entries_.end()) {
    *answer = Unknown(TicketCode::kForgotten);
    return nullptr;
  }
  if (found->second.binding != binding) {
    *answer = Unknown(TicketCode::kMismatch);
    return nullptr;
  }
  return &found->second;
}

TicketAnswer TicketTable::AnswerFor(const Entry& entry) const {
  switch (entry.state) {
    case State::kMinted:
      return {TicketDecision::kInProgress, Outcome::kUnknown, TicketCode::kNone, {}, {}};
    case State::kSent:
      return {TicketDecision::kInProgress, Outcome::kUnknown, TicketCode::kInProgress, {}, {}};
    case State::kRan:
      return {TicketDecision::kReplay, Outcome::kRan, entry.code, {}, entry.result};
    case State::kUnknown:
      return Unknown(entry.code);
    case State::kClosed:
      return Refused(entry.code);
  }
  return Unknown(TicketCode::kNone);
}

void TicketTable::Schedule(uint64_t counter, Entry* entry, base::TimePoint due) {
  deadlines_.erase({entry->due, counter});
  entry->due = due;
  deadlines_.insert({due, counter});
}

void TicketTable::Settle(uint64_t counter, Entry* entry, State state, TicketCode code, base::TimePoint now) {
  if (entry->state == State::kMinted) ReleaseMinted(entry->binding);
  if (entry->state == State::kMinted || entry->state == State::kSent) {
    --open_;
  } else {
    SettledList(entry->state)->erase(entry->order);
  }
  entry->state = state;
  entry->code = code;
  std::list<uint64_t>* list = SettledList(state);
  entry->order = list->insert(list->end(), counter);
  Schedule(counter, entry, now + limits_.settled_lifetime);
}

void TicketTable::KeepResult(uint64_t counter, Entry* entry, StoredResult result) {
  const size_t bytes = result.body.size() + result.content_type.size();
  if (bytes > limits_.max_result_bytes || bytes > limits_.max_total_bytes) {
    entry->code = TicketCode::kResultDropped;
    return;
  }
  while (result_bytes_ + bytes > limits_.max_total_bytes) DropResult(&entries_.at(results_.front()));
  entry->result = std::make_shared<const StoredResult>(std::move(result));
  entry->result_order = results_.insert(results_.end(), counter);
  result_bytes_ += bytes;
}

void TicketTable::DropResult(Entry* entry) {
  result_bytes_ -= entry->result->body.size() + entry->result->content_type.size();
  results_.erase(entry->result_order);
  entry->result.reset();
  entry->code = TicketCode::kResultDropped;
}

void TicketTable::Remove(uint64_t counter) {
  const auto found = entries_.find(counter);
  Entry& entry = found->second;
  if (entry.result != nullptr) DropResult(&entry);
  SettledList(entry.state)->erase(entry.order);
  deadlines_.erase({entry.due, counter});
  entries_.erase(found);
}

// Makes room for an entry by removing a settled one when the table is full. Returns false when there is none.
// Removing an `unknown` entry changes no answer, and removing a closed one turns `not-run` into `unknown`.
// That a call ran matters most to its client, so ran entries go last.
bool TicketTable::EvictIfFull() {
  if (entries_.size() < limits_.max_tickets) return true;
  for (const auto* list : {&unknown_, &closed_, &ran_}) {
    if (list->empty()) continue;
    Remove(list->front());
    return true;
  }
  return false;
}

void TicketTable::ReleaseMinted(const TicketBinding& binding) {
  const auto found = minted_by_client_.find(ClientKey(binding));
  if (--found->second == 0) minted_by_client_.erase(found);
}

std::list<uint64_t>* TicketTable::SettledList(State state) {
  if (state == State::kRan) return &ran_;
  return state == State::kUnknown ? &unknown_ : &closed_;
}

}  // namespace cornelplank::tickets

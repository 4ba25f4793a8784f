#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "libs/base/base.h"
#include "libs/tickets/internal/send_conditions.h"
#include "libs/tickets/internal/ticket.h"

namespace cornelplank::tickets {

/// The client and service that a ticket was minted for. A call with another binding is refused with
/// kMismatch.
struct TicketBinding {
  std::string partner;
  std::string client;
  std::string service;
  bool operator==(const TicketBinding&) const = default;
};

struct TicketLimits {
  size_t max_tickets = 50000;                                  // entries of the table, open or settled
  size_t max_minted_per_client = 1000;                         // unused tickets of one client
  size_t max_result_bytes = 64 << 10;                          // a larger result is not kept
  size_t max_total_bytes = 32U << 20;                          // of all kept results
  base::Duration minted_lifetime = std::chrono::seconds(60);   // until an unused ticket expires
  base::Duration settled_lifetime = std::chrono::minutes(10);  // until a settled entry is removed
  /// A sent call without an answer this long after its deadline becomes `unknown`, so that a caller that
  /// never settles it can't keep the entry open for ever.
  base::Duration sent_grace = std::chrono::seconds(10);
};

/// The response of a plain service, kept for replay.
struct StoredResult {
  int status = 0;
  std::string content_type;
  std::string body;
};

/// What the caller does with a call on a ticket.
enum class TicketDecision {
  kStart,       // sends the call, once, and then calls Complete, MarkUnknown or Abandon
  kReplay,      // answers with `result`, the response of the call that ran; null when it was dropped
  kInProgress,  // waits and looks the ticket up again: a call on it was sent or (Lookup only) none was yet
  kRefused,     // reports `not-run`: the call did not run and never will
  kUnknown,     // reports `unknown`: the call may have run; it will not be started from now on
};

/// Identifies the only send of a ticket. Begin returns it with kStart; the calls that settle the ticket take
/// it.
struct SendId {
  uint64_t counter = 0;
};

/// The answer of the table to a call or a lookup.
struct TicketAnswer {
  TicketDecision decision = TicketDecision::kUnknown;
  base::Outcome outcome = base::Outcome::kUnknown;  // meaningless for kStart; kUnknown for kInProgress
  TicketCode code = TicketCode::kNone;
  SendId send;                                 // only for kStart
  std::shared_ptr<const StoredResult> result;  // only for kReplay
};

struct MintedTicket {
  std::string text;              // the encoded ticket, see ParseTicket
  base::Duration expires_in{0};  // time until the ticket expires unused
};

/// The tickets of one incarnation and the states of their calls: minted -> sent -> ran | unknown, or
/// minted | sent -> closed (`not-run`). Ran, unknown and closed tickets are settled. A call is started only
/// while its ticket is `minted`; a ticket without an entry never runs. Not thread-safe: the owner guards the
/// table with one mutex and does not hold it while it sends.
class TicketTable {
 public:
  TicketTable(const TicketCodec& codec, const TicketLimits& limits);

  /// Mints a ticket. Returns nothing and sets kDraining, kTableFull or kClientLimit on failure.
  std::optional<MintedTicket> Mint(const TicketBinding& binding, base::TimePoint now, TicketReason* reason);

  /// Decides about a call on a ticket. Conditions under which it may not be sent close the ticket.
  /// `request_digest` is a hash of method, path and body: a second call with another request gets kMismatch,
  /// and neither runs nor gets the first one's result.
  TicketAnswer Begin(std::string_view ticket, const TicketBinding& binding, uint64_t request_digest,
                     const SendConditions& conditions);

  /// Returns what `Begin` would answer, without starting anything. A `minted` ticket may still run, so it
  /// yields kInProgress with the code kNone.
  TicketAnswer Lookup(std::string_view ticket, const TicketBinding& binding, uint64_t request_digest,
                      base::TimePoint now);

  /// Settles the ticket as `ran` and keeps the result: the whole response has arrived. Also possible after
  /// MarkUnknown. Returns false when the entry was removed or is otherwise settled.
  bool Complete(SendId send, StoredResult result, base::TimePoint now);
  /// Settles the ticket as `unknown`: the progress deadline passed or the connection broke after bytes may
  /// have been sent. Returns false when the call is no longer in the state `sent`.
  bool MarkUnknown(SendId send, base::TimePoint now);
  /// Closes the ticket for good (`not-run`): no byte was sent and none will be, see docs/at-most-once.md.
  /// Returns false when the call is no longer in the state `sent`.
  bool Abandon(SendId send, base::TimePoint now);

  /// Closes expired tickets and removes old entries, as every other call does as well.
  void Expire(base::TimePoint now);

  /// Mints no more tickets from now on. Open ones are still served.
  void Drain() { draining_ = true; }
  /// The number of tickets that are minted or sent. A draining VM may leave at 0.
  size_t open() const { return open_; }
  /// The number of entries, open or settled.
  size_t size() const { return entries_.size(); }
  /// The size of all kept results, in bytes.
  size_t result_bytes() const { return result_bytes_; }

 private:
  enum class State { kMinted, kSent, kRan, kUnknown, kClosed };
  struct Entry {
    State state = State::kMinted;
    TicketBinding binding;
    uint64_t request_digest = 0;
    base::TimePoint due;  // when it expires (minted), becomes unknown (sent) or is removed (settled)
    TicketCode code = TicketCode::kNone;
    std::shared_ptr<const StoredResult> result;
    std::list<uint64_t>::iterator order;         // place in the list of its settled state
    std::list<uint64_t>::iterator result_order;  // place in results_ while `result` is set
  };
  using Entries = std::unordered_map<uint64_t, Entry>;

  base::TimePoint Advance(base::TimePoint now);
  Entry* FindEntry(std::string_view ticket, const TicketBinding& binding, TicketAnswer* answer);
  TicketAnswer AnswerFor(const Entry& entry) const;
  void Schedule(uint64_t counter, Entry* entry, base::TimePoint due);
  void Settle(uint64_t counter, Entry* entry, State state, TicketCode code, base::TimePoint now);
  void KeepResult(uint64_t counter, Entry* entry, StoredResult result);
  void DropResult(Entry* entry);
  void Remove(uint64_t counter);
  bool EvictIfFull();
  void ReleaseMinted(const TicketBinding& binding);
  std::list<uint64_t>* SettledList(State state);

  const TicketCodec codec_;
  const TicketLimits limits_;
  bool draining_ = false;
  base::TimePoint latest_{};  // the latest time of any call, so that time never runs backwards in the table
  uint64_t next_counter_ = 1;
  size_t open_ = 0;
  size_t result_bytes_ = 0;
  Entries entries_;
  std::set<std::pair<base::TimePoint, uint64_t>> deadlines_;
  std::list<uint64_t> ran_;  // settled entries, oldest first
  std::list<uint64_t> unknown_;
  std::list<uint64_t> closed_;
  std::list<uint64_t> results_;  // entries with a kept result, oldest first
  std::unordered_map<std::string, size_t> minted_by_client_;
};

}  // namespace cornelplank::tickets

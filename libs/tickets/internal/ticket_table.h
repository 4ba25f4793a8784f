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

/// Whom a ticket was minted for. A call with another binding is refused.
struct TicketBinding {
  std::string partner;
  std::string client;
  std::string service;
  bool operator==(const TicketBinding&) const = default;
};

struct TicketLimits {
  size_t max_tickets = 50000;           // entries of the table
  size_t max_minted_per_client = 1000;  // unused tickets of one client
  size_t max_result_bytes = 64 << 10;   // a larger result is not kept
  size_t max_total_bytes = 32U << 20;   // of all kept results
  base::Duration minted_lifetime = std::chrono::seconds(60);
  base::Duration settled_lifetime = std::chrono::minutes(10);
  /// A sent call without an answer this long after its deadline is taken as `unknown`, so that a caller that
  /// lost track of it can't keep the entry for ever.
  base::Duration sent_grace = std::chrono::seconds(10);
};

/// The response of a plain service, kept for replay.
struct StoredResult {
  int status = 0;
  std::string content_type;
  std::string body;
};

enum class TicketDecision {
  kStart,       // the caller now sends the call, once; then Complete, MarkUnknown or Abandon
  kReplay,      // the call ran; `result` holds its response, or is null when it was dropped
  kInProgress,  // another call on this ticket is out, or (Lookup only) none yet; wait and look it up again
  kRefused,     // it did not run and never will (`not-run`)
  kUnknown,     // it may have run; it will not be run from now on
};

/// Names the one send of a ticket. Given by kStart, needed to settle the ticket.
struct SendId {
  uint64_t counter = 0;
};

struct TicketAnswer {
  TicketDecision decision = TicketDecision::kUnknown;
  base::Outcome outcome = base::Outcome::kUnknown;  // meaningless for kStart; kUnknown for kInProgress
  TicketCode code = TicketCode::kNone;
  SendId send;                                 // only for kStart
  std::shared_ptr<const StoredResult> result;  // only for kReplay
};

struct MintedTicket {
  std::string text;
  base::Duration expires_in{0};
};

/// The tickets of one incarnation: minted -> sent -> ran | unknown, or minted | sent -> closed (`not-run`).
/// A ticket is runnable only while its entry is `minted`; a ticket without an entry never runs. Not
/// thread-safe: the owner guards one table with one mutex and does not hold it while it sends.
class TicketTable {
 public:
  TicketTable(const TicketCodec& codec, const TicketLimits& limits);

  /// Fails with kDraining, kTableFull or kClientLimit.
  std::optional<MintedTicket> Mint(const TicketBinding& binding, base::TimePoint now, TicketReason* reason);

  /// Decides about one call. `request_digest` is a hash of method, path and body: a second call with another
  /// request is refused with kMismatch and neither run nor answered with the first one's result.
  TicketAnswer Begin(std::string_view ticket, const TicketBinding& binding, uint64_t request_digest,
                     const SendConditions& gate);

  /// What `Begin` would say, without starting anything. A `minted` ticket may still run: it yields
  /// kInProgress with code kNone.
  TicketAnswer Lookup(std::string_view ticket, const TicketBinding& binding, uint64_t request_digest,
                      base::TimePoint now);

  /// The response arrived whole. Also accepted after MarkUnknown. False when the entry is gone or settled.
  bool Complete(SendId send, StoredResult result, base::TimePoint now);
  /// The progress deadline passed, or the connection broke, after bytes may have left.
  bool MarkUnknown(SendId send, base::TimePoint now);
  /// No byte left and none will. Closes the ticket for good (see docs/at-most-once.md).
  bool Abandon(SendId send, base::TimePoint now);

  /// Closes expired tickets and drops old entries. Every other call does this too.
  void Expire(base::TimePoint now);

  /// Mints no more; open tickets are still served.
  void Drain() { draining_ = true; }
  /// Tickets that are minted or sent. A draining VM may leave at 0.
  size_t open() const { return open_; }
  size_t size() const { return entries_.size(); }
  size_t result_bytes() const { return result_bytes_; }

 private:
  enum class State { kMinted, kSent, kRan, kUnknown, kClosed };
  struct Entry {
    State state = State::kMinted;
    TicketBinding binding;
    uint64_t request_digest = 0;
    base::TimePoint due;  // minted: expiry; sent: end of grace; settled: removal
    TicketCode code = TicketCode::kNone;
    std::shared_ptr<const StoredResult> result;
    std::list<uint64_t>::iterator order;         // place in the list of its settled state
    std::list<uint64_t>::iterator result_order;  // place in results_ while `result` is set
  };
  using Entries = std::unordered_map<uint64_t, Entry>;

  base::TimePoint Advance(base::TimePoint now);
  Entry* Find(std::string_view ticket, const TicketBinding& binding, TicketAnswer* answer);
  TicketAnswer Describe(const Entry& entry) const;
  void SetDue(uint64_t counter, Entry* entry, base::TimePoint due);
  void Settle(uint64_t counter, Entry* entry, State state, TicketCode code, base::TimePoint now);
  void KeepResult(uint64_t counter, Entry* entry, StoredResult result);
  void DropResult(Entry* entry);
  void Remove(uint64_t counter);
  bool MakeRoom();
  void LeaveMinted(const TicketBinding& binding);
  std::list<uint64_t>* SettledList(State state);

  const TicketCodec codec_;
  const TicketLimits limits_;
  bool draining_ = false;
  base::TimePoint latest_{};  // time never runs backwards inside the table
  uint64_t next_counter_ = 1;
  size_t open_ = 0;
  size_t result_bytes_ = 0;
  Entries entries_;
  std::set<std::pair<base::TimePoint, uint64_t>> due_;
  std::list<uint64_t> ran_;  // settled entries, oldest first
  std::list<uint64_t> unknown_;
  std::list<uint64_t> closed_;
  std::list<uint64_t> results_;  // entries with a kept result, oldest first
  std::unordered_map<std::string, size_t> minted_by_client_;
};

}  // namespace cornelplank::tickets

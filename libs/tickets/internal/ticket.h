#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libs/base/base.h"

namespace cornelplank::tickets {

/// Why a ticket is not minted or a call with it is not started. The gateway writes TicketCodeName as the
/// `code` of problem details.
enum class TicketCode {
  kNone,
  kMalformed,         // not of the form zone/vm/incarnation/counter/MAC
  kForged,            // names this incarnation, but the MAC does not match
  kOtherIncarnation,  // minted by another VM or by an earlier incarnation of this one
  kForgotten,         // minted by this incarnation, but no longer in the table
  kExpired,           // not used within its lifetime
  kDeadline,          // before the send: the call's deadline has passed
  kOwnerStale,  // before the send: this VM was paused or cut off and has not been confirmed as current since
  kOwnerReplaced,      // before the send: a higher incarnation of this VM is known
  kOwnerConfigOlder,   // before the send: the call was accepted under a newer configuration than this VM's
  kConnectionRefused,  // no upstream accepted a connection, so no byte was sent
  kMismatch,           // the ticket belongs to another client, service or request
  kInProgress,         // the ticket's call was sent and is not yet answered
  kNoAnswer,           // bytes may have been sent, and no answer came
  kResultDropped,      // the call ran; its result was too large, or was dropped to save memory
  kDraining,           // this VM is draining and mints no more tickets
  kTableFull,          // every entry of the table holds an open ticket
  kClientLimit,        // the client holds too many unused tickets
};
using TicketReason = base::Reason<TicketCode>;

/// The code's stable name, which clients read, for example "ticket-expired".
std::string_view TicketCodeName(TicketCode code);

/// The fields of a ticket. Its owner is the incarnation that minted it. Any VM can read a ticket; only the
/// owner can check the MAC.
struct Ticket {
  std::string zone;
  std::string vm;
  uint64_t incarnation = 0;
  uint64_t counter = 0;
  std::string mac;  // base64url, 22 characters
};

/// Parses `zone/vm/incarnation/counter/MAC` without checking the MAC. Returns nothing and sets kMalformed on
/// failure. Both numbers have 16 lower-case hexadecimal digits, so that each ticket has exactly one text.
std::optional<Ticket> ParseTicket(std::string_view text, TicketReason* reason);

/// Encodes the tickets of one incarnation and verifies them. Thread-safe.
class TicketCodec {
 public:
  using Key = std::array<unsigned char, 32>;

  /// `key` signs the tickets; it is random and generated once per incarnation. `zone` and `vm` must not be
  /// empty or contain '/'.
  TicketCodec(std::string zone, std::string vm, uint64_t incarnation, const Key& key);

  /// Generates a key from the operating system's random source. Ends the process when that fails.
  static Key RandomKey();

  /// Returns the text of the ticket with this counter.
  std::string Encode(uint64_t counter) const;
  /// Returns the counter of a ticket that this incarnation minted. Otherwise returns nothing and sets
  /// kMalformed, kOtherIncarnation or kForged.
  std::optional<uint64_t> Decode(std::string_view text, TicketReason* reason) const;

 private:
  std::string Mac(std::string_view bytes) const;

  std::string zone_;
  std::string vm_;
  uint64_t incarnation_;
  Key key_;
};

}  // namespace cornelplank::tickets

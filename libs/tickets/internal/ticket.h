#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libs/base/base.h"

namespace cornelplank::tickets {

/// Problems of single calls. The gateway maps them to the `code` of problem details.
enum class TicketCode {
  kNone,
  kMalformed,         // not of the form zone/vm/incarnation/counter/MAC
  kForged,            // names this incarnation, but the MAC is not its own
  kOtherIncarnation,  // minted by another VM or an earlier incarnation
  kForgotten,         // minted here, no longer in the table
  kExpired,           // not used within its lifetime
  kDeadline,          // the gate: the call's deadline has passed
  kOwnerStale,     // the gate: the VM has not confirmed its incarnation_status since it was paused or cut off
  kOwnerReplaced,  // the gate: a higher incarnation of this VM is known
  kOwnerConfigOlder,   // the gate: the call was made under a newer configuration than the VM's own
  kConnectionRefused,  // no upstream could be connected to; no byte left
  kMismatch,           // the ticket belongs to another client, service or request
  kInProgress,         // the call of this ticket has been sent and is not yet answered
  kNoAnswer,           // bytes may have left and no answer came
  kResultDropped,      // it ran; the result was too large or was dropped to save memory
  kDraining,           // mints no more tickets
  kTableFull,          // all entries hold open tickets
  kClientLimit,        // the client holds too many unused tickets
};
using TicketReason = base::Reason<TicketCode>;

/// Stable name of a code, for example "ticket-expired".
std::string_view TicketCodeName(TicketCode code);

/// What a ticket says about its owner. Any VM can read it; only the owner can check the MAC.
struct Ticket {
  std::string zone;
  std::string vm;
  uint64_t incarnation = 0;
  uint64_t counter = 0;
  std::string mac;  // base64url, 22 characters
};

/// Reads `zone/vm/incarnation/counter/MAC` without checking the MAC. Fails with kMalformed.
/// Numbers are 16 lower-case hexadecimal digits, so that each ticket has exactly one text.
std::optional<Ticket> ParseTicket(std::string_view text, TicketReason* reason);

/// Writes and checks the tickets of one incarnation. Thread-safe.
class TicketCodec {
 public:
  using Key = std::array<unsigned char, 32>;

  /// `key` is random and drawn once per incarnation. `zone` and `vm` must not be empty or contain '/'.
  TicketCodec(std::string zone, std::string vm, uint64_t incarnation, const Key& key);

  /// Reads a key from the operating system's random source.
  static Key RandomKey();

  std::string Encode(uint64_t counter) const;
  /// The counter of a ticket that this incarnation minted. Fails with kMalformed, kOtherIncarnation or
  /// kForged.
  std::optional<uint64_t> Decode(std::string_view text, TicketReason* reason) const;

 private:
  std::string Mac(std::string_view bytes) const;

  std::string zone_;
  std::string vm_;
  uint64_t incarnation_;
  Key key_;
};

}  // namespace cornelplank::tickets

#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cornelplank::admission {

/// Deliberate faults that show that the oracle can fail.
enum class AdmissionFault {
  kNone,
  kNaive,               // first come, first served: guaranteed shares are not honoured
  kNoGuarantee,         // strict priority alone
  kOneQueue,            // the clients of a class share one queue
  kSilentDisplacement,  // refusals of another partner's work are left out of the ledger
  kRefusedRuns,         // an item that was refused after waiting is granted as well
  kLentTwice,           // the lender's terms are doubled
  kKeepBorrowed,        // borrowed streams are never cancelled
  kHomeOnlyIgnored,     // a node that is cut off goes on lending
  kCancelAny,           // work that must not be repeated is offered as cancellable
};

std::optional<std::string> FuzzAdmission(uint64_t seed, uint64_t steps, AdmissionFault fault);

}  // namespace cornelplank::admission

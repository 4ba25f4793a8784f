#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cornelplank::admission {

/// Deliberate faults, each of which the oracle must detect.
enum class AdmissionFault {
  kNone,
  kNaive,                  // first come, first served: guaranteed shares are not honoured
  kNoGuarantee,            // strict priority alone
  kOneQueue,               // the clients of a class share one queue
  kUncountedDisplacement,  // displacements that another partner causes are not counted
  kRefusedRuns,            // an item that was refused after waiting is granted as well
  kLentTwice,              // twice the configured share is lent
  kKeepBorrowed,           // work on borrowed slots is never cancelled
  kSuspensionIgnored,      // a node whose lending is suspended goes on lending
  kCancelAny,              // work that must not be repeated is submitted as cancellable
};

/// Runs random commands against the admission controller. Returns the first violation that the oracle finds,
/// if any.
std::optional<std::string> FuzzAdmission(uint64_t seed, uint64_t steps, AdmissionFault fault);

}  // namespace cornelplank::admission

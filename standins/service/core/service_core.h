#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "libs/base/base.h"

namespace cornelplank::standins::service {

enum class FaultKind {
  kNone,
  kNoAnswer,             // accepts and executes, but never answers
  kSlowAnswer,           // executes in time and answers late
  kReject,               // refuses without executing
  kCloseAfterExecution,  // executes and closes the connection in the middle of the answer
};

struct Fault {
  FaultKind kind = FaultKind::kNone;
  uint64_t remaining = 0;              // calls that it still concerns; 0 means all
  std::chrono::milliseconds delay{0};  // of slow answers
};

/// One call that arrived.
struct CallRecord {
  std::string key;
  std::string method;
  std::string path;
  std::string result;  // waiting, executed, refused or lookup
  int64_t arrived_ms = 0;
  int64_t executed_ms = -1;  // since the start of the service; -1 when it did not execute
};

/// The state of a plain service that never deduplicates. Not thread-safe.
class ServiceCore {
 public:
  explicit ServiceCore(base::TimePoint start) : start_(start) {}

  /// The fault that concerns the call that arrives now. Uses up one of the calls that it concerns.
  Fault TakeFault();
  void SetFault(const Fault& fault) { fault_ = fault; }

  /// Registers a call and returns its number.
  uint64_t Arrive(const std::string& key, const std::string& method, const std::string& path,
                  base::TimePoint now);
  /// The call executes. Returns how often its key has executed, this time included.
  uint64_t Execute(uint64_t call, base::TimePoint now);
  /// Closes a call that does not execute with "refused" or "lookup".
  void EndWithoutExecution(uint64_t call, const std::string& result);

  void Leave() { leaving_ = true; }
  bool leaving() const { return leaving_; }
  const std::map<std::string, uint64_t>& executions() const { return executions_; }
  const std::deque<CallRecord>& log() const { return log_; }

 private:
  int64_t Milliseconds(base::TimePoint now) const;

  base::TimePoint start_;
  Fault fault_;
  bool leaving_ = false;
  std::map<std::string, uint64_t> executions_;  // by Idempotency-Key
  std::deque<CallRecord> log_;
};

}  // namespace cornelplank::standins::service

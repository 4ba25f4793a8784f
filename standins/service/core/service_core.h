#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "libs/base/base.h"

namespace cornelplank::standins::service {

/// The faults that a service can simulate.
enum class ServiceFaultKind {
  kNone,
  kNoAnswer,             // executes the call but never answers
  kSlowAnswer,           // executes the call in time but answers late
  kReject,               // refuses the call without executing it
  kCloseAfterExecution,  // executes the call and closes the connection in the middle of the answer
};

/// A fault and the calls that it applies to.
struct InjectedFault {
  ServiceFaultKind kind = ServiceFaultKind::kNone;
  uint64_t remaining = 0;              // number of calls that it still applies to; 0 means all calls
  std::chrono::milliseconds delay{0};  // how late kSlowAnswer answers
};

/// A call that arrived, and what became of it.
struct CallRecord {
  std::string key;  // Idempotency-Key; empty without one
  std::string method;
  std::string path;
  std::string result;        // waiting, executed, refused or lookup
  int64_t arrived_ms = 0;    // since the start of the service
  int64_t executed_ms = -1;  // since the start of the service; -1 if the call was not executed
};

/// The state of a service that executes each call that arrives, also repeated ones with the same
/// Idempotency-Key. Not thread-safe.
class ServiceCore {
 public:
  explicit ServiceCore(base::TimePoint start) : start_(start) {}

  /// Returns the fault that applies to the call that is arriving, and counts the call against `remaining`.
  InjectedFault ConsumeFault();
  void SetFault(const InjectedFault& fault) { fault_ = fault; }

  /// Adds a call to the log and returns its index there.
  uint64_t RecordArrival(const std::string& key, const std::string& method, const std::string& path,
                         base::TimePoint now);
  /// Executes a call. Returns how often calls with its key have executed, including this one.
  uint64_t Execute(uint64_t call, base::TimePoint now);
  /// Records that a call was not executed; `result` is "refused" or "lookup".
  void EndWithoutExecution(uint64_t call, const std::string& result);

  /// Makes leaving() true; the caller then refuses calls.
  void Leave() { leaving_ = true; }
  bool leaving() const { return leaving_; }
  const std::map<std::string, uint64_t>& executions() const { return executions_; }
  const std::deque<CallRecord>& log() const { return log_; }

 private:
  int64_t Milliseconds(base::TimePoint now) const;

  base::TimePoint start_;
  InjectedFault fault_;
  bool leaving_ = false;
  std::map<std::string, uint64_t> executions_;  // number of executions by Idempotency-Key
  std::deque<CallRecord> log_;
};

}  // namespace cornelplank::standins::service

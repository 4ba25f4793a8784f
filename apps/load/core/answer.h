#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "apps/load/core/plan.h"
#include "libs/http/http.h"

namespace cornelplank::load {

/// How a request ended for its client. ResultName gives the name in the output of the tool.
enum class Result {
  kWhole,              // the complete answer to its own request
  kTruncated,          // a partial answer that the client can recognise as partial
  kNotRun,             // an error with the outcome not-run: the request was not executed
  kRan,                // an error with the outcome ran: the request was executed
  kUnknown,            // an error with the outcome unknown, or without one
  kNoConnection,       // no connection was made, so no byte of the request was sent
  kNoAnswer,           // the connection broke, or the time limit passed, before the answer began
  kNotSent,            // skipped, because LoadOptions::max_in_flight requests were in flight
  kWrong,              // a violation: text that is not the answer to its own request
  kUnmarkedTruncation  // a violation: a partial answer that looks complete
};
inline constexpr size_t kResultCount = 10;

std::string_view ResultName(Result result);
constexpr bool IsViolation(Result result) {
  return result == Result::kWrong || result == Result::kUnmarkedTruncation;
}

/// Compares the answer to one request, as it arrives, with the tokens that the stand-in engine must produce
/// for it.
class AnswerCheck {
 public:
  explicit AnswerCheck(const RequestPlan& plan);

  /// Checks the next bytes of a streamed answer. Returns the number of tokens that they complete.
  uint64_t Feed(std::string_view bytes);
  /// The result of a streamed answer after its last byte. `ended` is false when the transfer was interrupted.
  Result StreamResult(bool ended) const;
  /// The code of the error event of a truncated stream; empty when there was none.
  const std::string& error_code() const { return error_code_; }
  /// The result of an answer that was not streamed, from its complete body.
  Result BodyResult(const std::string& body) const;

 private:
  bool TakeEvent(const http::SseEvent& event);
  void TakeToken(const std::string& data);

  uint64_t prompt_hash_;
  uint64_t seed_;
  uint64_t max_tokens_;
  uint64_t tokens_ = 0;  // received so far
  bool done_ = false;    // the end mark of the stream was received
  bool error_ = false;   // an error event was received
  bool wrong_ = false;   // the stream is malformed or not the answer to this request
  std::string error_code_;
  http::SseParser parser_;
};

/// The result of an error response, from the outcome in its body; kUnknown when it has none.
Result ErrorResult(const std::string& body);

}  // namespace cornelplank::load

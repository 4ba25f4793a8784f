#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "apps/load/core/plan.h"
#include "libs/http/http.h"

namespace cornelplank::load {

/// How a request ended for its client.
enum class Result {
  kWhole,              // the complete answer to its own request
  kTruncated,          // an answer that broke off and can be recognised as such
  kNotRun,             // refused with the outcome not-run
  kRan,                // an error with the outcome ran
  kUnknown,            // an error with the outcome unknown, or without one
  kNoConnection,       // no byte of the request was sent
  kNoAnswer,           // the connection broke, or the time was up, before the answer began
  kNotSent,            // more requests were in flight than the generator may hold
  kWrong,              // a violation: text that is not the answer to its own request
  kUnmarkedTruncation  // a violation: a part of an answer that looks complete
};
inline constexpr size_t kResults = 10;

std::string_view ResultName(Result result);
constexpr bool IsViolation(Result result) {
  return result == Result::kWrong || result == Result::kUnmarkedTruncation;
}

/// Checks an answer while it arrives against the tokens that the stand-in engine must have produced.
class AnswerCheck {
 public:
  explicit AnswerCheck(const RequestPlan& plan);

  /// Takes bytes of a streamed answer. Returns the number of tokens in them.
  uint64_t Feed(std::string_view bytes);
  /// The result of a stream. `ended` is false when the transfer broke.
  Result StreamResult(bool ended) const;
  /// The code of the error event of a truncated stream; empty when there was none.
  const std::string& error_code() const { return error_code_; }
  /// The result of an answer that came as a whole.
  Result WholeResult(const std::string& body) const;

 private:
  bool TakeEvent(const http::SseEvent& event);
  void TakeToken(const std::string& data);

  uint64_t prompt_hash_;
  uint64_t seed_;
  uint64_t max_tokens_;
  uint64_t tokens_ = 0;
  bool done_ = false;
  bool error_ = false;
  bool wrong_ = false;
  std::string error_code_;
  http::SseParser parser_;
};

/// The result that an error response tells.
Result ErrorResult(const std::string& body);

}  // namespace cornelplank::load

#pragma once

#include <array>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "apps/load/core/answer.h"

namespace cornelplank::load {

/// What was measured for one request. Times start when the request was due, not when it was sent, so that
/// they include the delay of a generator that falls behind.
struct Measurement {
  Result result = Result::kNoAnswer;
  std::string code;  // "STATUS CODE" of an error response, "event CODE" of an error event; else empty
  std::string served_region;   // header Served-Region
  std::string route_reason;    // header Route-Reason
  bool entry_leaving = false;  // header Entry-Leaving
  double first_token_ms = -1;  // of a stream; negative when no token was received
  double total_ms = 0;
  std::vector<float> gaps_ms;  // between the tokens of a stream
  uint64_t tokens = 0;         // received in a stream
};

/// Quantiles of `count` values, in their unit; all 0 without values.
struct Quantiles {
  size_t count = 0;
  double p50 = 0, p95 = 0, p99 = 0, max = 0;
};

/// Computes quantiles by the nearest-rank method.
Quantiles QuantilesOf(std::vector<float> values);

/// Aggregates the measurements of all requests. Thread-safe.
class Stats {
 public:
  void Add(Measurement measurement);

  uint64_t Count(Result result) const;
  /// The number of wrong answers and of partial answers that look complete.
  uint64_t Violations() const;
  /// The results as JSON. `seconds` is the duration of the run.
  nlohmann::json Json(double seconds) const;
  /// The results as lines for a reader. `seconds` is the duration of the run.
  std::string Text(double seconds) const;

 private:
  mutable std::mutex mutex_;
  std::array<uint64_t, kResultCount> results_{};
  std::map<std::string, uint64_t> codes_;
  std::map<std::string, uint64_t> regions_;
  std::map<std::string, uint64_t> reasons_;
  std::vector<float> first_token_ms_;
  std::vector<float> gaps_ms_;
  std::vector<float> total_ms_;
  uint64_t tokens_ = 0;
};

}  // namespace cornelplank::load

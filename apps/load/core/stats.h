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

/// What was measured on one request. Times run from the moment at which the request was due, so that a
/// generator that falls behind does not hide the wait.
struct Measurement {
  Result result = Result::kNoAnswer;
  std::string code;            // of an error response
  std::string served_region;   // header Served-Region
  std::string route_reason;    // header Route-Reason
  bool entry_leaving = false;  // header Entry-Leaving
  double first_token_ms = -1;  // negative when there was none
  double total_ms = 0;
  std::vector<float> gaps_ms;  // between tokens
  uint64_t tokens = 0;
};

struct Quantiles {
  size_t count = 0;
  double p50 = 0, p95 = 0, p99 = 0, max = 0;
};

/// The quantiles of values by nearest rank.
Quantiles QuantilesOf(std::vector<float> values);

/// The sum of all measurements. Thread-safe.
class Stats {
 public:
  void Add(Measurement measurement);

  uint64_t Count(Result result) const;
  uint64_t Violations() const;
  nlohmann::json Json(double seconds) const;
  std::string Text(double seconds) const;

 private:
  mutable std::mutex mutex_;
  std::array<uint64_t, kResults> results_{};
  std::map<std::string, uint64_t> codes_;
  std::map<std::string, uint64_t> regions_;
  std::map<std::string, uint64_t> reasons_;
  std::vector<float> first_token_ms_;
  std::vector<float> gaps_ms_;
  std::vector<float> total_ms_;
  uint64_t tokens_ = 0;
};

}  // namespace cornelplank::load

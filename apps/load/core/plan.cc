#include "apps/load/core/plan.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

#include "standins/engine/core/tokens.h"

namespace cornelplank::load {
namespace {

using standins::engine::kBytesPerToken;

std::string RandomText(base::Random random, size_t bytes) {
  std::string text(bytes, ' ');
  for (char& letter : text) letter = static_cast<char>('a' + random.Below(26));
  return text;
}

// A length that varies evenly around `mean` by the share `spread` to either side; at least 1.
uint64_t RandomLength(base::Random& random, uint64_t mean, double spread) {
  const double factor = 1 + spread * (2 * random.Unit() - 1);
  return std::max<uint64_t>(1, static_cast<uint64_t>(std::lround(static_cast<double>(mean) * factor)));
}

}  // namespace

RequestPlan MakePlan(const LoadOptions& options, uint64_t index) {
  base::Random random(base::Hash64("request", options.seed) ^ (index * 0x9e3779b97f4a7c15ULL));
  RequestPlan plan;
  plan.index = index;
  plan.url_index = random.Below(options.urls.size());
  plan.streamed = random.Unit() < options.stream_share;
  plan.max_tokens = RandomLength(random, options.max_tokens, options.spread);
  const size_t bytes = RandomLength(random, options.prompt_tokens, options.spread) * kBytesPerToken;
  const uint64_t prefix = random.Below(options.prefixes);
  // At most 52 bits, because every JSON parser reads integers of up to 53 bits exactly.
  plan.seed = random.Next() >> 12;
  const auto shared = static_cast<size_t>(static_cast<double>(bytes) * options.prefix_share);
  plan.prompt = RandomText(base::Random(base::Hash64("prefix", options.seed + prefix)), shared) +
                RandomText(base::Random(random.Next()), bytes - shared);
  return plan;
}

std::string RequestBody(const LoadOptions& options, const RequestPlan& plan) {
  return nlohmann::json{{"model", options.model},
                        {"messages", {{{"role", "user"}, {"content", plan.prompt}}}},
                        {"seed", plan.seed},
                        {"max_tokens", plan.max_tokens},
                        {"stream", plan.streamed}}
      .dump();
}

base::Duration Arrivals::Next() {
  last_arrival_s_ += -std::log1p(-random_.Unit()) / rate_per_s_;
  return base::Duration{static_cast<int64_t>(last_arrival_s_ * 1e9)};
}

}  // namespace cornelplank::load

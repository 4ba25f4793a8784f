#include "libs/serving/internal/message_codec.h"

namespace cornelplank::serving {

uint32_t RequestInfo::SharedPrefixTokens() const {
  uint32_t total = 0;
  for (size_t i = 0; i + 1 < prompt_parts.size(); ++i) total += prompt_parts[i].tokens;
  return total;
}

std::vector<uint64_t> RequestInfo::SharedParts() const {
  std::vector<uint64_t> parts;
  for (size_t i = 0; i + 1 < prompt_parts.size(); ++i) parts.push_back(prompt_parts[i].id);
  return parts;
}

uint64_t RequestInfo::SharedPrefixKey() const {
  uint64_t key = 0;
  for (size_t i = 0; i + 1 < prompt_parts.size(); ++i) {
    key = base::Hash64({reinterpret_cast<const char*>(&prompt_parts[i].id), sizeof prompt_parts[i].id}, key);
  }
  return key;
}

double RequestInfo::QuotaCost(const tenancy::Quota& quota) const {
  if (quota.unit != tenancy::QuotaUnit::kTokens) return 1;
  return states_tokens ? static_cast<double>(prompt_tokens) + max_output_tokens : quota.plain_cost;
}

}  // namespace cornelplank::serving

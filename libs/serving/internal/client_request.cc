#include "libs/serving/internal/dialect.h"

namespace cornelplank::serving {

uint32_t ClientRequest::SharedTokens() const {
  uint32_t total = 0;
  for (size_t i = 0; i + 1 < prompt.size(); ++i) total += prompt[i].tokens;
  return total;
}

uint64_t ClientRequest::SharedKey() const {
  uint64_t key = 0;
  for (size_t i = 0; i + 1 < prompt.size(); ++i) {
    key = base::Hash64({reinterpret_cast<const char*>(&prompt[i].id), sizeof prompt[i].id}, key);
  }
  return key;
}

}  // namespace cornelplank::serving

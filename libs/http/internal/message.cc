#include "libs/http/internal/message.h"

#include <strings.h>

#include <algorithm>

namespace cornelplank::http {

bool CaseInsensitiveLess::operator()(std::string_view a, std::string_view b) const {
  const int order = strncasecmp(a.data(), b.data(), std::min(a.size(), b.size()));
  return order != 0 ? order < 0 : a.size() < b.size();
}

std::string_view HeaderValue(const Headers& headers, std::string_view name) {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

}  // namespace cornelplank::http

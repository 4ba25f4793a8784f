#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "libs/base/base.h"

namespace cornelplank::serving {

/// Estimates how long requests take, from their arrival to the end of their response, by route. A VM that is
/// about to exit takes only requests that are expected to end before it does.
class CompletionEstimate {
 public:
  /// Routes beyond this number replace all others: configurations add and remove routes without end.
  static constexpr size_t kMaxRoutes = 2000;

  /// Adds the time that one answered request of the route took.
  void Observe(const std::string& route, base::Duration time);
  /// Time within which nearly all requests of the route end: the moving average and four times the mean
  /// deviation, as in RFC 6298. Returns no value before the first observation.
  std::optional<base::Duration> Upper(const std::string& route) const;

 private:
  struct Times {
    base::Duration average{0};
    base::Duration deviation{0};
  };

  std::unordered_map<std::string, Times> routes_;
};

}  // namespace cornelplank::serving

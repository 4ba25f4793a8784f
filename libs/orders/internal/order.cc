#include "libs/orders/internal/order.h"

#include <cinttypes>
#include <cstdio>
#include <utility>

namespace cornelplank::orders {

std::string_view ActionName(OrderAction action) { return action == OrderAction::kLoad ? "load" : "unload"; }

EngineOrder MakeEngineOrder(std::string engine, OrderAction action, std::string model, std::string version,
                            uint64_t fence, base::TimePoint now) {
  uint64_t hash = base::Hash64(engine, fence);
  hash = base::Hash64(ActionName(action), hash);
  hash = base::Hash64(model, hash);
  hash = base::Hash64(version, hash);
  char id[17];
  std::snprintf(id, sizeof id, "%016" PRIx64, hash);
  return {id, fence, std::move(engine), action, std::move(model), std::move(version), now, ""};
}

}  // namespace cornelplank::orders

#include "libs/gateway/internal/shared_state.h"

#include <cinttypes>
#include <cstdio>

namespace cornelplank::gateway {

SharedState::SharedState(GatewaySettings node_settings, const base::Clock& node_clock,
                         const membership::VmListEntry& own)
    : settings(std::move(node_settings)),
      clock(node_clock),
      incarnation(own.incarnation),
      view(std::make_unique<ServingView>()),
      tickets(settings.zone, settings.vm, own.incarnation),
      fleet(own, base::EntropySeed(), node_clock.Now()),
      admission(node_clock),
      limits(node_clock),
      incarnation_monitor(node_clock.Now()),
      http(http::Client::Create()) {}

std::string SharedState::NewRequestId() {
  char text[17];
  const uint64_t number = base::Hash64(settings.vm, incarnation ^ (next_request.fetch_add(1) << 1));
  std::snprintf(text, sizeof text, "%016" PRIx64, number);
  return text;
}

}  // namespace cornelplank::gateway

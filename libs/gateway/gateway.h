#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/base.h"
#include "libs/gateway/internal/gateway_settings.h"

namespace cornelplank::gateway {

enum class GatewayCode {
  kListen  // a listener can't be opened; the detail names the address and the cause
};
using GatewayReason = base::Reason<GatewayCode>;

/// One entry VM: its listeners for clients, peers and operators, and its background threads. The destructor
/// stops them.
class Gateway {
 public:
  /// Opens the listeners and starts the threads. Returns null and sets `reason` to kListen when a listener
  /// can't be opened.
  static std::unique_ptr<Gateway> Start(const GatewaySettings& settings, GatewayReason* reason);
  virtual ~Gateway() = default;

  // The ports that the listeners are bound to, also when the settings leave the choice to the system (port
  // 0).
  virtual uint16_t clients_port() const = 0;
  virtual uint16_t peers_port() const = 0;
  virtual uint16_t operators_port() const = 0;

  /// Announces to clients and peers that this VM is leaving, then waits until no client request, incoming hop
  /// or open ticket is left, at most for the drain limit of the settings. Requests that arrive meanwhile are
  /// served. Returns false when the limit passed with work in flight.
  virtual bool Drain() = 0;
};

}  // namespace cornelplank::gateway

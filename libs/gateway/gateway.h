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

enum class GatewayCode { kListen };
using GatewayReason = base::Reason<GatewayCode>;

/// One entry VM of the system: its three listeners and its control loops.
class Gateway {
 public:
  /// Starts to serve; returns null with kListen when a listener can't be had.
  static std::unique_ptr<Gateway> Start(const GatewaySettings& settings, GatewayReason* reason);
  virtual ~Gateway() = default;

  virtual uint16_t clients_port() const = 0;
  virtual uint16_t peers_port() const = 0;
  virtual uint16_t operators_port() const = 0;

  /// Steers clients and peers away, then waits for all that is in flight, at most the drain limit of the
  /// settings. True when nothing was cut off.
  virtual bool Drain() = 0;
};

}  // namespace cornelplank::gateway

#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cornelplank::orders {

/// Deliberate faults that the fuzzer must find.
enum class OrdersFault {
  kNone,
  kNoGate,    // orders are sent without the check of SendGate
  kLowFence,  // orders have a fence below the sequence number of their configuration
};

/// Runs about `steps` commands from `seed`. Returns the first violation, or nothing when there was none.
std::optional<std::string> FuzzOrders(OrdersFault fault, uint64_t seed, uint64_t steps);

}  // namespace cornelplank::orders

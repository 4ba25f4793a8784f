#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cornelplank::orders {

/// Deliberate faults that the fuzzer must find.
enum class OrdersFault { kNone, kNoGate, kLowFence };

std::optional<std::string> FuzzOrders(OrdersFault fault, uint64_t seed, uint64_t steps);

}  // namespace cornelplank::orders

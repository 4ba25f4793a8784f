#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "libs/base/base.h"

namespace cornelplank::admission {

/// Identifies the requests of one class of one partner.
struct FlowKey {
  std::string partner;
  std::string priority_class;
  bool operator==(const FlowKey&) const = default;
  bool operator<(const FlowKey& other) const {
    return std::tie(partner, priority_class) < std::tie(other.partner, other.priority_class);
  }
};

/// What happened to a request because its slots were in use.
enum class Displacement { kRefused, kDelayed, kCancelled };
inline constexpr size_t kDisplacementKinds = 3;

/// Counts every refusal, wait and cancellation by the flow that caused it and the flow that it affected. A
/// flow that is held back by its own load is both. Counts never decrease.
class DisplacementCounters {
 public:
  struct Key {
    FlowKey cause;
    FlowKey affected;
    bool operator==(const Key&) const = default;
    bool operator<(const Key& other) const {
      return std::tie(cause, affected) < std::tie(other.cause, other.affected);
    }
  };
  struct Counts {
    std::array<uint64_t, kDisplacementKinds> by_kind{};  // indexed by Displacement
    base::Duration delay{0};                             // total wait of the kDelayed requests

    uint64_t of(Displacement kind) const { return by_kind[static_cast<size_t>(kind)]; }
  };

  void Add(const FlowKey& cause, const FlowKey& affected, Displacement kind, base::Duration delay = {}) {
    Counts& counts = entries_[Key{cause, affected}];
    ++counts.by_kind[static_cast<size_t>(kind)];
    counts.delay += delay;
  }
  const std::map<Key, Counts>& entries() const { return entries_; }

 private:
  std::map<Key, Counts> entries_;
};

}  // namespace cornelplank::admission

#pragma once

#include <string>
#include <string_view>

#include "libs/gateway/internal/core.h"

namespace cornelplank::gateway {

/// What one exchange with a replica showed, for the replica table.
class ReplicaReport {
 public:
  ReplicaReport(Core* core, std::string upstream, bool probe)
      : core_(core), upstream_(std::move(upstream)), probe_(probe) {}

  /// Takes the load and leaving state from a response's header.
  void Head(int status, const http::Headers& headers);
  void Success();
  void Failed();
  /// Tokens of the prefix that the replica now holds.
  void PrefixServed(uint64_t prefix, uint32_t tokens);

 private:
  Core* core_;
  const std::string upstream_;
  const bool probe_;
  bool reported_ = false;
};

}  // namespace cornelplank::gateway

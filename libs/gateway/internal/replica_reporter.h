#pragma once

#include <string>
#include <string_view>

#include "libs/gateway/internal/shared_state.h"

namespace cornelplank::gateway {

/// What one exchange with a replica showed, for the replica table.
class ReplicaReporter {
 public:
  ReplicaReporter(SharedState* shared, std::string replica_id, bool probe)
      : shared_(shared), replica_id_(std::move(replica_id)), probe_(probe) {}

  /// Takes the load and leaving state from a response's header.
  void RecordHead(int status, const http::Headers& headers);
  void RecordSuccess();
  void RecordFailure();
  /// Tokens of the prefix that the replica now holds.
  void RecordPrefix(uint64_t prefix, uint32_t tokens);

 private:
  SharedState* shared_;
  const std::string replica_id_;
  const bool probe_;
  bool reported_ = false;
};

}  // namespace cornelplank::gateway

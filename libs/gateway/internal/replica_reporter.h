#pragma once

#include <string>
#include <string_view>

#include "libs/gateway/internal/shared_state.h"

namespace cornelplank::gateway {

/// Reports to the replica table what one exchange with a replica showed. Only the first success or failure
/// counts.
class ReplicaReporter {
 public:
  ReplicaReporter(SharedState* shared, std::string replica_id, bool probe)
      : shared_(shared), replica_id_(std::move(replica_id)), probe_(probe) {}

  /// Applies the load and the leaving state in the headers of a response.
  void RecordHead(int status, const http::Headers& headers);
  void RecordSuccess();
  void RecordFailure();
  /// Records that the replica now has the first `tokens` tokens of `prefix` in its cache.
  void RecordPrefix(uint64_t prefix, uint32_t tokens);

 private:
  SharedState* shared_;
  const std::string replica_id_;
  const bool probe_;
  bool reported_ = false;
};

}  // namespace cornelplank::gateway

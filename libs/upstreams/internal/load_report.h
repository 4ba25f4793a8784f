#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::upstreams {

enum class EngineState { kReady, kLoading, kLeaving };

/// One load report of a replica, from its poller, from gossip or from the replica itself.
struct UpstreamLoadReport {
  std::string upstream;
  uint64_t incarnation = 0;  // a higher one replaces a lower one; 0 means unknown
  EngineState state = EngineState::kReady;
  uint32_t running = 0;  // requests that hold a slot
  uint32_t queued = 0;
  std::vector<std::string> models;  // names of the loaded models
  base::Duration age{0};            // time since the replica measured it
};

/// Fields of an `Engine-Load` response header.
struct EngineLoad {
  uint32_t running = 0;
  uint32_t queued = 0;
  uint32_t slots = 0;
  uint32_t cached = 0;  // prompt tokens that the replica found in its cache
};

enum class CacheOperation { kAdd, kEvict };

struct PrefixCacheEvent {
  uint64_t seq = 0;  // consecutive per incarnation, from 1
  CacheOperation operation = CacheOperation::kAdd;
  uint64_t prefix = 0;  // hash of the prompt prefix
  uint32_t tokens = 0;
};

/// Parses "running=R, queued=Q, slots=S, cached=C". Unknown fields are skipped; a missing `running` or
/// `queued` or a malformed number gives no value.
std::optional<EngineLoad> ParseEngineLoad(std::string_view header);

}  // namespace cornelplank::upstreams

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::upstreams {

/// State that an engine reports. A leaving engine finishes its requests and takes no new ones.
enum class EngineState { kReady, kLoading, kLeaving };

/// One load report of a replica, received from the replica itself or by gossip from the node that polls it.
struct UpstreamLoadReport {
  std::string upstream;
  uint64_t incarnation = 0;  // number of the replica's process, higher after a restart; 0: unknown
  EngineState state = EngineState::kReady;
  uint32_t running = 0;  // requests that hold a slot
  uint32_t queued = 0;
  std::vector<std::string> models;  // names of the loaded models
  base::Duration age{0};            // time since the replica measured it
};

/// Fields of an `Engine-Load` response header, in requests and slots.
struct EngineLoad {
  uint32_t running = 0;
  uint32_t queued = 0;
  uint32_t slots = 0;
  uint32_t cached = 0;  // prompt tokens that the replica found in its cache
};

enum class CacheOperation { kAdd, kEvict };

/// One change of an engine's prompt prefix cache.
struct PrefixCacheEvent {
  uint64_t seq = 0;  // consecutive within an incarnation, from 1
  CacheOperation operation = CacheOperation::kAdd;
  uint64_t prefix = 0;  // hash of the prompt prefix
  uint32_t tokens = 0;
};

/// Parses "running=R, queued=Q, slots=S, cached=C". Unknown fields are skipped. Returns no value when
/// `running` or `queued` is missing or the text is malformed.
std::optional<EngineLoad> ParseEngineLoad(std::string_view header);

}  // namespace cornelplank::upstreams

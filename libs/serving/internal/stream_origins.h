#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "libs/net/net.h"

namespace cornelplank::serving {

/// Identifies a software version of a service: a hash over both.
inline uint64_t SoftwareKey(std::string_view service, std::string_view version) {
  std::string text(service);
  text.push_back('\0');
  text.append(version);
  return base::Hash64(text);
}

/// Remembers at which software version the streams of clients began. A stream may go on only at replicas of
/// that version.
class StreamOrigins {
 public:
  virtual ~StreamOrigins() = default;

  /// Records that the first event of a client's stream came from a replica of `software`. `attempt`:
  /// Hash64 of the id of the attempt that brought it.
  virtual void Record(uint64_t attempt, uint64_t software) = 0;
  /// The software at which a stream began; none when no live VM knows it. May ask other VMs. `attempt`: as
  /// in `Record`; none when the client doesn't state it. `services`: Hash64 of the names of all services that
  /// the stream's route may send it to.
  virtual net::Task<std::optional<uint64_t>> Find(std::optional<uint64_t> attempt,
                                                  std::vector<uint64_t> services) = 0;
};

}  // namespace cornelplank::serving

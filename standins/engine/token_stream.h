#pragma once

#include <string>

#include "libs/http/http.h"
#include "standins/engine/engine_app.h"

namespace cornelplank::standins::engine {

/// The server-sent events of a streamed answer. Its destructor closes the request in the core, which cancels
/// it if it is still running.
class TokenStream final : public http::BodySource {
 public:
  TokenStream(EngineApp& app, uint64_t handle, const EngineRequest& request, uint64_t prompt_hash);
  ~TokenStream() override;

  /// Blocks until there are bytes to send. Returns 0 at the end, and nullopt to break the connection if the
  /// request ended without a complete answer.
  std::optional<size_t> Read(char* buffer, size_t capacity) override;

 private:
  void AppendChunk(const std::string& id, uint64_t index, const std::string& text);
  void AppendToken(uint64_t index);
  bool WaitForBytes();

  EngineApp& app_;
  const uint64_t handle_;
  const std::string id_;  // request id as a JSON string
  const uint64_t prompt_hash_;
  const uint64_t seed_;
  uint64_t next_index_;       // first token that is not in `pending_` and was not sent
  std::string pending_;       // bytes to send
  bool end_written_ = false;  // the final event is in `pending_` or was sent
  bool ended_early_ = false;  // the fault "end-after-tokens" has ended the stream
};

}  // namespace cornelplank::standins::engine

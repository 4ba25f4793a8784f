#pragma once

#include <string>

#include "libs/http/http.h"
#include "standins/engine/engine_app.h"

namespace cornelplank::standins::engine {

/// The SSE body of a streamed answer. Its destruction closes the request in the core, which cancels it when
/// it is still running.
class TokenStream final : public http::BodySource {
 public:
  TokenStream(EngineApp& app, uint64_t handle, const EngineRequest& request, uint64_t prompt_hash);
  ~TokenStream() override;

  std::optional<size_t> Read(char* buffer, size_t capacity) override;

 private:
  void AppendChunk(const std::string& id, uint64_t index, const std::string& text);
  void AppendToken(uint64_t index);
  bool WaitForBytes();

  EngineApp& app_;
  const uint64_t handle_;
  const std::string id_;
  const uint64_t prompt_hash_;
  const uint64_t seed_;
  uint64_t next_index_;
  std::string pending_;
  bool end_written_ = false;  // the final event is in `pending_` or was sent
  bool ended_early_ = false;  // by the fault "end-after-tokens"
};

}  // namespace cornelplank::standins::engine

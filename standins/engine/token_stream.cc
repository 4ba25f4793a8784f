#include "standins/engine/token_stream.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "standins/engine/core/tokens.h"

namespace cornelplank::standins::engine {

TokenStream::TokenStream(EngineApp& app, uint64_t handle, const EngineRequest& request, uint64_t prompt_hash)
    : app_(app),
      handle_(handle),
      id_(nlohmann::json(request.id).dump()),
      prompt_hash_(prompt_hash),
      seed_(request.seed),
      next_index_(std::min(request.resume_tokens, request.max_tokens)) {}

TokenStream::~TokenStream() {
  app_.WithCore([&](EngineCore& core, base::TimePoint now) {
    core.Close(handle_, end_written_ && pending_.empty(), now);
    return true;
  });
}

void TokenStream::AppendChunk(const std::string& id, uint64_t index, const std::string& text) {
  pending_ += "data: {\"id\":" + id + ",\"index\":" + std::to_string(index) +
              R"(,"choices":[{"index":0,"delta":{"content":")" + text + "\"}}]}\n\n";
}

// Appends the chunk of a token and those that the faults kCrossChunks and kRepeatChunks add.
void TokenStream::AppendToken(uint64_t index) {
  const std::string text = TokenText(prompt_hash_, seed_, index);
  if (app_.core_.ConsumeChunkFault(EngineFaultKind::kCrossChunks)) {
    AppendChunk("\"another-request\"", index, "crossed ");
  }
  AppendChunk(id_, index, text);
  if (app_.core_.ConsumeChunkFault(EngineFaultKind::kRepeatChunks)) AppendChunk(id_, index, text);
}

// Waits until there is something to send. Returns false if the stream ends without the complete answer.
bool TokenStream::WaitForBytes() {
  std::unique_lock<std::mutex> lock(app_.mutex_);
  RequestProgress view;
  app_.changed_.wait(lock, [&] {
    view = app_.core_.Progress(handle_);
    return app_.stopping_ || view.produced > next_index_ || view.state != RequestState::kRunning;
  });
  for (; next_index_ < view.produced; ++next_index_) {
    if (app_.core_.fault() == EngineFaultKind::kEndAfterTokens && next_index_ >= app_.core_.fault_count()) {
      ended_early_ = true;
      return !pending_.empty();
    }
    AppendToken(next_index_);
  }
  if (view.state == RequestState::kFinished) {
    pending_ += "data: [DONE]\n\n";
    end_written_ = true;
  }
  return !pending_.empty();
}

std::optional<size_t> TokenStream::Read(char* buffer, size_t capacity) {
  if (pending_.empty()) {
    if (end_written_ || ended_early_) return 0;
    if (!WaitForBytes()) return ended_early_ ? std::optional<size_t>(0) : std::nullopt;
  }
  const size_t count = std::min(capacity, pending_.size());
  std::copy_n(pending_.begin(), count, buffer);
  pending_.erase(0, count);
  return count;
}

}  // namespace cornelplank::standins::engine

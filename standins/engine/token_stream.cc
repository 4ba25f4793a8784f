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

void TokenStream::AppendChunk(uint64_t index) {
  pending_ += "data: {\"id\":" + id_ + ",\"index\":" + std::to_string(index) +
              R"(,"choices":[{"index":0,"delta":{"content":")" + TokenText(prompt_hash_, seed_, index) +
              "\"}}]}\n\n";
}

// Waits until there is something to send. False when the request ended without its whole answer.
bool TokenStream::WaitForBytes() {
  std::unique_lock<std::mutex> lock(app_.mutex_);
  RequestView view;
  app_.changed_.wait(lock, [&] {
    view = app_.core_.View(handle_);
    return app_.stopping_ || view.produced > next_index_ || view.state != RequestState::kRunning;
  });
  for (; next_index_ < view.produced; ++next_index_) AppendChunk(next_index_);
  if (view.state == RequestState::kFinished) {
    pending_ += "data: [DONE]\n\n";
    end_written_ = true;
  }
  return !pending_.empty();
}

std::optional<size_t> TokenStream::Read(char* buffer, size_t capacity) {
  if (pending_.empty()) {
    if (end_written_) return 0;
    if (!WaitForBytes()) return std::nullopt;
  }
  const size_t count = std::min(capacity, pending_.size());
  std::copy_n(pending_.begin(), count, buffer);
  pending_.erase(0, count);
  return count;
}

}  // namespace cornelplank::standins::engine

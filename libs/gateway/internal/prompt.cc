#include "libs/gateway/internal/prompt.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cornelplank::gateway {
namespace {

using nlohmann::json;

// Four bytes of English text are about one token; routing needs only the order of magnitude.
constexpr uint32_t kBytesPerToken = 4;
constexpr uint32_t kDefaultOutputTokens = 232;  // mean of the workload
constexpr size_t kTemplateBytes = 256;

std::string Member(const json& message, const char* name) {
  const auto found = message.find(name);
  return found != message.end() && found->is_string() ? found->get<std::string>() : "";
}

/// The engines' name of the prefix that ends with the last whole block of `text`, and its length.
void SetPrefix(std::string_view text, Work* work) {
  constexpr size_t kTokensPerBlock = 16;
  constexpr size_t kBlockBytes = kTokensPerBlock * kBytesPerToken;
  const size_t blocks = text.size() / kBlockBytes;
  if (blocks == 0) return;
  uint64_t hash = base::Hash64(work->target);
  for (size_t i = 0; i < blocks; ++i) hash = base::Hash64(text.substr(i * kBlockBytes, kBlockBytes), hash);
  work->prefix = hash;
  work->prefix_tokens = static_cast<uint32_t>(blocks * kTokensPerBlock);
}

}  // namespace

bool ReadPrompt(const std::string& body, Work* work) {
  const json request = json::parse(body, nullptr, false);
  if (!request.is_object()) return false;
  const auto model = request.find("model");
  const auto messages = request.find("messages");
  if (model == request.end() || !model->is_string()) return false;
  if (messages == request.end() || !messages->is_array() || messages->empty()) return false;
  work->target = model->get<std::string>();
  const auto stream = request.find("stream");
  work->stream = stream != request.end() && stream->is_boolean() && stream->get<bool>();
  std::string text;
  size_t prefix_bytes = 0;
  for (const json& message : *messages) {
    if (!message.is_object()) return false;
    prefix_bytes = text.size();  // all but the last message are likely to come again
    text += Member(message, "role") + ":" + Member(message, "content") + "\n";
  }
  // The start of a single message may be shared as well, for example a template.
  if (messages->size() == 1) prefix_bytes = std::min(text.size(), kTemplateBytes);
  work->prompt_tokens = static_cast<uint32_t>(text.size() / kBytesPerToken) + 1;
  SetPrefix(std::string_view(text).substr(0, prefix_bytes), work);
  const auto max_tokens = request.find("max_tokens");
  const bool limited = max_tokens != request.end() && max_tokens->is_number_unsigned();
  work->output_tokens = limited
                            ? static_cast<uint32_t>(std::min<uint64_t>(max_tokens->get<uint64_t>(), 1 << 20))
                            : kDefaultOutputTokens;
  return true;
}

std::string AttemptBody(const Work& work, uint32_t resume_tokens) {
  json request = json::parse(work.body, nullptr, false);
  if (!request.contains("seed")) request["seed"] = base::Hash64(work.request_id) >> 32;
  if (resume_tokens > 0) request["resume_tokens"] = resume_tokens;
  return request.dump();
}

}  // namespace cornelplank::gateway

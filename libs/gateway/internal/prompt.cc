#include "libs/gateway/internal/prompt.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cornelplank::gateway {
namespace {

using nlohmann::json;

// Four bytes of English text are about one token; routing needs only the order of magnitude.
constexpr uint32_t kBytesPerToken = 4;
constexpr uint32_t kDefaultOutputTokens = 232;  // mean of the workload

std::string MessageText(const json& message) {
  const auto content = message.find("content");
  return content != message.end() && content->is_string() ? content->get<std::string>() : "";
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
  std::string prefix;
  size_t bytes = 0;
  for (const json& message : *messages) {
    if (!message.is_object()) return false;
    const std::string text = MessageText(message);
    // All but the last message are likely to come again: the system prompt and the conversation so far.
    if (&message != &messages->back()) prefix += text;
    bytes += text.size();
  }
  work->prompt_tokens = static_cast<uint32_t>(bytes / kBytesPerToken) + 1;
  work->prefix_tokens = static_cast<uint32_t>(prefix.size() / kBytesPerToken);
  work->prefix = prefix.empty() ? 0 : base::Hash64(prefix);
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

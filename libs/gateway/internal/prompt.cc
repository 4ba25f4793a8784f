#include "libs/gateway/internal/prompt.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cornelplank::gateway {
namespace {

using nlohmann::json;

// English text has about four bytes per token; routing needs only the order of magnitude.
constexpr uint32_t kBytesPerToken = 4;
constexpr uint32_t kDefaultOutputTokens = 232;  // mean of the workload
constexpr size_t kTemplateBytes = 256;          // start of a single message that counts as a shared prefix

/// Returns a text member of a message; empty when it is missing or no text.
std::string Member(const json& message, const char* name) {
  const auto found = message.find(name);
  return found != message.end() && found->is_string() ? found->get<std::string>() : "";
}

/// Sets the hash and the length of the prefix that ends with the last complete block of `text`. Block size
/// and hash are those of the engines' cache events.
void SetPrefix(std::string_view text, GatewayRequest* request) {
  constexpr size_t kTokensPerBlock = 16;
  constexpr size_t kBlockBytes = kTokensPerBlock * kBytesPerToken;
  const size_t blocks = text.size() / kBlockBytes;
  if (blocks == 0) return;
  uint64_t hash = base::Hash64(request->target);
  for (size_t i = 0; i < blocks; ++i) hash = base::Hash64(text.substr(i * kBlockBytes, kBlockBytes), hash);
  request->prefix = hash;
  request->prefix_tokens = static_cast<uint32_t>(blocks * kTokensPerBlock);
}

}  // namespace

bool ParsePrompt(const std::string& body, GatewayRequest* request) {
  const json json_body = base::ParseJson(body);
  if (!json_body.is_object()) return false;
  const auto model = json_body.find("model");
  const auto messages = json_body.find("messages");
  if (model == json_body.end() || !model->is_string()) return false;
  if (messages == json_body.end() || !messages->is_array() || messages->empty()) return false;
  request->target = model->get<std::string>();
  const auto stream = json_body.find("stream");
  request->stream = stream != json_body.end() && stream->is_boolean() && stream->get<bool>();
  std::string text;
  size_t prefix_bytes = 0;
  for (const json& message : *messages) {
    if (!message.is_object()) return false;
    prefix_bytes = text.size();  // all messages but the last are likely to be sent again
    text += Member(message, "role") + ":" + Member(message, "content") + "\n";
  }
  // The start of a single message may be shared too, for example when it is a template.
  if (messages->size() == 1) prefix_bytes = std::min(text.size(), kTemplateBytes);
  request->prompt_tokens = static_cast<uint32_t>(text.size() / kBytesPerToken) + 1;
  SetPrefix(std::string_view(text).substr(0, prefix_bytes), request);
  const auto max_tokens = json_body.find("max_tokens");
  const bool limited = max_tokens != json_body.end() && max_tokens->is_number_unsigned();
  request->output_tokens =
      limited ? static_cast<uint32_t>(std::min<uint64_t>(max_tokens->get<uint64_t>(), 1 << 20))
              : kDefaultOutputTokens;
  return true;
}

std::string AttemptBody(const GatewayRequest& request, uint32_t resume_tokens) {
  json json_body = base::ParseJson(request.body);
  if (!json_body.contains("seed")) json_body["seed"] = base::Hash64(request.request_id) >> 32;
  if (resume_tokens > 0) json_body["resume_tokens"] = resume_tokens;
  return json_body.dump();
}

}  // namespace cornelplank::gateway

#include "standins/engine/core/tokens.h"

#include <cinttypes>
#include <cstdio>

#include "libs/base/base.h"

namespace cornelplank::standins::engine {
namespace {

std::string MemberText(const nlohmann::json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

}  // namespace

std::string PromptText(const nlohmann::json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array()) return MemberText(body, "prompt");
  std::string text;
  for (const auto& message : *messages) {
    if (!message.is_object()) continue;
    text += MemberText(message, "role") + ":" + MemberText(message, "content") + "\n";
  }
  return text;
}

uint64_t PromptHash(std::string_view prompt) { return base::Hash64(prompt); }

uint64_t PromptTokens(std::string_view prompt) {
  return (prompt.size() + kBytesPerToken - 1) / kBytesPerToken;
}

std::string TokenText(uint64_t prompt_hash, uint64_t seed, uint64_t index) {
  static constexpr char kDigits[] = "abcdefghijklmnopqrstuvwxyz";
  uint64_t bits = base::Random(prompt_hash ^ (seed * 0x9e3779b97f4a7c15ULL) ^ (index << 1)).Next();
  std::string text;
  for (int letter = 0; letter < 5; ++letter, bits /= 26) text += kDigits[bits % 26];
  return text + " ";
}

std::vector<uint64_t> PrefixChain(std::string_view model, std::string_view prompt) {
  constexpr size_t kBlockBytes = kTokensPerBlock * kBytesPerToken;
  std::vector<uint64_t> chain;
  uint64_t hash = base::Hash64(model);
  for (size_t start = 0; start + kBlockBytes <= prompt.size(); start += kBlockBytes) {
    hash = base::Hash64(prompt.substr(start, kBlockBytes), hash);
    chain.push_back(hash);
  }
  return chain;
}

std::string PrefixName(uint64_t prefix) {
  char text[17];
  std::snprintf(text, sizeof text, "%016" PRIx64, prefix);
  return text;
}

}  // namespace cornelplank::standins::engine

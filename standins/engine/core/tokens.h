#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace cornelplank::standins::engine {

/// The simulated tokeniser makes a token of this many bytes of prompt text.
inline constexpr size_t kBytesPerToken = 4;
/// Tokens in a block of the prefix cache.
inline constexpr size_t kTokensPerBlock = 16;

/// Returns the prompt of a request body: "ROLE:CONTENT\n" for each of its `messages`, or, without messages,
/// the text of the member `prompt`.
std::string PromptText(const nlohmann::json& body);

uint64_t PromptHash(std::string_view prompt);
/// The number of tokens of a prompt, rounded up.
uint64_t PromptTokens(std::string_view prompt);

/// Returns the text of token `index` of the answer to a prompt: five letters and a space. It depends on the
/// arguments only, so that any engine can resume an answer, and the load generator can verify that an answer
/// belongs to its request.
std::string TokenText(uint64_t prompt_hash, uint64_t seed, uint64_t index);

/// Returns the chained hashes of the complete blocks of a prompt; entry i names the prefix of (i + 1) blocks.
/// The same prompt has other hashes with another model.
std::vector<uint64_t> PrefixChain(std::string_view model, std::string_view prompt);

/// Formats a prefix as in cache events and in /kv/PREFIX: 16 hexadecimal digits.
std::string PrefixName(uint64_t prefix);

}  // namespace cornelplank::standins::engine

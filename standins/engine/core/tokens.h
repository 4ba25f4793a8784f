#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace cornelplank::standins::engine {

/// A prompt token stands for this many bytes of prompt text.
inline constexpr size_t kBytesPerToken = 4;
/// The prefix cache works in blocks of this many tokens.
inline constexpr size_t kTokensPerBlock = 16;

/// The prompt of a chat request: "ROLE:CONTENT\n" for each message, or the text of the member `prompt`.
std::string PromptText(const nlohmann::json& body);

uint64_t PromptHash(std::string_view prompt);
uint64_t PromptTokens(std::string_view prompt);

/// The text of token `index` of the answer to a prompt. Ends with a blank. The load generator calls the same
/// function to verify that an answer is its own.
std::string TokenText(uint64_t prompt_hash, uint64_t seed, uint64_t index);

/// The chained hashes of the whole blocks of a prompt. Entry i names the prefix of (i + 1) blocks.
std::vector<uint64_t> PrefixChain(std::string_view model, std::string_view prompt);

/// A prefix as it is named in cache events and in /kv/PREFIX: 16 hexadecimal digits.
std::string PrefixName(uint64_t prefix);

}  // namespace cornelplank::standins::engine

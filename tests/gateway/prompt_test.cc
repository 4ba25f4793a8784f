#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "libs/gateway/internal/prompt.h"
#include "standins/engine/core/tokens.h"

namespace cornelplank::gateway {
namespace {

using nlohmann::json;

struct PromptCase {
  const char* name;
  json messages;
  size_t blocks;  // length of the shared prefix, in blocks of 16 tokens
};
class PromptTest : public testing::TestWithParam<PromptCase> {};

// Guards against a prefix hash that differs from the one in the engines' cache events: the router could then
// not tell which engine has the prefix in its cache.
TEST_P(PromptTest, HashesThePrefixAsTheEnginesDo) {
  const json body = {{"model", "m"}, {"messages", GetParam().messages}};
  GatewayRequest request;
  ASSERT_TRUE(ParsePrompt(body.dump(), &request));
  const auto chain = standins::engine::PrefixChain("m", standins::engine::PromptText(body));
  EXPECT_EQ(request.prefix_tokens, GetParam().blocks * 16);
  EXPECT_EQ(request.prefix, GetParam().blocks == 0 ? 0 : chain.at(GetParam().blocks - 1));
}
INSTANTIATE_TEST_SUITE_P(
    Table, PromptTest,
    testing::Values(PromptCase{"ShorterThanABlock", {{{"role", "user"}, {"content", "short"}}}, 0},
                    PromptCase{"SingleMessage", {{{"role", "user"}, {"content", std::string(1000, 'a')}}}, 4},
                    PromptCase{"Conversation",
                               {{{"role", "system"}, {"content", std::string(150, 's')}},
                                {{"role", "user"}, {"content", std::string(500, 'u')}}},
                               2}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank::gateway

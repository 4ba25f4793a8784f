#include "apps/load/core/answer.h"

#include <nlohmann/json.hpp>

#include "standins/engine/core/tokens.h"

namespace cornelplank::load {
namespace {

using nlohmann::json;
using standins::engine::TokenText;

// The string that a JSON pointer refers to; empty when it refers to no string.
std::string TextAt(const json& value, const char* pointer) {
  const json::json_pointer parsed_pointer(pointer);
  if (!value.contains(parsed_pointer) || !value[parsed_pointer].is_string()) return {};
  return value[parsed_pointer].get<std::string>();
}

}  // namespace

std::string_view ResultName(Result result) {
  switch (result) {
    case Result::kWhole:
      return "whole";
    case Result::kTruncated:
      return "truncated";
    case Result::kNotRun:
      return "not-run";
    case Result::kRan:
      return "ran";
    case Result::kUnknown:
      return "unknown";
    case Result::kNoConnection:
      return "no-connection";
    case Result::kNoAnswer:
      return "no-answer";
    case Result::kNotSent:
      return "not-sent";
    case Result::kWrong:
      return "wrong";
    case Result::kUnmarkedTruncation:
      return "unmarked-truncation";
  }
  return "";
}

AnswerCheck::AnswerCheck(const RequestPlan& plan)
    : prompt_hash_(standins::engine::PromptHash("user:" + plan.prompt + "\n")),
      seed_(plan.seed),
      max_tokens_(plan.max_tokens) {}

uint64_t AnswerCheck::Feed(std::string_view bytes) {
  const uint64_t before = tokens_;
  if (!parser_.Feed(bytes, [this](const http::SseEvent& event) { return TakeEvent(event); })) wrong_ = true;
  return tokens_ - before;
}

bool AnswerCheck::TakeEvent(const http::SseEvent& event) {
  if (event.event == "error") {
    error_ = true;
    error_code_ = TextAt(base::ParseJson(event.data), "/code");
  } else if (event.data == http::kSseDone) {
    // A second end mark, or one after an error event, would let a client take a partial answer for a complete
    // one.
    wrong_ = wrong_ || done_ || error_;
    done_ = true;
  } else {
    wrong_ = wrong_ || done_ || error_;
    TakeToken(event.data);
  }
  return true;
}

void AnswerCheck::TakeToken(const std::string& data) {
  const json event = base::ParseJson(data);
  const std::string text = TextAt(event, "/choices/0/delta/content");
  if (text != TokenText(prompt_hash_, seed_, tokens_)) wrong_ = true;
  if (event.is_object() && event.value("index", tokens_) != tokens_) wrong_ = true;
  ++tokens_;
}

Result AnswerCheck::StreamResult(bool ended) const {
  if (wrong_ || tokens_ > max_tokens_) return Result::kWrong;
  if (done_) return tokens_ == max_tokens_ ? Result::kWhole : Result::kUnmarkedTruncation;
  if (error_ || !ended) return Result::kTruncated;
  return Result::kUnmarkedTruncation;
}

Result AnswerCheck::BodyResult(const std::string& body) const {
  std::string expected;
  for (uint64_t index = 0; index < max_tokens_; ++index) expected += TokenText(prompt_hash_, seed_, index);
  const std::string text = TextAt(base::ParseJson(body), "/choices/0/message/content");
  if (text == expected) return Result::kWhole;
  return expected.starts_with(text) ? Result::kUnmarkedTruncation : Result::kWrong;
}

Result ErrorResult(const std::string& body) {
  const std::string outcome = TextAt(base::ParseJson(body), "/outcome");
  if (outcome == "not-run") return Result::kNotRun;
  if (outcome == "ran") return Result::kRan;
  return Result::kUnknown;
}

}  // namespace cornelplank::load

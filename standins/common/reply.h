#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "libs/http/http.h"

namespace cornelplank::standins {

/// A JSON response.
http::Response JsonReply(int status, const nlohmann::json& body);

/// A JSON response from text that is already JSON.
http::Response JsonTextReply(int status, std::string body);

/// An RFC 9457 problem with the members `code` and `outcome` ("not-run", "ran" or "unknown").
http::Response ProblemReply(int status, const std::string& code, const std::string& detail,
                            const std::string& outcome);

/// Parses a JSON object; nothing when the text is not one.
std::optional<nlohmann::json> ParseObject(const std::string& text);

/// A member of a JSON object as text; empty when it is absent or no text.
std::string MemberText(const nlohmann::json& object, const char* name);

/// A member of a JSON object as a whole number, or `fallback` when it is absent or no such number.
uint64_t MemberNumber(const nlohmann::json& object, const char* name, uint64_t fallback);

/// A query parameter or header value as a whole number, or `fallback` when it is absent or no number.
uint64_t NumberOr(std::string_view text, uint64_t fallback);
uint64_t QueryNumber(const http::Request& request, const std::string& name, uint64_t fallback);

}  // namespace cornelplank::standins

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "libs/http/http.h"

namespace cornelplank::standins {

/// Builds a response with `body` as its JSON text.
http::Response JsonReply(int status, const nlohmann::json& body);

/// Builds a JSON response from text that is already serialised.
http::Response JsonTextReply(int status, std::string body);

/// Builds an RFC 9457 problem response with the extension members `code` and `outcome`. `outcome` says
/// whether the request was executed: "not-run", "ran" or "unknown".
http::Response ProblemReply(int status, const std::string& code, const std::string& detail,
                            const std::string& outcome);

/// Parses a JSON object. Returns nullopt if the text is not valid JSON or not an object.
std::optional<nlohmann::json> ParseObject(const std::string& text);

/// Returns a string member of a JSON object, or an empty string if it is absent or not a string.
std::string MemberText(const nlohmann::json& object, const char* name);

/// Returns an unsigned integer member of a JSON object, or `fallback` if it is absent or not one.
uint64_t MemberNumber(const nlohmann::json& object, const char* name, uint64_t fallback);

/// Parses decimal digits. Returns `fallback` if the text is empty, out of range or contains anything else.
uint64_t ParseNumberOr(std::string_view text, uint64_t fallback);
/// Returns a query parameter as a number, or `fallback` if it is absent or not a number.
uint64_t QueryNumber(const http::Request& request, const std::string& name, uint64_t fallback);

}  // namespace cornelplank::standins

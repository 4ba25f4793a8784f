#include "standins/common/reply.h"

#include <charconv>
#include <utility>

namespace cornelplank::standins {

http::Response JsonTextReply(int status, std::string body) {
  http::Response response;
  response.status = status;
  response.headers["Content-Type"] = "application/json";
  response.body = std::move(body);
  return response;
}

http::Response JsonReply(int status, const nlohmann::json& body) {
  return JsonTextReply(status, body.dump());
}

http::Response ProblemReply(int status, const std::string& code, const std::string& detail,
                            const std::string& outcome) {
  http::Response response = JsonReply(status, {{"type", "about:blank"},
                                               {"title", code},
                                               {"status", status},
                                               {"detail", detail},
                                               {"code", code},
                                               {"outcome", outcome}});
  response.headers["Content-Type"] = "application/problem+json";
  return response;
}

std::optional<nlohmann::json> ParseObject(const std::string& text) {
  nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
  if (!value.is_object()) return std::nullopt;
  return value;
}

std::string MemberText(const nlohmann::json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_string()) return {};
  return found->get<std::string>();
}

uint64_t MemberNumber(const nlohmann::json& object, const char* name, uint64_t fallback) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_number_unsigned()) return fallback;
  return found->get<uint64_t>();
}

uint64_t ParseNumberOr(std::string_view text, uint64_t fallback) {
  uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc{} && end == text.data() + text.size() ? value : fallback;
}

uint64_t QueryNumber(const http::Request& request, const std::string& name, uint64_t fallback) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? fallback : ParseNumberOr(found->second, fallback);
}

}  // namespace cornelplank::standins

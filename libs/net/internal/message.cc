#include "libs/net/internal/message.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace cornelplank::net {
namespace {

constexpr std::array<std::string_view, 9> kHopByHop = {
    "Connection",        "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
    "Transfer-Encoding", "TE",         "Trailer",          "Content-Length"};

}  // namespace

bool SameHeaderName(std::string_view left, std::string_view right) {
  return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

std::optional<std::string_view> Headers::Find(std::string_view name) const {
  for (const Header& field : fields_) {
    if (SameHeaderName(field.name, name)) return field.value;
  }
  return std::nullopt;
}

void Headers::Remove(std::string_view name) {
  std::erase_if(fields_, [&](const Header& field) { return SameHeaderName(field.name, name); });
}

void RemoveHopByHop(Headers* headers) {
  std::vector<std::string> listed;
  for (const Header& field : headers->fields()) {
    if (!SameHeaderName(field.name, "Connection")) continue;
    for (const auto token : boost::beast::http::token_list(field.value)) listed.emplace_back(token);
  }
  for (const std::string& name : listed) headers->Remove(name);
  for (const std::string_view name : kHopByHop) headers->Remove(name);
  headers->Remove("Upgrade");
}

}  // namespace cornelplank::net

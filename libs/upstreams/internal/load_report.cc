#include "libs/upstreams/internal/load_report.h"

#include <charconv>

namespace cornelplank::upstreams {
namespace {

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

}  // namespace

std::optional<EngineLoad> ParseEngineLoad(std::string_view header) {
  EngineLoad load;
  bool has_running = false;
  bool has_queued = false;
  while (!header.empty()) {
    const size_t comma = header.find(',');
    const std::string_view field = Trim(header.substr(0, comma));
    header.remove_prefix(comma == std::string_view::npos ? header.size() : comma + 1);
    const size_t equals = field.find('=');
    if (equals == std::string_view::npos) return std::nullopt;
    const std::string_view name = Trim(field.substr(0, equals));
    const std::string_view text = Trim(field.substr(equals + 1));
    uint32_t* target = nullptr;
    if (name == "running") target = &load.running;
    if (name == "queued") target = &load.queued;
    if (name == "slots") target = &load.slots;
    if (name == "cached") target = &load.cached;
    if (target == nullptr) continue;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), *target);
    if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    has_running = has_running || name == "running";
    has_queued = has_queued || name == "queued";
  }
  if (!has_running || !has_queued) return std::nullopt;
  return load;
}

}  // namespace cornelplank::upstreams

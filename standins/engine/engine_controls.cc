#include <map>

#include "standins/common/reply.h"
#include "standins/engine/core/tokens.h"
#include "standins/engine/engine_app.h"

namespace cornelplank::standins::engine {
namespace {

using nlohmann::json;

std::optional<uint64_t> ParsePrefix(const std::string& name) {
  if (name.size() != 16 || name.find_first_not_of("0123456789abcdef") != std::string::npos) {
    return std::nullopt;
  }
  return std::stoull(name, nullptr, 16);
}

// Builds the body of a KV export: a line of JSON that lists the blocks, then `bytes` bytes of filler in place
// of the cache entries.
std::string ExportBody(const std::vector<uint64_t>& chain, const std::string& region, uint64_t bytes) {
  json blocks = json::array();
  for (const uint64_t block : chain) blocks.push_back(PrefixName(block));
  return json{{"blocks", blocks}, {"region", region}}.dump() + "\n" + std::string(bytes, 'k');
}

// Reads the chain of blocks from the JSON line of a KV export; empty if it is malformed.
std::vector<uint64_t> ImportChain(const json& head) {
  std::vector<uint64_t> chain;
  const auto blocks = head.find("blocks");
  if (blocks == head.end() || !blocks->is_array()) return {};
  for (const auto& block : *blocks) {
    const auto prefix = block.is_string() ? ParsePrefix(block.get<std::string>()) : std::nullopt;
    if (!prefix) return {};
    chain.push_back(*prefix);
  }
  return chain;
}

json RecordJson(const RequestLogRecord& record) {
  return {{"id", record.id},
          {"outcome", record.outcome},
          {"model", record.model},
          {"priority", record.priority},
          {"resume_tokens", record.resume_tokens},
          {"produced", record.produced},
          {"prompt_hash", PrefixName(record.prompt_hash)},
          {"streamed", record.streamed},
          {"submitted_ms", record.submitted_ms},
          {"ended_ms", record.ended_ms}};
}

}  // namespace

http::Response EngineApp::HandleKv(const http::Request& request, const std::string& name) {
  const auto prefix = ParsePrefix(name);
  if (!prefix) return ProblemReply(400, "invalid-prefix", "a prefix has 16 hexadecimal digits", "not-run");
  if (request.method == "GET") {
    return WithCore([&](EngineCore& core, base::TimePoint now) {
      core.AdvanceTo(now);
      const auto chain = core.ExportPrefix(*prefix);
      if (chain.empty()) return ProblemReply(404, "unknown-prefix", "the prefix is not cached", "not-run");
      const std::string region = core.options().region;
      kv_log_.push_back({{"op", "export"}, {"prefix", name}, {"region", region}});
      http::Response response;
      response.headers["Content-Type"] = "application/octet-stream";
      response.body = ExportBody(chain, region, chain.size() * kTokensPerBlock * kv_bytes_per_token_);
      return response;
    });
  }
  const auto head = ParseObject(request.body.substr(0, request.body.find('\n')));
  const std::vector<uint64_t> chain = head ? ImportChain(*head) : std::vector<uint64_t>{};
  if (request.method != "PUT" || chain.empty() || chain.back() != *prefix) {
    return ProblemReply(400, "invalid-import", "the body is no export of this prefix", "not-run");
  }
  return WithCore([&](EngineCore& core, base::TimePoint now) {
    core.ImportPrefix(chain, now);
    kv_log_.push_back({{"op", "import"}, {"prefix", name}, {"region", head->value("region", "")}});
    return JsonReply(200, {{"tokens", chain.size() * kTokensPerBlock}});
  });
}

http::Response EngineApp::SetFault(const http::Request& request) {
  static const std::map<std::string, EngineFaultKind> kKinds = {
      {"none", EngineFaultKind::kNone},
      {"die-after-tokens", EngineFaultKind::kDieAfterTokens},
      {"stall-after-tokens", EngineFaultKind::kStallAfterTokens},
      {"reject", EngineFaultKind::kReject},
      {"slow", EngineFaultKind::kSlow},
      {"end-after-tokens", EngineFaultKind::kEndAfterTokens},
      {"cross-chunks", EngineFaultKind::kCrossChunks},
      {"repeat-chunks", EngineFaultKind::kRepeatChunks}};
  const auto body = ParseObject(request.body);
  const auto kind = body ? kKinds.find(MemberText(*body, "kind")) : kKinds.end();
  if (kind == kKinds.end()) return ProblemReply(400, "invalid-fault", "the kind is unknown", "not-run");
  const uint64_t n = MemberNumber(*body, "n", 0);
  return WithCore([&](EngineCore& core, base::TimePoint now) {
    core.SetFault(kind->second, n, now);
    return JsonReply(200, {{"kind", kind->first}, {"n", n}});
  });
}

http::Response EngineApp::LogReply() {
  return WithCore([&](EngineCore& core, base::TimePoint now) {
    core.AdvanceTo(now);
    json requests = json::array();
    for (const RequestLogRecord& record : core.log()) requests.push_back(RecordJson(record));
    for (const RequestLogRecord& record : core.OpenRecords()) requests.push_back(RecordJson(record));
    return JsonReply(200, {{"engine", core.options().name},
                           {"region", core.options().region},
                           {"requests", requests},
                           {"kv", kv_log_}});
  });
}

}  // namespace cornelplank::standins::engine

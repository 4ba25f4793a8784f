#include "tests/decoders/decoder_fuzz.h"

#include <array>
#include <functional>
#include <map>
#include <vector>

#include "libs/fleet/fleet.h"
#include "platform/internal/store_items.h"
#include "platform/internal/store_page.h"
#include "platform/internal/value_packing.h"
#include "platform/platform.h"
#include "tests/fuzz/fuzz_target.h"

namespace cornelplank {
namespace {

using std::chrono::hours;

/// Values that replace parts of a valid text.
std::vector<std::string> OddValues() {
  std::vector<std::string> values = {"1e300",
                                     "-1e300",
                                     "1e999",
                                     "-1",
                                     "0",
                                     "18446744073709551615",
                                     "18446744073709551616",
                                     "9223372036854775807",
                                     "-9223372036854775808",
                                     "0.5",
                                     "1e-300",
                                     "nan",
                                     "inf",
                                     "null",
                                     "true",
                                     "[]",
                                     "{}",
                                     "\"\"",
                                     "\"x\"",
                                     "\"10.0.0.1:65536\"",
                                     "\"10.0.0.1:0\"",
                                     "\"\\u0000\"",
                                     "\xc3",
                                     "\r\n",
                                     ",",
                                     ":"};
  values.emplace_back(30, '9');
  for (const size_t levels : {70U, 5000U}) {
    values.push_back(std::string(levels, '[') + std::string(levels, ']'));
    values.emplace_back(levels, '{');
  }
  return values;
}

class Mutator {
 public:
  explicit Mutator(uint64_t seed) : random_(seed) {}

  std::string Change(std::string text) {
    for (uint64_t changes = 1 + random_.Below(3); changes > 0; --changes) text = ChangeOnce(std::move(text));
    return text;
  }

 private:
  std::string ChangeOnce(std::string text) {
    const size_t at = random_.Below(text.size() + 1);
    const size_t length = std::min<size_t>(random_.Below(24), text.size() - at);
    const std::string& value = values_[random_.Below(values_.size())];
    switch (random_.Below(6)) {
      case 0:
        if (at < text.size()) text[at] = static_cast<char>(random_.Below(256));
        return text;
      case 1:
        return text.erase(at, length);
      case 2:
        return text.insert(at, text.substr(at, length));
      case 3:
        return text.insert(at, value);
      case 4:
        return text.replace(at, length, value);
      default: {
        // A whole value, so that the text often stays valid JSON.
        const size_t colon = text.find(':', at);
        if (colon == std::string::npos) return text;
        const size_t end = text.find_first_of(",}]", colon + 1);
        return text.replace(colon + 1, end == std::string::npos ? end : end - colon - 1, value);
      }
    }
  }

  base::Random random_;
  std::vector<std::string> values_ = OddValues();
};

const char kEntry[] =
    R"({"service":"svc","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"ready",)"
    R"("cold_remaining_ms":5,"sequence":3,"born":1780000000000,"models":[{"name":"m","adapters":[]}]})";
const char kConfig[] =
    R"({"version":7,"routes":[{"name":"a","host":"h","path_prefix":"/a/","kind":"safe","timeout_ms":900,)"
    R"("public":false,)"
    R"("target_latency_ms":300,"target_gap_ms":100,"priority":2,"attempts":3,"home_regions":["r"],)"
    R"("split":[{"service":"s","weight":90},{"service":"t","weight":10}]}],"services":[{"name":"s",)"
    R"("connection_limit":9,"cold_start_s":3,"cold_per_s":1.8,"engine":{"slots":12,"kv_capacity":9000}}],)"
    R"("tenants":[{"name":"t","api_keys":["k"],"priority":1,"unit":"token_streaming","plain_tokens":700,)"
    R"("rate_per_s":36000,"burst":9000,"home_regions":["r"]}],)"
    R"("limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
const char kPage[] =
    R"({"current_rev":5,"has_more":false,"store_age_ms":40,"items":[{"key":"servers/a","value":"e30=",)"
    R"("revision":3},{"key":"b","packed":"q64FAA==","size":2},{"key":"c","revision":4,"tombstone":true}]})";

bool InRange(std::chrono::nanoseconds time, std::chrono::nanoseconds most) {
  return time >= std::chrono::nanoseconds(0) && time <= most;
}

std::optional<std::string> CheckEntry(const std::string& text) {
  std::string problem;
  const auto replica = platform::DecodeReplica("i-1", text, {{"z", "r"}}, &problem);
  if (!replica) return problem.empty() ? std::optional<std::string>("no reason is given") : std::nullopt;
  if (replica->address.port() == 0 || replica->slots == 0 || replica->incarnation > (uint64_t{1} << 53) ||
      !InRange(replica->cold_remaining, hours(24))) {
    return "a field of the replica is out of range";
  }
  return std::nullopt;
}

std::optional<std::string> CheckConfig(const std::string& text) {
  std::string problem;
  const auto config = platform::DecodeConfig(text, &problem);
  if (!config) return problem.empty() ? std::optional<std::string>("no reason is given") : std::nullopt;
  bool correct = config->version <= (uint64_t{1} << 53) && InRange(config->limits.idle_timeout, hours(24));
  for (const auto& route : config->routes) {
    correct = correct && InRange(route.timeout, hours(24)) && route.attempts > 0 && route.priority >= 0 &&
              route.priority <= 9;
    route.PickService(42);
  }
  const tenancy::Tenant* tenant = config->tenants ? config->tenants->FindByName("t") : nullptr;
  if (tenant != nullptr) {
    const tenancy::Quota& quota = tenant->quota;
    correct = correct && tenant->priority.value_or(0) >= 0 && tenant->priority.value_or(0) <= 9;
    for (const double number : {quota.per_second, quota.burst, quota.plain_cost}) {
      correct = correct && number >= 0 && number <= 1e15;
    }
  }
  for (const auto& [name, service] : config->services) {
    correct = correct && InRange(service.cold_start, hours(24)) && service.cold_requests_per_second >= 0;
  }
  return correct ? std::nullopt : std::optional<std::string>("a field of the configuration is out of range");
}

std::optional<std::string> CheckPage(const std::string& text) {
  platform::StorePage page;
  if (platform::DecodePage(text, &page) && !InRange(page.store_age, hours(24))) {
    return "the age is out of range";
  }
  return std::nullopt;
}

std::optional<std::string> CheckPacked(const std::string& text) {
  const auto value = platform::UnpackValue(text, 40);
  return value && value->size() != 40 ? std::optional<std::string>("the value has another size")
                                      : std::nullopt;
}

std::optional<std::string> CheckHeartbeat(const std::string& text) {
  const auto heartbeat = fleet::DecodeHeartbeat(text);
  if (!heartbeat) return std::nullopt;
  for (const auto& limit : heartbeat->limits) {
    if (!InRange(limit.age, hours(24 * 60))) return "an age is out of range";
  }
  using fleet::OriginMessages;
  const OriginMessages& origins = heartbeat->origins;
  size_t attempts = 0;
  for (const auto& records : origins.records) attempts += records.attempts.size();
  bool bounded = attempts <= OriginMessages::kMaxAttempts &&
                 origins.records.size() <= OriginMessages::kMaxGroups &&
                 origins.queries.size() <= OriginMessages::kMaxQueries &&
                 origins.answers.size() <= OriginMessages::kMaxQueries;
  for (const auto& query : origins.queries) {
    bounded = bounded && query.services.size() <= OriginMessages::kMaxServices;
  }
  for (const auto& answer : origins.answers) {
    bounded = bounded && answer.kind <= fleet::OriginAnswer::Kind::kLastKind;
  }
  if (!bounded) return "a list or kind of the origins is out of bounds";
  return std::nullopt;
}

std::optional<std::string> CheckHeaders(const std::string& text) {
  const platform::PlatformCodec codec;
  net::ResponseHead head{503, {}};
  for (const char* name : {"Retry-After", "Cold-Remaining-Ms", "Server-Limit", "Server-Load",
                           "Server-Leaving", "Cornelplank-Software"}) {
    head.headers.Add(name, text);
  }
  const serving::ResponseInfo info = codec.DecodeResponse(head);
  net::Request request{"GET", "/a", {}, ""};
  for (const char* name :
       {"Attempt-Id", "Host", "Deadline-Ms", "Token-Usage", "Prompt-Prefix", "Last-Event-Id", "Resumes"}) {
    request.headers.Add(name, text);
  }
  std::string problem;
  const auto client = codec.DecodeRequest(request, &problem);
  const bool correct =
      InRange(info.push_back.value_or(base::Duration(0)), hours(24)) &&
      InRange(info.cold_remaining.value_or(base::Duration(0)), hours(24)) &&
      info.rate_limit.value_or(0) >= 0 &&
      (!info.load || (info.load->percent.value_or(100) >= 10 && info.load->percent.value_or(100) <= 2000)) &&
      InRange(client ? client->time_left.value_or(base::Duration(0)) : base::Duration(0), hours(24));
  return correct ? std::nullopt : std::optional<std::string>("a header is out of range");
}

std::string HeartbeatBytes() {
  fleet::Heartbeat heartbeat;
  heartbeat.sender.address = 7;
  heartbeat.members.resize(3);
  heartbeat.wait_reports.push_back({1, 2, std::chrono::milliseconds(30), std::chrono::milliseconds(4)});
  heartbeat.loads = std::vector<serving::ReplicaWork>{{5, {1, 2, 3}}};
  heartbeat.limits.push_back({9, 1.5, std::chrono::milliseconds(5)});
  return fleet::EncodeHeartbeat(heartbeat);
}

std::string OriginBytes() {
  fleet::Heartbeat heartbeat;
  heartbeat.sender.address = 7;
  heartbeat.origins.records = {{1ULL << 60, {1, 2, 3}}, {8, {4}}};
  heartbeat.origins.queries = {{1ULL << 61, 5, {6, 7}}, {9, 0, {6}}};
  heartbeat.origins.answers = {{3, fleet::OriginAnswer::Kind::kOnlyVersion, 4}};
  return fleet::EncodeHeartbeat(heartbeat);
}

struct Decoder {
  const char* name;
  std::string text;  // a valid one
  std::function<std::optional<std::string>(const std::string&)> check;
};

}  // namespace

std::optional<std::string> FuzzDecoders(uint64_t seed, uint64_t steps) {
  const std::vector<Decoder> decoders = {
      {"entry", kEntry, CheckEntry},
      {"configuration", kConfig, CheckConfig},
      {"page", kPage, CheckPage},
      {"packed value", platform::PackValue(std::string(40, 'a')), CheckPacked},
      {"heartbeat", HeartbeatBytes(), CheckHeartbeat},
      {"origins", OriginBytes(), CheckHeartbeat},
      {"header", "5c1e07a2:800,12.5", CheckHeaders}};
  Mutator mutator(seed);
  for (uint64_t step = 0; step < steps; ++step) {
    for (const Decoder& decoder : decoders) {
      const std::string text = mutator.Change(decoder.text);
      if (const auto fault = decoder.check(text)) {
        return std::string(decoder.name) + ": " + *fault + ": " + text;
      }
    }
  }
  return std::nullopt;
}

namespace {
const bool kRegistered = fuzz::RegisterFuzzTarget({"decoders", FuzzDecoders});
}  // namespace

}  // namespace cornelplank

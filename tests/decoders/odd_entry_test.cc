#include <gtest/gtest.h>

#include <limits>
#include <nlohmann/json.hpp>

#include "platform/internal/store_items.h"
#include "platform/internal/store_page.h"
#include "platform/platform.h"

namespace cornelplank::platform {
namespace {

using Json = nlohmann::json;

const std::map<std::string, std::string> kZones = {{"z", "r"}};

/// A usable entry of a replica with one field replaced by the JSON text `value`; an empty one removes it.
std::string EntryWith(const std::string& field, const std::string& value) {
  std::map<std::string, std::string> fields = {
      {"service", "\"svc\""}, {"address", "\"10.0.0.1:80\""}, {"zone", "\"z\""}, {"state", "\"ready\""},
      {"slots", "4"},         {"born", "1780000000000"},      {"sequence", "3"}, {"cold_remaining_ms", "0"},
      {"version", "\"v1\""}};
  fields[field] = value;
  std::string text;
  for (const auto& [name, json] : fields) {
    if (!json.empty()) text += (text.empty() ? "{\"" : ",\"") + name + "\":" + json;
  }
  return text + "}";
}

std::string Nested(size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); }

struct EntryCase {
  const char* name;
  std::string field;
  std::string value;
  bool usable;
};
class OddEntryTest : public ::testing::TestWithParam<EntryCase> {};

// Guards against an entry of another writer that ends the process, or is used with a value out of range.
TEST_P(OddEntryTest, IsNotUsed) {
  std::string problem;
  const auto replica = DecodeReplica("i-1", EntryWith(GetParam().field, GetParam().value), kZones, &problem);
  EXPECT_EQ(replica.has_value(), GetParam().usable) << problem;
  EXPECT_EQ(problem.empty(), GetParam().usable);
}

INSTANTIATE_TEST_SUITE_P(
    Fields, OddEntryTest,
    ::testing::Values(
        EntryCase{"Correct", "sequence", "4", true}, EntryCase{"UnknownField", "more", "[{}]", true},
        EntryCase{"NoIncarnation", "born", "", true},
        EntryCase{"IncarnationTooLarge", "born", "1e300", false},
        EntryCase{"IncarnationOfThirtyDigits", "born", std::string(30, '9'), false},
        EntryCase{"IncarnationBeyondDoubles", "born", "1e999", false},
        EntryCase{"IncarnationNegative", "born", "-1", false},
        EntryCase{"IncarnationIsText", "born", "\"now\"", false},
        EntryCase{"PortZero", "address", "\"10.0.0.1:0\"", false},
        EntryCase{"PortTooLarge", "address", "\"10.0.0.1:65536\"", false},
        EntryCase{"PortFarTooLarge", "address", "\"10.0.0.1:99999999999999999999\"", false},
        EntryCase{"PortNegative", "address", "\"10.0.0.1:-80\"", false},
        EntryCase{"PortWithText", "address", "\"10.0.0.1:80x\"", false},
        EntryCase{"AddressIsNumber", "address", "80", false},
        EntryCase{"SlotsTooMany", "slots", "1e300", false}, EntryCase{"SlotsNone", "slots", "0", false},
        EntryCase{"SlotsNegative", "slots", "-1e300", false},
        EntryCase{"ColdTooLong", "cold_remaining_ms", "1e300", false},
        EntryCase{"ColdNegative", "cold_remaining_ms", "-5", false},
        EntryCase{"NoVersion", "version", "", true}, EntryCase{"VersionIsNumber", "version", "1", false},
        EntryCase{"VersionIsNull", "version", "null", false},
        EntryCase{"DeeplyNested", "models", Nested(1'000'000), false},
        EntryCase{"NestedAndCut", "models", std::string(1'000'000, '['), false},
        EntryCase{"DeeplyNestedObject", "models",
                  [] {
                    std::string text;
                    for (int i = 0; i < 100'000; ++i) text += "{\"a\":";
                    return text + "1" + std::string(100'000, '}');
                  }(),
                  false}),
    [](const auto& info) { return info.param.name; });

struct IdCase {
  const char* name;
  std::string id;
  bool usable;
};
class OddIdTest : public ::testing::TestWithParam<IdCase> {};

// Guards against ids that would change the header in which they are sent.
TEST_P(OddIdTest, IsNotUsed) {
  std::string problem;
  EXPECT_EQ(DecodeReplica(GetParam().id, EntryWith("slots", "4"), kZones, &problem).has_value(),
            GetParam().usable);
}

INSTANTIATE_TEST_SUITE_P(Ids, OddIdTest,
                         ::testing::Values(IdCase{"Correct", "i-7f3a91c2", true}, IdCase{"Empty", "", false},
                                           IdCase{"LineBreak", "i-1\r\nX-More: 1", false},
                                           IdCase{"Blank", "i 1", false},
                                           IdCase{"NotAscii", "i-\xc3\xa4", false},
                                           IdCase{"Long", std::string(201, 'i'), false}),
                         [](const auto& info) { return info.param.name; });

struct VersionCase {
  const char* name;
  std::string version;
  std::optional<uint64_t> expected;
};
class OddVersionTest : public ::testing::TestWithParam<VersionCase> {};

// Guards against a version after which no later one would come into force.
TEST_P(OddVersionTest, IsRefused) {
  std::string problem;
  const auto config = DecodeConfig("{\"version\":" + GetParam().version + ",\"routes\":[]}", &problem);
  EXPECT_EQ(config ? std::optional(config->version) : std::nullopt, GetParam().expected) << problem;
}

INSTANTIATE_TEST_SUITE_P(Versions, OddVersionTest,
                         ::testing::Values(VersionCase{"Correct", "7", 7},
                                           VersionCase{"TooLarge", "1e300", {}},
                                           VersionCase{"ThirtyDigits", std::string(30, '9'), {}},
                                           VersionCase{"Negative", "-1", {}},
                                           VersionCase{"Text", "\"7\"", {}},
                                           VersionCase{"DeeplyNested", Nested(1'000'000), {}}),
                         [](const auto& info) { return info.param.name; });

struct RouteFieldCase {
  const char* name;
  std::string fields;  // of the route, after the required ones
  int priority;
  uint32_t attempts;
  std::chrono::milliseconds timeout;
};
class OddRouteTest : public ::testing::TestWithParam<RouteFieldCase> {};

// Guards against optional fields that take a value out of range, or that make their route disappear.
TEST_P(OddRouteTest, TakesTheDefault) {
  std::string problem;
  const auto config =
      DecodeConfig(R"({"version":7,"routes":[{"name":"a","host":"h","path_prefix":"/a/","service":"s")" +
                       GetParam().fields + "}]}",
                   &problem);
  ASSERT_NE(config, nullptr) << problem;
  ASSERT_EQ(config->routes.size(), 1U);
  EXPECT_EQ(config->routes[0].priority, GetParam().priority);
  EXPECT_EQ(config->routes[0].attempts, GetParam().attempts);
  EXPECT_EQ(config->routes[0].timeout, GetParam().timeout);
}

using std::chrono::milliseconds;
INSTANTIATE_TEST_SUITE_P(
    Fields, OddRouteTest,
    ::testing::Values(
        RouteFieldCase{"Correct", R"(,"priority":2,"attempts":3,"timeout_ms":900)", 2, 3, milliseconds(900)},
        RouteFieldCase{"Missing", "", 0, 1, milliseconds(0)},
        RouteFieldCase{"TooLarge", R"(,"priority":1e300,"attempts":1e12,"timeout_ms":1e300)", 0, 1,
                       milliseconds(0)},
        RouteFieldCase{"Negative", R"(,"priority":-5,"attempts":-1,"timeout_ms":-1)", 0, 1, milliseconds(0)},
        RouteFieldCase{"Text", R"(,"priority":"1","attempts":"2","timeout_ms":"9")", 0, 1, milliseconds(0)}),
    [](const auto& info) { return info.param.name; });

// Guards against a cold start or a connection limit that overflows when it is used.
TEST(OddServiceTest, TakesTheDefault) {
  std::string problem;
  const auto config = DecodeConfig(
      R"({"version":7,"routes":[],"services":[{"name":"s","connection_limit":-3,"cold_start_s":1e300,)"
      R"("cold_per_s":-1,"engine":{"slots":1e300,"kv_capacity":-1}}],)"
      R"("limits":{"header_bytes":1e300,"body_bytes":-1,"idle_timeout_ms":1e300}})",
      &problem);
  ASSERT_NE(config, nullptr) << problem;
  const serving::ServiceConfig* service = config->FindService("s");
  ASSERT_NE(service, nullptr);
  EXPECT_EQ(service->connection_limit, 0U);
  EXPECT_EQ(service->cold_start, milliseconds(0));
  EXPECT_EQ(service->cold_requests_per_second, 0);
  EXPECT_EQ(service->engine->slots, 1U);
  EXPECT_EQ(service->engine->memory_tokens, 0U);
  EXPECT_EQ(config->limits.header_bytes, serving::ClientLimits().header_bytes);
  EXPECT_EQ(config->limits.idle_timeout, serving::ClientLimits().idle_timeout);
}

struct PageCase {
  const char* name;
  std::string body;
  bool readable;
  size_t changes;
};
class OddPageTest : public ::testing::TestWithParam<PageCase> {};

// Guards against an item of the store, or of another VM's mirror, that ends the process.
TEST_P(OddPageTest, LosesOnlyTheOddItem) {
  StorePage page;
  EXPECT_EQ(DecodePage(GetParam().body, &page), GetParam().readable);
  EXPECT_EQ(page.changes.size(), GetParam().changes);
}

const char kItem[] = R"({"key":"servers/a","value":"e30=","revision":3})";
INSTANTIATE_TEST_SUITE_P(
    Pages, OddPageTest,
    ::testing::Values(
        PageCase{"Correct", R"({"current_rev":5,"items":[)" + std::string(kItem) + "]}", true, 1},
        PageCase{"NoBase64",
                 R"({"current_rev":5,"items":[{"key":"b","value":"%%"},)" + std::string(kItem) + "]}", true,
                 1},
        PageCase{"DeepItem", R"({"current_rev":5,"items":[)" + Nested(1'000'000) + "]}", false, 0},
        PageCase{"DeepField", R"({"current_rev":5,"more":)" + Nested(1'000'000) + "}", false, 0},
        PageCase{"HugeAge", R"({"current_rev":5,"store_age_ms":1e300,"items":[]})", true, 0},
        PageCase{"HugeSize",
                 R"({"current_rev":5,"items":[{"key":"b","packed":"e30=","size":18446744073709551615}]})",
                 true, 0}),
    [](const auto& info) { return info.param.name; });

struct HeaderCase {
  const char* name;
  unsigned status;
  std::string header;
  std::string value;
  std::optional<std::chrono::milliseconds> push_back;
  std::optional<std::chrono::microseconds> cold;
  bool leaving;
};
class ResponseHeaderTest : public ::testing::TestWithParam<HeaderCase> {};

// Guards against statements of replicas that are missed or taken at a value that can't be meant.
TEST_P(ResponseHeaderTest, IsReadWithinBounds) {
  net::ResponseHead head;
  head.status = GetParam().status;
  head.headers.Add(GetParam().header, GetParam().value);
  const serving::ResponseInfo info = PlatformCodec().DecodeResponse(head);
  EXPECT_EQ(info.push_back, GetParam().push_back);
  EXPECT_EQ(info.cold_remaining, GetParam().cold);
  EXPECT_EQ(info.leaving, GetParam().leaving);
}

constexpr milliseconds kTenMinutes = std::chrono::minutes(10);
INSTANTIATE_TEST_SUITE_P(
    Headers, ResponseHeaderTest,
    ::testing::Values(
        HeaderCase{"Fraction", 503, "Retry-After", "1.25", milliseconds(1250), {}, false},
        HeaderCase{"NotARefusal", 200, "Retry-After", "1.25", {}, {}, false},
        HeaderCase{"Negative", 503, "Retry-After", "-3", milliseconds(0), {}, false},
        HeaderCase{"FarTooLong", 503, "Retry-After", "1e300", kTenMinutes, {}, false},
        HeaderCase{"NoNumber", 503, "Retry-After", "soon", {}, {}, false},
        HeaderCase{"Infinite", 503, "Retry-After", "inf", {}, {}, false},
        HeaderCase{"Cold", 200, "Cold-Remaining-Ms", "1500.5", {}, std::chrono::microseconds(1500500), false},
        HeaderCase{"ColdFarTooLong", 200, "Cold-Remaining-Ms", "9223372036854775807", {}, kTenMinutes, false},
        HeaderCase{"Leaving", 200, "Server-Leaving", "1", {}, {}, true},
        HeaderCase{"NotLeaving", 200, "Server-Leaving", "0", {}, {}, false}),
    [](const auto& info) { return info.param.name; });

struct DeadlineCase {
  const char* name;
  const char* value;
  std::optional<std::chrono::milliseconds> expected;
};
class DeadlineHeaderTest : public ::testing::TestWithParam<DeadlineCase> {};

// Guards against a client's deadline that overflows when it is added to a time.
TEST_P(DeadlineHeaderTest, IsReadWithinBounds) {
  net::Request request{"GET", "/a", {}, ""};
  request.headers.Add("Host", "h");
  request.headers.Add("Attempt-Id", "1");
  request.headers.Add("Deadline-Ms", GetParam().value);
  std::string problem;
  const auto info = PlatformCodec().DecodeRequest(request, &problem);
  ASSERT_TRUE(info) << problem;
  EXPECT_EQ(info->time_left, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Values, DeadlineHeaderTest,
                         ::testing::Values(DeadlineCase{"Correct", "2000", milliseconds(2000)},
                                           DeadlineCase{"FarTooLong", "1e300", std::chrono::hours(24)},
                                           DeadlineCase{"Negative", "-5", milliseconds(0)},
                                           DeadlineCase{"NoNumber", "later", {}}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank::platform

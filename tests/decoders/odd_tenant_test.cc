#include <gtest/gtest.h>

#include "platform/internal/store_items.h"

namespace cornelplank::platform {
namespace {

std::shared_ptr<const serving::RoutingConfig> DecodeTenants(const std::string& tenants,
                                                            std::string* problem) {
  return DecodeConfig(R"({"version":7,"routes":[{"name":"a","host":"h","path_prefix":"/a/","service":"s"},)"
                      R"({"name":"b","host":"h","path_prefix":"/b/","service":"s","public":true},)"
                      R"({"name":"c","host":"h","path_prefix":"/c/","service":"s","public":"yes"}])" +
                          tenants + "}",
                      problem);
}

struct ListCase {
  const char* name;
  std::string tenants;          // the field and its value, after a comma
  bool usable;                  // the configuration is
  std::optional<size_t> count;  // of the tenants; none: the configuration has no tenants
};
class OddTenantListTest : public ::testing::TestWithParam<ListCase> {};

// Guards against a faulty entry that makes the other tenants, or the need for keys, disappear.
TEST_P(OddTenantListTest, LosesOnlyTheOddTenant) {
  std::string problem;
  const auto config = DecodeTenants(GetParam().tenants, &problem);
  ASSERT_EQ(config != nullptr, GetParam().usable) << problem;
  if (!config) return;
  EXPECT_EQ(config->tenants ? std::optional(config->tenants->size()) : std::nullopt, GetParam().count);
  ASSERT_EQ(config->routes.size(), 3U);
  EXPECT_FALSE(config->routes[0].open_to_all);
  EXPECT_TRUE(config->routes[1].open_to_all);
  EXPECT_FALSE(config->routes[2].open_to_all);
}

INSTANTIATE_TEST_SUITE_P(
    Lists, OddTenantListTest,
    ::testing::Values(ListCase{"Missing", "", true, {}}, ListCase{"Null", R"(,"tenants":null)", true, {}},
                      ListCase{"Empty", R"(,"tenants":[])", true, 0},
                      ListCase{"Object", R"(,"tenants":{})", false, {}},
                      ListCase{"Text", R"(,"tenants":"a")", false, {}},
                      ListCase{"Two", R"(,"tenants":[{"name":"a"},{"name":"b"}])", true, 2},
                      ListCase{"HomesAreText", R"(,"tenants":[{"name":"a","home_regions":"r"}])", true, 0},
                      ListCase{"HomesAreNumbers", R"(,"tenants":[{"name":"a","home_regions":[5]}])", true, 0},
                      ListCase{"SameName", R"(,"tenants":[{"name":"a"},{"name":"a"}])", true, 1},
                      ListCase{"OddEntries",
                               R"(,"tenants":[5,null,[],{},{"name":""},{"name":7},{"name":"a\r\nX: 1"},)"
                               R"({"name":" a"},{"name":"b"}])",
                               true, 1}),
    [](const auto& info) { return info.param.name; });

struct TenantFieldCase {
  const char* name;
  std::string fields;  // of the tenant, after its name
  std::optional<int> priority;
  tenancy::Quota quota;
  std::vector<std::string> homes;
  bool has_key;  // the key "k"
};
class OddTenantTest : public ::testing::TestWithParam<TenantFieldCase> {};

// Guards against a limit, a home or a key that an odd value of another field makes up or drops.
TEST_P(OddTenantTest, TakesTheDefault) {
  std::string problem;
  const auto& param = GetParam();
  const auto config = DecodeTenants(R"(,"tenants":[{"name":"a")" + param.fields + "}]", &problem);
  ASSERT_NE(config, nullptr) << problem;
  const tenancy::Tenant* tenant = config->tenants->FindByName("a");
  ASSERT_NE(tenant, nullptr);
  EXPECT_EQ(tenant->priority, param.priority);
  EXPECT_EQ(tenant->quota.unit, param.quota.unit);
  EXPECT_EQ(tenant->quota.per_second, param.quota.per_second);
  EXPECT_EQ(tenant->quota.burst, param.quota.burst);
  EXPECT_EQ(tenant->quota.plain_cost, param.quota.plain_cost);
  EXPECT_EQ(tenant->home_regions, param.homes);
  EXPECT_EQ(config->tenants->FindByKey("k"), param.has_key ? tenant : nullptr);
}

using tenancy::QuotaUnit;
INSTANTIATE_TEST_SUITE_P(
    Fields, OddTenantTest,
    ::testing::Values(
        TenantFieldCase{"Correct",
                        R"(,"priority":2,"unit":"token_streaming","rate_per_s":36000.5,"burst":9,)"
                        R"("plain_tokens":700,"home_regions":["r","q"],"api_keys":["k"])",
                        2,
                        {QuotaUnit::kTokens, 36000.5, 9, 700},
                        {"r", "q"},
                        true},
        TenantFieldCase{"Missing", "", {}, {}, {}, false},
        TenantFieldCase{"OtherUnit",
                        R"(,"unit":"requests","rate_per_s":5)",
                        {},
                        {QuotaUnit::kRequests, 5, 0, 1},
                        {},
                        false},
        TenantFieldCase{"OddUnit", R"(,"unit":7,"api_keys":["k"])", {}, {}, {}, true},
        TenantFieldCase{"Negative",
                        R"(,"priority":-1,"rate_per_s":-5,"burst":-1,"plain_tokens":-1,"api_keys":["k"])",
                        {},
                        {},
                        {},
                        true},
        TenantFieldCase{"TooLarge",
                        R"(,"priority":1e300,"rate_per_s":1e300,"burst":1e300,"plain_tokens":1e300)",
                        {},
                        {},
                        {},
                        false},
        TenantFieldCase{"Text", R"(,"priority":"1","rate_per_s":"5","burst":"5")", {}, {}, {}, false},
        TenantFieldCase{"OddKeys", R"(,"priority":0,"api_keys":[5,"","k",null])", 0, {}, {}, true},
        TenantFieldCase{"KeyIsText", R"(,"api_keys":"k")", {}, {}, {}, false},
        TenantFieldCase{"OddHomes", R"(,"home_regions":[5,"r"],"api_keys":["k"])", {}, {}, {"r"}, true}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank::platform

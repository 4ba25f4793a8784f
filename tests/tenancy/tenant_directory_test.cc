#include <gtest/gtest.h>

#include "libs/tenancy/tenancy.h"

namespace cornelplank::tenancy {
namespace {

TenantConfig Make(const std::string& name, std::vector<std::string> keys) {
  TenantConfig config;
  config.tenant.name = name;
  config.keys = std::move(keys);
  return config;
}

struct LookupCase {
  const char* name;
  const char* key;
  const char* tenant;  // empty: no tenant
};

class LookupTest : public ::testing::TestWithParam<LookupCase> {};

// Guards against a key that names the wrong tenant, or any tenant although it is ambiguous or was never
// given.
TEST_P(LookupTest, FindsTheHolderOfTheKey) {
  const auto directory =
      TenantDirectory::Create({Make("a", {"key-a", "old-a", "shared"}), Make("b", {"key-b", "shared", ""}),
                               Make("", {"nameless"}), Make("a", {"repeated"}), Make("keyless", {})});
  const Tenant* tenant = directory->FindByKey(GetParam().key);
  EXPECT_EQ(tenant == nullptr ? "" : tenant->name, GetParam().tenant);
}

INSTANTIATE_TEST_SUITE_P(
    Keys, LookupTest,
    ::testing::Values(LookupCase{"First", "key-a", "a"}, LookupCase{"Second", "old-a", "a"},
                      LookupCase{"Other", "key-b", "b"}, LookupCase{"OfTwoTenants", "shared", ""},
                      LookupCase{"Unknown", "key-c", ""}, LookupCase{"Empty", "", ""},
                      LookupCase{"OfANamelessTenant", "nameless", ""},
                      LookupCase{"OfARepeatedTenant", "repeated", ""}, LookupCase{"Prefix", "key-", ""}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace cornelplank::tenancy

#include "libs/tenancy/internal/tenant_directory.h"

#include <set>
#include <utility>

#include "libs/base/base.h"

namespace cornelplank::tenancy {
namespace {

/// Two random seeds, drawn once for the process. Two 64-bit hashes with secret seeds make a digest of 128
/// bits that clients can neither predict nor learn from response times.
const std::array<uint64_t, 2>& DigestSeeds() {
  static const std::array<uint64_t, 2> kSeeds = {base::EntropySeed(), base::EntropySeed()};
  return kSeeds;
}

}  // namespace

TenantDirectory::KeyDigest TenantDirectory::DigestOf(std::string_view key) {
  return {base::Hash64(key, DigestSeeds()[0]), base::Hash64(key, DigestSeeds()[1])};
}

std::shared_ptr<const TenantDirectory> TenantDirectory::Create(std::vector<TenantConfig> tenants) {
  auto directory = std::make_shared<TenantDirectory>();
  std::set<KeyDigest> ambiguous;
  for (TenantConfig& config : tenants) {
    const std::string name = config.tenant.name;
    if (name.empty() || directory->tenants_.contains(name)) {
      base::LogEvent("tenant_unusable").Text("tenant", name).Text("reason", "name is empty or repeated");
      continue;
    }
    const Tenant* tenant = &directory->tenants_.emplace(name, std::move(config.tenant)).first->second;
    for (const std::string& key : config.keys) {
      if (key.empty()) {
        base::LogEvent("tenant_key_unusable").Text("tenant", name).Text("reason", "key is empty");
        continue;
      }
      const KeyDigest digest = DigestOf(key);
      const auto [entry, added] = directory->by_key_.emplace(digest, tenant);
      if (added || entry->second == tenant) continue;
      ambiguous.insert(digest);
      base::LogEvent("tenant_key_unusable").Text("tenant", name).Text("reason", "another tenant has it too");
    }
  }
  for (const KeyDigest& digest : ambiguous) directory->by_key_.erase(digest);
  return directory;
}

const Tenant* TenantDirectory::FindByKey(std::string_view key) const {
  const auto found = by_key_.find(DigestOf(key));
  return found == by_key_.end() ? nullptr : found->second;
}

const Tenant* TenantDirectory::FindByName(std::string_view name) const {
  const auto found = tenants_.find(name);
  return found == tenants_.end() ? nullptr : &found->second;
}

}  // namespace cornelplank::tenancy

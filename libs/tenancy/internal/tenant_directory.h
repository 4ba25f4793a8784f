#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelplank::tenancy {

/// What a tenant's rate and burst count.
enum class QuotaUnit {
  kRequests,
  kTokens,  // tokens of the prompt and the greatest number of output tokens
};

/// A tenant's quota, which holds over all VMs together.
struct Quota {
  QuotaUnit unit = QuotaUnit::kRequests;
  double per_second = 0;  // in units; 0: no limit
  double burst = 0;       // in units, beyond the rate
  double plain_cost = 1;  // cost in units of a request that states no tokens
};

/// A party whose requests share a quota, a priority and rules on where its data may be processed.
struct Tenant {
  std::string name;
  std::optional<int> priority;            // goes before the route's; 0 is the most urgent
  std::vector<std::string> home_regions;  // where its data may be processed; empty: anywhere
  Quota quota;
};

/// A tenant with the keys by which its clients identify themselves.
struct TenantConfig {
  Tenant tenant;
  std::vector<std::string> keys;
};

/// Finds tenants by key and by name. Immutable. Keeps only digests of the keys, made with a random secret of
/// the process, so that the time of a lookup tells nothing about the keys.
class TenantDirectory {
 public:
  /// Leaves out, with a log line, tenants and keys with an empty name or key, tenants whose name an earlier
  /// one has, and keys that several tenants list.
  static std::shared_ptr<const TenantDirectory> Create(std::vector<TenantConfig> tenants);

  /// Returns null when no tenant has the key.
  const Tenant* FindByKey(std::string_view key) const;
  /// Returns null when no tenant has the name.
  const Tenant* FindByName(std::string_view name) const;
  size_t size() const { return tenants_.size(); }
  /// All tenants, by name.
  const std::map<std::string, Tenant, std::less<>>& tenants() const { return tenants_; }

 private:
  using KeyDigest = std::array<uint64_t, 2>;
  static KeyDigest DigestOf(std::string_view key);

  std::map<std::string, Tenant, std::less<>> tenants_;  // by name
  std::map<KeyDigest, const Tenant*> by_key_;
};

}  // namespace cornelplank::tenancy

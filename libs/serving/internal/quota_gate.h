#pragma once

#include "libs/net/net.h"
#include "libs/tenancy/tenancy.h"

namespace cornelplank::serving {

/// Whether a request fits into its tenant's quota.
struct QuotaDecision {
  enum class Verdict {
    kGranted,
    kExceeded,     // the tenant has used up its quota
    kUnavailable,  // no VM that keeps the tenant's quota could be reached
  };
  Verdict verdict = Verdict::kGranted;
  base::Duration retry_after{0};  // when the request may fit; zero for a granted one
};

/// Takes the cost of requests from the quotas that hold over all VMs together.
class QuotaGate {
 public:
  virtual ~QuotaGate() = default;
  /// Takes `cost` units from the quota of `tenant`. May wait for another VM. The tenant is copied if needed.
  virtual net::Task<QuotaDecision> Acquire(const tenancy::Tenant& tenant, double cost) = 0;
  /// Gives back what was acquired for a request that has not run.
  virtual void GiveBack(const tenancy::Tenant& tenant, double cost) = 0;
};

}  // namespace cornelplank::serving

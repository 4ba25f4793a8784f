#include <utility>

#include "libs/serving/internal/proxied_request.h"

namespace cornelplank::serving {

std::optional<ProxiedRequest::Charge> ProxiedRequest::NextCharge() const {
  // The VM that forwarded a request has taken its cost.
  const tenancy::Tenant* tenant = hop_ || deps_.quota == nullptr ? nullptr : NewestIdentity().tenant;
  if (tenant == nullptr || tenant->quota.per_second <= 0) return std::nullopt;
  return Charge{*tenant, request_info_.QuotaCost(tenant->quota)};
}

net::Task<bool> ProxiedRequest::AcquireQuota() {
  const std::optional<Charge> charge = NextCharge();
  if (charge_ && (!charge || charge->tenant.name != charge_->tenant.name)) ReturnCharge();
  if (!charge || charge_ || TimeLeft() <= kMinAttemptTime) co_return true;
  const QuotaDecision decision = co_await deps_.quota->Acquire(charge->tenant, charge->cost);
  writer_.CheckClient();  // it may have left during the wait
  if (decision.verdict == QuotaDecision::Verdict::kGranted) {
    charge_ = charge;
    co_return true;
  }
  const bool exceeded = decision.verdict == QuotaDecision::Verdict::kExceeded;
  refusal_reason_ = exceeded ? RefusalReason::kQuotaExceeded : RefusalReason::kQuotaUnavailable;
  quota_retry_after_ = decision.retry_after;
  co_return false;
}

void ProxiedRequest::ReturnCharge() {
  if (reservation_) reservation_->abandoned = true;
  reservation_.reset();
  if (!charge_) return;
  deps_.quota->GiveBack(charge_->tenant, charge_->cost);
  charge_.reset();
}

void ProxiedRequest::SettleCharge(bool may_have_run) {
  if (may_have_run) attempt_charge_.reset();
  if (!attempt_charge_) return;
  // The replacement of a silent attempt that has not run after all may have a charge already.
  if (charge_) deps_.quota->GiveBack(charge_->tenant, charge_->cost);
  charge_ = std::exchange(attempt_charge_, std::nullopt);
}

bool ProxiedRequest::ReserveQuota(base::TimePoint now) {
  if (charge_) return true;
  const std::optional<Charge> charge = NextCharge();
  if (!charge) return true;
  if (reservation_ && !reservation_->pending) {
    charge_ = reservation_->charge;
    reserve_after_ = now + reservation_->retry_after;
    reservation_.reset();
    return charge_.has_value();
  }
  if (reservation_ || now < reserve_after_) return false;
  reservation_ = std::make_shared<Reservation>();
  // The request may end before the answer arrives.
  net::Spawn(deps_.loop, "quota_reservation",
             [](QuotaGate* quota, Charge cost, std::shared_ptr<Reservation> reservation) -> net::Task<> {
               const QuotaDecision decision = co_await quota->Acquire(cost.tenant, cost.cost);
               const bool granted = decision.verdict == QuotaDecision::Verdict::kGranted;
               if (granted && reservation->abandoned) quota->GiveBack(cost.tenant, cost.cost);
               if (granted) reservation->charge = cost;
               reservation->retry_after = decision.retry_after;
               reservation->pending = false;
             }(deps_.quota, *charge, reservation_));
  return false;
}

}  // namespace cornelplank::serving

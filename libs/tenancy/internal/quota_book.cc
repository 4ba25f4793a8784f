#include "libs/tenancy/internal/quota_book.h"

#include <array>
#include <cmath>

namespace cornelplank::tenancy {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// Share of the margin above rate x window + burst that full buckets may use. The rest covers the moments in
// which VMs disagree on who owns a bucket.
constexpr double kUsableMargin = 0.85;
// Tokens may be outside the buckets for this time: the longest time that a VM holds unused ones, one tick and
// one way between regions. The buckets are smaller by what is minted in it.
constexpr double kOutsideSeconds = 0.8;
// Least capacity, in seconds of the rate, for bounds without a margin.
constexpr double kLeastCapacitySeconds = 0.25;
// A VM asks ahead for this much of its recent use, so that most requests don't wait for an answer.
constexpr double kHoldSeconds = 0.25;
constexpr milliseconds kHoldTime{500};
// Share of the balance that one question may take ahead, so that the last tokens go to requests.
constexpr double kAheadShare = 0.25;
// Times for the answers: twice from the owner in the own region, then from that of the next region.
constexpr std::array<milliseconds, 3> kAnswerTimes = {milliseconds(60), milliseconds(60), milliseconds(400)};
constexpr int kOtherRegionAttempt = 2;
constexpr milliseconds kUnavailableRetry{500};
// For this time after missing answers the owner in the own region isn't asked.
constexpr milliseconds kUnansweredTime{1000};
// For this time a refusal answers later requests that cost as much, which bounds the questions of a tenant
// far above its quota.
constexpr milliseconds kRefusalTime{50};
// An answer that arrives later than this isn't accepted.
constexpr milliseconds kQuestionTime{1000};
// A bucket below this time's demand asks other regions; one above the other time's demand gives to them.
constexpr double kTransferBelowSeconds = 0.6;
constexpr double kTransferAboveSeconds = 1.0;
// Greatest reserve of a bucket for its own region, in seconds of its refill. Single large requests make the
// demand look far greater than it is.
constexpr double kMaxReserveSeconds = 1.5;
// Buckets below this share of their capacity ask others to even out, so that none stays full and loses its
// refill, at every second tick.
constexpr double kEvenShare = 0.8;
constexpr uint64_t kEvenTicks = 2;
// A bucket gathers tokens for one request like the largest one in this time.
constexpr std::chrono::seconds kGreatestCostTime{5};
// A refused request that the buckets cover together is asked for again after this time, a round trip between
// regions and a margin. They are asked for a little more, as other requests take some of it meanwhile.
constexpr milliseconds kGatherTime{180};
constexpr double kGatherMargin = 1.1;
// What another region's bucket held counts for this time, three of its intervals.
constexpr milliseconds kBalanceTime{600};
// VMs that come back count for refills after this time: another VM, which owned the bucket in the meantime,
// may not have seen it yet.
constexpr std::chrono::seconds kRiseDelay{2};
// A VM whose view is older than this has been suspended. Others take over its buckets 3 s after its last
// heartbeat at the earliest.
constexpr std::chrono::seconds kSuspendedTime{2};
// A bucket keeps its whole capacity while its owner sees at least this share of the region, so that the loss
// of single VMs doesn't keep out the largest requests. The other part, if there is one, keeps the rest.
constexpr double kWholeShare = 0.85;
// Time for which what other VMs tell of the size of the region counts.
constexpr std::chrono::seconds kHeardSizeTime{10};
// Origins of returns that are remembered; several times the VMs of a region.
constexpr size_t kMaxOrigins = 4096;

}  // namespace

QuotaBook::QuotaBook(const QuotaBounds& bounds, QuotaVm own, uint64_t first_sequence, base::TimePoint started)
    : bounds_(bounds),
      own_(own),
      sequence_(first_sequence),
      refills_from_(started + kStartDelay),
      viewed_at_(started) {}

void QuotaBook::SetTenants(const TenantDirectory* directory, base::TimePoint now) {
  std::unordered_map<uint64_t, Account> kept;
  if (directory != nullptr) {
    for (const auto& [name, tenant] : directory->tenants()) {
      if (tenant.quota.per_second <= 0) continue;
      if (kept.size() == kMaxTenants) {
        base::LogEvent("quota_tenant_left_out").Text("tenant", name);
        continue;
      }
      Account& account = kept[KeyOf(name)];
      const auto known = accounts_.find(KeyOf(name));
      if (known != accounts_.end()) {
        Refill(known->second, now);
        account = std::move(known->second);
      }
      account.name = name;
      account.quota = tenant.quota;
      if (account.bucket) account.bucket->SetCapacity(CapacityOf(account.quota), CapacityShare());
    }
  }
  accounts_ = std::move(kept);
  UpdateOwnership(now);
}

void QuotaBook::SetView(QuotaFleetView view, base::TimePoint now) {
  CheckSuspension(now);
  viewed_at_ = now;
  const bool changed = view.owners != view_.owners || view.own_region != view_.own_region;
  for (auto& [tenant, account] : accounts_) Refill(account, now);  // at the rate of the previous view
  view_ = std::move(view);
  size_t most = std::max<size_t>(1, view_.expected_vms);
  if (now - expected_heard_at_ < kHeardSizeTime) most = std::max(most, expected_heard_);
  double share = 0;
  if (view_.connected) share = std::min(1.0, static_cast<double>(view_.live_vms) / static_cast<double>(most));
  if (share <= live_share_) higher_since_ = now;
  if (share <= live_share_ || now - higher_since_ >= kRiseDelay) live_share_ = share;
  for (auto& [tenant, account] : accounts_) {
    if (account.bucket) account.bucket->SetCapacity(CapacityOf(account.quota), CapacityShare());
  }
  if (changed) UpdateOwnership(now);
}

void QuotaBook::CheckSuspension(base::TimePoint now) {
  if (now - viewed_at_ <= kSuspendedTime) return;
  viewed_at_ = now;
  for (auto& [tenant, account] : accounts_) {
    account.held = 0;
    if (!account.bucket) continue;
    account.bucket->Refill(0, now);  // the time of the suspension doesn't count
    account.bucket->TakeUpTo(account.bucket->balance());
  }
}

double QuotaBook::CapacityOf(const Quota& quota) const {
  const double slack = quota.unit == QuotaUnit::kTokens ? bounds_.slack : 0;
  const double margin =
      bounds_.overage * (quota.per_second * Seconds(bounds_.window).count() + quota.burst) + slack;
  const double whole = quota.burst + kUsableMargin * margin - kOutsideSeconds * quota.per_second;
  return std::max(whole, kLeastCapacitySeconds * quota.per_second) / RegionCount();
}

double QuotaBook::CapacityShare() const { return live_share_ >= kWholeShare ? 1 : live_share_; }

double QuotaBook::RefillRate(const Quota& quota, base::TimePoint now) const {
  return now < refills_from_ ? 0 : quota.per_second / RegionCount() * live_share_;
}

void QuotaBook::Refill(Account& account, base::TimePoint now) {
  if (account.bucket) account.bucket->Refill(RefillRate(account.quota, now), now);
}

QuotaVm QuotaBook::OwnerOf(uint64_t tenant, size_t region) const {
  QuotaVm owner = 0;
  uint64_t greatest = 0;
  if (region >= view_.owners.size()) return 0;
  for (const QuotaVm vm : view_.owners[region]) {
    const uint64_t weight = base::Random(tenant ^ (vm * 0x9e3779b97f4a7c15ULL)).Next();
    if (owner == 0 || weight > greatest) {
      owner = vm;
      greatest = weight;
    }
  }
  return owner;
}

void QuotaBook::UpdateOwnership(base::TimePoint now) {
  for (auto& [tenant, account] : accounts_) {
    const bool owned = OwnerOf(tenant, view_.own_region) == own_;
    if (owned && !account.bucket) {
      account.bucket.emplace(CapacityOf(account.quota), CapacityShare(), std::max(now, refills_from_));
      account.bucket->Put(std::exchange(account.held, 0));
    } else if (!owned && account.bucket) {
      const double balance = account.bucket->balance();
      account.bucket.reset();
      Return(tenant, balance);
    }
  }
}

QuotaMessage QuotaBook::MakeMessage(QuotaMessage::Kind kind, uint64_t tenant, double amount) {
  QuotaMessage message;
  message.kind = kind;
  message.tenant = tenant;
  message.sequence = ++sequence_;
  message.origin = own_;
  message.amount = amount;
  message.region_vms = static_cast<uint32_t>(view_.expected_vms);
  return message;
}

QuotaBook::Answer QuotaBook::TakeFromBucket(Account& account, double cost, double demand,
                                            base::TimePoint now) {
  Refill(account, now);
  account.region_demand.Add(demand, now);
  if (cost >= account.greatest_cost || now - account.greatest_cost_at > kGreatestCostTime) {
    account.greatest_cost = cost;
    account.greatest_cost_at = now;
  }
  if (account.bucket->Take(cost)) return {};
  const base::TimePoint from = std::max(now, refills_from_);
  const double share = live_share_ > 0 ? live_share_ : 1;
  const double refill = account.quota.per_second / RegionCount() * share + account.received.PerSecond(now);
  return {Answer::Verdict::kExceeded, from - now + account.bucket->TimeUntil(cost, refill)};
}

uint64_t QuotaBook::Begin(const Tenant& tenant, double cost, base::TimePoint now) {
  CheckSuspension(now);
  const uint64_t id = ++sequence_;
  Request& request = requests_[id];
  request.tenant = KeyOf(tenant.name);
  request.cost = cost;
  request.deadline = now;
  const auto found = accounts_.find(request.tenant);
  if (tenant.quota.per_second <= 0 || !(cost > 0)) {
    request.answer = Answer{};
    return id;
  }
  if (found == accounts_.end()) {
    request.answer = Answer{Answer::Verdict::kUnavailable, kUnavailableRetry};
    return id;
  }
  Account& account = found->second;
  if (account.bucket) {
    TakeOwn(id, request, cost, now);
  } else {
    account.unreported_demand += cost;
    if (account.held >= cost) {
      account.held -= cost;
      request.answer = Answer{};
    } else if (cost >= account.short_cost && now < account.short_from + kRefusalTime &&
               now < account.short_until) {
      request.answer = Answer{Answer::Verdict::kExceeded, account.short_until - now};
    } else {
      if (now < account.unanswered_at + kUnansweredTime) request.attempt = kOtherRegionAttempt;
      SendAsk(id, request, now);
    }
  }
  if (request.answer && request.answer->verdict == Answer::Verdict::kGranted) {
    account.used.Add(cost, now);
    account.used_at = now;
  }
  return id;
}

void QuotaBook::TakeOwn(uint64_t id, Request& request, double demand, base::TimePoint now) {
  Account& account = accounts_.at(request.tenant);
  const Answer answer = TakeFromBucket(account, request.cost, demand, now);
  if (answer.verdict == Answer::Verdict::kGranted) {
    request.answer = answer;
  } else {
    const QuotaVm elsewhere =
        request.elsewhere == 0 ? FindElsewhere(request.tenant, account, request.cost, now) : 0;
    OnRefused(id, request, answer.retry_after, elsewhere, now);
  }
}

QuotaVm QuotaBook::FindElsewhere(uint64_t tenant, Account& account, double cost, base::TimePoint now) {
  std::erase_if(account.balances, [&](const auto& entry) { return now - entry.second.at > kBalanceTime; });
  double others = 0;
  for (auto& [vm, balance] : account.balances) {
    others += balance.amount;
    if (balance.amount < cost) continue;
    balance.amount -= cost;  // the next request doesn't count on the same tokens
    return vm;
  }
  const double missing = (cost - account.bucket->balance()) * kGatherMargin;
  if (missing <= 0 || others < missing) return 0;
  for (auto& [vm, balance] : account.balances) {
    const double part = missing * balance.amount / others;
    AskForTransfer(vm, tenant, account, part, now);
    balance.amount -= part;
  }
  return own_;
}

void QuotaBook::OnRefused(uint64_t id, Request& request, base::Duration retry_after, QuotaVm elsewhere,
                          base::TimePoint now) {
  if (elsewhere == 0 || request.elsewhere != 0) {
    request.answer = Answer{Answer::Verdict::kExceeded, retry_after};
    return;
  }
  request.elsewhere = elsewhere;
  request.attempt = kOtherRegionAttempt;
  request.retry_after = retry_after;
  request.gathering = elsewhere == own_ || elsewhere == OwnerOf(request.tenant, view_.own_region);
  if (request.gathering) {
    request.deadline = now + kGatherTime;
  } else {
    SendAsk(id, request, now);
  }
}

double QuotaBook::TargetHolding(const Account& account, base::TimePoint now) const {
  return kHoldSeconds * account.used.PerSecond(now);
}

void QuotaBook::SendAsk(uint64_t id, Request& request, base::TimePoint now) {
  Account& account = accounts_.at(request.tenant);
  QuotaVm target = request.elsewhere;
  if (target == 0 && request.attempt < kOtherRegionAttempt) {
    target = OwnerOf(request.tenant, view_.own_region);
    if (target == 0) request.attempt = kOtherRegionAttempt;
  }
  for (size_t step = 1; target == 0 && step < view_.owners.size(); ++step) {
    target = OwnerOf(request.tenant, (view_.own_region + step) % view_.owners.size());
  }
  if (target == 0) {
    request.answer = Answer{Answer::Verdict::kUnavailable, kUnavailableRetry};
    return;
  }
  QuotaMessage message = MakeMessage(QuotaMessage::Kind::kAsk, request.tenant, request.cost);
  message.demand = std::exchange(account.unreported_demand, 0);
  if (now - account.extra_asked_at > kAnswerTimes[0]) {
    message.extra = std::max(0.0, TargetHolding(account, now) - account.held);
    account.extra_asked_at = now;
  }
  questions_[message.sequence] = {request.tenant, id, now};
  request.deadline = now + kAnswerTimes.at(static_cast<size_t>(request.attempt));
  outbox_.push_back({target, message});
}

std::optional<QuotaBook::Answer> QuotaBook::Poll(uint64_t id, base::TimePoint now) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return Answer{Answer::Verdict::kUnavailable, kUnavailableRetry};
  Request& request = found->second;
  if (!request.answer && now >= request.deadline && request.gathering) {
    request.gathering = false;
    const auto account = accounts_.find(request.tenant);
    if (account == accounts_.end()) {
      request.answer = Answer{Answer::Verdict::kUnavailable, kUnavailableRetry};
    } else if (account->second.bucket) {
      TakeOwn(id, request, 0, now);
    } else {
      SendAsk(id, request, now);
    }
  } else if (!request.answer && now >= request.deadline) {
    const auto account = accounts_.find(request.tenant);
    ++request.attempt;
    if (account != accounts_.end() && request.attempt == kOtherRegionAttempt) {
      account->second.unanswered_at = now;
    }
    if (request.elsewhere != 0) {
      request.answer = Answer{Answer::Verdict::kExceeded, request.retry_after};
    } else if (account == accounts_.end() || request.attempt > kOtherRegionAttempt) {
      request.answer = Answer{Answer::Verdict::kUnavailable, kUnavailableRetry};
    } else if (account->second.bucket && request.elsewhere == 0) {
      TakeOwn(id, request, 0, now);
    } else {
      SendAsk(id, request, now);
    }
  }
  const std::optional<Answer> answer = request.answer;
  if (answer) requests_.erase(found);
  return answer;
}

base::TimePoint QuotaBook::Deadline(uint64_t request) const {
  const auto found = requests_.find(request);
  return found == requests_.end() ? base::TimePoint{} : found->second.deadline;
}

void QuotaBook::GiveBack(std::string_view tenant, double cost, base::TimePoint now) {
  const auto found = accounts_.find(KeyOf(tenant));
  if (found == accounts_.end() || !(cost > 0)) return;
  Account& account = found->second;
  if (account.bucket) {
    Refill(account, now);
    account.bucket->Put(cost);
  } else {
    account.held += cost;
  }
}

void QuotaBook::Forward(const QuotaMessage& message) {
  const QuotaVm owner = OwnerOf(message.tenant, view_.own_region);
  if (message.forwarded || owner == 0 || owner == own_) return;
  outbox_.push_back({owner, message});
  outbox_.back().message.forwarded = true;
}

uint64_t QuotaBook::OnMessage(const QuotaMessage& message, base::TimePoint now) {
  CheckSuspension(now);
  const auto found = accounts_.find(message.tenant);
  if (found == accounts_.end()) return 0;
  Account& account = found->second;
  if (message.kind == QuotaMessage::Kind::kGrant) return OnGrant(message, account, now);
  if (message.kind == QuotaMessage::Kind::kTransfer) {
    OnTransfer(message, account, now);
  } else if (!account.bucket) {
    Forward(message);
  } else {
    Refill(account, now);
    if (message.kind == QuotaMessage::Kind::kAsk) OnAsk(message, account, now);
    if (message.kind == QuotaMessage::Kind::kTransferAsk) OnTransferAsk(message, account, now);
    if (message.kind == QuotaMessage::Kind::kReturn && IsNew(message)) account.bucket->Put(message.amount);
  }
  return 0;
}

void QuotaBook::OnAsk(const QuotaMessage& message, Account& account, base::TimePoint now) {
  const auto& own_region = view_.owners[view_.own_region];
  if (std::find(own_region.begin(), own_region.end(), message.origin) != own_region.end()) {
    if (message.region_vms >= expected_heard_ || now - expected_heard_at_ >= kHeardSizeTime) {
      expected_heard_ = message.region_vms;
      expected_heard_at_ = now;
    }
  }
  const Answer answer = TakeFromBucket(account, message.amount, message.demand, now);
  QuotaMessage grant = message;
  grant.kind = QuotaMessage::Kind::kGrant;
  grant.retry_after = answer.retry_after;
  if (answer.verdict == Answer::Verdict::kGranted) {
    const double ahead = std::min(message.extra, kAheadShare * account.bucket->balance());
    grant.amount += account.bucket->TakeUpTo(ahead);
  } else {
    grant.amount = 0;
    grant.elsewhere = FindElsewhere(message.tenant, account, message.amount, now);
  }
  outbox_.push_back({message.origin, grant});
}

uint64_t QuotaBook::OnGrant(const QuotaMessage& message, Account& account, base::TimePoint now) {
  const auto question = questions_.find(message.sequence);
  if (question == questions_.end() || question->second.tenant != message.tenant) return 0;
  if (now - question->second.asked_at > kQuestionTime) return 0;
  const uint64_t id = question->second.request;
  const auto waiting = requests_.find(id);
  questions_.erase(question);
  account.extra_asked_at = {};
  const bool open = waiting != requests_.end() && !waiting->second.answer;
  if (message.amount > 0) {
    account.held += message.amount;
    if (open && account.held >= waiting->second.cost) {
      account.held -= waiting->second.cost;
      account.used.Add(waiting->second.cost, now);
      account.used_at = now;
      waiting->second.answer = Answer{};
    }
  } else if (open) {
    Request& request = waiting->second;
    OnRefused(waiting->first, request, message.retry_after, message.elsewhere, now);
    if (!request.answer) return id;
    account.short_cost = request.cost;
    account.short_from = now;
    account.short_until = now + message.retry_after;
  }
  return id;
}

void QuotaBook::OnTransferAsk(const QuotaMessage& message, Account& account, base::TimePoint now) {
  const double balance = account.bucket->balance();
  const double reserve = std::min(kTransferAboveSeconds * account.region_demand.PerSecond(now),
                                  kMaxReserveSeconds * account.quota.per_second / RegionCount());
  const double wanted = std::max(message.amount, (balance - message.extra) / 2);
  QuotaMessage transfer = message;
  transfer.kind = QuotaMessage::Kind::kTransfer;
  transfer.amount = account.bucket->TakeUpTo(std::min(wanted, balance - reserve));
  transfer.elsewhere = own_;
  transfer.extra = std::max(0.0, account.bucket->balance());
  outbox_.push_back({message.origin, transfer});
}

void QuotaBook::OnTransfer(const QuotaMessage& message, Account& account, base::TimePoint now) {
  const auto question = questions_.find(message.sequence);
  if (question == questions_.end() || question->second.tenant != message.tenant) return;
  if (now - question->second.asked_at > kQuestionTime) return;
  questions_.erase(question);
  if (account.bucket) {
    Refill(account, now);
    account.balances[message.elsewhere] = {message.extra, now};
    account.bucket->Put(message.amount);
    account.received.Add(message.amount, now);
  } else {
    Return(message.tenant, message.amount);
  }
}

bool QuotaBook::IsNew(const QuotaMessage& message) {
  if (last_return_.size() >= kMaxOrigins && !last_return_.contains(message.origin)) return false;
  uint64_t& last = last_return_[message.origin];
  if (message.sequence <= last) return false;
  last = message.sequence;
  return true;
}

void QuotaBook::Return(uint64_t tenant, double amount) {
  const QuotaVm owner = OwnerOf(tenant, view_.own_region);
  if (owner == 0 || owner == own_ || !(amount > 0)) return;
  outbox_.push_back({owner, MakeMessage(QuotaMessage::Kind::kReturn, tenant, amount)});
}

void QuotaBook::Tick(base::TimePoint now) {
  ++ticks_;
  std::erase_if(questions_, [&](const auto& entry) { return now - entry.second.asked_at > kQuestionTime; });
  for (auto& [tenant, account] : accounts_) {
    if (account.bucket) {
      Refill(account, now);
      AskOtherRegions(tenant, account, now);
    } else if (account.held > 0) {
      ReturnUnused(tenant, account, now);
    }
  }
}

void QuotaBook::AskOtherRegions(uint64_t tenant, Account& account, base::TimePoint now) {
  double need = kTransferBelowSeconds * account.region_demand.PerSecond(now);
  if (now - account.greatest_cost_at <= kGreatestCostTime) need = std::max(need, account.greatest_cost);
  const double capacity = account.bucket->capacity();
  const double balance = std::max(0.0, account.bucket->balance());
  const double missing = std::max(0.0, std::min(need, capacity) - balance);
  const bool uneven = need > 0 && ticks_ % kEvenTicks == 0 && balance < kEvenShare * capacity;
  if (missing <= 0 && !uneven) return;
  std::vector<QuotaVm> others;
  for (size_t region = 0; region < view_.owners.size(); ++region) {
    const QuotaVm owner = region == view_.own_region ? 0 : OwnerOf(tenant, region);
    if (owner != 0) others.push_back(owner);
  }
  for (const QuotaVm owner : others) {
    const double part = missing / static_cast<double>(others.size());
    AskForTransfer(owner, tenant, account, part, now);
  }
}

void QuotaBook::AskForTransfer(QuotaVm owner, uint64_t tenant, const Account& account, double amount,
                               base::TimePoint now) {
  QuotaMessage ask = MakeMessage(QuotaMessage::Kind::kTransferAsk, tenant, amount);
  ask.extra = std::max(0.0, account.bucket->balance());
  questions_[ask.sequence] = {tenant, 0, now};
  outbox_.push_back({owner, ask});
}

void QuotaBook::ReturnUnused(uint64_t tenant, Account& account, base::TimePoint now) {
  const double kept = now - account.used_at > kHoldTime ? 0 : 2 * TargetHolding(account, now);
  if (account.held <= kept) return;
  Return(tenant, account.held - kept);
  account.held = kept;
}

std::vector<QuotaBook::Use> QuotaBook::Uses(base::TimePoint now) const {
  std::vector<Use> uses;
  for (const auto& [tenant, account] : accounts_) {
    const double share = account.used.PerSecond(now) / account.quota.per_second;
    if (share > 0.001) uses.push_back({account.name, share});
  }
  return uses;
}

}  // namespace cornelplank::tenancy

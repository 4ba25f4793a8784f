#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libs/base/base.h"
#include "libs/tenancy/internal/quota_bucket.h"
#include "libs/tenancy/internal/tenant_directory.h"

namespace cornelplank::tenancy {

/// The bound on what a tenant may use: in any `window`, (rate x window + burst) x (1 + overage) + slack.
struct QuotaBounds {
  base::Duration window = std::chrono::seconds(8);
  double overage = 0.25;
  double slack = 140'000;
};

/// Identifies a VM in quota messages.
using QuotaVm = uint32_t;

/// Greatest size of a region that a message may state.
inline constexpr uint32_t kMaxRegionVms = 10'000;

/// What one VM tells another about the quota of a tenant.
struct QuotaMessage {
  enum class Kind : uint8_t {
    kAsk,          // the sender needs `amount` for a request, and up to `extra` for the next ones
    kGrant,        // answers kAsk with `amount` tokens; 0: refused for `retry_after`
    kReturn,       // tokens that the sender doesn't need, or holds for a bucket that it no longer owns
    kTransferAsk,  // the bucket of another region needs up to `amount`
    kTransfer,     // answers kTransferAsk with `amount` tokens, which may be 0
  };
  static constexpr Kind kLastKind = Kind::kTransfer;
  Kind kind = Kind::kAsk;
  bool forwarded = false;  // by a VM that doesn't own the bucket; not forwarded again
  uint64_t tenant = 0;     // QuotaBook::KeyOf its name
  uint64_t sequence = 0;   // of the origin; an answer repeats that of the question
  QuotaVm origin = 0;      // the VM that asks or returns
  double amount = 0;
  double extra = 0;               // of kTransferAsk and kTransfer: what is left in the sender's bucket
  double demand = 0;              // cost of the origin's requests since its previous question
  base::Duration retry_after{0};  // of a refusal
  // Of kTransfer: its sender. Of a refusal: the VM to ask once more, or 0. The owner that refuses names
  // itself when it is gathering the tokens from other regions.
  QuotaVm elsewhere = 0;
  uint32_t region_vms = 0;  // VMs of its region that the origin expects
};

struct QuotaEnvelope {
  QuotaVm to = 0;
  QuotaMessage message;
};

/// The live VMs as one VM sees them.
struct QuotaFleetView {
  /// VMs that may own buckets, for each region in the settings. A VM that leaves is not among them.
  std::vector<std::vector<QuotaVm>> owners;
  size_t own_region = 0;    // index into `owners`
  size_t live_vms = 1;      // of the own region, in any state
  size_t expected_vms = 1;  // VMs of the own region that may be alive, seen or not
  bool connected = false;   // has heard of other VMs, or is the only one by its settings
};

/// All quota decisions of one VM: the buckets that it owns, the tokens that it holds for its own requests,
/// and its requests that wait for another VM. Not thread-safe; the caller passes in the time and sends the
/// messages. docs/design/quotas.md derives the constants.
class QuotaBook {
 public:
  static constexpr size_t kMaxTenants = 1500;
  /// Interval of `Tick`.
  static constexpr std::chrono::milliseconds kTickInterval{200};
  /// Time after the start of the process in which buckets don't refill. By then the VM knows of the others.
  static constexpr std::chrono::seconds kStartDelay{2};

  struct Answer {
    enum class Verdict { kGranted, kExceeded, kUnavailable };
    Verdict verdict = Verdict::kGranted;
    base::Duration retry_after{0};
  };
  /// Share of a tenant's quota that requests of this VM use.
  struct Use {
    std::string tenant;
    double share = 0;
  };

  /// `first_sequence`: greater than all sequence numbers of earlier processes of the VM.
  QuotaBook(const QuotaBounds& bounds, QuotaVm own, uint64_t first_sequence, base::TimePoint started);

  static uint64_t KeyOf(std::string_view name) { return base::Hash64(name); }
  /// Sets the tenants with limits; null: none.
  void SetTenants(const TenantDirectory* directory, base::TimePoint now);
  /// Call before each `Tick`.
  void SetView(QuotaFleetView view, base::TimePoint now);
  /// Whether there is a tenant with a limit.
  bool IsActive() const { return !accounts_.empty(); }

  /// Begins to take `cost` for a request. Returns its number for `Poll`.
  uint64_t Begin(const Tenant& tenant, double cost, base::TimePoint now);
  /// The answer, given once; none while another VM is waited for. Call it when a message has arrived and at
  /// `Deadline`.
  std::optional<Answer> Poll(uint64_t request, base::TimePoint now);
  base::TimePoint Deadline(uint64_t request) const;
  /// Gives back the cost of a request that was granted and has not run.
  void GiveBack(std::string_view tenant, double cost, base::TimePoint now);

  /// Returns the request that the message may have answered; 0: none.
  uint64_t OnMessage(const QuotaMessage& message, base::TimePoint now);
  /// Periodic work: refills, asks other regions, returns unused tokens and forgets what is outdated.
  void Tick(base::TimePoint now);
  /// The messages to be sent since the last call.
  std::vector<QuotaEnvelope> TakeOutbox() { return std::exchange(outbox_, {}); }
  /// Use of the tenants with requests of this VM in the last seconds.
  std::vector<Use> Uses(base::TimePoint now) const;
  /// The VM that owns the tenant's bucket of a region; 0 when there is none.
  QuotaVm OwnerOf(uint64_t tenant, size_t region) const;

 private:
  /// What another region's bucket held.
  struct Balance {
    double amount = 0;
    base::TimePoint at{};
  };
  /// What the VM knows of one tenant.
  struct Account {
    std::string name;
    Quota quota;
    // As owner of the region's bucket:
    std::optional<QuotaBucket> bucket;
    RecentRate region_demand;
    RecentRate received;       // from other regions
    double greatest_cost = 0;  // of one request lately
    base::TimePoint greatest_cost_at{};
    std::map<QuotaVm, Balance> balances;  // of the buckets of other regions
    // For the VM's own requests:
    double held = 0;
    RecentRate used;
    double unreported_demand = 0;
    base::TimePoint used_at{};
    base::TimePoint extra_asked_at{};  // when tokens for later requests were asked for; reset by the answer
    base::TimePoint unanswered_at{};   // when the owner in the own region last failed to answer
    double short_cost = 0;             // cost that the owner refused
    base::TimePoint short_from{};      // when
    base::TimePoint short_until{};     // when the bucket is expected to cover it
  };
  struct Request {
    uint64_t tenant = 0;
    double cost = 0;
    int attempt = 0;
    QuotaVm elsewhere = 0;          // VM that is asked after the own region's owner has refused
    bool gathering = false;         // `elsewhere` is gathering the tokens until the deadline
    base::Duration retry_after{0};  // by the own region's owner
    base::TimePoint deadline{};
    std::optional<Answer> answer;
  };
  /// A question to another VM. The answer is accepted once.
  struct Question {
    uint64_t tenant = 0;
    uint64_t request = 0;  // 0: tokens from another region for the bucket
    base::TimePoint asked_at{};
  };

  double RegionCount() const { return static_cast<double>(std::max<size_t>(1, view_.owners.size())); }
  double CapacityOf(const Quota& quota) const;
  /// Share of the capacity for the part of the region that this VM sees. Each part of a partitioned region
  /// has its own bucket.
  double CapacityShare() const;
  /// Tokens per second that a bucket owned by this VM gets now.
  double RefillRate(const Quota& quota, base::TimePoint now) const;
  void Refill(Account& account, base::TimePoint now);
  /// Tokens that requests of this VM are expected to need until the next question.
  double TargetHolding(const Account& account, base::TimePoint now) const;
  /// Drops all tokens when the process has been suspended: other VMs may have taken over its buckets.
  void CheckSuspension(base::TimePoint now);
  /// Creates the buckets that this VM owns and hands over those that it doesn't own any more.
  void UpdateOwnership(base::TimePoint now);

  Answer TakeFromBucket(Account& account, double cost, double demand, base::TimePoint now);
  /// Takes the cost from the bucket that this VM owns.
  void TakeOwn(uint64_t id, Request& request, double demand, base::TimePoint now);
  /// The VM to ask for a request that the bucket doesn't cover: one of another region whose bucket does, or
  /// this VM when the buckets do together, which it then asks for their part; 0 when they don't.
  QuotaVm FindElsewhere(uint64_t tenant, Account& account, double cost, base::TimePoint now);
  void AskForTransfer(QuotaVm owner, uint64_t tenant, const Account& account, double amount,
                      base::TimePoint now);
  /// Asks `elsewhere` in a moment or at once; ends the request when it is 0 or has refused.
  void OnRefused(uint64_t id, Request& request, base::Duration retry_after, QuotaVm elsewhere,
                 base::TimePoint now);
  /// Asks the VM of the present attempt. Ends the request when no VM is left to ask.
  void SendAsk(uint64_t id, Request& request, base::TimePoint now);
  void Forward(const QuotaMessage& message);
  void OnAsk(const QuotaMessage& message, Account& account, base::TimePoint now);
  uint64_t OnGrant(const QuotaMessage& message, Account& account, base::TimePoint now);
  void OnTransferAsk(const QuotaMessage& message, Account& account, base::TimePoint now);
  void OnTransfer(const QuotaMessage& message, Account& account, base::TimePoint now);
  void AskOtherRegions(uint64_t tenant, Account& account, base::TimePoint now);
  void ReturnUnused(uint64_t tenant, Account& account, base::TimePoint now);
  void Return(uint64_t tenant, double amount);
  /// Whether the message is newer than all unasked ones accepted from its origin.
  bool IsNew(const QuotaMessage& message);
  QuotaMessage MakeMessage(QuotaMessage::Kind kind, uint64_t tenant, double amount);

  QuotaBounds bounds_;
  QuotaVm own_;
  uint64_t sequence_;
  base::TimePoint refills_from_;
  uint64_t ticks_ = 0;
  base::TimePoint viewed_at_;  // when the view was last set
  QuotaFleetView view_;
  double live_share_ = 1;           // of the region's VMs, as it counts for refills
  base::TimePoint higher_since_{};  // since when more VMs are seen than live_share_ tells
  size_t expected_heard_ = 0;       // greatest number that other VMs of the region expect
  base::TimePoint expected_heard_at_{};
  std::unordered_map<uint64_t, Account> accounts_;
  std::unordered_map<uint64_t, Request> requests_;
  std::unordered_map<uint64_t, Question> questions_;
  std::unordered_map<QuotaVm, uint64_t> last_return_;  // sequence number by origin
  std::vector<QuotaEnvelope> outbox_;
};

}  // namespace cornelplank::tenancy

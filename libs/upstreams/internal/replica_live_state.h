#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

#include "libs/base/base.h"
#include "libs/upstreams/internal/prefix_cache_summary.h"

namespace cornelplank::upstreams {

/// Why a replica takes no new request.
enum class BeginFailure { kLeaving, kEjected };

/// Bits for the sources of the leaving state. Any one of them stops new requests.
enum LeavingSource : uint8_t {
  kLeavingByConfig = 1,
  kLeavingByReport = 2,
  kLeavingByResponse = 4,
};

/// The load of one replica by the last report.
struct LastReportedLoad {
  uint32_t running = 0;  // requests that hold a slot
  uint32_t queued = 0;
  /// Own requests in flight when the report was measured, so that `running` and `queued` include them. An
  /// estimate from `InFlightHistory`.
  uint32_t own_included = 0;
  base::TimePoint measured{};  // the epoch means that there is no report
};

/// The state of one replica that changes between snapshots. Every member is an atomic, so that request
/// threads see a leaving state or an ejection at once, without waiting for the next snapshot. The object is
/// kept when the configuration changes. Only `UpstreamTable` calls the setters.
class ReplicaLiveState {
 public:
  /// Share of its slots that a new, restarted or readmitted replica gets at the start of its ramp.
  static constexpr double kRampStartShare = 0.1;
  /// Time in which the share grows linearly to 1.
  static constexpr std::chrono::seconds kRampTime{30};

  bool Leaving() const { return leaving_.load(std::memory_order_seq_cst) != 0; }
  /// Returns the number of own requests in flight.
  uint32_t InFlight() const { return in_flight_.load(std::memory_order_relaxed); }
  /// True during the back-off of a replica that would be ejected but for the bound of its zone
  /// (`MaxEjected`).
  bool Suspect(base::TimePoint now) const {
    return Count(now) < suspect_until_.load(std::memory_order_relaxed);
  }
  bool Ejected() const { return retry_at_.load(std::memory_order_acquire) != 0; }
  /// True when an ejected replica may get its probe request: the back-off has passed and no probe is running.
  bool ProbeDue(base::TimePoint now) const;
  LastReportedLoad Load() const;
  /// Returns the loaded models as bits, by `Topology::Model` index.
  uint64_t ModelMask() const { return models_.load(std::memory_order_relaxed); }
  /// Returns the share of its slots that the replica may use now: from `kRampStartShare` to 1 during a ramp,
  /// else 1.
  double RampShare(base::TimePoint now) const;
  /// Returns the summary of the prefix cache, or null when nothing is known of it.
  const PrefixCacheSummary* Cache() const { return cache_.load(std::memory_order_acquire); }

  void SetLeaving(LeavingSource source, bool leaving);
  void SuspectUntil(base::TimePoint until) { suspect_until_.store(Count(until), std::memory_order_relaxed); }
  void Eject(base::TimePoint retry_at);
  void Readmit() { retry_at_.store(0, std::memory_order_release); }
  void SetLoad(const LastReportedLoad& load);
  void SetModelMask(uint64_t models) { models_.store(models, std::memory_order_relaxed); }
  void StartRamp(base::TimePoint now) { ramp_from_.store(Count(now), std::memory_order_relaxed); }
  /// Returns the summary of the prefix cache. It is allocated at the first use, because only replicas of the
  /// own zone need one.
  PrefixCacheSummary& MutableCache();

  ReplicaLiveState() = default;
  ~ReplicaLiveState() { delete cache_.load(); }
  ReplicaLiveState(const ReplicaLiveState&) = delete;
  ReplicaLiveState& operator=(const ReplicaLiveState&) = delete;

 private:
  friend class InFlightRequest;

  static int64_t Count(base::TimePoint time) { return time.time_since_epoch().count(); }
  std::optional<BeginFailure> Begin(base::TimePoint now, bool* probe);
  void End(bool probe);

  std::atomic<uint32_t> in_flight_{0};
  std::atomic<uint8_t> leaving_{0};
  std::atomic<int64_t> suspect_until_{0};
  std::atomic<bool> probing_{false};
  std::atomic<int64_t> retry_at_{0};   // 0: not ejected
  std::atomic<int64_t> ramp_from_{0};  // 0: no ramp
  std::atomic<uint64_t> load_{0};      // running in the upper, queued in the lower half
  std::atomic<uint32_t> own_included_{0};
  std::atomic<int64_t> measured_{0};
  std::atomic<uint64_t> models_{0};
  std::atomic<PrefixCacheSummary*> cache_{nullptr};
};

/// Counts one own request at a replica for as long as the object exists. `Begin` is the last check before
/// bytes are sent. It increments the count before it reads the leaving and ejection state, so a state set
/// before `Begin` is always seen.
class InFlightRequest {
 public:
  /// Returns no value when the replica takes no new request, with the cause in `failure` (may be null). An
  /// ejected replica accepts one request as its probe when its back-off has passed.
  static std::optional<InFlightRequest> Begin(std::shared_ptr<ReplicaLiveState> live, base::TimePoint now,
                                              BeginFailure* failure);

  InFlightRequest(InFlightRequest&&) noexcept = default;
  InFlightRequest& operator=(InFlightRequest&&) = delete;
  ~InFlightRequest() {
    if (live_) live_->End(probe_);
  }

  /// True when the request is the probe of an ejected replica.
  bool IsProbe() const { return probe_; }

 private:
  InFlightRequest(std::shared_ptr<ReplicaLiveState> live, bool probe)
      : live_(std::move(live)), probe_(probe) {}

  std::shared_ptr<ReplicaLiveState> live_;
  bool probe_;
};

}  // namespace cornelplank::upstreams

#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

#include "libs/base/base.h"
#include "libs/upstreams/internal/prefix_cache_summary.h"

namespace cornelplank::upstreams {

enum class BeginFailure { kLeaving, kEjected };

/// Sources of the leaving state; any one of them stops new work.
enum LeavingSource : uint8_t {
  kLeavingByConfig = 1,
  kLeavingByReport = 2,
  kLeavingByResponse = 4,
};

/// The load of one replica as last heard of.
struct LastReportedLoad {
  uint32_t running = 0;
  uint32_t queued = 0;
  /// Own requests in flight when the report was measured, as far as this node can tell.
  uint32_t own_included = 0;
  base::TimePoint measured{};  // the epoch means never
};

/// The changing state of one replica. Every member is an atomic, so that request threads see a leaving mark
/// or an ejection at once, without waiting for the next snapshot. Cells outlive configuration changes. Only
/// `UpstreamTable` calls the setters.
class ReplicaLiveState {
 public:
  /// New work that a returned replica gets at the start of its ramp, as a share of its slots.
  static constexpr double kRampFloor = 0.1;
  static constexpr std::chrono::seconds kRampTime{30};

  bool Leaving() const { return leaving_.load(std::memory_order_seq_cst) != 0; }
  uint32_t InFlight() const { return in_flight_.load(std::memory_order_relaxed); }
  /// True for a while after failures that the bound on ejections kept from being an ejection.
  bool Suspect(base::TimePoint now) const {
    return Count(now) < suspect_until_.load(std::memory_order_relaxed);
  }
  bool Ejected() const { return retry_at_.load(std::memory_order_acquire) != 0; }
  /// True while an ejected replica waits for its one probe request.
  bool ProbeDue(base::TimePoint now) const;
  LastReportedLoad Load() const;
  uint64_t ModelMask() const { return models_.load(std::memory_order_relaxed); }
  /// Share of its slots that a returned replica is given now, from `kRampFloor` to 1.
  double RampShare(base::TimePoint now) const;
  const PrefixCacheSummary* Cache() const { return cache_.load(std::memory_order_acquire); }

  void SetLeaving(LeavingSource source, bool leaving);
  void SuspectUntil(base::TimePoint until) { suspect_until_.store(Count(until), std::memory_order_relaxed); }
  void Eject(base::TimePoint retry_at);
  void Readmit() { retry_at_.store(0, std::memory_order_release); }
  void SetLoad(const LastReportedLoad& load);
  void SetModelMask(uint64_t models) { models_.store(models, std::memory_order_relaxed); }
  void StartRamp(base::TimePoint now) { ramp_from_.store(Count(now), std::memory_order_relaxed); }
  /// The cache summary, allocated at the first use since only replicas of the own zone need one.
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

/// Counts one own request at a replica while it lives. `Begin` is the last gate before bytes are sent: it
/// reads the leaving and ejection state after counting itself, so a mark made before `Begin` is never
/// overlooked.
class InFlightRequest {
 public:
  /// Returns no value when the replica takes no new work, with the cause in `failure` (may be null). An
  /// ejected replica accepts one probe once its retry time has come.
  static std::optional<InFlightRequest> Begin(std::shared_ptr<ReplicaLiveState> cell, base::TimePoint now,
                                              BeginFailure* failure);

  InFlightRequest(InFlightRequest&&) noexcept = default;
  InFlightRequest& operator=(InFlightRequest&&) = delete;
  ~InFlightRequest() {
    if (cell_) cell_->End(probe_);
  }

  bool IsProbe() const { return probe_; }

 private:
  InFlightRequest(std::shared_ptr<ReplicaLiveState> cell, bool probe)
      : cell_(std::move(cell)), probe_(probe) {}

  std::shared_ptr<ReplicaLiveState> cell_;
  bool probe_;
};

}  // namespace cornelplank::upstreams

#pragma once

#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "libs/tenancy/tenancy.h"

namespace cornelplank::tenancy {

/// What happens to the messages of a QuotaFleet.
struct QuotaNetwork {
  double loss = 0;
  double duplicates = 0;
  base::Duration jitter = std::chrono::milliseconds(2);
};

/// Many quota books on virtual time, the messages between them, and an oracle that adds up what one tenant's
/// requests were granted and not given back in the last 8 s over all VMs.
class QuotaFleet {
 public:
  static constexpr size_t kRegions = 3;
  static constexpr size_t kZones = 6;
  static constexpr std::chrono::milliseconds kStep{2};

  QuotaFleet(size_t vms, double rate, const QuotaNetwork& network, uint64_t seed,
             const QuotaBounds& bounds = {})
      : network_(network), bounds_(bounds), random_(seed), vms_(vms) {
    SetRate(rate);
    for (size_t vm = 0; vm < vms; ++vm) Start(vm);
  }

  size_t size() const { return vms_.size(); }
  size_t RegionOf(size_t vm) const { return vm % kRegions; }
  size_t ZoneOf(size_t vm) const { return vm % kZones; }
  QuotaNetwork& network() { return network_; }
  base::Random& random() { return random_; }
  base::TimePoint now() const { return now_; }
  double granted() const { return granted_; }
  double refused() const { return refused_; }
  /// The greatest use of the bound in any window so far; above 1 the invariant is broken.
  double worst_use() const { return worst_use_; }

  void Start(size_t vm) {
    Vm& state = vms_[vm];
    state.book = std::make_unique<QuotaBook>(bounds_, static_cast<QuotaVm>(vm + 1),
                                             static_cast<uint64_t>(now_.time_since_epoch().count()), now_);
    state.heard.assign(vms_.size(), base::TimePoint{});
    state.region = RegionSize(now_);
    state.open.clear();
    state.frozen = false;
    state.book->SetTenants(directory_.get(), now_);
  }
  void Kill(size_t vm) { vms_[vm].book.reset(); }
  bool IsUp(size_t vm) const { return vms_[vm].book != nullptr; }
  void Freeze(size_t vm, bool frozen) { vms_[vm].frozen = frozen; }
  /// VMs with different numbers don't reach each other.
  void SetPart(size_t vm, int part) { vms_[vm].part = part; }

  /// Changes the limit; each VM learns of it after up to 5 s. The oracle keeps the greater limit until one
  /// window after that.
  void SetRate(double rate) {
    if (rate < tenant_.quota.per_second) old_bound_until_ = now_ + std::chrono::seconds(5 + 8);
    old_bound_ = now_ < old_bound_until_ ? std::max(old_bound_, Bound()) : 0;
    tenant_.name = "t";
    tenant_.quota = {QuotaUnit::kTokens, rate, rate, 1};
    directory_ = TenantDirectory::Create({TenantConfig{tenant_, {}}});
    for (Vm& vm : vms_) {
      vm.applies_at = now_ + std::chrono::milliseconds(random_.Below(5000));
      vm.outdated = true;
    }
  }

  /// Sends one request to a VM. With `given_back` the request doesn't run.
  void Request(size_t vm, double cost, bool given_back = false) {
    Vm& state = vms_[vm];
    if (!state.book || state.frozen) return;
    state.open.push_back({state.book->Begin(tenant_, cost, now_), cost, given_back});
    Answer(state);
    Send(vm);
  }

  void Advance(base::Duration time) {
    for (const base::TimePoint end = now_ + time; now_ < end;) {
      now_ += kStep;
      while (!wire_.empty() && wire_.top().at <= now_) {
        const Flight flight = wire_.top();
        wire_.pop();
        Vm& to = vms_[flight.to];
        if (!to.book || to.frozen || to.part != vms_[flight.from].part) continue;
        to.book->OnMessage(flight.message, now_);
        Answer(to);
        Send(flight.to);
      }
      const auto step = static_cast<size_t>(now_.time_since_epoch() / kStep);
      constexpr size_t kStepsPerTick = QuotaBook::kTickInterval / kStep;
      for (size_t vm = step % kStepsPerTick; vm < vms_.size(); vm += kStepsPerTick) Tick(vm);
      for (size_t vm = 0; vm < vms_.size(); ++vm) {
        if (vms_[vm].open.empty() || !vms_[vm].book || vms_[vm].frozen) continue;
        Answer(vms_[vm]);
        Send(vm);
      }
    }
  }

 private:
  struct Open {
    uint64_t id;
    double cost;
    bool given_back;
  };
  struct Vm {
    std::unique_ptr<QuotaBook> book;
    std::vector<base::TimePoint> heard;
    std::deque<Open> open;
    RegionSize region{base::TimePoint{}};
    int part = 0;
    bool frozen = false;
    bool outdated = false;
    base::TimePoint applies_at{};
  };
  struct Flight {
    base::TimePoint at;
    size_t from;
    size_t to;
    QuotaMessage message;
    bool operator<(const Flight& other) const { return at > other.at; }
  };

  double Bound() const {
    const Quota& quota = tenant_.quota;
    return std::max(now_ < old_bound_until_ ? old_bound_ : 0,
                    (quota.per_second * 8 + quota.burst) * 1.25 + 140'000);
  }

  void Tick(size_t vm) {
    Vm& state = vms_[vm];
    if (!state.book || state.frozen) return;
    if (state.outdated && now_ >= state.applies_at) {
      state.book->SetTenants(directory_.get(), now_);
      state.outdated = false;
    }
    QuotaFleetView view;
    view.owners.resize(kRegions);
    view.own_region = RegionOf(vm);
    std::map<QuotaVm, uint32_t> live;
    for (size_t other = 0; other < vms_.size(); ++other) {
      const Vm& sender = vms_[other];
      if (sender.book && !sender.frozen && sender.part == state.part) state.heard[other] = now_;
      const bool known = state.heard[other] != base::TimePoint{};
      if (!known || now_ - state.heard[other] > std::chrono::seconds(3)) continue;
      view.owners[RegionOf(other)].push_back(static_cast<QuotaVm>(other + 1));
      if (RegionOf(other) == RegionOf(vm)) {
        live[static_cast<QuotaVm>(other + 1)] = static_cast<uint32_t>(ZoneOf(other));
      }
      view.connected |= other != vm;
    }
    const auto zone = static_cast<uint32_t>(ZoneOf(vm));
    const auto other_zone = static_cast<uint32_t>((ZoneOf(vm) + kRegions) % kZones);
    state.region.Update({zone, other_zone}, std::move(live), {}, now_);
    view.live_vms = state.region.live();
    view.expected_vms = state.region.expected();
    state.book->SetView(std::move(view), now_);
    state.book->Tick(now_);
    Send(vm);
  }

  void Answer(Vm& vm) {
    std::erase_if(vm.open, [&](const Open& open) {
      const auto answer = vm.book->Poll(open.id, now_);
      if (!answer) return false;
      const bool granted = answer->verdict == QuotaBook::Answer::Verdict::kGranted;
      if (granted && open.given_back) vm.book->GiveBack(tenant_.name, open.cost, now_);
      if (granted && !open.given_back) Record(open.cost);
      if (!granted) refused_ += open.cost;
      return true;
    });
  }

  void Record(double cost) {
    granted_ += cost;
    window_.emplace_back(now_, cost);
    in_window_ += cost;
    while (now_ - window_.front().first > std::chrono::seconds(8)) {
      in_window_ -= window_.front().second;
      window_.pop_front();
    }
    worst_use_ = std::max(worst_use_, in_window_ / Bound());
  }

  void Send(size_t vm) {
    for (const QuotaEnvelope& envelope : vms_[vm].book->TakeOutbox()) {
      const size_t to = envelope.to - 1;
      const bool far = RegionOf(vm) != RegionOf(to);
      for (int copy = random_.Unit() < network_.duplicates ? 2 : 1; copy > 0; --copy) {
        if (random_.Unit() < network_.loss) continue;
        const base::Duration delay =
            std::chrono::milliseconds(far ? 80 : 1) +
            base::Duration(random_.Below(static_cast<uint64_t>(network_.jitter.count())));
        wire_.push({now_ + delay, vm, to, envelope.message});
      }
    }
  }

  QuotaNetwork network_;
  QuotaBounds bounds_;
  base::Random random_;
  base::TimePoint now_{std::chrono::hours(1)};
  Tenant tenant_;
  std::shared_ptr<const TenantDirectory> directory_;
  std::vector<Vm> vms_;
  std::priority_queue<Flight> wire_;
  std::deque<std::pair<base::TimePoint, double>> window_;
  double in_window_ = 0;
  double old_bound_ = 0;
  base::TimePoint old_bound_until_{};
  double granted_ = 0;
  double refused_ = 0;
  double worst_use_ = 0;
};

}  // namespace cornelplank::tenancy

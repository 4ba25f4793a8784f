#include "libs/membership/internal/vm_table.h"

#include <algorithm>
#include <utility>

namespace cornelplank::membership {

VmTable::VmTable(const VmListEntry& own, base::TimePoint now)
    : own_id_(own.id), last_now_(now), last_tick_(now) {
  Vm& vm = vms_[own_id_];
  Replace(vm, own, now);
}

base::TimePoint VmTable::AdvanceTime(base::TimePoint now) {
  last_now_ = std::max(last_now_, now);
  return last_now_;
}

void VmTable::Replace(Vm& vm, const VmListEntry& entry, base::TimePoint now) {
  vm.entry = entry;
  SetSuspected(vm, false);
  vm.last_call_missed = false;
  vm.misses = 0;
  vm.answers = 0;
  vm.last_answer = now;
  vm.revision = ++revision_;
}

Vm* VmTable::Merge(const VmListEntry& entry, base::TimePoint now) {
  if (entry.id.empty()) return nullptr;
  const auto found = vms_.find(entry.id);
  if (found == vms_.end()) {
    if (vms_.size() >= kMaxVms) return nullptr;
    const auto tombstone = tombstones_.find(entry.id);
    if (tombstone == tombstones_.end()) {
      Vm& vm = vms_[entry.id];
      Replace(vm, entry, now);
      return &vm;
    }
    if (entry.incarnation < tombstone->second.vm.entry.incarnation) return nullptr;
    // A removed VM that reappears keeps its state, suspected or leaving, unless its incarnation is higher.
    Vm& vm = vms_[entry.id] = tombstone->second.vm;
    vm.revision = ++revision_;
    suspected_ += vm.suspected ? 1 : 0;
    tombstones_.erase(tombstone);
    return Update(vm, entry, now);
  }
  if (entry.id == own_id_) {
    own_replaced_ = own_replaced_ || entry.incarnation > found->second.entry.incarnation;
    return &found->second;  // this process knows its own state best
  }
  return Update(found->second, entry, now);
}

Vm* VmTable::Update(Vm& vm, const VmListEntry& entry, base::TimePoint now) {
  if (entry.incarnation < vm.entry.incarnation) return nullptr;
  if (entry.incarnation > vm.entry.incarnation) {
    Replace(vm, entry, now);
    vm.last_heard = base::TimePoint{};
    return &vm;
  }
  if (entry.state == VmState::kLeaving && vm.entry.state != VmState::kLeaving) {
    vm.entry.state = VmState::kLeaving;
    vm.revision = ++revision_;
  }
  return &vm;
}

void VmTable::ApplyVmList(const std::vector<VmListEntry>& list, base::Duration age, base::TimePoint now,
                          const std::set<std::string>& unreadable, bool complete) {
  now = AdvanceTime(now);
  const base::TimePoint produced_at = now - std::max(age, base::Duration{0});
  if (produced_at < list_produced_at_) return;
  list_produced_at_ = produced_at;
  for (auto& [id, vm] : vms_) vm.listed = unreadable.contains(id) || (!complete && vm.listed);
  for (const VmListEntry& entry : list) {
    const bool known = vms_.contains(entry.id);
    Vm* vm = Merge(entry, now);
    if (vm != nullptr && !known) vm->last_heard = produced_at;
    // An entry with a lower incarnation still shows that the platform lists the VM.
    if (const auto found = vms_.find(entry.id); found != vms_.end()) found->second.listed = true;
  }
}

void VmTable::RecordHeartbeat(const VmListEntry& from, base::TimePoint now) {
  now = AdvanceTime(now);
  if (Vm* vm = Merge(from, now); vm != nullptr) vm->last_heard = now;
}

void VmTable::LearnFromPeer(const VmListEntry& entry, base::Duration age, base::TimePoint now) {
  now = AdvanceTime(now);
  age = std::max(age, base::Duration{0});
  // Peers could otherwise bring a removed VM back again and again by repeating each other's entries.
  if (age >= kRemovalSilence && !vms_.contains(entry.id)) return;
  if (Vm* vm = Merge(entry, now); vm != nullptr) vm->last_heard = std::max(vm->last_heard, now - age);
}

void VmTable::SetOwnAddresses(std::string rpc, std::string http) {
  Vm& own = vms_.at(own_id_);
  own.entry.rpc = std::move(rpc);
  own.entry.http = std::move(http);
  own.revision = ++revision_;
}

void VmTable::SetSuspected(Vm& vm, bool suspected) {
  if (vm.suspected == suspected) return;
  vm.suspected = suspected;
  suspected_ += suspected ? 1 : -1;
  ++revision_;
}

void VmTable::RecordAnswer(std::string_view id, uint64_t incarnation, VmState state, base::TimePoint now) {
  now = AdvanceTime(now);
  const auto found = vms_.find(id);
  if (found == vms_.end() || found->first == own_id_) return;
  Vm& vm = found->second;
  if (incarnation != 0) {
    if (incarnation < vm.entry.incarnation) return;
    VmListEntry entry = vm.entry;
    entry.incarnation = incarnation;
    entry.state = state;
    Merge(entry, now);
  }
  vm.last_answer = now;
  vm.last_heard = now;
  vm.misses = 0;
  vm.last_call_missed = false;
  vm.answers = std::min(vm.answers + 1, kSuspicionObservations);
  if (vm.answers >= kSuspicionObservations) SetSuspected(vm, false);
}

void VmTable::RecordMissedCall(std::string_view id, base::TimePoint now) {
  now = AdvanceTime(now);
  const auto found = vms_.find(id);
  if (found == vms_.end() || found->first == own_id_) return;
  Vm& vm = found->second;
  vm.answers = 0;
  vm.last_call_missed = true;
  vm.misses = std::min(vm.misses + 1, kSuspicionObservations);
  if (vm.misses >= kSuspicionObservations && now - vm.last_answer >= kSuspicionDelay) SetSuspected(vm, true);
}

bool VmTable::IsRemovable(const Vm& vm, base::TimePoint now) const {
  return vm.entry.id != own_id_ && !vm.listed && list_produced_at_ >= vm.last_heard &&
         now - vm.last_heard >= kRemovalSilence && now - vm.last_answer >= kRemovalSilence;
}

void VmTable::Tick(base::TimePoint now) {
  now = AdvanceTime(now);
  const bool paused = now - last_tick_ > kPauseGap;
  last_tick_ = now;
  for (auto it = vms_.begin(); it != vms_.end();) {
    Vm& vm = it->second;
    if (paused && !vm.suspected) {
      vm.misses = 0;
      vm.last_answer = now;
    }
    if (!IsRemovable(vm, now)) {
      ++it;
      continue;
    }
    tombstones_[it->first] = {vm, now};
    suspected_ -= vm.suspected ? 1 : 0;
    ++revision_;
    it = vms_.erase(it);
  }
  std::erase_if(tombstones_, [&](const auto& item) { return now - item.second.removed_at >= kTombstoneAge; });
}

void VmTable::SetOwnLeaving() {
  Vm& vm = vms_.at(own_id_);
  if (vm.entry.state == VmState::kLeaving) return;
  vm.entry.state = VmState::kLeaving;
  vm.revision = ++revision_;
}

const Vm* VmTable::Find(std::string_view id) const {
  const auto found = vms_.find(id);
  return found == vms_.end() ? nullptr : &found->second;
}

const std::vector<const Vm*>& VmTable::OwnZoneVms() const {
  if (own_zone_revision_ != revision_) {
    own_zone_ = VmsInZone(own().entry.zone);
    own_zone_revision_ = revision_;
  }
  return own_zone_;
}

std::vector<const Vm*> VmTable::VmsInZone(std::string_view zone) const {
  std::vector<const Vm*> result;
  for (const auto& [id, vm] : vms_) {
    if (vm.entry.zone == zone) result.push_back(&vm);
  }
  return result;
}

}  // namespace cornelplank::membership

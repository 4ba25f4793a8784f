#include "libs/membership/internal/gossip_message.h"

#include <algorithm>
#include <limits>
#include <set>

namespace cornelplank::membership {
namespace {

constexpr size_t kWordBytes = 8;  // Cap'n Proto's unit of alignment
constexpr base::Duration kTenth = std::chrono::milliseconds{100};

constexpr size_t AlignToWord(size_t bytes) { return (bytes + kWordBytes - 1) / kWordBytes * kWordBytes; }

/// Size of a text on the wire, with its terminating zero.
size_t TextBytes(const std::string& text) { return AlignToWord(text.size() + 1); }

uint32_t HashNames(uint32_t seed, const std::vector<std::string>& names) {
  uint64_t hash = seed;
  for (const std::string& name : names) hash = base::Hash64(name, hash + 1);
  return static_cast<uint32_t>(base::Hash64("end", hash));
}

}  // namespace

AgeTenths EncodeAge(base::Duration age) {
  if (age >= kNoAge * kTenth) return kNoAge;
  const auto tenths = (std::max(age, base::Duration{0}) + kTenth - base::Duration{1}) / kTenth;
  return static_cast<AgeTenths>(std::min<int64_t>(tenths, kNoAge));
}

base::Duration DecodeAge(AgeTenths age) { return age == kNoAge ? base::Duration::max() : age * kTenth; }

uint32_t VmIdHash(const std::string& id) { return static_cast<uint32_t>(base::Hash64(id)); }

size_t EncodedBytes(const GossipMessage& message) {
  size_t bytes = kWordBytes + 4 * kWordBytes + 5 * kWordBytes + AlignToWord(message.region_ages.size());
  if (!message.loads.empty()) bytes += kWordBytes + message.loads.size() * 8;
  if (!message.demand.empty()) bytes += AlignToWord(message.demand.size() * 4);
  if (!message.sums.empty()) bytes += kWordBytes + message.sums.size() * 24;
  const bool has_rare_lists = !message.wanted_replicas.empty() || !message.wanted_zones.empty() ||
                              !message.vms.empty() || !message.missed_vms.empty();
  if (has_rare_lists) {
    bytes += 4 * kWordBytes + AlignToWord(message.missed_vms.size() * 4) +
             AlignToWord(message.wanted_replicas.size() * 2) + AlignToWord(message.wanted_zones.size());
  }
  if (!message.vms.empty()) bytes += kWordBytes;
  for (const VmChange& change : message.vms) {
    const VmListEntry& vm = change.entry;
    bytes += 2 * kWordBytes + 6 * kWordBytes + TextBytes(vm.id) + TextBytes(vm.partner) +
             TextBytes(vm.region) + TextBytes(vm.zone) + TextBytes(vm.rpc) + TextBytes(vm.http);
  }
  return bytes;
}

NameIndex NameIndex::FromDocument(const config::Document& document, const std::string& zone) {
  NameIndex index;
  std::set<std::string> zones;
  for (const auto& [name, region] : document.regions) {
    index.regions.push_back(name);
    zones.insert(region.zones.begin(), region.zones.end());
  }
  index.zones.assign(zones.begin(), zones.end());
  for (const auto& [partner, settings] : document.partners) {
    for (const auto& [name, priority_class] : settings.classes) {
      index.classes.push_back(partner);
      index.classes.back().append("/").append(name);
    }
  }
  for (const auto& [id, upstream] : document.upstreams) {
    if (upstream.zone != zone || upstream.kind != config::UpstreamKind::kEngine) continue;
    index.replicas.push_back(id);
    index.slots.push_back(
        static_cast<uint16_t>(std::clamp<int>(upstream.slots, 0, std::numeric_limits<uint16_t>::max())));
  }
  index.global_hash = HashNames(HashNames(HashNames(1, index.regions), index.zones), index.classes);
  index.zone_hash = HashNames(index.global_hash, index.replicas);
  return index;
}

}  // namespace cornelplank::membership

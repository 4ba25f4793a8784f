#include "libs/membership/internal/gossip_message.h"

#include <algorithm>
#include <limits>
#include <set>

namespace cornelplank::membership {
namespace {

constexpr size_t kWord = 8;
constexpr base::Duration kTenth = std::chrono::milliseconds{100};

constexpr size_t Words(size_t bytes) { return (bytes + kWord - 1) / kWord * kWord; }

size_t TextBytes(const std::string& text) { return Words(text.size() + 1); }

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
  size_t bytes = kWord + 4 * kWord + 5 * kWord + Words(message.region_ages.size());
  if (!message.loads.empty()) bytes += kWord + message.loads.size() * 8;
  if (!message.demand.empty()) bytes += Words(message.demand.size() * 4);
  if (!message.sums.empty()) bytes += kWord + message.sums.size() * 24;
  const bool rare = !message.wanted_replicas.empty() || !message.wanted_zones.empty() ||
                    !message.vms.empty() || !message.missed_vms.empty();
  if (rare) {
    bytes += 4 * kWord + Words(message.missed_vms.size() * 4) + Words(message.wanted_replicas.size() * 2) +
             Words(message.wanted_zones.size());
  }
  if (!message.vms.empty()) bytes += kWord;
  for (const VmChange& change : message.vms) {
    const VmListEntry& vm = change.entry;
    bytes += 2 * kWord + 6 * kWord + TextBytes(vm.id) + TextBytes(vm.partner) + TextBytes(vm.region) +
             TextBytes(vm.zone) + TextBytes(vm.rpc) + TextBytes(vm.http);
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
  for (const auto& [partner, terms] : document.partners) {
    for (const auto& [name, priority_class] : terms.classes) {
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

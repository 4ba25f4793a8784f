#include "libs/config/internal/document_size.h"

#include <cstdint>
#include <numeric>
#include <string>
#include <string_view>

#include "libs/config/internal/document_codec.h"

namespace cornelplank::config {
namespace {

size_t NumberSize(double value) {
  // A shortcut, because most prices and shares are 0; JSON writes "0.0".
  return value == 0 ? 3 : Json(value).dump().size();
}

size_t NumberSize(int64_t value) { return std::to_string(value).size(); }

size_t BoolSize(bool value) { return value ? 4 : 5; }

/// Adds the quotes only: names contain no character that JSON escapes.
size_t StringSize(std::string_view text) { return text.size() + 2; }

size_t CommaSize(size_t count) { return count == 0 ? 0 : count - 1; }

size_t ListSize(const std::vector<std::string>& names) {
  size_t size = 2 + CommaSize(names.size());
  for (const std::string& name : names) size += StringSize(name);
  return size;
}

template <typename Entry, typename EntrySize>
size_t MapSize(const std::map<std::string, Entry>& entries, EntrySize&& entry_size) {
  size_t size = 2 + CommaSize(entries.size());
  for (const auto& [name, entry] : entries) size += StringSize(name) + 1 + entry_size(entry);
  return size;
}

/// Size of an object's braces, keys, colons and commas, without its values.
constexpr size_t EmptyObjectSize(std::string_view empty_values) { return empty_values.size(); }

size_t SizeOf(const Region& region) {
  return EmptyObjectSize(R"({"partner":,"zones":})") + StringSize(region.partner) + ListSize(region.zones);
}

size_t SizeOf(const Link& link) {
  return EmptyObjectSize(R"({"a":,"b":,"mbit_s":,"one_way_ms":})") + StringSize(link.a) + StringSize(link.b) +
         NumberSize(link.mbit_s) + NumberSize(link.one_way.count());
}

size_t SizeOf(const PriorityClass& value) {
  return EmptyObjectSize(R"({"deadline_ms":,"guaranteed":,"hedge":,"max_queue":,"may_wait":,"priority":})") +
         NumberSize(value.deadline.count()) + NumberSize(value.guaranteed) + BoolSize(value.hedge) +
         NumberSize(int64_t{value.max_queue}) + BoolSize(value.may_wait) +
         NumberSize(int64_t{value.priority});
}

size_t SizeOf(const Partner& partner) {
  const std::string_view objective = partner.objective == Objective::kCost ? "cost" : "latency";
  return EmptyObjectSize(R"({"away_penalty":,"classes":,"lends":,"objective":})") +
         NumberSize(partner.away_penalty) +
         MapSize(partner.classes, [](const PriorityClass& value) { return SizeOf(value); }) +
         MapSize(partner.lends, [](double share) { return NumberSize(share); }) + StringSize(objective);
}

size_t SizeOf(const ResidencyRule& rule) {
  return EmptyObjectSize(R"({"allow":,"partner":})") + ListSize(rule.allow) + StringSize(rule.partner);
}

size_t SizeOf(const Service& service) {
  return EmptyObjectSize(R"({"idempotent_methods":,"partner":})") + ListSize(service.idempotent_methods) +
         StringSize(service.partner);
}

size_t SizeOf(const Model& model) {
  return EmptyObjectSize(R"({"min_replicas_per_zone":,"partner":,"size_gb":,"version":})") +
         NumberSize(int64_t{model.min_replicas_per_zone}) + StringSize(model.partner) +
         NumberSize(model.size_gb) + StringSize(model.version);
}

size_t SizeOf(const Upstream& upstream) {
  const std::string_view kind = upstream.kind == UpstreamKind::kEngine ? "engine" : "service";
  return EmptyObjectSize(R"({"address":,"checks_fence":,"checks_orderer":,"kind":,"leaving":,"models":,)"
                         R"("partner":,"price":,"region":,"service":,"slots":,"zone":})") +
         StringSize(upstream.address) + BoolSize(upstream.checks_fence) + BoolSize(upstream.checks_orderer) +
         StringSize(kind) + BoolSize(upstream.leaving) + ListSize(upstream.models) +
         StringSize(upstream.partner) + NumberSize(upstream.price) + StringSize(upstream.region) +
         StringSize(upstream.service) + NumberSize(int64_t{upstream.slots}) + StringSize(upstream.zone);
}

}  // namespace

size_t DocumentSize(const Document& document) {
  const auto size_of = [](const auto& entry) { return SizeOf(entry); };
  size_t size = EmptyObjectSize(
      R"({"format":,"links":[],"models":,"partners":,"regions":,"residency":,"services":,"upstreams":})");
  size += NumberSize(int64_t{document.format});
  size += std::accumulate(document.links.begin(), document.links.end(), CommaSize(document.links.size()),
                          [](size_t sum, const Link& link) { return sum + SizeOf(link); });
  size += MapSize(document.models, size_of) + MapSize(document.partners, size_of);
  size += MapSize(document.regions, size_of) + MapSize(document.residency, size_of);
  size += MapSize(document.services, size_of) + MapSize(document.upstreams, size_of);
  return size;
}

}  // namespace cornelplank::config

#include "bench/decisions/speed.h"

#include <algorithm>
#include <cstdlib>
#include <new>

#include "libs/routing/routing.h"

namespace {

thread_local uint64_t allocations = 0;

}  // namespace

// Counts the allocations of each thread. The operators are not inlined, since the compiler would then see
// malloc() and free() without the pair of operators.
[[gnu::noinline]] void* operator new(size_t size) {
  ++allocations;
  if (void* memory = std::malloc(size == 0 ? 1 : size)) return memory;
  throw std::bad_alloc{};
}
[[gnu::noinline]] void* operator new(size_t size, const std::nothrow_t& /*tag*/) noexcept {
  ++allocations;
  return std::malloc(size == 0 ? 1 : size);
}
[[gnu::noinline]] void operator delete(void* memory) noexcept { std::free(memory); }
[[gnu::noinline]] void operator delete(void* memory, size_t /*size*/) noexcept { std::free(memory); }

namespace cornelplank::bench {
namespace {

constexpr int kRegions = 9;
constexpr int kZones = 26;
constexpr int kReplicas = 1200;
constexpr base::TimePoint kNow{std::chrono::hours{1}};

std::string Name(std::string_view prefix, int number) {
  std::string name{prefix};
  name += std::to_string(number);
  return name;
}

config::Document MakeDocument(base::Random& random) {
  config::Document document;
  document.partners["p"] = {config::Objective::kLatency, 200, {}, {}};
  document.residency["any"].partner = std::string{"p"};
  document.residency["home"] = {"p", {"home"}};
  for (int i = 0; i < 8; ++i) document.models[Name("m", i)] = {"p", "1", 10, 1};
  for (int i = 0; i < kRegions; ++i) {
    document.residency["any"].allow.push_back(Name("r", i));
    for (int j = 0; j < i; ++j) {
      document.links.push_back({Name("r", j), Name("r", i), 2000, std::chrono::milliseconds{80}});
    }
  }
  for (int i = 0; i < kZones; ++i) document.regions[Name("r", i % kRegions)].zones.push_back(Name("z", i));
  for (int i = 0; i < kReplicas; ++i) {
    config::Upstream upstream;
    upstream.partner = std::string{"p"};
    upstream.region = Name("r", i % kZones % kRegions);
    upstream.zone = Name("z", i % kZones);
    upstream.slots = 60 + static_cast<int>(random.Below(540));
    upstream.price = 1;
    upstream.models = {Name("m", i / kZones % 8), Name("m", (i / kZones + 1) % 8), "m0"};
    document.upstreams[Name("e", i)] = upstream;
  }
  return document;
}

}  // namespace

uint64_t AllocationCount() { return allocations; }

DecisionSpeed MeasureSpeed(uint64_t decisions) {
  base::Random random(5);
  const config::Document document = MakeDocument(random);
  upstreams::UpstreamTable table;
  table.Configure(document, kNow);
  for (const auto& [id, upstream] : document.upstreams) {
    const auto running = static_cast<uint32_t>(random.Below(static_cast<uint64_t>(upstream.slots) + 20));
    table.OnLoadReport({id, 1, upstreams::EngineState::kReady, running, 0, upstream.models, {}}, kNow);
    for (int i = 0; i < 100; ++i) table.OnPrefixServed(id, random.Next(), 1000);
  }
  for (const auto& [region, entry] : document.regions) {
    for (const std::string& zone : entry.zones) {
      table.OnZoneSum(region, zone, {11500, 8000, 0, 0, {}}, {}, kNow);
    }
  }
  const auto snapshot =
      routing::RoutingSnapshot::Build(document, table.TakeSnapshot(), {"r0", "z0", false, 14, 42},
                                      std::make_shared<routing::LinkBudget>(kRegions));
  const routing::ScoredRouter router;
  std::vector<double> times(decisions);
  DecisionSpeed speed;
  uint64_t chosen = 0;
  const uint64_t before = allocations;
  const auto start = std::chrono::steady_clock::now();
  for (uint64_t i = 0; i < decisions; ++i) {
    routing::RouteRequest request = snapshot->Resolve({"p", "m0", "", i % 3 == 0 ? "home" : "any", "r0"});
    request.now = kNow + std::chrono::milliseconds{i % 1000};
    request.prefix = random.Next();
    request.prefix_tokens = 1500;
    request.prompt_tokens = 1700;
    request.request_bytes = 6800;
    request.response_bytes = 28000;
    const auto from = std::chrono::steady_clock::now();
    chosen += router.Choose(request, *snapshot, random, nullptr).has_value() ? 1 : 0;
    times[i] = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - from).count();
  }
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
  speed.allocations = allocations - before;
  speed.decisions_per_s = static_cast<double>(chosen) / elapsed.count();
  std::sort(times.begin(), times.end());
  speed.p50_us = times[times.size() / 2];
  speed.p99_us = times[times.size() * 99 / 100];
  return speed;
}

}  // namespace cornelplank::bench

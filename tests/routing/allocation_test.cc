#include <gtest/gtest.h>

#include <cstdlib>
#include <new>

#include "tests/routing/routing_fixture.h"

namespace {

thread_local uint64_t allocations = 0;

}  // namespace

// Count every allocation of the test binary; the sized and array forms call these. They are not inlined,
// because the compiler would then see malloc() and free() instead of the pair of operators.
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
[[gnu::noinline]] void operator delete(void* memory, size_t) noexcept { std::free(memory); }

namespace cornelplank::routing {
namespace {

// Guards against memory allocation during a decision, whether it chooses an upstream, forwards or refuses.
TEST(AllocationTest, DecisionPathAllocatesNothing) {
  RoutingFixture fixture(MakeDocument(3, 3, 50));
  fixture.table.OnPrefixServed("r0/z0/e3", 42, 100);
  for (int e = 0; e < 50; ++e) fixture.Report(Numbered("r0/z0/e", e), 8, e % 2 == 0 ? 20 : 0);
  RouteRequest request = fixture.Request();
  request.prefix = 42;
  request.prefix_tokens = 100;
  RouteRequest refused = fixture.Request("r0", "missing");
  base::Random random(3);
  RouteReason reason;
  const ScoredRouter scored;
  const NaiveRouter naive;
  const auto live = fixture.snapshot->Upstreams().Replicas()[0].live;
  const uint64_t before = allocations;
  for (int i = 0; i < 1000; ++i) {
    request.excluded.AddReplica(static_cast<uint64_t>(i));
    for (const Router* router : {static_cast<const Router*>(&scored), static_cast<const Router*>(&naive)}) {
      EXPECT_TRUE(router->Choose(request, *fixture.snapshot, random, &reason).has_value());
      EXPECT_FALSE(router->Choose(refused, *fixture.snapshot, random, &reason).has_value());
    }
    const auto entered = upstreams::InFlightRequest::Begin(live, fixture.now, nullptr);
    const auto forward = fixture.snapshot->BeginForward(request, 8);
    const RouteRequest resolved = fixture.snapshot->Resolve({"p0", "m0", "", "any", "r2"});
    EXPECT_EQ(resolved.home, 2);
  }
  EXPECT_EQ(allocations, before);
  auto counter = std::make_unique<int>(1);
  EXPECT_GT(allocations, before);
}

// Guards against bytes of forwards that are missing in the link's budget: of a request, of a cancelled
// forward or of a response whose size differs from the estimate.
TEST(LinkBudgetTest, AccountsBytesBothWaysAndSharesTheLink) {
  RoutingFixture fixture(MakeDocument(2, 1, 1), {"r0", "z0", false, 2, 4});
  RouteRequest request = fixture.Request();
  request.request_bytes = 1000000;
  request.response_bytes = 4000000;
  // 2,000 Mbit/s over 4 nodes, half of it for own forwards, is 31.25 MB/s with a burst of 250 ms.
  const auto delay = [&] { return fixture.links->Delay(1, 0, 0, fixture.now); };
  EXPECT_EQ(delay().count(), 0);
  auto first = fixture.snapshot->BeginForward(request, 1);
  auto second = fixture.snapshot->BeginForward(request, 1);
  auto third = fixture.snapshot->BeginForward(request, 1);
  EXPECT_NEAR(std::chrono::duration<double>(delay()).count(), 3 * 4 / 31.25 - 0.25, 1e-6);
  third->Cancel();
  EXPECT_NEAR(std::chrono::duration<double>(delay()).count(), 2 * 4 / 31.25 - 0.25, 1e-6);
  second->Finish(0, fixture.now);
  EXPECT_EQ(delay().count(), 0);
  first->Finish(8000000, fixture.now);
  EXPECT_NEAR(std::chrono::duration<double>(delay()).count(), 8 / 31.25 - 0.25, 1e-6);
  EXPECT_EQ(fixture.links->Delay(1, 0, 0, fixture.now + std::chrono::seconds{1}).count(), 0);
}

}  // namespace
}  // namespace cornelplank::routing

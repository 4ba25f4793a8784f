#include <gtest/gtest.h>

#include "tests/net/loopback.h"

namespace cornelplank {
namespace {

namespace asio = net::asio;
using net::MemoryAccount;
using testing::RunFor;
using Charge = net::MemoryAccount::Charge;

constexpr size_t kLarge = MemoryAccount::kMaxSmallBytes + 1;
constexpr size_t kLimit = 8 * kLarge;  // six large charges fit, as a quarter is reserved for small ones

struct MemoryAccountTest : ::testing::Test {
  /// Acquires `bytes` for a new charge in the background.
  void Acquire(size_t bytes, std::chrono::milliseconds time = std::chrono::seconds(5)) {
    charges.push_back(std::make_unique<Charge>(account));
    results.push_back(std::nullopt);
    net::Spawn(loop, "acquire",
               [](MemoryAccountTest& test, size_t index, size_t wanted, auto wait) -> net::Task<> {
                 const bool granted = co_await test.account->Acquire(*test.charges[index], wanted, wait);
                 test.results[index] = granted;
               }(*this, results.size() - 1, bytes, time));
    RunFor(loop, std::chrono::milliseconds(5));
  }
  bool Granted(size_t index) { return results.at(index) == std::optional(true); }

  asio::io_context loop{1};
  std::shared_ptr<MemoryAccount> account = MemoryAccount::Create(loop, kLimit);
  std::vector<std::unique_ptr<Charge>> charges;
  std::vector<std::optional<bool>> results;
};

// Guards against more bytes than the limit, against waiting calls that are forgotten or overtaken by later
// ones of their size, and against bytes that stay charged after their holder is gone.
TEST_F(MemoryAccountTest, GrantsInOrderAndWithinTheLimit) {
  for (int i = 0; i < 8; ++i) Acquire(kLarge);
  EXPECT_TRUE(Granted(5));
  EXPECT_FALSE(results[6]);
  EXPECT_LE(account->used(), kLimit);
  *charges[0] = Charge(account);
  RunFor(loop, std::chrono::milliseconds(5));
  EXPECT_TRUE(Granted(6));
  EXPECT_FALSE(results[7]);
  for (auto& charge : charges) charge->Resize(0);
  RunFor(loop, std::chrono::milliseconds(5));
  EXPECT_TRUE(Granted(7));
  charges.clear();
  EXPECT_EQ(account->used(), 0U);
}

// Guards against small requests that wait behind long bodies.
TEST_F(MemoryAccountTest, GrantsSmallChargesWhileLargeOnesWait) {
  for (int i = 0; i < 7; ++i) Acquire(kLarge);
  Acquire(1000);
  EXPECT_FALSE(results[6]);
  EXPECT_TRUE(Granted(7));
}

// Guards against a long body that waits for ever since small requests take all room as it becomes free.
TEST_F(MemoryAccountTest, SmallChargesDontStarveALargeOne) {
  constexpr size_t kSmall = MemoryAccount::kMaxSmallBytes;
  Acquire(kLarge);
  for (int i = 0; i < 7; ++i) Acquire(kSmall);
  Acquire(kLarge);  // waits
  ASSERT_FALSE(results[8]);
  Acquire(kSmall);
  EXPECT_FALSE(results[9]);
  charges[1]->Resize(0);
  charges[2]->Resize(0);
  RunFor(loop, std::chrono::milliseconds(5));
  EXPECT_TRUE(Granted(8));
}

// Guards against a request within the limits that is never served because the limit on memory is low.
TEST_F(MemoryAccountTest, GrantsASingleChargeBeyondTheLimit) {
  Acquire(2 * kLimit);
  EXPECT_TRUE(Granted(0));
}

// Guards against a call without room that neither waits for its time nor ends after it.
TEST_F(MemoryAccountTest, RefusesAfterTheTime) {
  for (int i = 0; i < 6; ++i) Acquire(kLarge);
  Acquire(kLarge, std::chrono::milliseconds(50));
  EXPECT_FALSE(results[6]);
  RunFor(loop, std::chrono::milliseconds(80));
  EXPECT_EQ(results[6], std::optional(false));
  EXPECT_EQ(account->refused(), 1U);
  EXPECT_EQ(account->waiting(), 0U);
}

// Guards against clients that stop inside a body and keep its room from others, and against the end of
// requests that make progress or that nobody waits behind.
TEST_F(MemoryAccountTest, EndsStalledReadersOnlyForOthers) {
  for (int i = 0; i < 6; ++i) Acquire(kLarge);
  int ended = 0;
  MemoryAccount::Reader stalled(account, *charges[0], [&] {
    ++ended;
    charges[0]->Resize(0);
  });
  MemoryAccount::Reader sending(account, *charges[1], [&] { ++ended; });
  ASSERT_TRUE(
      testing::RunTask(loop, net::Sleep(loop, MemoryAccount::kStallLimit + std::chrono::milliseconds(100))));
  EXPECT_EQ(ended, 0);
  sending.OnProgress();
  Acquire(kLarge);
  RunFor(loop, std::chrono::milliseconds(20));
  EXPECT_EQ(ended, 1);
  EXPECT_TRUE(Granted(6));
}

}  // namespace
}  // namespace cornelplank

#include "standins/relay/core/pipe.h"

#include <gtest/gtest.h>

namespace cornelplank::standins::relay {
namespace {

using std::chrono::milliseconds;

constexpr base::TimePoint kStart{std::chrono::seconds{1000}};

// Guards against later bytes overtaking earlier ones after the delay was shortened.
TEST(PipeTest, KeepsTheOrderWhenTheDelayShrinks) {
  Pipe pipe;
  pipe.SetDelay(milliseconds{100});
  pipe.Push("ab", kStart);
  pipe.SetDelay(milliseconds{0});
  pipe.Push("c", kStart + milliseconds{10});
  pipe.PushEnd(kStart + milliseconds{10});
  EXPECT_EQ(pipe.ReadyBytes(kStart + milliseconds{99}), "");
  EXPECT_EQ(pipe.NextDue(kStart), kStart + milliseconds{100});
  EXPECT_EQ(pipe.ReadyBytes(kStart + milliseconds{100}), "ab");
  pipe.Pop(1);
  EXPECT_EQ(pipe.ReadyBytes(kStart + milliseconds{100}), "b");
  pipe.Pop(1);
  EXPECT_FALSE(pipe.EndReady(kStart + milliseconds{100}));
  pipe.Pop(pipe.ReadyBytes(kStart + milliseconds{100}).size());
  EXPECT_TRUE(pipe.EndReady(kStart + milliseconds{100}));
}

// Guards against a dropping direction that still forwards bytes or the end of the stream.
TEST(PipeTest, DropDiscardsBytesAndTheEnd) {
  Pipe pipe;
  pipe.Push("a", kStart);
  pipe.StartDropping();
  pipe.Push("b", kStart);
  pipe.PushEnd(kStart);
  EXPECT_EQ(pipe.ReadyBytes(kStart + milliseconds{1}), "");
  EXPECT_FALSE(pipe.EndReady(kStart + milliseconds{1}));
  EXPECT_FALSE(pipe.NextDue(kStart).has_value());
}

// Guards against a relay that buffers without limit.
TEST(PipeTest, StopsReadingWhenFull) {
  Pipe pipe;
  pipe.Push(std::string(Pipe::kMaxWaitingBytes, 'x'), kStart);
  EXPECT_FALSE(pipe.MayRead());
  pipe.Pop(1);
  EXPECT_TRUE(pipe.MayRead());
}

}  // namespace
}  // namespace cornelplank::standins::relay

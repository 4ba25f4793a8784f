#include <gtest/gtest.h>

#include <thread>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::base {
namespace {

struct Pair {
  int first;
  int second;
};

// Guards against a reader that sees a freed or partly replaced value while another thread publishes a new
// one.
TEST(RcuPointerTest, ReadersSeeConsistentValuesWhileTheWriterReplacesThem) {
  RcuPointer<Pair> pointer(std::make_unique<Pair>(Pair{0, 0}));
  std::atomic<bool> stop{false};
  std::atomic<int> inconsistent_reads{0};
  std::vector<std::thread> readers;
  for (int i = 0; i < 3; ++i) {
    readers.emplace_back([&] {
      while (!stop) {
        const auto guard = pointer.Read();
        if (guard->first != -guard->second) ++inconsistent_reads;
      }
    });
  }
  for (int i = 1; i <= 200; ++i) pointer.Publish(std::make_unique<Pair>(Pair{i, -i}));
  stop = true;
  for (auto& reader : readers) reader.join();
  EXPECT_EQ(inconsistent_reads, 0);
  EXPECT_EQ(pointer.Read()->first, 200);
}

}  // namespace
}  // namespace cornelplank::base

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

// Guards against a reader that sees a freed or half-replaced value.
TEST(RcuPointerTest, ReadersSeeWholeValuesWhileTheWriterReplacesThem) {
  RcuPointer<Pair> pointer(std::make_unique<Pair>(Pair{0, 0}));
  std::atomic<bool> stop{false};
  std::atomic<int> torn{0};
  std::vector<std::thread> readers;
  for (int i = 0; i < 3; ++i) {
    readers.emplace_back([&] {
      while (!stop) {
        const auto guard = pointer.Read();
        if (guard->first != -guard->second) ++torn;
      }
    });
  }
  for (int i = 1; i <= 200; ++i) pointer.Publish(std::make_unique<Pair>(Pair{i, -i}));
  stop = true;
  for (auto& reader : readers) reader.join();
  EXPECT_EQ(torn, 0);
  EXPECT_EQ(pointer.Read()->first, 200);
}

}  // namespace
}  // namespace cornelplank::base

#include "tests/platform/entry_process.h"

namespace cornelplank {
namespace {

using testing::EntryProcessTest;

struct SignalCase {
  const char* name;
  int signal;
};
class FatalSignalTest : public EntryProcessTest, public ::testing::WithParamInterface<SignalCase> {};

// Guards against a process that ends by a fault without a line that says so and where.
TEST_P(FatalSignalTest, LeavesOneLineWithTheStack) {
  StartStore();
  Start(Settings());
  ASSERT_TRUE(WaitUntilReady());
  process_->Signal(GetParam().signal);
  EXPECT_EQ(process_->WaitForExit(kTimeout), 128 + GetParam().signal);
  const std::string output = process_->Output();
  const size_t begin = output.find(" event=fatal_signal signal=" + std::string(GetParam().name) +
                                   " sender_pid=" + std::to_string(getpid()) + " stack=\"");
  ASSERT_NE(begin, std::string::npos) << output;
  EXPECT_EQ(output.find("event=fatal_signal", begin + 10), std::string::npos) << output;
  const std::string line = output.substr(begin, output.find('\n', begin) - begin);
  EXPECT_NE(line.find(" cornelplank-entry+0x"), std::string::npos) << line;
  EXPECT_TRUE(line.ends_with('"')) << line;
}

INSTANTIATE_TEST_SUITE_P(Signals, FatalSignalTest,
                         ::testing::Values(SignalCase{"SIGSEGV", SIGSEGV}, SignalCase{"SIGBUS", SIGBUS},
                                           SignalCase{"SIGILL", SIGILL}, SignalCase{"SIGFPE", SIGFPE},
                                           SignalCase{"SIGABRT", SIGABRT}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace cornelplank

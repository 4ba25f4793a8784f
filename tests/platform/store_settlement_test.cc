#include "platform/internal/store_settlement.h"

#include <gtest/gtest.h>

#include <ostream>

#include "tests/platform/fake_store.h"

namespace cornelplank {
namespace {

using platform::Settlement;

std::string Replica(const std::string& state, const std::string& born = "1700000000000") {
  std::string text = testing::ReplicaText("svc", testing::Loopback(9), state);
  return text.replace(text.find("1700000000000"), 13, born);
}

struct SettlementCase {
  const char* name;
  std::string key;
  std::string known;
  bool removed;
  std::optional<std::string> listed;
  Settlement expected;
  bool rewritten = false;
};
void PrintTo(const SettlementCase& settled, std::ostream* out) { *out << settled.name; }

class SettlementTest : public ::testing::TestWithParam<SettlementCase> {};

// Guards against a return of the store from an older copy that undoes what was acknowledged.
TEST_P(SettlementTest, FollowsTheTable) {
  const SettlementCase& settled = GetParam();
  EXPECT_EQ(platform::SettleAfterReturn(settled.key, settled.known, settled.removed, settled.listed,
                                        settled.rewritten),
            settled.expected);
}

const std::string kOddKey = "servers/\xff&after=\r\n";

INSTANTIATE_TEST_SUITE_P(
    Table, SettlementTest,
    ::testing::Values(SettlementCase{"OlderConfiguration", "op/config", R"({"version":12})", false,
                                     R"({"version":7})", Settlement::kKeepKnown},
                      SettlementCase{"NewerConfiguration", "op/config", R"({"version":12})", false,
                                     R"({"version":13})", Settlement::kTakeListed},
                      SettlementCase{"NoConfiguration", "op/config", R"({"version":12})", false, std::nullopt,
                                     Settlement::kKeepKnown},
                      SettlementCase{"UnreadableConfiguration", "op/config", "\xff", false,
                                     R"({"version":7})", Settlement::kTakeListed},
                      SettlementCase{"EvacuationNotListed", "op/evacuate/z", "{}", false, std::nullopt,
                                     Settlement::kKeepKnownAWhile},
                      SettlementCase{"EvacuationWithOtherValue", "op/evacuate/z", "{}", false, "[]",
                                     Settlement::kTakeListed},
                      SettlementCase{"EvacuationThatEnded", "op/evacuate/z", "{}", true, "{}",
                                     Settlement::kKeepKnownAWhile},
                      SettlementCase{"EvacuationThatBeganAgain", "op/evacuate/z", "{}", true, "{}",
                                     Settlement::kTakeListed, true},
                      SettlementCase{"DrainingListedAsReady", "servers/i", Replica("draining"), false,
                                     Replica("ready"), Settlement::kKeepKnown},
                      SettlementCase{"DrainingThatRestarted", "servers/i", Replica("draining"), false,
                                     Replica("ready", "1700000009999"), Settlement::kTakeListed},
                      SettlementCase{"ReadyListedAsDraining", "servers/i", Replica("ready"), false,
                                     Replica("draining"), Settlement::kTakeListed},
                      SettlementCase{"EarlierStart", "servers/i", Replica("ready", "1700000009999"), false,
                                     Replica("ready"), Settlement::kKeepKnown},
                      SettlementCase{"RemovedListedAgain", "servers/i", Replica("ready"), true,
                                     Replica("ready"), Settlement::kKeepKnownAWhile},
                      SettlementCase{"RemovedListedAgainLater", "servers/i", Replica("ready"), true,
                                     Replica("ready"), Settlement::kKeepKnownAWhile, true},
                      SettlementCase{"RemovedThatRestarted", "servers/i", Replica("ready"), true,
                                     Replica("ready", "1700000009999"), Settlement::kTakeListed},
                      SettlementCase{"RegisteredSince", "servers/i", Replica("ready"), false, std::nullopt,
                                     Settlement::kTakeListed},
                      SettlementCase{"DrainingNotListed", "servers/i", Replica("draining"), false,
                                     std::nullopt, Settlement::kTakeListed},
                      SettlementCase{"UnreadableReplica", kOddKey, "\xff\xfe", false, "[1]",
                                     Settlement::kTakeListed},
                      SettlementCase{"OddFields", kOddKey, R"({"state":7,"born":"x"})", false,
                                     R"({"born":-1})", Settlement::kTakeListed},
                      SettlementCase{"OddKeyDraining", kOddKey, Replica("draining"), false, Replica("ready"),
                                     Settlement::kKeepKnown},
                      SettlementCase{"OtherKey", "op/other", "a", false, "b", Settlement::kTakeListed}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank

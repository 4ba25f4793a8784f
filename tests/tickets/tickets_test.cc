#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "libs/tickets/tickets.h"
#include "tests/tickets/tickets_fuzz.h"

namespace cornelplank::tickets {
namespace {

using std::chrono::seconds;
using testing::HasSubstr;
using testing::Optional;

// Guards against a second execution of a call, a wrong `not-run`, and the result of another call.
TEST(TicketFuzzTest, FixedSeedFindsNoViolation) {
  const auto violation = FuzzTickets(1, 100000, TicketFault::kNone);
  EXPECT_FALSE(violation) << *violation;
}

struct FaultCase {
  TicketFault fault;
  const char* violation;
};
class TicketFaultTest : public testing::TestWithParam<FaultCase> {};

// Guards against an oracle that can't fail: it must detect each deliberate fault.
TEST_P(TicketFaultTest, OracleCatchesIt) {
  EXPECT_THAT(FuzzTickets(1, 100000, GetParam().fault), Optional(HasSubstr(GetParam().violation)));
}

INSTANTIATE_TEST_SUITE_P(
    Faults, TicketFaultTest,
    testing::Values(FaultCase{TicketFault::kDoubleSend, "executed twice"},
                    FaultCase{TicketFault::kForgottenRunnable, "executed"},
                    FaultCase{TicketFault::kSilenceIsNotRun, "not-run"},
                    FaultCase{TicketFault::kOldTime, "started after the deadline"},
                    FaultCase{TicketFault::kIncarnationIgnored, "started by an owner that is not current"},
                    FaultCase{TicketFault::kConfigIgnored, "started under an older configuration"},
                    FaultCase{TicketFault::kRequestIgnored, "the result of another call"},
                    FaultCase{TicketFault::kRelayNotRun, "not-run"}));

TicketBinding Binding() { return {"leakline", "desk-1", "booking"}; }

TicketCodec Codec(uint64_t incarnation, unsigned char key) { return {"ost-a", "vm-1", incarnation, {key}}; }

struct TextCase {
  const char* name;
  const char* text;
};
class TicketTextTest : public testing::TestWithParam<TextCase> {};

// Guards against a second accepted text for the same ticket, and against texts that crash the parser.
TEST_P(TicketTextTest, IsMalformed) {
  TicketReason reason;
  EXPECT_FALSE(ParseTicket(GetParam().text, &reason));
  EXPECT_EQ(reason.code, TicketCode::kMalformed);
}

INSTANTIATE_TEST_SUITE_P(
    Table, TicketTextTest,
    testing::Values(TextCase{"Empty", ""}, TextCase{"Slashes", "////"},
                    TextCase{"UpperCase", "z/vm/000000000000000A/0000000000000001/AAAAAAAAAAAAAAAAAAAAAA"},
                    TextCase{"ShortNumber", "z/vm/a/1/AAAAAAAAAAAAAAAAAAAAAA"},
                    TextCase{"ShortMac", "z/vm/000000000000000a/0000000000000001/AAAA"},
                    TextCase{"SixFields", "z/vm/000000000000000a/0000000000000001/x/AAAAAAAAAAAAAAAAAAAAAA"}),
    [](const auto& info) { return info.param.name; });

// Guards against a ticket that is accepted by another incarnation or with another key.
TEST(TicketCodecTest, OnlyTheOwnIncarnationAndKeyDecode) {
  const std::string text = Codec(7, 1).Encode(42);
  EXPECT_EQ(ParseTicket(text, nullptr)->zone, "ost-a");
  EXPECT_EQ(Codec(7, 1).Decode(text, nullptr), 42U);
  TicketReason reason;
  EXPECT_FALSE(Codec(8, 1).Decode(text, &reason));
  EXPECT_EQ(reason.code, TicketCode::kOtherIncarnation);
  EXPECT_FALSE(Codec(7, 2).Decode(text, &reason));
  EXPECT_EQ(reason.code, TicketCode::kForged);
}

// Guards against kept results that use unbounded memory, and against forgetting that a call ran when its
// result is dropped.
TEST(TicketTableTest, DropsTheOldestResultsAndKeepsTheFact) {
  TicketLimits limits;
  limits.max_total_bytes = 25;
  TicketTable table(Codec(1, 1), limits);
  const base::TimePoint now{seconds(10)};
  std::vector<std::string> texts;
  for (uint64_t i = 0; i < 3; ++i) {
    texts.push_back(table.Mint(Binding(), now, nullptr)->text);
    const auto start =
        table.Begin(texts.back(), Binding(), i, {now, now + seconds(1), 0, 0, IncarnationStatus::kCurrent});
    ASSERT_EQ(start.decision, TicketDecision::kStart);
    EXPECT_TRUE(table.Complete(start.send, {200, "", std::string(10, 'x')}, now));
  }
  const auto oldest = table.Lookup(texts[0], Binding(), 0, now);
  EXPECT_EQ(oldest.outcome, base::Outcome::kRan);
  EXPECT_EQ(oldest.code, TicketCode::kResultDropped);
  EXPECT_EQ(oldest.result, nullptr);
  EXPECT_NE(table.Lookup(texts[2], Binding(), 2, now).result, nullptr);
  EXPECT_EQ(table.result_bytes(), 20U);
}

// Guards against a draining VM that leaves while a client still holds one of its tickets.
TEST(TicketTableTest, DrainingMintsNoMoreAndCountsOpenTickets) {
  TicketTable table(Codec(1, 1), {});
  const base::TimePoint now{seconds(10)};
  ASSERT_TRUE(table.Mint(Binding(), now, nullptr));
  table.Drain();
  TicketReason reason;
  EXPECT_FALSE(table.Mint(Binding(), now, &reason));
  EXPECT_EQ(reason.code, TicketCode::kDraining);
  EXPECT_EQ(table.open(), 1U);
  table.Expire(now + seconds(61));
  EXPECT_EQ(table.open(), 0U);
}

// Guards against a lookup that reports an unused ticket as refused although a call on it may still run.
TEST(TicketTableTest, LookingUpAnUnusedTicketSaysNothingFinal) {
  TicketTable table(Codec(1, 1), {});
  const base::TimePoint now{seconds(10)};
  const std::string text = table.Mint(Binding(), now, nullptr)->text;
  EXPECT_EQ(table.Lookup(text, Binding(), 1, now).decision, TicketDecision::kInProgress);
  EXPECT_EQ(table.Lookup(text, Binding(), 1, now).outcome, base::Outcome::kUnknown);
  const auto start =
      table.Begin(text, Binding(), 1, {now, now + seconds(1), 0, 0, IncarnationStatus::kCurrent});
  EXPECT_EQ(start.decision, TicketDecision::kStart);
}

// Guards against an entry that stays open for ever because its caller never settles it.
TEST(TicketTableTest, SentTicketWithoutSettlementBecomesUnknown) {
  TicketTable table(Codec(1, 1), {});
  const base::TimePoint now{seconds(10)};
  const std::string text = table.Mint(Binding(), now, nullptr)->text;
  const auto start =
      table.Begin(text, Binding(), 1, {now, now + seconds(1), 0, 0, IncarnationStatus::kCurrent});
  const base::TimePoint later = now + seconds(12);
  EXPECT_EQ(table.Lookup(text, Binding(), 1, later).decision, TicketDecision::kUnknown);
  EXPECT_TRUE(table.Complete(start.send, {200, "", "late"}, later));
  EXPECT_EQ(table.Lookup(text, Binding(), 1, later).result->body, "late");
}

}  // namespace
}  // namespace cornelplank::tickets

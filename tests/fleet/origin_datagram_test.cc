#include <gtest/gtest.h>

#include "libs/fleet/fleet.h"

namespace cornelplank::fleet {
namespace {

using Kind = OriginAnswer::Kind;

OriginMessages MakeMessages() {
  OriginMessages messages;
  messages.records = {{1ULL << 63, {1, 2, 3}}, {8, {}}};
  messages.queries = {{1ULL << 60, 5, {6, 7}}, {9, 0, {}}};
  messages.answers = {
      {1ULL << 61, Kind::kOnlyVersion, 4}, {3, Kind::kUnknown, 0}, {6, Kind::kConflicting, 0}};
  return messages;
}

OriginMessages PassOn(const OriginMessages& messages) {
  Heartbeat heartbeat;
  heartbeat.sender.address = 7;
  heartbeat.origins = messages;
  const auto read = DecodeHeartbeat(EncodeHeartbeat(heartbeat));
  if (!read || read->sender.address != 7) throw std::runtime_error("not decoded");
  return read->origins;
}

// Guards against a field that is lost or mixed up on the way.
TEST(OriginDatagramTest, CarriesMessages) {
  const OriginMessages read = PassOn(MakeMessages());
  ASSERT_EQ(read.records.size(), 2U);
  EXPECT_EQ(read.records[0].software, 1ULL << 63);
  EXPECT_EQ(read.records[0].attempts, (std::vector<uint64_t>{1, 2, 3}));
  EXPECT_EQ(read.records[1].software, 8U);
  ASSERT_EQ(read.queries.size(), 2U);
  EXPECT_EQ(read.queries[0].sequence, 1ULL << 60);
  EXPECT_EQ(read.queries[0].attempt, 5U);
  EXPECT_EQ(read.queries[0].services, (std::vector<uint64_t>{6, 7}));
  ASSERT_EQ(read.answers.size(), 3U);
  EXPECT_EQ(read.answers[0].sequence, 1ULL << 61);
  EXPECT_EQ(read.answers[0].kind, Kind::kOnlyVersion);
  EXPECT_EQ(read.answers[0].software, 4U);
  EXPECT_EQ(read.answers[1].kind, Kind::kUnknown);
  EXPECT_EQ(read.answers[2].kind, Kind::kConflicting);
}

// Guards against lists of any length from outside, and against answers that are read as another kind.
TEST(OriginDatagramTest, BoundsWhatItReads) {
  OriginMessages sent;
  sent.records.resize(100, {1, std::vector<uint64_t>(100, 2)});
  sent.queries.resize(100, {1, 2, std::vector<uint64_t>(65, 3)});
  sent.answers.resize(100, {1, static_cast<Kind>(200), 2});
  sent.answers.push_back({5, Kind::kRecorded, 6});
  const OriginMessages read = PassOn(sent);
  EXPECT_EQ(read.records.size(), OriginMessages::kMaxGroups);
  size_t attempts = 0;
  for (const auto& records : read.records) attempts += records.attempts.size();
  EXPECT_EQ(attempts, OriginMessages::kMaxAttempts);
  ASSERT_EQ(read.queries.size(), OriginMessages::kMaxQueries);
  EXPECT_TRUE(read.queries[0].services.empty());
  ASSERT_EQ(read.answers.size(), 1U);
  EXPECT_EQ(read.answers[0].sequence, 5U);
}

// Guards against quotas that are lost in a datagram that also has messages about origins, and the reverse.
TEST(OriginDatagramTest, GoesWithQuotas) {
  Heartbeat heartbeat;
  heartbeat.quotas.resize(2);
  heartbeat.origins = MakeMessages();
  const auto read = DecodeHeartbeat(EncodeHeartbeat(heartbeat));
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->quotas.size(), 2U);
  EXPECT_EQ(read->origins.records.size(), 2U);
}

// Guards against malformed datagrams that crash the process.
TEST(OriginDatagramTest, SurvivesMalformedBytes) {
  base::Random random(23);
  Heartbeat heartbeat;
  heartbeat.origins = MakeMessages();
  const std::string good = EncodeHeartbeat(heartbeat);
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = good.substr(0, random.Below(good.size() + 1));
    for (uint64_t flips = random.Below(4); flips > 0 && !bytes.empty(); --flips) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Next());
    }
    DecodeHeartbeat(bytes);  // with or without a result
  }
}

}  // namespace
}  // namespace cornelplank::fleet

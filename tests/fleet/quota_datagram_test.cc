#include <gtest/gtest.h>

#include "libs/fleet/fleet.h"

namespace cornelplank::fleet {
namespace {

Heartbeat MakeHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.sender.address = 0x7f000001;
  heartbeat.sender.incarnation = 1'700'000'000'000;
  heartbeat.sender.heartbeat_count = 7;
  heartbeat.sender.zone = NameKey("z0");
  heartbeat.sender.state = MemberState::kReady;
  heartbeat.members = {heartbeat.sender};
  heartbeat.wait_reports = {{1, 2, std::chrono::milliseconds(3), std::chrono::milliseconds(4)}};
  heartbeat.loads.emplace().push_back({5, {1, 200, 300}});
  return heartbeat;
}

// Guards against a change of the heartbeats' form: VMs of earlier releases count the bytes between zones. The
// digests are of heartbeats encoded before there were quotas.
TEST(QuotaDatagramTest, LeavesHeartbeatsWithoutQuotasAsTheyWere) {
  EXPECT_EQ(base::Digest128(EncodeHeartbeat(Heartbeat{})), "5c4c49301f563f1e75ec1d3ed6d743dc");
  EXPECT_EQ(base::Digest128(EncodeHeartbeat(MakeHeartbeat())), "1150afd4daa8e8704ffc79be92645cd3");
}

// Guards against a field that is lost or mixed up on the way, and against tokens made from wrong figures.
TEST(QuotaDatagramTest, CarriesMessagesAndBoundsTheirFigures) {
  Heartbeat heartbeat = MakeHeartbeat();
  tenancy::QuotaMessage message;
  message.kind = tenancy::QuotaMessage::Kind::kTransfer;
  message.forwarded = true;
  message.tenant = tenancy::QuotaBook::KeyOf("t");
  message.sequence = 1ULL << 60;
  message.origin = 3;
  message.amount = 1234.567;
  message.extra = 1e300;
  message.demand = -5;
  message.retry_after = std::chrono::milliseconds(250);
  message.region_vms = 4'000'000'000;
  message.elsewhere = 9;
  tenancy::QuotaMessage unknown;
  unknown.kind = static_cast<tenancy::QuotaMessage::Kind>(200);
  heartbeat.quotas = {message, unknown};
  const auto read = DecodeHeartbeat(EncodeHeartbeat(heartbeat));
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->members.size(), 1);
  ASSERT_TRUE(read->loads.has_value());
  ASSERT_EQ(read->quotas.size(), 1);
  const tenancy::QuotaMessage& quota = read->quotas[0];
  EXPECT_EQ(quota.kind, message.kind);
  EXPECT_TRUE(quota.forwarded);
  EXPECT_EQ(quota.tenant, message.tenant);
  EXPECT_EQ(quota.sequence, message.sequence);
  EXPECT_EQ(quota.origin, 3);
  EXPECT_DOUBLE_EQ(quota.amount, 1234.567);
  EXPECT_EQ(quota.extra, 1e12);
  EXPECT_EQ(quota.demand, 0);
  EXPECT_EQ(quota.retry_after, message.retry_after);
  EXPECT_EQ(quota.region_vms, tenancy::kMaxRegionVms);
  EXPECT_EQ(quota.elsewhere, 9);
}

}  // namespace
}  // namespace cornelplank::fleet

#pragma once

#include <unordered_map>
#include <vector>

#include "libs/fleet/internal/heartbeat_loop.h"
#include "libs/fleet/internal/member_table.h"
#include "libs/fleet/internal/stream_origin_exchange.h"
#include "libs/net/net.h"
#include "libs/serving/serving.h"

namespace cornelplank::fleet {

/// Remembers the origins of streams together with other VMs, by datagrams of the heartbeat loop.
class StreamOriginClient final : public serving::StreamOrigins {
 public:
  StreamOriginClient(net::asio::io_context& loop, const base::Clock& clock, const MemberTable& members,
                     const serving::SoftwareHistory& history);

  /// Sends and receives through `heartbeats` from now on.
  void Connect(HeartbeatLoop& heartbeats);
  /// Sends new records to other VMs, at most five times a second. Call it at least as often.
  void Tick();
  /// Sends all records that are left, at once. Call it before the process exits.
  void SendRest();

  void Record(uint64_t attempt, uint64_t software) override;
  net::Task<std::optional<uint64_t>> Find(std::optional<uint64_t> attempt,
                                          std::vector<uint64_t> services) override;
  const StreamOriginCounters& counters() const { return exchange_.counters(); }

 private:
  void Receive(VmAddress from, const OriginMessages& messages);
  /// Sends what the exchange wants to be sent.
  void Flush();

  net::asio::io_context& loop_;
  const base::Clock& clock_;
  StreamOriginExchange exchange_;
  HeartbeatLoop* heartbeats_ = nullptr;
  base::TimePoint sent_at_{};
  std::unordered_map<uint64_t, net::Notification*> waiting_;  // by lookup
};

}  // namespace cornelplank::fleet

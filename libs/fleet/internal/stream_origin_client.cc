#include "libs/fleet/internal/stream_origin_client.h"

namespace cornelplank::fleet {
namespace {

constexpr std::chrono::milliseconds kSendInterval{200};
// Sequence numbers that a process may use in one millisecond before they overtake those of its next start.
constexpr int kSequenceBits = 20;

}  // namespace

StreamOriginClient::StreamOriginClient(net::asio::io_context& loop, const base::Clock& clock,
                                       const MemberTable& members, const serving::SoftwareHistory& history)
    : loop_(loop), clock_(clock), exchange_(members, history, members.own().incarnation << kSequenceBits) {}

void StreamOriginClient::Connect(HeartbeatLoop& heartbeats) {
  heartbeats_ = &heartbeats;
  heartbeats.SetOriginReceiver(
      [this](VmAddress from, const OriginMessages& messages) { Receive(from, messages); });
}

void StreamOriginClient::Tick() {
  const base::TimePoint now = clock_.Now();
  if (now - sent_at_ < kSendInterval) return;
  sent_at_ = now;
  exchange_.SendRecords(now);
  Flush();
}

void StreamOriginClient::SendRest() {
  bool left = true;
  while (left) {
    left = exchange_.SendRecords(clock_.Now());
    Flush();
  }
}

void StreamOriginClient::Record(uint64_t attempt, uint64_t software) {
  exchange_.Record(attempt, software, clock_.Now());
}

void StreamOriginClient::Receive(VmAddress from, const OriginMessages& messages) {
  for (const uint64_t lookup : exchange_.OnMessages(from, messages, clock_.Now())) {
    const auto waiting = waiting_.find(lookup);
    if (waiting != waiting_.end()) waiting->second->Notify();
  }
  Flush();
}

void StreamOriginClient::Flush() {
  for (auto& [to, messages] : exchange_.TakeOutbox()) {
    if (heartbeats_ != nullptr) heartbeats_->SendOrigins(to, std::move(messages));
  }
}

net::Task<std::optional<uint64_t>> StreamOriginClient::Find(std::optional<uint64_t> attempt,
                                                            std::vector<uint64_t> services) {
  const uint64_t lookup = exchange_.Begin(attempt, std::move(services), clock_.Now());
  while (true) {
    const auto result = exchange_.Poll(lookup, clock_.Now());
    Flush();
    if (result) co_return result->software;
    net::Notification signal(loop_);
    waiting_[lookup] = &signal;
    co_await signal.Wait(exchange_.Deadline(lookup) - clock_.Now());
    waiting_.erase(lookup);
  }
}

}  // namespace cornelplank::fleet

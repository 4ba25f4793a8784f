#include "libs/fleet/internal/heartbeat_loop.h"

#include <algorithm>

namespace cornelplank::fleet {
namespace {

namespace asio = net::asio;

// Largest datagram taken, in bytes.
constexpr size_t kDatagramBytes = 8192;
// VMs told of the members in each round besides one of another region: one of the region and one of all
// known.
constexpr int kMemberFanout = 1;
// Of this many rounds one also asks a seed, live or not, so that two halves of a fleet find each other again.
constexpr uint64_t kSeedEvery = 4;

}  // namespace

HeartbeatLoop::HeartbeatLoop(asio::io_context& loop, const base::Clock& clock,
                             const HeartbeatSettings& settings, MemberTable& members,
                             serving::ReplicaRegistry& replicas)
    : loop_(loop),
      clock_(clock),
      settings_(settings),
      members_(members),
      replicas_(replicas),
      socket_(loop),
      random_(base::EntropySeed()) {}

std::unique_ptr<HeartbeatLoop> HeartbeatLoop::Start(asio::io_context& loop, const base::Clock& clock,
                                                    const HeartbeatSettings& settings,
                                                    const net::Tcp::endpoint& endpoint, MemberTable& members,
                                                    serving::ReplicaRegistry& replicas, net::Error* error) {
  std::unique_ptr<HeartbeatLoop> beats(new HeartbeatLoop(loop, clock, settings, members, replicas));
  beats->socket_.open(Udp::v4(), *error);
  if (!*error) beats->socket_.bind(Udp::endpoint(endpoint.address(), endpoint.port()), *error);
  if (!*error) beats->socket_.non_blocking(true, *error);
  if (*error) return nullptr;
  beats->port_ = endpoint.port();
  net::Spawn(loop, "beats_in", beats->Receive());
  net::Spawn(loop, "beats_loads", beats->TellLoads());
  net::Spawn(loop, "beats_members", beats->TellMembers());
  return beats;
}

net::Task<> HeartbeatLoop::Receive() {
  std::vector<char> buffer(kDatagramBytes);
  while (true) {
    Udp::endpoint from;
    net::Error error;
    const size_t size = co_await socket_.async_receive_from(asio::buffer(buffer), from, net::Into(error));
    if (error == asio::error::operation_aborted) co_return;
    if (error) {  // an earlier datagram was refused
      co_await net::Sleep(loop_, std::chrono::milliseconds(5));
      continue;
    }
    const auto beat = DecodeHeartbeat({buffer.data(), size});
    if (!beat) {
      base::LogEvent("beat_malformed").Text("from", from.address().to_string());
      continue;
    }
    Merge(*beat);
  }
}

void HeartbeatLoop::Merge(const Heartbeat& beat) {
  const base::TimePoint now = clock_.Now();
  members_.MergeSender(beat.sender, now);
  members_.RecordDatagram(beat.sender.address, now);
  for (const Member& member : beat.members) members_.MergeMember(member, now);
  for (const RegionWaitReport& offer : beat.offers) members_.MergeWaitReport(offer, now);
  if (beat.loads) replicas_.ReplacePeerLoads(beat.sender.address, *beat.loads, now);
}

Heartbeat HeartbeatLoop::MakeHeartbeat(bool with_loads, bool with_members) {
  const base::TimePoint now = clock_.Now();
  Heartbeat beat;
  ++members_.own().heartbeat_count;
  beat.sender = members_.own();
  if (with_loads) beat.loads = replicas_.OwnLoads();
  if (!with_members) return beat;
  for (const auto& [address, entry] : members_.others()) {
    if (members_.IsAlive(entry, now)) beat.members.push_back(entry.member);
  }
  while (beat.members.size() > settings_.members_per_beat) {
    beat.members[random_.Below(beat.members.size())] = beat.members.back();
    beat.members.pop_back();
  }
  if (offer_source_) {
    for (const RegionWaitReport& offer : offer_source_()) members_.MergeWaitReport(offer, now);
  }
  beat.offers = members_.RecentWaitReports(now);
  return beat;
}

void HeartbeatLoop::SendTo(VmAddress vm, const std::string& bytes) {
  net::Error ignored;  // a lost beat is made good by the next one
  socket_.send_to(asio::buffer(bytes), Udp::endpoint(asio::ip::address_v4(vm), port_), 0, ignored);
}

net::Task<> HeartbeatLoop::TellLoads() {
  while (true) {
    co_await net::Sleep(loop_, settings_.load_interval);
    auto vms = members_.OwnRegionVms(clock_.Now());
    vms.erase(vms.begin());  // the own one
    if (vms.empty()) continue;
    const std::string bytes = EncodeHeartbeat(MakeHeartbeat(true, false));
    const size_t count = std::min(vms.size(), settings_.region_fanout);
    for (size_t i = 0; i < count; ++i) SendTo(vms[region_turn_++ % vms.size()], bytes);
  }
}

std::vector<VmAddress> HeartbeatLoop::MemberTargets() {
  const base::TimePoint now = clock_.Now();
  std::vector<VmAddress> region;
  std::vector<VmAddress> elsewhere;
  std::vector<VmAddress> silent;
  const std::string& own_region = members_.RegionOf(members_.own());
  for (const auto& [address, entry] : members_.others()) {
    if (!members_.IsAlive(entry, now)) {
      silent.push_back(address);
    } else if (members_.RegionOf(entry.member) == own_region) {
      region.push_back(address);
    } else {
      elsewhere.push_back(address);
    }
  }
  std::vector<VmAddress> targets;
  const auto pick = [&](const std::vector<VmAddress>& from) {
    if (!from.empty()) targets.push_back(from[random_.Below(from.size())]);
  };
  for (int i = 0; i < kMemberFanout; ++i) pick(region);
  pick(elsewhere);
  if (random_.Below(kSeedEvery) == 0) pick(silent);
  if (members_.others().size() < 2 || random_.Below(kSeedEvery) == 0) {
    if (members_.others().empty()) {
      targets.insert(targets.end(), seeds_.begin(), seeds_.end());
    } else {
      pick(seeds_);
    }
  }
  std::erase(targets, members_.own().address);
  return targets;
}

net::Task<> HeartbeatLoop::TellMembers() {
  while (true) {
    const auto targets = MemberTargets();
    if (!targets.empty()) {
      const std::string bytes = EncodeHeartbeat(MakeHeartbeat(false, true));
      for (const VmAddress vm : targets) SendTo(vm, bytes);
    }
    members_.Tick(clock_.Now());
    // A lone VM asks its seeds more often, so that a fleet that starts together is whole within a second.
    const auto pause = members_.others().empty() ? settings_.load_interval : settings_.member_interval;
    co_await net::Sleep(loop_, pause);
  }
}

void HeartbeatLoop::BroadcastState() {
  const std::string bytes = EncodeHeartbeat(MakeHeartbeat(false, true));
  for (const auto& [address, entry] : members_.others()) SendTo(address, bytes);
}

}  // namespace cornelplank::fleet

#include "libs/fleet/internal/heartbeat_loop.h"

#include <algorithm>

namespace cornelplank::fleet {
namespace {

namespace asio = net::asio;

// Largest datagram that is received in full.
constexpr size_t kDatagramBytes = 8192;
// Live VMs of the own region that get each heartbeat with members, besides one live VM of another region.
constexpr int kMemberFanout = 1;
// One in this many heartbeats with members, at random, also goes to a silent VM, and one in this many to a
// seed, live or not (all of them while fewer than two VMs are known), so that two halves of a fleet that lost
// contact find each other again.
constexpr uint64_t kSeedContactRounds = 4;

// Time after an event of the quarantine, or a changed limit, for which all of the more frequent heartbeats
// with loads carry it.
constexpr std::chrono::milliseconds kNewsTime{1500};

bool HasNews(const serving::QuarantineReport& report) {
  const auto recent = [](const auto& entry) { return entry.age < kNewsTime; };
  return std::any_of(report.crashes.begin(), report.crashes.end(), recent) ||
         std::any_of(report.clearances.begin(), report.clearances.end(), recent) ||
         std::any_of(report.verdicts.begin(), report.verdicts.end(), recent);
}

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
      random_(base::EntropySeed()),
      load_exchange_(settings.loads, members, replicas) {}

std::unique_ptr<HeartbeatLoop> HeartbeatLoop::Start(asio::io_context& loop, const base::Clock& clock,
                                                    const HeartbeatSettings& settings,
                                                    const net::Tcp::endpoint& endpoint, MemberTable& members,
                                                    serving::ReplicaRegistry& replicas, net::Error* error) {
  std::unique_ptr<HeartbeatLoop> result(new HeartbeatLoop(loop, clock, settings, members, replicas));
  result->socket_.open(Udp::v4(), *error);
  if (!*error) result->socket_.bind(Udp::endpoint(endpoint.address(), endpoint.port()), *error);
  if (!*error) result->socket_.non_blocking(true, *error);
  if (*error) return nullptr;
  result->port_ = endpoint.port();
  net::Spawn(loop, "beats_in", result->Receive());
  net::Spawn(loop, "beats_loads", result->SendLoads());
  net::Spawn(loop, "beats_members", result->SendMembers());
  return result;
}

net::Task<> HeartbeatLoop::Receive() {
  std::vector<char> buffer(kDatagramBytes);
  while (true) {
    Udp::endpoint from;
    net::Error error;
    const size_t size = co_await socket_.async_receive_from(asio::buffer(buffer), from, net::Into(error));
    if (error == asio::error::operation_aborted) co_return;
    if (error) {  // reports that a datagram sent earlier was refused
      co_await net::Sleep(loop_, std::chrono::milliseconds(5));
      continue;
    }
    const auto heartbeat = DecodeHeartbeat({buffer.data(), size});
    if (!heartbeat) {
      base::LogEvent("beat_malformed").Text("from", from.address().to_string());
      continue;
    }
    Merge(*heartbeat);
  }
}

void HeartbeatLoop::Merge(const Heartbeat& heartbeat) {
  const base::TimePoint now = clock_.Now();
  members_.MergeSender(heartbeat.sender, now);
  members_.RecordDatagram(heartbeat.sender.address, now);
  for (const Member& member : heartbeat.members) members_.MergeMember(member, now);
  for (const RegionWaitReport& report : heartbeat.wait_reports) members_.MergeWaitReport(report, now);
  if (quarantine_ != nullptr) quarantine_->Merge(heartbeat.quarantine, now);
  replicas_.MergeLimits(heartbeat.limits, now);
  if (heartbeat.loads) load_exchange_.OnLoads(heartbeat.sender, *heartbeat.loads, now);
  if (heartbeat.load_sum) load_exchange_.OnSum(heartbeat.sender, *heartbeat.load_sum, now);
  if (!heartbeat.quotas.empty() && quota_receiver_) quota_receiver_(heartbeat.quotas);
  if (!heartbeat.origins.empty() && origin_receiver_) {
    origin_receiver_(heartbeat.sender.address, heartbeat.origins);
  }
}

Heartbeat HeartbeatLoop::MakeHeartbeat(Content content) {
  const base::TimePoint now = clock_.Now();
  Heartbeat heartbeat;
  ++members_.own().heartbeat_count;
  heartbeat.sender = members_.own();
  const bool with_members = content == Content::kMembers;
  if (content == Content::kOwnLoads) heartbeat.loads = replicas_.OwnLoads(now);
  const bool limits_changed = now - replicas_.limits_changed_at() < kNewsTime;
  if (!with_members && (limits_changed || now - limits_sent_at_ >= settings_.limit_interval)) {
    heartbeat.limits = replicas_.LimitStatements(settings_.limits_per_heartbeat, now);
    limits_sent_at_ = now;
  }
  if (quarantine_ != nullptr) {
    heartbeat.quarantine = quarantine_->Report(settings_.crashes_per_heartbeat, now);
    // What is older than this has already been sent with heartbeats of members, which go to all regions.
    if (!with_members && !HasNews(heartbeat.quarantine)) heartbeat.quarantine = {};
  }
  if (!with_members) return heartbeat;
  for (const auto& [address, entry] : members_.others()) {
    if (members_.IsAlive(entry, now)) heartbeat.members.push_back(entry.member);
  }
  while (heartbeat.members.size() > settings_.members_per_heartbeat) {
    heartbeat.members[random_.Below(heartbeat.members.size())] = heartbeat.members.back();
    heartbeat.members.pop_back();
  }
  if (wait_report_source_) {
    for (const RegionWaitReport& report : wait_report_source_()) members_.MergeWaitReport(report, now);
  }
  heartbeat.wait_reports = members_.RecentWaitReports(now);
  return heartbeat;
}

void HeartbeatLoop::SendTo(VmAddress vm, const std::string& bytes) {
  net::Error ignored;  // the next heartbeat makes up for a lost one
  socket_.send_to(asio::buffer(bytes), Udp::endpoint(asio::ip::address_v4(vm), port_), 0, ignored);
}

net::Task<> HeartbeatLoop::SendLoads() {
  while (true) {
    co_await net::Sleep(loop_, settings_.load_interval);
    const Heartbeat own_loads = MakeHeartbeat(Content::kOwnLoads);
    for (auto& message : load_exchange_.NextRound(own_loads.sender.heartbeat_count, clock_.Now())) {
      if (message.targets.empty()) continue;
      Heartbeat heartbeat = own_loads;
      if (message.sum) {
        heartbeat.loads.reset();
        heartbeat.load_sum = std::move(message.sum);
      }
      const std::string bytes = EncodeHeartbeat(heartbeat);
      for (const VmAddress vm : message.targets) SendTo(vm, bytes);
    }
  }
}

std::vector<VmAddress> HeartbeatLoop::PickMemberTargets() {
  const base::TimePoint now = clock_.Now();
  std::vector<VmAddress> own_region_vms;
  std::vector<VmAddress> other_region_vms;
  std::vector<VmAddress> silent;
  const std::string& own_region = members_.RegionOf(members_.own());
  for (const auto& [address, entry] : members_.others()) {
    if (!members_.IsAlive(entry, now)) {
      silent.push_back(address);
    } else if (members_.RegionOf(entry.member) == own_region) {
      own_region_vms.push_back(address);
    } else {
      other_region_vms.push_back(address);
    }
  }
  std::vector<VmAddress> targets;
  const auto pick = [&](const std::vector<VmAddress>& from) {
    if (!from.empty()) targets.push_back(from[random_.Below(from.size())]);
  };
  for (int i = 0; i < kMemberFanout; ++i) pick(own_region_vms);
  pick(other_region_vms);
  if (random_.Below(kSeedContactRounds) == 0) pick(silent);
  if (members_.others().size() < 2 || random_.Below(kSeedContactRounds) == 0) {
    if (members_.others().empty()) {
      targets.insert(targets.end(), seeds_.begin(), seeds_.end());
    } else {
      pick(seeds_);
    }
  }
  std::erase(targets, members_.own().address);
  return targets;
}

net::Task<> HeartbeatLoop::SendMembers() {
  while (true) {
    const auto targets = PickMemberTargets();
    if (!targets.empty()) {
      const std::string bytes = EncodeHeartbeat(MakeHeartbeat(Content::kMembers));
      for (const VmAddress vm : targets) SendTo(vm, bytes);
    }
    members_.Tick(clock_.Now());
    // A VM that knows no others contacts its seeds more often, so that VMs that start at the same time all
    // know each other within a second.
    const auto pause = members_.others().empty() ? settings_.load_interval : settings_.member_interval;
    co_await net::Sleep(loop_, pause);
  }
}

void HeartbeatLoop::SendQuotas(VmAddress vm, std::vector<tenancy::QuotaMessage> messages) {
  Heartbeat heartbeat;
  heartbeat.sender =
      members_.own();  // not a new heartbeat, which would claim to state the loads of its moment
  heartbeat.quotas = std::move(messages);
  SendTo(vm, EncodeHeartbeat(heartbeat));
}

void HeartbeatLoop::SendOrigins(VmAddress vm, OriginMessages messages) {
  Heartbeat heartbeat;
  heartbeat.sender = members_.own();  // not a new heartbeat either
  heartbeat.origins = std::move(messages);
  SendTo(vm, EncodeHeartbeat(heartbeat));
}

void HeartbeatLoop::BroadcastState() {
  const std::string bytes = EncodeHeartbeat(MakeHeartbeat(Content::kMembers));
  for (const auto& [address, entry] : members_.others()) SendTo(address, bytes);
}

}  // namespace cornelplank::fleet

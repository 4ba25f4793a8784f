#include "bench/control/fleet.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cornelplank::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kTickInterval = milliseconds{250};
constexpr base::Duration kCallTimeout = seconds{2};  // of calls to other zones and to the platform
constexpr base::Duration kZoneCallTimeout = seconds{1};
constexpr size_t kPatchBytes = 300;            // a typical entry of the configuration log
constexpr size_t kPlatformRequestBytes = 180;  // an HTTP request to the platform
constexpr size_t kSegmentBytes = 52;           // TCP/IP headers with timestamps
constexpr int kReplicasPerZone = 46;           // in a zone of 14 VMs; smaller zones have proportionally fewer
constexpr int kSlots = 300;                    // of a replica
constexpr double kMeanRunningRequests = 225;   // of a replica: 740 streams per node at 3.3 replicas per node
constexpr int kClasses = 6;                    // priority classes, whose demand the nodes report

// "PREFIXNUMBER"; Fleet::Node reads the number of a region or zone back.
std::string Name(const char* prefix, int number) {
  return std::string(prefix).append(std::to_string(number));
}

// The names that the nodes of a zone need, from a document with this zone's replicas only.
membership::NameIndex MakeNameIndex(const FleetShape& shape, int zone) {
  config::Document document;
  for (int z = 0; z < shape.zones; ++z) {
    document.regions[Name("region", z % shape.regions)].zones.push_back(Name("zone", z));
  }
  for (int c = 0; c < kClasses; ++c) document.partners[Name("partner", c % 2)].classes[Name("class", c)] = {};
  const int vms = shape.nodes / shape.zones + (zone < shape.nodes % shape.zones ? 1 : 0);
  for (int r = 0; r < std::max(1, kReplicasPerZone * vms / 14); ++r) {
    config::Upstream upstream;
    upstream.zone = Name("zone", zone);
    upstream.slots = kSlots;
    document.upstreams[Name("replica", r)] = upstream;
  }
  return membership::NameIndex::FromDocument(document, Name("zone", zone));
}

membership::VmListEntry MakeVmListEntry(const FleetShape& shape, int i) {
  const int zone = i % shape.zones;
  return {Name("vm", i),
          "partner0",
          Name("region", zone % shape.regions),
          Name("zone", zone),
          "10.0.0.1:7000",
          "10.0.0.1:8000",
          1,
          membership::VmState::kLive};
}

}  // namespace

Fleet::Node::Node(const membership::VmListEntry& entry, const membership::GossipSettings& settings,
                  const membership::NameIndex& names, uint64_t seed, base::TimePoint now)
    : table(entry, now),
      gossip(settings, names, table, seed, now),
      schedule(seed + 1, now),
      random(seed + 2),
      region(std::stoi(entry.region.substr(6))),
      zone(std::stoi(entry.zone.substr(4))) {}

Fleet::Fleet(const FleetShape& shape)
    : platform_(loop_),
      cut_regions_(static_cast<size_t>(shape.regions), false),
      cut_zones_(static_cast<size_t>(shape.zones), false),
      random_(shape.seed) {
  std::vector<membership::VmListEntry> list;
  for (int i = 0; i < shape.nodes; ++i) list.push_back(MakeVmListEntry(shape, i));
  for (int i = 0; i < shape.nodes; ++i) {
    index_by_id_[list[static_cast<size_t>(i)].id] = i;
    nodes_.push_back(std::make_unique<Node>(list[static_cast<size_t>(i)], shape.gossip,
                                            MakeNameIndex(shape, i % shape.zones), random_.Next(),
                                            loop_.now()));
    NodeAt(i).table.ApplyVmList(list, base::Duration{0}, loop_.now());
    NodeAt(i).gossip.SetConfigPosition({1, 1}, loop_.now());
    loop_.After(milliseconds{random_.Below(250)}, [this, i] { Tick(i); });
  }
  ResetCounters();
}

template <typename Work>
auto Fleet::Timed(Work work) {
  struct Stopwatch {
    explicit Stopwatch(double& total) : total_(total), start_(std::chrono::steady_clock::now()) {}
    ~Stopwatch() {
      total_ += std::chrono::duration<double>(std::chrono::steady_clock::now() - start_).count();
    }
    double& total_;
    std::chrono::steady_clock::time_point start_;
  };
  const Stopwatch stopwatch(cpu_s_);
  return work();
}

bool Fleet::IsCutFromPlatform(const Node& node) const {
  return cut_regions_[static_cast<size_t>(node.region)] || cut_zones_[static_cast<size_t>(node.zone)];
}

bool Fleet::IsCut(const Node& a, const Node& b) const {
  if (!a.alive || !b.alive) return true;
  const auto region_cut = [&](const Node& node) { return cut_regions_[static_cast<size_t>(node.region)]; };
  const auto zone_cut = [&](const Node& node) { return cut_zones_[static_cast<size_t>(node.zone)]; };
  return (a.region != b.region && (region_cut(a) || region_cut(b))) ||
         (a.zone != b.zone && (zone_cut(a) || zone_cut(b)));
}

bool Fleet::SuspectedByItsZone(int i) {
  const membership::VmListEntry& entry = NodeAt(i).table.own().entry;
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
    if (!node->alive || node->table.own().entry.zone != entry.zone) return true;
    const membership::Vm* vm = node->table.Find(entry.id);
    return vm == nullptr || vm->suspected;
  });
}

base::Duration Fleet::Delay(const Node& a, const Node& b) const {
  return a.region == b.region ? milliseconds{1} : milliseconds{80};
}

void Fleet::CountBytes(int i, size_t message_bytes, size_t overhead_bytes) {
  NodeAt(i).message_bytes += static_cast<double>(message_bytes);
  NodeAt(i).wire_bytes += static_cast<double>(message_bytes + overhead_bytes);
}

void Fleet::Call(int i, int j, size_t bytes, std::function<Reply()> serve, std::function<void()> fail) {
  CountBytes(i, bytes, membership::kCallerOverheadBytes);
  auto open = std::make_shared<bool>(true);
  loop_.After(NodeAt(i).zone == NodeAt(j).zone ? kZoneCallTimeout : kCallTimeout,
              [open, fail = std::move(fail)] {
                if (std::exchange(*open, false)) fail();
              });
  const base::Duration delay = Delay(NodeAt(i), NodeAt(j));
  if (IsCut(NodeAt(i), NodeAt(j))) return;
  loop_.After(delay, [this, i, j, delay, open, serve = std::move(serve)] {
    const Reply reply = serve();
    CountBytes(j, reply.bytes, membership::kCalleeOverheadBytes);
    if (IsCut(NodeAt(i), NodeAt(j))) return;
    loop_.After(delay, [open, on_received = reply.on_received] {
      if (std::exchange(*open, false)) on_received();
    });
  });
}

void Fleet::Tick(int i) {
  Node& node = NodeAt(i);
  if (!node.alive) return;
  const base::TimePoint now = loop_.now();
  std::vector<std::string> calls = Timed([&] {
    node.table.Tick(now);
    auto due = node.gossip.TakeDueZoneCalls(node.table, now);
    if (auto cross = node.gossip.TakeDueCrossZoneCall(node.table, now)) due.push_back(*cross);
    if (node.roles_revision != node.table.revision()) {
      node.roles_revision = node.table.revision();
      node.is_reader = membership::ReaderSelector::IsOwnReader(node.table);
      node.replicas.clear();
      const auto& replicas = node.gossip.names().replicas;
      for (const std::string& replica :
           membership::ReplicaPollerSelector::OwnReplicas(node.table, replicas)) {
        node.replicas.push_back(static_cast<uint16_t>(
            std::lower_bound(replicas.begin(), replicas.end(), replica) - replicas.begin()));
      }
    }
    return due;
  });
  for (const std::string& peer : calls) Gossip(i, index_by_id_.at(peer));
  if (now >= node.next_poll) PollReplicas(i);
  const bool confirmed = Timed([&] { return node.gossip.IsConfirmed(node.table, now); });
  if (!confirmed) node.unconfirmed_s += std::chrono::duration<double>(kTickInterval).count();
  const base::Duration age = node.gossip.confirmation().PlatformConfirmationAge(now);
  if (Timed([&] { return node.schedule.IsDue(node.is_reader, age, now); })) ReadPlatform(i);
  loop_.After(kTickInterval, [this, i] { Tick(i); });
}

void Fleet::PollReplicas(int i) {
  Node& node = NodeAt(i);
  const base::TimePoint now = loop_.now();
  node.next_poll = now + seconds{1};
  // Roughly normal, with a standard deviation of 1.
  const auto noise = [&] { return (node.random.Unit() + node.random.Unit() + node.random.Unit() - 1.5) * 2; };
  // Running requests vary around their mean as they would with Poisson arrivals and a mean duration of 14.4
  // s.
  node.running.resize(node.gossip.names().replicas.size(), kMeanRunningRequests);
  for (const uint16_t replica : node.replicas) {
    double& load = node.running[replica];
    load = kMeanRunningRequests + 0.93 * (load - kMeanRunningRequests) + 5.5 * noise();
    Timed([&] {
      node.gossip.SetOwnLoad(replica, static_cast<uint16_t>(std::max(0.0, load)), 0,
                             membership::ReplicaState::kReady, now);
    });
  }
  std::vector<membership::ClassDemand> demand(kClasses);
  for (auto& entry : demand) entry.rate = static_cast<uint16_t>(std::max(0.0, 8.5 + 2.9 * noise()));
  Timed([&] { node.gossip.SetOwnDemand(std::move(demand), now); });
}

void Fleet::Gossip(int i, int j) {
  const base::TimePoint started = loop_.now();
  Node& a = NodeAt(i);
  ++a.gossip_calls;
  const std::string peer_id = NodeAt(j).table.own().entry.id;
  auto call = std::make_shared<membership::GossipMessage>(
      Timed([&] { return a.gossip.BuildMessage(*a.table.Find(peer_id), a.table, nullptr, started); }));
  const auto serve = [this, i, j, call, started] {
    Node& b = NodeAt(j);
    const membership::VmListEntry from = NodeAt(i).table.own().entry;
    auto answer = std::make_shared<membership::GossipMessage>(Timed([&] {
      b.gossip.MergeCall(from, *call, b.table, loop_.now());
      return b.gossip.BuildMessage(*b.table.Find(from.id), b.table, call.get(), loop_.now());
    }));
    PullIfBehind(j);
    return Reply{membership::EncodedBytes(*answer), [this, i, j, answer, started] {
                   Node& a = NodeAt(i);
                   const membership::VmListEntry from = NodeAt(j).table.own().entry;
                   Timed([&] { a.gossip.MergeAnswer(from, *answer, started, a.table, loop_.now()); });
                   PullIfBehind(i);
                 }};
  };
  Call(i, j, membership::EncodedBytes(*call), serve, [this, i, peer_id] {
    Timed([&] { NodeAt(i).gossip.RecordFailedCall(peer_id, NodeAt(i).table, loop_.now()); });
  });
}

void Fleet::PullIfBehind(int i) {
  const auto& source = NodeAt(i).gossip.config_source();
  if (source && source->seq > NodeAt(i).seq) PullConfig(i, index_by_id_.at(source->peer));
}

void Fleet::PullConfig(int i, int j) {
  if (std::exchange(NodeAt(i).pulling, true)) return;
  const auto serve = [this, i, j] {
    const uint64_t seq = NodeAt(j).seq;
    const uint64_t entries = seq > NodeAt(i).seq ? seq - NodeAt(i).seq : 0;
    return Reply{entries * kPatchBytes, [this, i, j, seq] {
                   NodeAt(i).pulling = false;
                   AdoptConfig(i, seq, NodeAt(i).zone != NodeAt(j).zone);
                 }};
  };
  Call(i, j, 40, serve, [this, i] { NodeAt(i).pulling = false; });
}

void Fleet::AdoptConfig(int i, uint64_t seq, bool push) {
  Node& node = NodeAt(i);
  if (seq <= node.seq) return;
  const uint64_t old = std::exchange(node.seq, seq);
  Timed([&] { node.gossip.SetConfigPosition({seq, static_cast<uint32_t>(seq)}, loop_.now()); });
  if (seq == platform_.head()) node.reached_head_at = loop_.now();
  for (uint64_t entry = old + 1; entry <= seq; ++entry) {
    const auto found = propagations_.find(entry);
    if (found == propagations_.end() || ++found->second.adopted_by < nodes()) continue;
    found->second.seconds = std::chrono::duration<double>(loop_.now() - found->second.published).count();
  }
  if (!push) return;
  for (const membership::Vm* vm : node.table.VmsInZone(node.table.own().entry.zone)) {
    const int j = index_by_id_.at(vm->entry.id);
    if (j == i || vm->suspected) continue;
    const auto serve = [this, i, j, old, seq] {
      if (NodeAt(j).seq < old) {
        PullConfig(j, i);
      } else {
        AdoptConfig(j, seq, false);
      }
      return Reply{8, [] {}};
    };
    Call(i, j, (seq - old) * kPatchBytes, serve, [] {});
  }
}

void Fleet::ReadPlatform(int i) {
  Node& node = NodeAt(i);
  const base::TimePoint asked = loop_.now();
  const base::Duration wait = node.is_reader ? membership::ReadSchedule::kWatchWait : base::Duration{0};
  Timed([&] { node.schedule.OnCallStarted(asked); });
  CountBytes(i, 0, kPlatformRequestBytes + 2 * kSegmentBytes);
  auto open = std::make_shared<bool>(true);
  const auto end = [this, i, open](bool answered) {
    if (std::exchange(*open, false)) NodeAt(i).schedule.OnCallEnded(answered, loop_.now());
  };
  loop_.After(wait + kCallTimeout, [end] { end(false); });
  const base::Duration delay = node.region == 0 ? milliseconds{1} : milliseconds{80};
  const auto cut = [this, i] { return IsCutFromPlatform(NodeAt(i)); };
  if (cut()) return;
  loop_.After(delay, [this, i, asked, wait, delay, open, end, cut] {
    platform_.Read(NodeAt(i).seq, wait, [=, this](FakePlatform::Status status, uint64_t head) {
      if (status == FakePlatform::Status::kSilent || cut()) return;
      loop_.After(delay, [=, this] {
        if (!*open) return;
        end(status == FakePlatform::Status::kOk);
        if (status != FakePlatform::Status::kOk) return;
        // A watch that expired without a newer entry shows that the head was the same at the end of its wait.
        const base::TimePoint head_valid_at = head > NodeAt(i).seq ? asked : asked + wait;
        AdoptConfig(i, head, true);
        Timed([&] { NodeAt(i).gossip.RecordPlatformHead(head, head_valid_at, loop_.now()); });
      });
    });
  });
}

void Fleet::Publish() {
  propagations_[platform_.head() + 1] = {loop_.now(), 0, -1};
  platform_.Publish();
}

void Fleet::Heal() {
  cut_regions_.assign(cut_regions_.size(), false);
  cut_zones_.assign(cut_zones_.size(), false);
}

std::vector<double> Fleet::TakePropagationTimes() {
  std::vector<double> result;
  for (const auto& [seq, propagation] : propagations_) result.push_back(propagation.seconds);
  propagations_.clear();
  std::sort(result.begin(), result.end());
  return result;
}

bool Fleet::AllAtHead() const {
  return std::all_of(nodes_.begin(), nodes_.end(),
                     [&](const auto& node) { return node->seq == platform_.head(); });
}

double Fleet::SecondsToHead(base::TimePoint since) const {
  if (!AllAtHead()) return -1;
  base::TimePoint last = since;
  for (const auto& node : nodes_) last = std::max(last, node->reached_head_at);
  return std::chrono::duration<double>(last - since).count();
}

void Fleet::ResetCounters() {
  for (auto& node : nodes_) {
    node->wire_bytes = node->message_bytes = node->gossip_calls = node->unconfirmed_s = 0;
  }
  cpu_s_ = 0;
  reset_at_ = loop_.now();
}

FleetCounters Fleet::Counters() const {
  FleetCounters counters;
  counters.cpu_s = cpu_s_;
  for (const auto& node : nodes_) {
    counters.message_bytes += node->message_bytes;
    counters.wire_bytes += node->wire_bytes;
    counters.max_wire_bytes = std::max(counters.max_wire_bytes, node->wire_bytes);
    counters.gossip_calls += node->gossip_calls;
    counters.unconfirmed_node_s += node->unconfirmed_s;
  }
  const auto from = std::chrono::duration_cast<seconds>(reset_at_.time_since_epoch()).count();
  for (auto it = platform_.calls().lower_bound(from); it != platform_.calls().end(); ++it) {
    counters.platform_calls += it->second;
    counters.platform_peak = std::max(counters.platform_peak, it->second);
  }
  return counters;
}

}  // namespace cornelplank::bench

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "bench/control/event_loop.h"
#include "bench/control/platform.h"
#include "libs/membership/membership.h"

namespace cornelplank::bench {

/// Size of the simulated fleet and the gossip settings to measure.
struct FleetShape {
  int nodes = 2;
  int zones = 1;
  int regions = 1;
  uint64_t seed = 1;
  membership::GossipSettings gossip;
};

/// Sums over all nodes since the last `Fleet::ResetCounters`.
struct FleetCounters {
  double message_bytes = 0;   // gossip and configuration messages, without call overhead
  double wire_bytes = 0;      // with the estimated overhead of calls, TCP/IP and platform requests
  double max_wire_bytes = 0;  // `wire_bytes` of the busiest node alone
  double cpu_s = 0;           // time inside the membership library
  double gossip_calls = 0;
  // Node seconds in which a node's configuration was not confirmed as the newest.
  double unconfirmed_node_s = 0;
  double platform_calls = 0;
  int platform_peak = 0;  // calls in the busiest second
};

/// Simulates nodes that run the real membership code on an in-memory network in virtual time. Nodes are
/// numbered from 0; node i is in zone i modulo the number of zones.
class Fleet {
 public:
  explicit Fleet(const FleetShape& shape);

  void RunFor(base::Duration time) { loop_.RunFor(time); }
  /// Publishes a configuration entry at the platform and measures its propagation.
  void Publish();
  /// Partitions a region from all others and from the platform; its zones still reach each other.
  void CutRegion(int region) { cut_regions_[static_cast<size_t>(region)] = true; }
  /// Partitions a zone from all others and from the platform.
  void CutZone(int zone) { cut_zones_[static_cast<size_t>(zone)] = true; }
  /// Ends all partitions.
  void Heal();
  /// Stops one VM without notice to the others.
  void Kill(int i) { NodeAt(i).alive = false; }
  /// Whether every live VM in the zone of node `i` suspects it or no longer lists it.
  bool SuspectedByItsZone(int i);
  void StopPlatform() { platform_.Stop(); }
  void StartPlatform() { platform_.up = true; }

  /// For each entry published since the last call, the seconds from its publication until every node had
  /// adopted it, in ascending order; -1 when some node has not.
  std::vector<double> TakePropagationTimes();
  /// Seconds from `since` until every node had adopted the newest entry; -1 when some node has not.
  double SecondsToHead(base::TimePoint since) const;
  /// Whether every node has adopted the newest entry.
  bool AllAtHead() const;
  base::TimePoint now() const { return loop_.now(); }
  void ResetCounters();
  FleetCounters Counters() const;
  /// The number of nodes, including killed ones.
  int nodes() const { return static_cast<int>(nodes_.size()); }

 private:
  struct Node {
    Node(const membership::VmListEntry& entry, const membership::GossipSettings& settings,
         const membership::NameIndex& names, uint64_t seed, base::TimePoint now);
    membership::VmTable table;
    membership::GossipState gossip;
    membership::ReadSchedule schedule;
    base::Random random;
    int region;
    int zone;
    bool alive = true;
    uint64_t seq = 1;                   // of the newest configuration entry that the node has adopted
    base::TimePoint reached_head_at{};  // when it last adopted the platform's newest entry
    bool pulling = false;               // a call for newer entries is in progress
    uint64_t roles_revision = 0;  // revision of the table that `is_reader` and `replicas` were computed from
    bool is_reader = false;       // watches the platform's log; others read it now and then
    std::vector<uint16_t> replicas;  // that this node polls
    std::vector<double> running;     // requests of each replica of the zone, while this node polls it
    // Sums since the last ResetCounters, as in FleetCounters.
    double wire_bytes = 0;
    double message_bytes = 0;
    double gossip_calls = 0;
    double unconfirmed_s = 0;
    base::TimePoint next_poll{};
  };
  /// The callee's reply to a call.
  struct Reply {
    size_t bytes = 0;
    std::function<void()> on_received;  // runs at the caller
  };
  /// How far one published entry has propagated.
  struct Propagation {
    base::TimePoint published;
    int adopted_by = 0;   // nodes
    double seconds = -1;  // from publication to adoption by the last node; negative until then
  };

  Node& NodeAt(int i) { return *nodes_[static_cast<size_t>(i)]; }
  void Tick(int i);
  /// Draws new loads for the replicas that node i polls.
  void PollReplicas(int i);
  /// Exchanges gossip messages with node j.
  void Gossip(int i, int j);
  /// Pulls the configuration if gossip has named a peer with a newer one.
  void PullIfBehind(int i);
  /// Asks node j for the configuration entries that node i lacks.
  void PullConfig(int i, int j);
  /// Adopts the configuration up to `seq` and, with `push`, sends the new entries to the peers in the node's
  /// zone.
  void AdoptConfig(int i, uint64_t seq, bool push);
  void ReadPlatform(int i);
  /// Sends `bytes` from node i to node j. `serve` runs at j, and its reply then at i; `fail` runs at i when
  /// no reply arrives before the timeout.
  void Call(int i, int j, size_t bytes, std::function<Reply()> serve, std::function<void()> fail);
  /// Adds sent bytes to the counters of node i.
  void CountBytes(int i, size_t message_bytes, size_t overhead_bytes);
  /// Whether no message passes between two nodes, because of a partition or because one is dead.
  bool IsCut(const Node& a, const Node& b) const;
  bool IsCutFromPlatform(const Node& node) const;
  /// The one-way network delay.
  base::Duration Delay(const Node& a, const Node& b) const;
  /// Runs library code, adds the time that it took to cpu_s_ and returns its result.
  template <typename Work>
  auto Timed(Work work);

  EventLoop loop_;
  FakePlatform platform_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<std::string, int> index_by_id_;
  std::map<uint64_t, Propagation> propagations_;  // by seq
  std::vector<bool> cut_regions_;
  std::vector<bool> cut_zones_;
  base::Random random_;
  double cpu_s_ = 0;
  base::TimePoint reset_at_{};
};

}  // namespace cornelplank::bench

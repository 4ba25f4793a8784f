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

/// Shape of the fleet and the settings under test.
struct FleetShape {
  int nodes = 2;
  int zones = 1;
  int regions = 1;
  uint64_t seed = 1;
  membership::GossipSettings gossip;
};

/// Sums since the last `Fleet::ResetCounters`.
struct FleetCounters {
  double messages = 0;   // bytes of gossip and configuration messages, without call overhead
  double wire = 0;       // bytes with the estimated overhead of calls, TCP/IP and platform requests
  double most_wire = 0;  // of the busiest node
  double cpu_s = 0;      // time inside the library
  double gossip_calls = 0;
  double unconfirmed_node_s = 0;
  double platform_calls = 0;
  int platform_peak = 0;  // calls in the busiest second
};

/// Nodes with the real membership code on an in-memory network in virtual time.
class Fleet {
 public:
  explicit Fleet(const FleetShape& shape);

  void RunFor(base::Duration time) { loop_.RunFor(time); }
  /// Publishes an entry; its spread is recorded.
  void Publish();
  /// Cuts a region off from all others and from the platform; its zones still reach each other.
  void CutRegion(int region) { cut_regions_[static_cast<size_t>(region)] = true; }
  /// Cuts a zone off from all others and from the platform.
  void CutZone(int zone) { cut_zones_[static_cast<size_t>(zone)] = true; }
  void Heal();
  /// Ends one VM without notice.
  void Kill(int i) { At(i).alive = false; }
  /// Whether every live VM of the zone of `i` suspects it.
  bool SuspectedByItsZone(int i);
  void StopPlatform() { platform_.Stop(); }
  void StartPlatform() { platform_.up = true; }

  /// Seconds from publication until every node had each entry published since the last call; -1 while not.
  std::vector<double> TakeSpread();
  /// Seconds from `since` until every node reached the head; -1 if some has not.
  double SecondsToHead(base::TimePoint since) const;
  bool AllAtHead() const;
  base::TimePoint now() const { return loop_.now(); }
  void ResetCounters();
  FleetCounters Counters() const;
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
    uint64_t seq = 1;
    base::TimePoint head_at{};
    bool pulling = false;
    uint64_t readers_at = 0;  // table change for which `is_reader` and `replicas` hold
    bool is_reader = false;
    std::vector<uint16_t> replicas;  // that this node polls
    std::vector<double> running;     // requests of each replica of the zone, while this node polls it
    double wire = 0;
    double messages = 0;
    double gossip_calls = 0;
    double unconfirmed_s = 0;
    base::TimePoint next_poll{};
  };
  /// What the callee of a call sends back: its size and what the caller then does.
  struct Reply {
    size_t bytes = 0;
    std::function<void()> merge;
  };
  struct Spread {
    base::TimePoint published;
    int reached = 0;
    double seconds = -1;
  };

  Node& At(int i) { return *nodes_[static_cast<size_t>(i)]; }
  void Tick(int i);
  void Poll(int i);
  void Gossip(int i, int j);
  void AfterMerge(int i);
  void Pull(int i, int j);
  void Adopt(int i, uint64_t seq, bool push);
  void ReadPlatform(int i);
  void Call(int i, int j, size_t bytes, std::function<Reply()> serve, std::function<void()> fail);
  void Count(int i, size_t message, size_t overhead);
  bool Cut(const Node& a, const Node& b) const;
  bool CutFromPlatform(const Node& node) const;
  base::Duration Delay(const Node& a, const Node& b) const;
  /// Runs library code and adds the time that it took.
  template <typename Work>
  auto Timed(Work work);

  EventLoop loop_;
  FakePlatform platform_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<std::string, int> index_;
  std::map<uint64_t, Spread> spreads_;
  std::vector<bool> cut_regions_;
  std::vector<bool> cut_zones_;
  base::Random random_;
  double cpu_s_ = 0;
  base::TimePoint reset_at_{};
};

}  // namespace cornelplank::bench

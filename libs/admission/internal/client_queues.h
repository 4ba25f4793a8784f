#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "libs/admission/internal/demand_tree.h"
#include "libs/admission/internal/occupancy.h"
#include "libs/base/base.h"

namespace cornelplank::admission {

/// The slots that a class may use at present.
struct Allowance {
  double limit = 0;       // all, guaranteed and spare
  double guaranteed = 0;  // the guaranteed ones
};

/// The waiting requests of one class in one queue per client, and the number of running requests of each
/// client.
///
/// Clients whose whole demand fits under the max-min fair level ("light") are served by deficit round robin
/// before the others ("heavy"). A heavy client gets a slot beyond its equal part of the guaranteed ones only
/// while enough slots stay free for the usual variation of the light ones: requests hold a slot for seconds,
/// so a light client would otherwise wait for a heavy client's request to end.
class ClientQueues {
 public:
  /// Queues an item. `cost` is its relative size, see WorkItem.
  void Push(uint64_t id, const std::string& client, double cost, base::TimePoint now);
  /// Removes a waiting item. Returns false when the client has no such waiting item.
  bool Remove(uint64_t id, const std::string& client, base::TimePoint now);
  /// Returns whether an item may start now.
  bool CanPop(const Allowance& allowance, base::TimePoint now) { return Peek(allowance, now) != nullptr; }
  /// Starts the next item and returns its id, or nothing when none may start.
  std::optional<uint64_t> Pop(const Allowance& allowance, base::TimePoint now);
  /// Reports that a running item of the client has ended.
  void OnFinish(const std::string& client, base::TimePoint now);
  /// Returns the newest item of the client with the most waiting items, which is refused when the class has
  /// too many. At least one item must be waiting.
  uint64_t NewestOfLongestQueue() const;

  size_t waiting() const { return waiting_; }
  size_t running() const { return running_; }
  size_t waiting_of(const std::string& client) const;
  /// The number of clients with waiting items.
  size_t waiting_clients() const { return by_length_.size(); }

 private:
  enum class Ring { kNone, kLight, kHeavy };
  struct Item {
    uint64_t id = 0;
    double cost = 1;
  };
  struct Client {
    std::string name;
    uint64_t arrival_order = 0;  // breaks ties in the indices, so that runs are reproducible
    std::deque<Item> items;
    size_t running = 0;
    double deficit = 0;  // of the deficit round robin, in units of cost
    Ring ring = Ring::kNone;
    uint64_t turn = 0;  // the client with the lowest turn of a ring is served next
    // Whether the client is in the indices of heavy clients, and under which keys.
    bool indexed = false;
    size_t indexed_demand = 0;
    size_t indexed_running = 0;
    size_t demand() const { return items.size() + running; }
  };

  Client* FindOrAdd(const std::string& name);
  void UpdateIndices(Client* client, size_t old_demand, size_t old_length);
  void UpdateHeavyIndices(Client* client);
  void EnterRing(Client* client, Ring ring);
  void MoveToEnd(Client* client);
  void LeaveRing(Client* client);
  std::map<uint64_t, Client*>& RingOf(Ring ring) { return ring == Ring::kLight ? light_ : heavy_; }
  bool IsHeavy(const Client& client, double guaranteed) const;
  bool HeavyMayStart(double limit) const;
  void PromoteLight(double guaranteed);
  Client* Peek(const Allowance& allowance, base::TimePoint now);
  Client* NextInTurn(Ring ring);
  uint64_t StartFirstItem(Client* client);
  void ObserveLightClients(base::TimePoint now);

  // Clients ordered by a count, then by their order of arrival.
  using Index = std::set<std::tuple<size_t, uint64_t, Client*>>;

  std::unordered_map<std::string, Client> clients_;  // those with waiting or running items
  uint64_t next_arrival_order_ = 1;
  Index by_length_;  // clients with waiting items, by the number of these
  Index heavy_by_demand_;
  Index heavy_by_running_;
  // The rings of the round robin, ordered by turn. A client that changes its ring keeps its turn.
  std::map<uint64_t, Client*> light_;
  std::map<uint64_t, Client*> heavy_;
  uint64_t next_turn_ = 1;
  DemandTree demand_;
  DemandTree::FairLevel fair_level_;
  Occupancy light_occupancy_;
  size_t waiting_ = 0;
  size_t running_ = 0;
};

}  // namespace cornelplank::admission

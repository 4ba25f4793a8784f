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

/// The slots that a class may use.
struct Allowance {
  double limit = 0;       // in all, at present
  double guaranteed = 0;  // of these
};

/// The waiting requests of one class, one queue per client, and the clients' running counts.
///
/// Clients whose whole demand fits under the max-min fair level ("light") are served by deficit round robin
/// before the others ("heavy"). A heavy client gets a slot beyond its equal part of the guaranteed ones only
/// while enough slots stay free for the usual variation of the light ones: requests hold a slot for seconds,
/// so a light client would otherwise wait for a heavy client's request to end.
class ClientQueues {
 public:
  void Push(uint64_t id, const std::string& client, double cost, base::TimePoint now);
  /// Removes a waiting item; false when it does not wait here.
  bool Remove(uint64_t id, const std::string& client, base::TimePoint now);
  /// True when an item may start.
  bool CanPop(const Allowance& allowance, base::TimePoint now) { return Peek(allowance, now) != nullptr; }
  /// The next item, which becomes running, or nothing.
  std::optional<uint64_t> Pop(const Allowance& allowance, base::TimePoint now);
  void OnFinish(const std::string& client, base::TimePoint now);
  /// The newest item of the client with the most waiting items, for refusal when the queue is full.
  uint64_t NewestOfLongest() const;

  size_t waiting() const { return waiting_; }
  size_t running() const { return running_; }
  size_t waiting_of(const std::string& client) const;
  /// Clients with waiting items.
  size_t waiting_clients() const { return by_length_.size(); }

 private:
  enum class Ring { kNone, kLight, kHeavy };
  struct Item {
    uint64_t id = 0;
    double cost = 1;
  };
  struct Client {
    std::string name;
    uint64_t order = 0;  // of arrival; breaks ties, so that runs are reproducible
    std::deque<Item> items;
    size_t running = 0;
    double deficit = 0;
    Ring ring = Ring::kNone;
    uint64_t turn = 0;  // the client with the lowest turn of a ring is served next
    // Keys in the indices of heavy clients.
    bool indexed = false;
    size_t key_demand = 0;
    size_t key_running = 0;
    size_t demand() const { return items.size() + running; }
  };

  Client* Get(const std::string& name);
  void Changed(Client* client, size_t old_demand, size_t old_length);
  void Reindex(Client* client);
  void Enter(Client* client, Ring ring);
  void GoToEnd(Client* client);
  void Leave(Client* client);
  std::map<uint64_t, Client*>& RingOf(Ring ring) { return ring == Ring::kLight ? light_ : heavy_; }
  bool IsHeavy(const Client& client, double guaranteed) const;
  bool HeavyMayStart(double limit) const;
  void PromoteLight(double guaranteed);
  Client* Peek(const Allowance& allowance, base::TimePoint now);
  Client* Turn(Ring ring);
  uint64_t Take(Client* client);
  void Observe(base::TimePoint now);

  // Ordered by a count, then by the clients' order.
  using Index = std::set<std::tuple<size_t, uint64_t, Client*>>;

  std::unordered_map<std::string, Client> clients_;  // clients with demand
  uint64_t next_order_ = 1;
  Index by_length_;  // clients with waiting items, by their number
  Index heavy_by_demand_;
  Index heavy_by_running_;
  // Ordered by turn. A client that changes its ring keeps its turn.
  std::map<uint64_t, Client*> light_;
  std::map<uint64_t, Client*> heavy_;
  uint64_t next_turn_ = 1;
  DemandTree demand_;
  DemandTree::Level fair_;
  Occupancy light_use_;
  size_t waiting_ = 0;
  size_t running_ = 0;
};

}  // namespace cornelplank::admission

#include "libs/admission/internal/client_queues.h"

#include <algorithm>

namespace cornelplank::admission {
namespace {

constexpr double kMinCost = 0.25;
constexpr double kMaxCost = 4;
// A client is served while its deficit is positive, and the cost of each served item is subtracted
// afterwards. A visit adds one quantum, so a pop takes at most kMaxCost / kQuantum visits per client on
// average.
constexpr double kQuantum = 1;

}  // namespace

void ClientQueues::Push(uint64_t id, const std::string& client, double cost, base::TimePoint now) {
  ObserveLightClients(now);
  Client* entry = FindOrAdd(client);
  const size_t demand = entry->demand();
  const size_t length = entry->items.size();
  entry->items.push_back(Item{id, std::clamp(cost, kMinCost, kMaxCost)});
  ++waiting_;
  UpdateIndices(entry, demand, length);
  if (entry->ring == Ring::kNone) {
    entry->turn = next_turn_++;
    EnterRing(entry, Ring::kLight);
  }
}

bool ClientQueues::Remove(uint64_t id, const std::string& client, base::TimePoint now) {
  ObserveLightClients(now);
  const auto found = clients_.find(client);
  if (found == clients_.end()) return false;
  Client* entry = &found->second;
  const auto item = std::find_if(entry->items.begin(), entry->items.end(),
                                 [&](const Item& candidate) { return candidate.id == id; });
  if (item == entry->items.end()) return false;
  const size_t demand = entry->demand();
  const size_t length = entry->items.size();
  entry->items.erase(item);
  --waiting_;
  if (entry->items.empty()) LeaveRing(entry);
  UpdateIndices(entry, demand, length);
  return true;
}

std::optional<uint64_t> ClientQueues::Pop(const Allowance& allowance, base::TimePoint now) {
  Client* client = Peek(allowance, now);
  if (client == nullptr) return std::nullopt;
  return StartFirstItem(client);
}

void ClientQueues::OnFinish(const std::string& client, base::TimePoint now) {
  ObserveLightClients(now);
  Client* entry = FindOrAdd(client);
  const size_t demand = entry->demand();
  --entry->running;
  --running_;
  UpdateIndices(entry, demand, entry->items.size());
}

uint64_t ClientQueues::NewestOfLongestQueue() const {
  return std::get<2>(*by_length_.rbegin())->items.back().id;
}

size_t ClientQueues::waiting_of(const std::string& client) const {
  const auto found = clients_.find(client);
  return found == clients_.end() ? 0 : found->second.items.size();
}

ClientQueues::Client* ClientQueues::FindOrAdd(const std::string& name) {
  Client& client = clients_[name];
  if (client.arrival_order == 0) {
    client.name = name;
    client.arrival_order = next_arrival_order_++;
  }
  return &client;
}

// Updates the indices after a client's items or running count have changed, and erases a client without any.
void ClientQueues::UpdateIndices(Client* client, size_t old_demand, size_t old_length) {
  demand_.Move(old_demand, client->demand());
  UpdateHeavyIndices(client);
  if (old_length != client->items.size()) {
    if (old_length > 0) by_length_.erase({old_length, client->arrival_order, client});
    if (!client->items.empty()) by_length_.insert({client->items.size(), client->arrival_order, client});
  }
  if (client->demand() == 0) clients_.erase(std::string(client->name));
}

void ClientQueues::UpdateHeavyIndices(Client* client) {
  if (client->indexed) {
    heavy_by_demand_.erase({client->indexed_demand, client->arrival_order, client});
    heavy_by_running_.erase({client->indexed_running, client->arrival_order, client});
  }
  client->indexed = client->ring == Ring::kHeavy;
  if (!client->indexed) return;
  client->indexed_demand = client->demand();
  client->indexed_running = client->running;
  heavy_by_demand_.insert({client->indexed_demand, client->arrival_order, client});
  heavy_by_running_.insert({client->indexed_running, client->arrival_order, client});
}

void ClientQueues::EnterRing(Client* client, Ring ring) {
  client->ring = ring;
  RingOf(ring)[client->turn] = client;
  UpdateHeavyIndices(client);
}

void ClientQueues::LeaveRing(Client* client) {
  if (client->ring == Ring::kNone) return;
  RingOf(client->ring).erase(client->turn);
  client->ring = Ring::kNone;
  UpdateHeavyIndices(client);
}

void ClientQueues::MoveToEnd(Client* client) {
  std::map<uint64_t, Client*>& ring = RingOf(client->ring);
  ring.erase(client->turn);
  client->turn = next_turn_++;
  ring[client->turn] = client;
}

bool ClientQueues::IsHeavy(const Client& client, double guaranteed) const {
  if (client.demand() <= fair_level_.level) return false;
  const double equal_part = guaranteed / static_cast<double>(std::max<int64_t>(1, demand_.active()));
  return static_cast<double>(client.running + 1) > equal_part;
}

bool ClientQueues::HeavyMayStart(double limit) const {
  // With fewer slots than this, keeping one free would cost too large a part of the throughput.
  constexpr double kMinLimit = 4;
  if (running_ == 0 || limit < kMinLimit) return true;
  const double spare = std::clamp(
      light_occupancy_.CoveringSlots() - static_cast<double>(fair_level_.demand_below), 0.0, limit / 2);
  return static_cast<double>(running_ + 1) + std::floor(spare) <= limit;
}

// Moves clients that have become light back to the light ring, at most one from each index: a change of the
// fair level can affect all clients at once, and the work of one call stays bounded.
void ClientQueues::PromoteLight(double guaranteed) {
  for (const Index* index : {&heavy_by_demand_, &heavy_by_running_}) {
    if (index->empty()) continue;
    Client* client = std::get<2>(*index->begin());
    if (IsHeavy(*client, guaranteed)) continue;
    LeaveRing(client);
    EnterRing(client, Ring::kLight);
  }
}

ClientQueues::Client* ClientQueues::Peek(const Allowance& allowance, base::TimePoint now) {
  ObserveLightClients(now);
  fair_level_ = demand_.FindFairLevel(allowance.limit);
  if (waiting_ == 0 || static_cast<double>(running_ + 1) > allowance.limit) return nullptr;
  PromoteLight(allowance.guaranteed);
  while (!light_.empty()) {
    Client* client = NextInTurn(Ring::kLight);
    if (!IsHeavy(*client, allowance.guaranteed)) return client;
    LeaveRing(client);
    EnterRing(client, Ring::kHeavy);
  }
  Client* client = NextInTurn(Ring::kHeavy);
  return !IsHeavy(*client, allowance.guaranteed) || HeavyMayStart(allowance.limit) ? client : nullptr;
}

// Returns the client whose turn it is. The ring must not be empty.
ClientQueues::Client* ClientQueues::NextInTurn(Ring ring) {
  while (true) {
    Client* client = RingOf(ring).begin()->second;
    if (client->deficit <= 0) client->deficit += kQuantum;
    if (client->deficit > 0) return client;
    MoveToEnd(client);
  }
}

uint64_t ClientQueues::StartFirstItem(Client* client) {
  const Item item = client->items.front();
  const size_t demand = client->demand();
  const size_t length = client->items.size();
  client->deficit -= item.cost;
  client->items.pop_front();
  ++client->running;
  --waiting_;
  ++running_;
  // A client without waiting items keeps a negative deficit but loses a positive one.
  if (client->items.empty()) {
    LeaveRing(client);
    client->deficit = std::min(client->deficit, 0.0);
  } else if (client->deficit <= 0) {
    MoveToEnd(client);
  }
  UpdateIndices(client, demand, length);
  return item.id;
}

void ClientQueues::ObserveLightClients(base::TimePoint now) {
  // While every demand fits, the client with the greatest demand is left out, because it becomes heavy next.
  const bool all_fit = fair_level_.level == DemandTree::kLevels;
  light_occupancy_.Observe(
      static_cast<double>(fair_level_.demand_below - (all_fit ? fair_level_.max_demand : 0)), now);
}

}  // namespace cornelplank::admission

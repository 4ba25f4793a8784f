#include "libs/admission/internal/client_queues.h"

#include <algorithm>

namespace cornelplank::admission {
namespace {

constexpr double kMinCost = 0.25;
constexpr double kMaxCost = 4;
// A client is served while its deficit is positive and then pays for what it took, so a visit adds one
// quantum and a pop takes at most kMaxCost / kQuantum visits per client on average.
constexpr double kQuantum = 1;

}  // namespace

void ClientQueues::Push(uint64_t id, const std::string& client, double cost, base::TimePoint now) {
  Observe(now);
  Client* entry = Get(client);
  const size_t demand = entry->demand();
  const size_t length = entry->items.size();
  entry->items.push_back(Item{id, std::clamp(cost, kMinCost, kMaxCost)});
  ++waiting_;
  Changed(entry, demand, length);
  if (entry->ring == Ring::kNone) {
    entry->turn = next_turn_++;
    Enter(entry, Ring::kLight);
  }
}

bool ClientQueues::Remove(uint64_t id, const std::string& client, base::TimePoint now) {
  Observe(now);
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
  if (entry->items.empty()) Leave(entry);
  Changed(entry, demand, length);
  return true;
}

std::optional<uint64_t> ClientQueues::Pop(const Allowance& allowance, base::TimePoint now) {
  Client* client = Peek(allowance, now);
  if (client == nullptr) return std::nullopt;
  return Take(client);
}

void ClientQueues::OnFinish(const std::string& client, base::TimePoint now) {
  Observe(now);
  Client* entry = Get(client);
  const size_t demand = entry->demand();
  --entry->running;
  --running_;
  Changed(entry, demand, entry->items.size());
}

uint64_t ClientQueues::NewestOfLongest() const { return std::get<2>(*by_length_.rbegin())->items.back().id; }

size_t ClientQueues::waiting_of(const std::string& client) const {
  const auto found = clients_.find(client);
  return found == clients_.end() ? 0 : found->second.items.size();
}

ClientQueues::Client* ClientQueues::Get(const std::string& name) {
  Client& client = clients_[name];
  if (client.order == 0) {
    client.name = name;
    client.order = next_order_++;
  }
  return &client;
}

// Keeps the indices in step with a client whose items or running count have changed; forgets an idle client.
void ClientQueues::Changed(Client* client, size_t old_demand, size_t old_length) {
  demand_.Move(old_demand, client->demand());
  Reindex(client);
  if (old_length != client->items.size()) {
    if (old_length > 0) by_length_.erase({old_length, client->order, client});
    if (!client->items.empty()) by_length_.insert({client->items.size(), client->order, client});
  }
  if (client->demand() == 0) clients_.erase(std::string(client->name));
}

void ClientQueues::Reindex(Client* client) {
  if (client->indexed) {
    heavy_by_demand_.erase({client->key_demand, client->order, client});
    heavy_by_running_.erase({client->key_running, client->order, client});
  }
  client->indexed = client->ring == Ring::kHeavy;
  if (!client->indexed) return;
  client->key_demand = client->demand();
  client->key_running = client->running;
  heavy_by_demand_.insert({client->key_demand, client->order, client});
  heavy_by_running_.insert({client->key_running, client->order, client});
}

void ClientQueues::Enter(Client* client, Ring ring) {
  client->ring = ring;
  RingOf(ring)[client->turn] = client;
  Reindex(client);
}

void ClientQueues::Leave(Client* client) {
  if (client->ring == Ring::kNone) return;
  RingOf(client->ring).erase(client->turn);
  client->ring = Ring::kNone;
  Reindex(client);
}

void ClientQueues::GoToEnd(Client* client) {
  std::map<uint64_t, Client*>& ring = RingOf(client->ring);
  ring.erase(client->turn);
  client->turn = next_turn_++;
  ring[client->turn] = client;
}

bool ClientQueues::IsHeavy(const Client& client, double guaranteed) const {
  if (client.demand() <= fair_.level) return false;
  const double equal_part = guaranteed / static_cast<double>(std::max<int64_t>(1, demand_.active()));
  return static_cast<double>(client.running + 1) > equal_part;
}

bool ClientQueues::HeavyMayStart(double limit) const {
  // In a class of fewer slots a spare one would cost too large a part of the throughput.
  constexpr double kMinLimit = 4;
  if (running_ == 0 || limit < kMinLimit) return true;
  const double spare = std::clamp(light_use_.Cover() - static_cast<double>(fair_.below), 0.0, limit / 2);
  return static_cast<double>(running_ + 1) + std::floor(spare) <= limit;
}

// Moves clients that have become light back to the light ring, a bounded number each time: a change of the
// fair level can concern all clients at once.
void ClientQueues::PromoteLight(double guaranteed) {
  for (const Index* index : {&heavy_by_demand_, &heavy_by_running_}) {
    if (index->empty()) continue;
    Client* client = std::get<2>(*index->begin());
    if (IsHeavy(*client, guaranteed)) continue;
    Leave(client);
    Enter(client, Ring::kLight);
  }
}

ClientQueues::Client* ClientQueues::Peek(const Allowance& allowance, base::TimePoint now) {
  Observe(now);
  fair_ = demand_.Fair(allowance.limit);
  if (waiting_ == 0 || static_cast<double>(running_ + 1) > allowance.limit) return nullptr;
  PromoteLight(allowance.guaranteed);
  while (!light_.empty()) {
    Client* client = Turn(Ring::kLight);
    if (!IsHeavy(*client, allowance.guaranteed)) return client;
    Leave(client);
    Enter(client, Ring::kHeavy);
  }
  Client* client = Turn(Ring::kHeavy);
  return !IsHeavy(*client, allowance.guaranteed) || HeavyMayStart(allowance.limit) ? client : nullptr;
}

// The client whose turn it is.
ClientQueues::Client* ClientQueues::Turn(Ring ring) {
  while (true) {
    Client* client = RingOf(ring).begin()->second;
    if (client->deficit <= 0) client->deficit += kQuantum;
    if (client->deficit > 0) return client;
    GoToEnd(client);
  }
}

uint64_t ClientQueues::Take(Client* client) {
  const Item item = client->items.front();
  const size_t demand = client->demand();
  const size_t length = client->items.size();
  client->deficit -= item.cost;
  client->items.pop_front();
  ++client->running;
  --waiting_;
  ++running_;
  // Unused turns are not saved up; what was taken in excess stays to be paid for.
  if (client->items.empty()) {
    Leave(client);
    client->deficit = std::min(client->deficit, 0.0);
  } else if (client->deficit <= 0) {
    GoToEnd(client);
  }
  Changed(client, demand, length);
  return item.id;
}

void ClientQueues::Observe(base::TimePoint now) {
  // While every demand fits, the client with the greatest one is left out: it is the one that becomes heavy
  // next.
  const bool all_fit = fair_.level == DemandTree::kLevels;
  light_use_.Observe(static_cast<double>(fair_.below - (all_fit ? fair_.greatest : 0)), now);
}

}  // namespace cornelplank::admission

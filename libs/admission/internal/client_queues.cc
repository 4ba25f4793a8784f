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
  if (entry->ring == Ring::kNone) Enter(entry, Ring::kLight);
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
  SetRunning(entry, entry->running - 1);
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
  if (old_length != client->items.size()) {
    if (old_length > 0) by_length_.erase({old_length, client->order, client});
    if (!client->items.empty()) by_length_.insert({client->items.size(), client->order, client});
  }
  if (client->demand() == 0) clients_.erase(std::string(client->name));
}

void ClientQueues::SetRunning(Client* client, size_t running) {
  const bool heavy = client->ring == Ring::kHeavy;
  if (heavy) heavy_by_running_.erase({client->running, client->order, client});
  client->running = running;
  if (heavy) heavy_by_running_.insert({running, client->order, client});
}

void ClientQueues::Enter(Client* client, Ring ring) {
  std::list<Client*>& list = ring == Ring::kLight ? light_ : heavy_;
  client->ring = ring;
  client->place = list.insert(list.end(), client);
  if (ring == Ring::kHeavy) heavy_by_running_.insert({client->running, client->order, client});
}

void ClientQueues::Leave(Client* client) {
  if (client->ring == Ring::kNone) return;
  if (client->ring == Ring::kHeavy) heavy_by_running_.erase({client->running, client->order, client});
  (client->ring == Ring::kLight ? light_ : heavy_).erase(client->place);
  client->ring = Ring::kNone;
  // Unused turns are not saved up; what was taken in excess stays to be paid for.
  client->deficit = std::min(client->deficit, 0.0);
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

ClientQueues::Client* ClientQueues::Peek(const Allowance& allowance, base::TimePoint now) {
  Observe(now);
  fair_ = demand_.Fair(allowance.limit);
  if (waiting_ == 0 || static_cast<double>(running_ + 1) > allowance.limit) return nullptr;
  while (!light_.empty()) {
    Client* client = Turn(&light_);
    if (!IsHeavy(*client, allowance.guaranteed)) return client;
    Leave(client);
    Enter(client, Ring::kHeavy);
  }
  Client* client = Turn(&heavy_);
  if (!IsHeavy(*client, allowance.guaranteed) || HeavyMayStart(allowance.limit)) return client;
  // Others may have become light since they entered the ring: surely those below their equal part, of which
  // the one with the fewest running requests is one.
  Client* least = std::get<2>(*heavy_by_running_.begin());
  if (!IsHeavy(*least, allowance.guaranteed)) return least;
  heavy_.splice(heavy_.end(), heavy_, heavy_.begin());
  return nullptr;
}

// The client whose turn it is.
ClientQueues::Client* ClientQueues::Turn(std::list<Client*>* ring) {
  while (ring->front()->deficit <= 0) {
    ring->front()->deficit += kQuantum;
    if (ring->front()->deficit <= 0) ring->splice(ring->end(), *ring, ring->begin());
  }
  return ring->front();
}

uint64_t ClientQueues::Take(Client* client) {
  const Item item = client->items.front();
  const size_t demand = client->demand();
  const size_t length = client->items.size();
  client->deficit -= item.cost;
  client->items.pop_front();
  SetRunning(client, client->running + 1);
  --waiting_;
  ++running_;
  if (client->items.empty()) {
    Leave(client);
  } else if (client->deficit <= 0) {
    std::list<Client*>& list = client->ring == Ring::kLight ? light_ : heavy_;
    list.splice(list.end(), list, client->place);
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

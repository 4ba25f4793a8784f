#include "libs/orders/internal/order_planner.h"

#include <algorithm>
#include <utility>

namespace cornelplank::orders {
namespace {

double SizeOf(const config::Document& document, const std::string& model) {
  const auto found = document.models.find(model);
  return found == document.models.end() ? 0 : found->second.size_gb;
}

}  // namespace

OrderPlanner::OrderPlanner(PlannerSettings settings, std::string zone)
    : settings_(settings), zone_(std::move(zone)) {}

void OrderPlanner::SetConfig(std::shared_ptr<const config::Document> document, uint64_t seq) {
  if (document_ != nullptr && seq <= seq_) return;
  document_ = std::move(document);
  seq_ = seq;
  pending_.clear();
  std::erase_if(engines_, [&](const auto& item) { return !document_->upstreams.contains(item.first); });
}

void OrderPlanner::RecordReport(const EngineReport& report, base::TimePoint now) {
  Engine& engine = engines_[report.engine];
  // A restarted engine has forgotten its orders and its fence.
  if (engine.report.incarnation != report.incarnation) engine = Engine{};
  engine.report = report;
  engine.reported_at = now;
}

void OrderPlanner::RecordAlive(const std::string& engine, base::TimePoint now) {
  if (const auto found = engines_.find(engine); found != engines_.end()) found->second.reported_at = now;
}

void OrderPlanner::Bucket::Fill(double rate, base::TimePoint now) {
  const std::chrono::duration<double> elapsed = std::max(now - filled_at, base::Duration{0});
  // One second of the rate may be saved up, so that small models need not wait.
  level = filled_at == base::TimePoint{} ? 0 : std::min(level + rate * elapsed.count(), rate);
  filled_at = std::max(filled_at, now);
}

bool OrderPlanner::Pay(const EngineOrder& order, const Engine& engine) {
  const ModelVersion wanted{order.model, order.version};
  if (order.action != OrderAction::kLoad || engine.report.models.contains(wanted)) return true;
  if (store_.level < 0 || (settings_.link_gb_per_s && link_.level < 0)) return false;
  const double size = SizeOf(*document_, order.model);
  store_.level -= size;
  if (settings_.link_gb_per_s) link_.level -= size;
  return true;
}

void OrderPlanner::AddEngineOrders(const std::string& id, const Engine& engine, const EngineModels& desired,
                                   base::TimePoint now, std::vector<EngineOrder>& orders) const {
  const size_t before = orders.size();
  const auto& loaded = engine.report.models;
  for (const auto& [model, version] : desired) {
    if (!loaded.contains({model, version})) {
      orders.push_back(MakeEngineOrder(id, OrderAction::kLoad, model, version, seq_, now));
    }
  }
  for (const auto& [model, version] : loaded) {
    const auto known = document_->models.find(model);
    if (known != document_->models.end() && known->second.version == version) continue;
    // An old version serves until the new one is in force.
    const auto wanted = desired.find(model);
    if (wanted != desired.end() && !loaded.contains({model, wanted->second})) continue;
    orders.push_back(MakeEngineOrder(id, OrderAction::kUnload, model, version, seq_, now));
  }
  // With nothing to change, one order still raises the engine's fence, so that a late order of a
  // configuration in between is refused.
  const bool raise = orders.size() == before && document_->upstreams.at(id).checks_fence &&
                     engine.accepted_fence < seq_ && !desired.empty();
  if (raise) {
    orders.push_back(
        MakeEngineOrder(id, OrderAction::kLoad, desired.begin()->first, desired.begin()->second, seq_, now));
  }
}

std::vector<EngineOrder> OrderPlanner::Wanted(base::TimePoint now) const {
  std::set<std::string> live;
  for (const auto& [id, engine] : engines_) {
    if (!engine.report.leaving && now - engine.reported_at < settings_.report_timeout) live.insert(id);
  }
  std::vector<EngineOrder> orders;
  for (const auto& [id, desired] : ComputeDesiredState(*document_, zone_, live)) {
    const auto found = engines_.find(id);
    if (found == engines_.end() || !live.contains(id) || found->second.refused_seq >= seq_) continue;
    AddEngineOrders(id, found->second, desired, now, orders);
  }
  return orders;
}

std::vector<EngineOrder> OrderPlanner::Plan(bool confirmed, bool is_planner, base::TimePoint now) {
  if (!confirmed || !is_planner || document_ == nullptr) return {};
  store_.Fill(settings_.store_gb_per_s, now);
  if (settings_.link_gb_per_s) link_.Fill(*settings_.link_gb_per_s, now);
  std::vector<EngineOrder> due;
  std::map<std::string, Pending> still;
  for (EngineOrder& order : Wanted(now)) {
    // Orders that are in force are forgotten; if one is undone later, it starts anew at the first interval.
    const Engine& engine = engines_.at(order.engine);
    Pending& pending = still[order.id];
    if (const auto found = pending_.find(order.id);
        found != pending_.end() && found->second.incarnation == engine.report.incarnation) {
      pending = found->second;
    }
    pending.incarnation = engine.report.incarnation;
    if (due.size() >= settings_.max_orders_per_plan || now < pending.next_at) continue;
    if (!pending.paid) pending.paid = Pay(order, engine);
    if (!pending.paid) continue;
    pending.wait = pending.wait == base::Duration{0} ? settings_.first_retry_delay
                                                     : std::min(pending.wait * 2, settings_.max_retry_delay);
    pending.next_at = now + pending.wait;
    order.incarnation = engine.report.incarnation;
    due.push_back(std::move(order));
  }
  pending_ = std::move(still);
  return due;
}

void OrderPlanner::RecordAnswer(const EngineOrder& order, OrderAnswer answer) {
  const auto found = engines_.find(order.engine);
  if (found == engines_.end() || found->second.report.incarnation != order.incarnation) return;
  Engine& engine = found->second;
  if (answer == OrderAnswer::kAccepted) engine.accepted_fence = std::max(engine.accepted_fence, order.fence);
  if (answer == OrderAnswer::kOldFence) engine.refused_seq = std::max(engine.refused_seq, order.fence);
}

void OrderPlanner::RecordNotSent(const EngineOrder& order) {
  const auto found = pending_.find(order.id);
  if (found == pending_.end()) return;
  Pending& pending = found->second;
  pending.next_at = base::TimePoint{};
  pending.wait = pending.wait <= settings_.first_retry_delay ? base::Duration{0} : pending.wait / 2;
}

}  // namespace cornelplank::orders

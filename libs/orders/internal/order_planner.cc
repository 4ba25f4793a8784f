#include "libs/orders/internal/order_planner.h"

#include <algorithm>
#include <utility>

namespace cornelplank::orders {
namespace {

/// Size of the model in GB; 0 when the document doesn't contain it.
double SizeInGb(const config::Document& document, const std::string& model) {
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
  // A restarted engine has lost its models and its fence, so what is known about it starts anew.
  if (engine.report.incarnation != report.incarnation) engine = Engine{};
  engine.report = report;
  engine.reported_at = now;
}

void OrderPlanner::RecordAlive(const std::string& engine, base::TimePoint now) {
  if (const auto found = engines_.find(engine); found != engines_.end()) found->second.reported_at = now;
}

void OrderPlanner::TransferBucket::Refill(double rate, base::TimePoint now) {
  const std::chrono::duration<double> elapsed = std::max(now - refilled_at, base::Duration{0});
  // The bucket holds up to one second of the rate, so that small models don't have to wait.
  level_gb = refilled_at == base::TimePoint{} ? 0 : std::min(level_gb + rate * elapsed.count(), rate);
  refilled_at = std::max(refilled_at, now);
}

bool OrderPlanner::ReserveTransfer(const EngineOrder& order, const Engine& engine) {
  const ModelVersion wanted{order.model, order.version};
  if (order.action != OrderAction::kLoad || engine.report.models.contains(wanted)) return true;
  if (store_bucket_.level_gb < 0 || (settings_.link_gb_per_s && link_bucket_.level_gb < 0)) return false;
  const double size_gb = SizeInGb(*document_, order.model);
  store_bucket_.level_gb -= size_gb;
  if (settings_.link_gb_per_s) link_bucket_.level_gb -= size_gb;
  return true;
}

void OrderPlanner::AddEngineOrders(const std::string& id, const Engine& engine, const EngineModels& desired,
                                   base::TimePoint now, std::vector<EngineOrder>& orders) const {
  const size_t count_before = orders.size();
  const auto& loaded = engine.report.models;
  for (const auto& [model, version] : desired) {
    if (!loaded.contains({model, version})) {
      orders.push_back(MakeEngineOrder(id, OrderAction::kLoad, model, version, seq_, now));
    }
  }
  for (const auto& [model, version] : loaded) {
    const auto known = document_->models.find(model);
    if (known != document_->models.end() && known->second.version == version) continue;
    // The old version keeps serving until the new one is loaded.
    const auto wanted = desired.find(model);
    if (wanted != desired.end() && !loaded.contains({model, wanted->second})) continue;
    orders.push_back(MakeEngineOrder(id, OrderAction::kUnload, model, version, seq_, now));
  }
  // When nothing has to change, one order is sent all the same to raise the engine's fence, so that the
  // engine refuses late orders of the configurations in between.
  const bool raise_fence = orders.size() == count_before && document_->upstreams.at(id).checks_fence &&
                           engine.accepted_fence < seq_ && !desired.empty();
  if (raise_fence) {
    orders.push_back(
        MakeEngineOrder(id, OrderAction::kLoad, desired.begin()->first, desired.begin()->second, seq_, now));
  }
}

std::vector<EngineOrder> OrderPlanner::ComputeOrders(base::TimePoint now) const {
  std::set<std::string> live;
  for (const auto& [id, engine] : engines_) {
    if (!engine.report.leaving && now - engine.reported_at < settings_.report_timeout) live.insert(id);
  }
  std::vector<EngineOrder> orders;
  for (const auto& [id, desired] : ComputeDesiredState(*document_, zone_, live)) {
    const auto found = engines_.find(id);
    if (found == engines_.end() || !live.contains(id) || found->second.refused_fence >= seq_) continue;
    AddEngineOrders(id, found->second, desired, now, orders);
  }
  return orders;
}

std::vector<EngineOrder> OrderPlanner::Plan(bool confirmed, bool is_planner, base::TimePoint now) {
  if (!confirmed || !is_planner || document_ == nullptr) return {};
  store_bucket_.Refill(settings_.store_gb_per_s, now);
  if (settings_.link_gb_per_s) link_bucket_.Refill(*settings_.link_gb_per_s, now);
  std::vector<EngineOrder> due;
  std::map<std::string, Pending> remaining;
  for (EngineOrder& order : ComputeOrders(now)) {
    // Orders that have taken effect are dropped; if one is undone later, it starts again with
    // the first delay.
    const Engine& engine = engines_.at(order.engine);
    Pending& pending = remaining[order.id];
    if (const auto found = pending_.find(order.id);
        found != pending_.end() && found->second.incarnation == engine.report.incarnation) {
      pending = found->second;
    }
    pending.incarnation = engine.report.incarnation;
    if (due.size() >= settings_.max_orders_per_plan || now < pending.next_at) continue;
    if (!pending.transfer_reserved) pending.transfer_reserved = ReserveTransfer(order, engine);
    if (!pending.transfer_reserved) continue;
    pending.interval = pending.interval == base::Duration{0}
                           ? settings_.first_retry_delay
                           : std::min(pending.interval * 2, settings_.max_retry_delay);
    pending.next_at = now + pending.interval;
    order.incarnation = engine.report.incarnation;
    due.push_back(std::move(order));
  }
  pending_ = std::move(remaining);
  return due;
}

void OrderPlanner::RecordAnswer(const EngineOrder& order, OrderAnswer answer) {
  const auto found = engines_.find(order.engine);
  if (found == engines_.end() || found->second.report.incarnation != order.incarnation) return;
  Engine& engine = found->second;
  if (answer == OrderAnswer::kAccepted) engine.accepted_fence = std::max(engine.accepted_fence, order.fence);
  if (answer == OrderAnswer::kOldFence) engine.refused_fence = std::max(engine.refused_fence, order.fence);
}

void OrderPlanner::RecordNotSent(const EngineOrder& order) {
  const auto found = pending_.find(order.id);
  if (found == pending_.end()) return;
  Pending& pending = found->second;
  pending.next_at = base::TimePoint{};
  pending.interval =
      pending.interval <= settings_.first_retry_delay ? base::Duration{0} : pending.interval / 2;
}

}  // namespace cornelplank::orders

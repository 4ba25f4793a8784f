#include "standins/engine/core/orders.h"

#include <algorithm>
#include <utility>

namespace cornelplank::standins::engine {

OrderBook::OrderBook(OrderOptions options) : options_(std::move(options)) {
  for (const ModelVersion& model : options_.models) models_[model.model] = model.version;
}

std::optional<std::string> OrderBook::Take(const Order& order, base::TimePoint now,
                                           base::Reason<OrderCode>* reason) {
  AdvanceTo(now);
  if (!options_.orderers.empty() && std::find(options_.orderers.begin(), options_.orderers.end(),
                                              order.orderer) == options_.orderers.end()) {
    base::SetReason(reason, OrderCode::kOrderer, "the orderer may not give orders");
    return std::nullopt;
  }
  if (order.id.empty() || (order.action != "load" && order.action != "unload" && order.action != "role")) {
    base::SetReason(reason, OrderCode::kInvalid, "the order has no id or an unknown action");
    return std::nullopt;
  }
  if (order.fence < fence_ && !options_.ignore_fence) {
    records_.push_back({order, "refused"});
    base::SetReason(reason, OrderCode::kOldFence, "the fence is lower than " + std::to_string(fence_));
    return std::nullopt;
  }
  fence_ = std::max(fence_, order.fence);
  for (OrderRecord& record : records_) {
    if (record.order.id != order.id || (record.status != "accepted" && record.status != "in-force")) continue;
    ++record.times;
    return record.status;
  }
  records_.push_back({order, "accepted"});
  const auto loaded = models_.find(order.model);
  if (order.action != "load" || (loaded != models_.end() && loaded->second == order.version)) {
    PutInForce(records_.back());
  } else {
    loads_.push_back(records_.size() - 1);
    if (loads_.size() == 1) StartLoad(now);
  }
  return records_.back().status;
}

void OrderBook::PutInForce(OrderRecord& record) {
  const Order& order = record.order;
  for (OrderRecord& other : records_) {
    const bool same_subject =
        (other.order.action == "role") == (order.action == "role") && other.order.model == order.model;
    if (&other != &record && same_subject && other.status == "in-force") other.status = "superseded";
  }
  if (order.action == "load") {
    models_[order.model] = order.version;
  } else if (order.action == "unload") {
    const auto loaded = models_.find(order.model);
    if (loaded != models_.end() && (order.version.empty() || loaded->second == order.version)) {
      models_.erase(loaded);
    }
  } else {
    role_ = order.role;
  }
  record.status = "in-force";
}

void OrderBook::StartLoad(base::TimePoint now) {
  load_end_.reset();
  if (loads_.empty() || options_.external_loading) return;
  load_end_ = now + base::Duration{static_cast<int64_t>(options_.model_gb / options_.load_gb_s * 1e9)};
}

void OrderBook::FinishLoad(base::TimePoint now) {
  if (loads_.empty()) return;
  PutInForce(records_[loads_.front()]);
  loads_.pop_front();
  StartLoad(now);
}

void OrderBook::AdvanceTo(base::TimePoint now) {
  while (load_end_ && *load_end_ <= now) FinishLoad(*load_end_);
}

std::optional<base::TimePoint> OrderBook::NextEvent() const { return load_end_; }

std::vector<ModelVersion> OrderBook::Models() const {
  std::vector<ModelVersion> models;
  models.reserve(models_.size());
  for (const auto& [model, version] : models_) models.push_back({model, version});
  return models;
}

std::optional<ModelVersion> OrderBook::CurrentLoad() const {
  if (loads_.empty()) return std::nullopt;
  const Order& order = records_[loads_.front()].order;
  return ModelVersion{order.model, order.version};
}

}  // namespace cornelplank::standins::engine

#include "standins/engine/core/orders.h"

#include <algorithm>
#include <utility>

namespace cornelplank::standins::engine {

OrderProcessor::OrderProcessor(OrderOptions options) : options_(std::move(options)) {
  for (const ModelVersion& model : options_.models) models_[model.model] = model.version;
}

std::optional<std::string> OrderProcessor::Submit(const ReceivedOrder& order, base::TimePoint now,
                                                  base::Reason<OrderRefusal>* reason) {
  AdvanceTo(now);
  if (!options_.orderers.empty() && std::find(options_.orderers.begin(), options_.orderers.end(),
                                              order.orderer) == options_.orderers.end()) {
    base::SetReason(reason, OrderRefusal::kOrderer, "the orderer may not give orders");
    return std::nullopt;
  }
  if (order.id.empty() || (order.action != "load" && order.action != "unload" && order.action != "role")) {
    base::SetReason(reason, OrderRefusal::kInvalid, "the order has no id or an unknown action");
    return std::nullopt;
  }
  if (order.fence < fence_ && !options_.ignore_fence) {
    records_.push_back({order, "refused"});
    base::SetReason(reason, OrderRefusal::kOldFence, "the fence is lower than " + std::to_string(fence_));
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
    ApplyOrder(records_.back());
  } else {
    loads_.push_back(records_.size() - 1);
    if (loads_.size() == 1) StartLoad(now);
  }
  return records_.back().status;
}

void OrderProcessor::ApplyOrder(OrderRecord& record) {
  const ReceivedOrder& order = record.order;
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

void OrderProcessor::StartLoad(base::TimePoint now) {
  load_end_.reset();
  if (loads_.empty() || options_.external_loading) return;
  load_end_ = now + base::Duration{static_cast<int64_t>(options_.model_gb / options_.load_gb_s * 1e9)};
}

void OrderProcessor::FinishLoad(base::TimePoint now) {
  if (loads_.empty()) return;
  ApplyOrder(records_[loads_.front()]);
  loads_.pop_front();
  StartLoad(now);
}

void OrderProcessor::AdvanceTo(base::TimePoint now) {
  while (load_end_ && *load_end_ <= now) FinishLoad(*load_end_);
}

std::optional<base::TimePoint> OrderProcessor::NextEvent() const { return load_end_; }

std::vector<ModelVersion> OrderProcessor::Models() const {
  std::vector<ModelVersion> models;
  models.reserve(models_.size());
  for (const auto& [model, version] : models_) models.push_back({model, version});
  return models;
}

std::optional<ModelVersion> OrderProcessor::CurrentLoad() const {
  if (loads_.empty()) return std::nullopt;
  const ReceivedOrder& order = records_[loads_.front()].order;
  return ModelVersion{order.model, order.version};
}

}  // namespace cornelplank::standins::engine

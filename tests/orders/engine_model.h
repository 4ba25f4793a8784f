#pragma once

#include <map>
#include <string>
#include <utility>

#include "libs/orders/orders.h"

namespace cornelplank::orders {

/// A model of an engine as the protocol describes it. It holds one version of each model; a load order
/// replaces the version.
class EngineModel {
 public:
  EngineModel(std::string id, bool honours_fence) : id_(std::move(id)), honours_fence_(honours_fence) {}

  OrderAnswer Receive(const EngineOrder& order) {
    if (honours_fence_ && order.fence < fence_) return OrderAnswer::kOldFence;
    fence_ = order.fence;
    if (order.action == OrderAction::kLoad) {
      models_[order.model] = order.version;
    } else if (const auto found = models_.find(order.model);
               found != models_.end() && found->second == order.version) {
      models_.erase(found);
    }
    return OrderAnswer::kAccepted;
  }

  /// Starts the engine's next incarnation, without models and with fence 0.
  void Restart() {
    ++incarnation_;
    fence_ = 0;
    models_.clear();
  }

  EngineReport Report() const {
    EngineReport report{id_, std::to_string(incarnation_), false, {}};
    for (const auto& [model, version] : models_) report.models.emplace(model, version);
    return report;
  }

  const std::string& id() const { return id_; }
  bool honours_fence() const { return honours_fence_; }
  int incarnation() const { return incarnation_; }
  const std::map<std::string, std::string>& models() const { return models_; }

 private:
  std::string id_;
  bool honours_fence_;
  int incarnation_ = 1;
  uint64_t fence_ = 0;
  std::map<std::string, std::string> models_;
};

/// Returns "e0" for 0, "e1" for 1 and so on.
inline std::string EngineId(int number) { return std::string("e").append(std::to_string(number)); }

/// Builds a document with engines e0, e1 and so on in zone ost-1; the even ones check fences. All of them
/// list model "m" with `version`. Only e0 lists model "x", of which the zone needs at least two replicas.
inline config::Document EngineDocument(int engines, const std::string& version) {
  config::Document document;
  document.models["m"] = {"p", version, 0.5, 1};
  document.models["x"] = {"p", "1", 0.5, 2};
  for (int i = 0; i < engines; ++i) {
    config::Upstream upstream;
    upstream.partner = "p";
    upstream.region = "ost";
    upstream.zone = "ost-1";
    upstream.checks_fence = i % 2 == 0;
    upstream.models = {"m"};
    if (i == 0) upstream.models.emplace_back("x");
    document.upstreams[EngineId(i)] = upstream;
  }
  return document;
}

}  // namespace cornelplank::orders

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::standins::engine {

/// A model by name and version, such as one that is loaded or being loaded.
struct ModelVersion {
  std::string model;
  std::string version;
};

/// How an engine handles orders; set from its command line.
struct OrderOptions {
  bool ignore_fence = false;          // accept orders with an old fence, as an engine without fencing would
  std::vector<std::string> orderers;  // who may send orders; empty means anyone
  std::vector<ModelVersion> models;   // loaded when the engine starts
  double model_gb = 1;                // size of every model, in GB
  double load_gb_s = 1;               // loading rate in GB/s; used without a weight store
  // A load ends when FinishLoad is called, not after model_gb / load_gb_s seconds.
  bool external_loading = false;
};

/// An order as an engine receives it: load or unload a model, or take a role.
struct ReceivedOrder {
  std::string id;
  uint64_t fence = 0;   // fencing token; an order with a lower one than an accepted order is refused
  std::string orderer;  // id of the sender
  std::string action;   // load, unload or role
  std::string model;
  std::string version;
  std::string role;
};

/// An order and what became of it.
struct OrderRecord {
  ReceivedOrder order;
  std::string status;  // accepted, in-force, superseded or refused
  unsigned times = 1;  // how often the order arrived
};

enum class OrderRefusal {
  kOldFence,  // the fence is lower than the highest one that was accepted
  kOrderer,   // the sender is not one of OrderOptions::orderers
  kInvalid,   // the order has no id or an unknown action
};

/// Executes the orders that an engine receives and keeps the set of loaded models. Loads run one after the
/// other; unloads, role changes and loads of a version that is loaded already take effect at once.
class OrderProcessor {
 public:
  explicit OrderProcessor(OrderOptions options);

  /// Accepts an order and returns its status, "accepted" or "in-force". An order whose id is that of an order
  /// with one of these statuses is not executed again; the current status is returned. Returns nullopt with
  /// the reason if the order is refused.
  std::optional<std::string> Submit(const ReceivedOrder& order, base::TimePoint now,
                                    base::Reason<OrderRefusal>* reason);
  /// Finishes all loads that end by `now`.
  void AdvanceTo(base::TimePoint now);
  /// When the load in progress ends; nullopt without one, or with external loading.
  std::optional<base::TimePoint> NextEvent() const;

  bool HasModel(const std::string& model) const { return models_.contains(model); }
  std::vector<ModelVersion> Models() const;
  bool loading() const { return !loads_.empty(); }
  /// The model that is being loaded, or nullopt.
  std::optional<ModelVersion> CurrentLoad() const;
  /// Completes the load in progress; does nothing without one. Called from outside only with external
  /// loading.
  void FinishLoad(base::TimePoint now);
  uint64_t fence() const { return fence_; }
  const std::string& role() const { return role_; }
  const std::vector<OrderRecord>& records() const { return records_; }

 private:
  void ApplyOrder(OrderRecord& record);
  void StartLoad(base::TimePoint now);

  OrderOptions options_;
  std::map<std::string, std::string> models_;  // loaded models, name -> version
  std::vector<OrderRecord> records_;
  std::deque<size_t> loads_;  // indexes into records_ of the accepted loads; the first is in progress
  std::optional<base::TimePoint> load_end_;
  uint64_t fence_ = 0;
  std::string role_;
};

}  // namespace cornelplank::standins::engine

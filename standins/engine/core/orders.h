#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::standins::engine {

struct ModelVersion {
  std::string model;
  std::string version;
};

struct OrderOptions {
  bool ignore_fence = false;
  std::vector<std::string> orderers;  // who may order; empty means anyone
  std::vector<ModelVersion> models;   // loaded at the start
  double model_gb = 1;                // size of a model
  double load_gb_s = 1;               // local loading rate, used without a weight store
  bool external_loading = false;      // loads end by FinishLoad instead of by time
};

struct Order {
  std::string id;
  uint64_t fence = 0;
  std::string orderer;
  std::string action;  // load, unload or role
  std::string model;
  std::string version;
  std::string role;
};

struct OrderRecord {
  Order order;
  std::string status;  // accepted, in-force, superseded or refused
  unsigned times = 1;  // how often it arrived
};

enum class OrderCode { kOldFence, kOrderer, kInvalid };

/// The orders of an engine and the models that they put in force. Loads run one after the other.
class OrderBook {
 public:
  explicit OrderBook(OrderOptions options);

  /// Takes an order and returns its status. A repeated order id returns the present status.
  std::optional<std::string> Take(const Order& order, base::TimePoint now, base::Reason<OrderCode>* reason);
  void AdvanceTo(base::TimePoint now);
  std::optional<base::TimePoint> NextEvent() const;

  bool HasModel(const std::string& model) const { return models_.contains(model); }
  std::vector<ModelVersion> Models() const;
  bool loading() const { return !loads_.empty(); }
  /// The load in progress, if there is one.
  std::optional<ModelVersion> CurrentLoad() const;
  /// Ends the load in progress with success; used with external loading.
  void FinishLoad(base::TimePoint now);
  uint64_t fence() const { return fence_; }
  const std::string& role() const { return role_; }
  const std::vector<OrderRecord>& records() const { return records_; }

 private:
  void PutInForce(OrderRecord& record);
  void StartLoad(base::TimePoint now);

  OrderOptions options_;
  std::map<std::string, std::string> models_;  // name -> version
  std::vector<OrderRecord> records_;
  std::deque<size_t> loads_;  // indexes into records_
  std::optional<base::TimePoint> load_end_;
  uint64_t fence_ = 0;
  std::string role_;
};

}  // namespace cornelplank::standins::engine

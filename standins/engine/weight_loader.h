#pragma once

#include <atomic>
#include <string>
#include <thread>

#include "standins/engine/engine_app.h"

namespace cornelplank::standins::engine {

/// Fetches the weights of the loads that an engine was ordered to do from the platform's weight store, at the
/// rate that the store grants and not faster than the engine's own loading rate.
class WeightLoader {
 public:
  /// `store_url` is the platform's base URL.
  WeightLoader(EngineApp& app, std::string store_url, double gb_per_second);
  ~WeightLoader();
  WeightLoader(const WeightLoader&) = delete;
  WeightLoader& operator=(const WeightLoader&) = delete;

 private:
  void Run();
  /// Fetches the next piece of the model. Returns true when the model is complete.
  bool FetchPiece(const ModelVersion& model, double* fetched);

  EngineApp& app_;
  const std::string store_url_;
  const double piece_bytes_;
  std::unique_ptr<http::Client> client_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace cornelplank::standins::engine

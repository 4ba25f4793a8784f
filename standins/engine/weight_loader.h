#pragma once

#include <atomic>
#include <string>
#include <thread>

#include "standins/engine/engine_app.h"

namespace cornelplank::standins::engine {

/// Simulates the download of the models that an engine was ordered to load from the platform's weight store,
/// at the rate that the store grants but not faster than the engine's own loading rate. Runs on a thread of
/// its own.
class WeightLoader {
 public:
  /// `store_url` is the platform's base URL; `gb_per_second` is the engine's own loading rate.
  WeightLoader(EngineApp& app, std::string store_url, double gb_per_second);
  ~WeightLoader();
  WeightLoader(const WeightLoader&) = delete;
  WeightLoader& operator=(const WeightLoader&) = delete;

 private:
  void Run();
  /// Requests the next piece of a model and adds the bytes that the store grants to `fetched`. Returns
  /// whether the model is complete; a failed or refused request returns false and adds nothing.
  bool FetchPiece(const ModelVersion& model, double* fetched);

  EngineApp& app_;
  const std::string store_url_;
  const double piece_bytes_;  // bytes to request at a time
  std::unique_ptr<http::Client> client_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace cornelplank::standins::engine

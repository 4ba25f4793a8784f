#include <iostream>

#include "libs/base/base.h"
#include "standins/common/program.h"
#include "standins/engine/engine_app.h"
#include "standins/engine/weight_loader.h"

namespace {

namespace options = boost::program_options;
using cornelplank::base::Duration;
using cornelplank::standins::engine::EngineOptions;
using cornelplank::standins::engine::ModelVersion;

options::options_description ProgramOptions() {
  options::options_description own("Engine");
  own.add_options()("name", options::value<std::string>()->default_value("engine"), "name of the engine")(
      "region", options::value<std::string>()->default_value(""), "region name that the log repeats")(
      "model", options::value<std::vector<std::string>>()->composing(),
      "model loaded at the start, NAME or NAME@VERSION; repeatable")(
      "slots", options::value<unsigned>()->default_value(8), "requests that run at once")(
      "max-queue", options::value<unsigned>()->default_value(256), "requests that wait at most")(
      "ms-per-token", options::value<double>()->default_value(20), "step time with one running request")(
      "batch-slowdown", options::value<double>()->default_value(0.05),
      "growth of the step time for each further running request")(
      "prefill-us-per-token", options::value<double>()->default_value(200),
      "prefill time for each prompt token that is not cached")(
      "cache-tokens", options::value<uint64_t>()->default_value(200000), "size of the prefix cache")(
      "report-lag", options::value<unsigned>()->default_value(0), "lag of load reports in ms")(
      "cache-event-lag", options::value<unsigned>()->default_value(0), "lag of cache events in ms")(
      "cache-event-loss", options::value<double>()->default_value(0), "share of cache events lost, 0 to 1")(
      "kv-bytes-per-token", options::value<uint64_t>()->default_value(64), "size of exported KV cache")(
      "ignore-fence", "take orders with an old fence")(
      "orderer", options::value<std::vector<std::string>>()->composing(),
      "who may give orders; repeatable; without it anyone may")(
      "model-gb", options::value<double>()->default_value(1), "size of a model")(
      "weight-store", options::value<std::string>(),
      "base URL of the platform whose weight store serves the loads")(
      "load-gb-s", options::value<double>()->default_value(1), "loading rate")(
      "seed", options::value<uint64_t>()->default_value(1), "seed of the lost cache events")(
      "leaving", "start in the state leaving")("drain-ms", options::value<unsigned>()->default_value(5000),
                                               "how long work may take after SIGTERM");
  return own;
}

ModelVersion ParseModel(const std::string& text) {
  const size_t at = text.find('@');
  return at == std::string::npos ? ModelVersion{text, "1"}
                                 : ModelVersion{text.substr(0, at), text.substr(at + 1)};
}

EngineOptions ReadOptions(const options::variables_map& values) {
  EngineOptions engine;
  engine.name = values["name"].as<std::string>();
  engine.region = values["region"].as<std::string>();
  engine.slots = values["slots"].as<unsigned>();
  engine.max_queue = values["max-queue"].as<unsigned>();
  engine.ms_per_token = values["ms-per-token"].as<double>();
  engine.batch_slowdown = values["batch-slowdown"].as<double>();
  engine.prefill_us_per_token = values["prefill-us-per-token"].as<double>();
  engine.cache_tokens = values["cache-tokens"].as<uint64_t>();
  engine.report_lag = std::chrono::milliseconds{values["report-lag"].as<unsigned>()};
  engine.cache_event_lag = std::chrono::milliseconds{values["cache-event-lag"].as<unsigned>()};
  engine.cache_event_loss = values["cache-event-loss"].as<double>();
  engine.seed = values["seed"].as<uint64_t>();
  engine.leaving = values.contains("leaving");
  engine.orders.ignore_fence = values.contains("ignore-fence");
  engine.orders.model_gb = values["model-gb"].as<double>();
  engine.orders.external_loading = values.contains("weight-store");
  engine.orders.load_gb_s = values["load-gb-s"].as<double>();
  if (values.contains("orderer")) engine.orders.orderers = values["orderer"].as<std::vector<std::string>>();
  if (values.contains("model")) {
    for (const std::string& model : values["model"].as<std::vector<std::string>>()) {
      engine.orders.models.push_back(ParseModel(model));
    }
  }
  return engine;
}

bool IsValid(const EngineOptions& engine) {
  return engine.slots > 0 && engine.ms_per_token >= 0 && engine.batch_slowdown >= 0 &&
         engine.prefill_us_per_token >= 0 && engine.cache_event_loss >= 0 && engine.cache_event_loss <= 1 &&
         engine.orders.load_gb_s > 0 && engine.orders.model_gb >= 0;
}

}  // namespace

int main(int argc, char** argv) {
  using cornelplank::standins::engine::EngineApp;
  using cornelplank::standins::engine::WeightLoader;
  const auto parsed = cornelplank::standins::ParseOptions(
      argc, argv, "standin-engine: a model engine for tests, see docs/standins.md", ProgramOptions());
  if (parsed.exit_code) return *parsed.exit_code;
  const EngineOptions engine = ReadOptions(parsed.values);
  if (!IsValid(engine)) {
    std::cerr << "an option is out of its range; slots and load-gb-s must be above 0, shares from 0 to 1, "
                 "times and sizes not negative\n";
    return 2;
  }
  if (parsed.check_only) return 0;
  cornelplank::standins::BlockTerminationSignals();
  EngineApp app(engine, parsed.values["kv-bytes-per-token"].as<uint64_t>());
  std::optional<WeightLoader> loader;
  if (parsed.values.contains("weight-store")) {
    loader.emplace(app, parsed.values["weight-store"].as<std::string>(), engine.orders.load_gb_s);
  }
  cornelplank::standins::ServeHooks hooks;
  hooks.handler = [&app](const auto& request) { return app.Handle(request); };
  hooks.stop = [&app] { app.Leave(); };
  hooks.drain = std::chrono::milliseconds{parsed.values["drain-ms"].as<unsigned>()};
  return cornelplank::standins::Serve(parsed.values["listen"].as<std::string>(), hooks);
}

#include <iostream>

#include "apps/load/runner.h"
#include "standins/common/program.h"

namespace {

namespace options = boost::program_options;
using cornelplank::load::LoadOptions;

options::options_description LoadOptionDescriptions() {
  options::options_description descriptions("Load");
  descriptions.add_options()("url", options::value<std::vector<std::string>>()->composing(),
                             "base URL, http://IP:PORT; repeatable")(
      "entry-list", "ask the URLs for the entry VMs, and use the first entry that works")(
      "rate", options::value<double>()->default_value(0), "open-loop arrivals per second")(
      "streams", options::value<unsigned>()->default_value(0), "streams that are kept open")(
      "duration-ms", options::value<unsigned>()->default_value(10000), "time during which requests are sent")(
      "seed", options::value<uint64_t>()->default_value(1), "seed of arrivals and prompts")(
      "key", options::value<std::string>()->default_value(""), "bearer key of the client")(
      "class", options::value<std::string>()->default_value(""), "priority class")(
      "home", options::value<std::string>()->default_value(""), "home region of the data")(
      "model", options::value<std::string>()->default_value("m"), "model")(
      "prompt-tokens", options::value<uint64_t>()->default_value(200), "mean length of a prompt")(
      "max-tokens", options::value<uint64_t>()->default_value(64), "mean length of an answer")(
      "spread", options::value<double>()->default_value(0), "share by which lengths vary to either side")(
      "prefix-share", options::value<double>()->default_value(0.5),
      "share of a prompt that others have, too")("prefixes", options::value<unsigned>()->default_value(16),
                                                 "different shared prefixes")(
      "stream-share", options::value<double>()->default_value(1), "share of requests that ask for a stream")(
      "timeout-ms", options::value<unsigned>()->default_value(30000), "time limit of a request")(
      "max-in-flight", options::value<unsigned>()->default_value(2000),
      "requests in flight; arrivals beyond are counted as not-sent")("json", "print the result as JSON");
  return descriptions;
}

LoadOptions ReadOptions(const options::variables_map& values) {
  LoadOptions load;
  if (values.contains("url")) load.urls = values["url"].as<std::vector<std::string>>();
  load.use_entry_list = values.contains("entry-list");
  load.rate = values["rate"].as<double>();
  load.streams = values["streams"].as<unsigned>();
  load.duration = std::chrono::milliseconds{values["duration-ms"].as<unsigned>()};
  load.seed = values["seed"].as<uint64_t>();
  load.key = values["key"].as<std::string>();
  load.client_class = values["class"].as<std::string>();
  load.home = values["home"].as<std::string>();
  load.model = values["model"].as<std::string>();
  load.prompt_tokens = values["prompt-tokens"].as<uint64_t>();
  load.max_tokens = values["max-tokens"].as<uint64_t>();
  load.spread = values["spread"].as<double>();
  load.prefix_share = values["prefix-share"].as<double>();
  load.prefixes = values["prefixes"].as<unsigned>();
  load.stream_share = values["stream-share"].as<double>();
  load.timeout = std::chrono::milliseconds{values["timeout-ms"].as<unsigned>()};
  load.max_in_flight = values["max-in-flight"].as<unsigned>();
  return load;
}

bool IsShare(double value) { return value >= 0 && value <= 1; }

bool IsValid(const LoadOptions& load) {
  return !load.urls.empty() && load.rate >= 0 && (load.rate > 0 || load.streams > 0) && load.prefixes > 0 &&
         IsShare(load.spread) && IsShare(load.prefix_share) && IsShare(load.stream_share) &&
         load.prompt_tokens > 0 && load.max_tokens > 0;
}

}  // namespace

int main(int argc, char** argv) {
  const auto parsed = cornelplank::standins::ParseOptions(
      argc, argv, "cornelplank-load: a load generator that checks each answer, see docs/load.md",
      LoadOptionDescriptions(), false);
  if (parsed.exit_code) return *parsed.exit_code;
  const LoadOptions load = ReadOptions(parsed.values);
  if (!IsValid(load)) {
    std::cerr
        << "give at least one --url and a --rate or --streams; shares are from 0 to 1, lengths above 0\n";
    return 2;
  }
  if (parsed.check_only) return 0;
  cornelplank::standins::BlockTerminationSignals();
  cornelplank::load::Runner runner(load);
  runner.Start();
  while (!runner.finished()) {
    if (cornelplank::standins::WaitForTermination(std::chrono::milliseconds{50})) runner.StopSending();
  }
  runner.Join();
  const auto& stats = runner.stats();
  if (parsed.values.contains("json")) {
    std::cout << stats.Json(runner.seconds()).dump() << std::endl;
  } else {
    std::cout << stats.Text(runner.seconds()) << std::flush;
  }
  if (stats.Violations() == 0) return 0;
  std::cerr << stats.Violations() << " answers were wrong or cut off without a mark\n";
  return 1;
}

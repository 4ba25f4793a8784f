#include <fstream>
#include <iostream>
#include <iterator>

#include "standins/common/program.h"
#include "standins/platform/platform_app.h"

namespace {

namespace options = boost::program_options;
using cornelplank::standins::platform::PlatformApp;
using cornelplank::standins::platform::PlatformOptions;

options::options_description OwnOptions() {
  options::options_description own("Platform");
  own.add_options()("snapshot", options::value<std::string>(), "file of the first configuration snapshot")(
      "clients", options::value<std::string>(), "file of the client directory")(
      "vms", options::value<std::string>(), "file of the VM list")(
      "vm-lag", options::value<unsigned>()->default_value(0), "lag of the VM list in ms")(
      "log-keep", options::value<size_t>()->default_value(10000), "log entries kept")(
      "rate", options::value<double>()->default_value(2000), "reads per second; 0 means no limit")(
      "burst", options::value<double>()->default_value(2000), "reads that may come at once")(
      "weights-mb-s", options::value<double>()->default_value(0),
      "rate of the weight store; 0 means no limit")("model-gb", options::value<double>()->default_value(1),
                                                    "size of a model")(
      "drain-ms", options::value<unsigned>()->default_value(2000), "how long reads may take after SIGTERM");
  return own;
}

bool PublishFile(PlatformApp& app, const options::variables_map& values, const char* option,
                 const char* operator_path) {
  if (!values.contains(option)) return true;
  const std::string path = values[option].as<std::string>();
  std::ifstream file(path);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  std::string problem = "the file can't be read";
  if (file && app.Publish(operator_path, text, &problem)) return true;
  std::cerr << path << ": " << problem << "\n";
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  const auto parsed = cornelplank::standins::ParseOptions(
      argc, argv, "standin-platform: the platform that cornelplank reads, see docs/standins.md",
      OwnOptions());
  if (parsed.exit_code) return *parsed.exit_code;
  const auto& values = parsed.values;
  PlatformOptions platform;
  platform.reads_per_second = values["rate"].as<double>();
  platform.read_burst = values["burst"].as<double>();
  platform.kept_entries = values["log-keep"].as<size_t>();
  platform.vm_lag = std::chrono::milliseconds{values["vm-lag"].as<unsigned>()};
  platform.weights_bytes_per_second = values["weights-mb-s"].as<double>() * 1e6;
  platform.model_bytes = values["model-gb"].as<double>() * 1e9;
  PlatformApp app(platform);
  if (!PublishFile(app, values, "snapshot", "/operator/config/snapshot") ||
      !PublishFile(app, values, "clients", "/operator/clients") ||
      !PublishFile(app, values, "vms", "/operator/vms")) {
    return 2;
  }
  if (parsed.check_only) return 0;
  cornelplank::standins::BlockTerminationSignals();
  cornelplank::standins::ServeHooks hooks;
  hooks.handler = [&app](const auto& request) { return app.Handle(request); };
  hooks.stop = [&app] { app.Stop(); };
  hooks.drain = std::chrono::milliseconds{values["drain-ms"].as<unsigned>()};
  return cornelplank::standins::Serve(values["listen"].as<std::string>(), hooks);
}

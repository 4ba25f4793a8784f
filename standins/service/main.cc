#include "standins/common/program.h"
#include "standins/service/service_app.h"

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  options::options_description own("Service");
  own.add_options()("name", options::value<std::string>()->default_value("service"), "name of the service")(
      "region", options::value<std::string>()->default_value(""), "region name that the log repeats")(
      "delay", options::value<unsigned>()->default_value(20), "time in ms before a call executes")(
      "drain-ms", options::value<unsigned>()->default_value(5000), "how long calls may take after SIGTERM");
  const auto parsed = cornelplank::standins::ParseOptions(
      argc, argv, "standin-service: a plain service for tests, see docs/standins.md", own);
  if (parsed.exit_code) return *parsed.exit_code;
  if (parsed.check_only) return 0;
  cornelplank::standins::BlockTerminationSignals();
  cornelplank::standins::service::ServiceApp app(
      parsed.values["name"].as<std::string>(), parsed.values["region"].as<std::string>(),
      std::chrono::milliseconds{parsed.values["delay"].as<unsigned>()});
  cornelplank::standins::ServeHooks hooks;
  hooks.handler = [&app](const auto& request) { return app.Handle(request); };
  hooks.stop = [&app] { app.Leave(); };
  hooks.drain = std::chrono::milliseconds{parsed.values["drain-ms"].as<unsigned>()};
  return cornelplank::standins::Serve(parsed.values["listen"].as<std::string>(), hooks);
}

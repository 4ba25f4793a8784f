#include <unistd.h>

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

#include "libs/base/base.h"
#include "libs/gateway/gateway.h"

namespace {

namespace po = boost::program_options;

constexpr int kUsageError = 2;  // exit code for invalid options or settings

/// Waits for one of `signals`, SIGTERM and SIGINT, which all threads block.
void WaitForTermination(const sigset_t& signals) {
  int signal = 0;
  sigwait(&signals, &signal);
}

}  // namespace

int main(int argc, char** argv) {
  po::options_description options("cornelplank-gateway --settings FILE");
  options.add_options()("help", "print this text")("version", "print the version")(
      "check", "check the settings and exit")("settings", po::value<std::string>(), "INI file of this VM");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n";
    return kUsageError;
  }
  if (values.count("help") > 0) {
    std::cout << options;
    return 0;
  }
  if (values.count("version") > 0) {
    std::cout << "cornelplank-gateway " << cornelplank::base::kVersion << "\n";
    return 0;
  }
  if (values.count("settings") == 0) {
    std::cerr << "--settings is required; --help prints the options\n";
    return kUsageError;
  }
  std::vector<cornelplank::base::SettingsFault> faults;
  const auto settings =
      cornelplank::gateway::LoadGatewaySettings(values["settings"].as<std::string>(), &faults);
  if (!settings) {
    for (const auto& fault : faults) std::cerr << fault.Text() << "\n";
    return kUsageError;
  }
  if (values.count("check") > 0) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  cornelplank::base::InitLogging(argv[0]);
  cornelplank::base::LogFatalSignals(STDERR_FILENO);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  cornelplank::gateway::GatewayReason reason;
  const auto gateway = cornelplank::gateway::Gateway::Start(*settings, &reason);
  if (!gateway) {
    std::cerr << reason.detail << "\n";
    return 1;
  }
  std::cout << "listening on clients " << gateway->clients_port() << " peers " << gateway->peers_port()
            << " operators " << gateway->operators_port() << std::endl;
  WaitForTermination(signals);
  const bool completed = gateway->Drain();
  return completed ? 0 : 1;
}

#include "standins/common/program.h"

#include <pthread.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>

#include "libs/base/base.h"

namespace cornelplank::standins {
namespace {

namespace options = boost::program_options;

sigset_t TerminationSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

ParsedOptions ParseOptions(int argc, char** argv, const std::string& summary,
                           const options::options_description& own, bool serves) {
  options::options_description all(summary);
  all.add_options()("help", "print this help")("version", "print the version")(
      "check", "validate the options and the files that they name, then end");
  if (serves && own.find_nothrow("listen", false) == nullptr) {
    all.add_options()("listen", options::value<std::string>()->default_value("127.0.0.1:0"),
                      "IP:PORT to listen on; port 0 means any free port");
  }
  all.add(own);
  ParsedOptions parsed;
  try {
    options::store(options::parse_command_line(argc, argv, all), parsed.values);
    options::notify(parsed.values);
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n";
    parsed.exit_code = 2;
    return parsed;
  }
  if (parsed.values.contains("help")) {
    std::cout << all;
    parsed.exit_code = 0;
  } else if (parsed.values.contains("version")) {
    std::cout << base::kVersion << "\n";
    parsed.exit_code = 0;
  }
  parsed.check_only = parsed.values.contains("check");
  return parsed;
}

void BlockTerminationSignals() {
  const sigset_t signals = TerminationSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // Writing to a connection that the peer has closed must return an error, not end the process.
  struct sigaction ignore {};
  ignore.sa_handler = SIG_IGN;
  sigaction(SIGPIPE, &ignore, nullptr);
}

void WaitForTermination() {
  const sigset_t signals = TerminationSignals();
  int received = 0;
  sigwait(&signals, &received);
}

bool WaitForTermination(std::chrono::milliseconds limit) {
  const sigset_t signals = TerminationSignals();
  const timespec wait{limit.count() / 1000, (limit.count() % 1000) * 1000000};
  return sigtimedwait(&signals, nullptr, &wait) > 0;
}

void PrintListening(const std::string& address, unsigned port) {
  std::cout << "listening on " << address.substr(0, address.rfind(':')) << ":" << port << std::endl;
}

int Serve(const std::string& address, const ServeHooks& hooks) {
  http::ServerOptions server_options;
  server_options.address = address;
  server_options.max_body_bytes = hooks.max_body_bytes;
  // Longer than any test, since the server must not close a connection that a simulated fault keeps silent.
  server_options.idle_timeout = std::chrono::hours{1};
  http::HttpReason reason;
  const auto server = http::Server::Start(server_options, hooks.handler, &reason);
  if (!server) {
    std::cerr << "can't listen on " << address << ": " << reason.detail << "\n";
    return 1;
  }
  PrintListening(address, server->port());
  WaitForTermination();
  hooks.stop();
  if (server->WaitIdle(hooks.drain)) return 0;
  // Skips the server's destructor, which would wait for the remaining connections.
  std::cerr << "requests were still in progress at the end of the drain time\n";
  std::fflush(nullptr);
  std::_Exit(1);
}

}  // namespace cornelplank::standins

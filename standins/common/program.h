#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include <boost/program_options.hpp>

#include "libs/http/http.h"

namespace cornelplank::standins {

/// What to do after the command line was read.
struct ParsedOptions {
  std::optional<int> exit_code;  // set when the program should end at once
  bool check_only = false;       // set by --check: validate everything, then end with 0
  boost::program_options::variables_map values;
};

/// Reads the command line with the options of a program and the common ones (--help, --version, --check,
/// --listen unless `own` has it or the program does not serve). A fault in the command line is printed to
/// standard error and yields exit code 2.
ParsedOptions ParseOptions(int argc, char** argv, const std::string& summary,
                           const boost::program_options::options_description& own, bool serves = true);

/// The hooks of a server program.
struct ServeHooks {
  http::Handler handler;
  /// Called on SIGTERM or SIGINT: refuse new work and let the waiting handlers return.
  std::function<void()> stop = [] {};
  std::chrono::milliseconds drain{5000};  // how long requests in progress may take after that
  size_t max_body_bytes = 64UL << 20;
};

/// Blocks SIGTERM and SIGINT in this thread and all threads that it starts later. Call it first in main().
void BlockTerminationSignals();

/// Serves on `address` until SIGTERM or SIGINT, after printing "listening on IP:PORT" to standard output.
/// Returns the exit code of the program: 0 after a clean end, 1 when the address can't be had or when
/// requests were still in progress at the end of the drain time.
int Serve(const std::string& address, const ServeHooks& hooks);

/// Prints the line that says that the program serves on `port` of the host of `address`.
void PrintListening(const std::string& address, unsigned port);

/// Blocks until SIGTERM or SIGINT arrives.
void WaitForTermination();

/// Waits at most `limit` for SIGTERM or SIGINT. True when one arrived.
bool WaitForTermination(std::chrono::milliseconds limit);

}  // namespace cornelplank::standins

#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include <boost/program_options.hpp>

#include "libs/http/http.h"

namespace cornelplank::standins {

/// The result of reading a program's command line.
struct ParsedOptions {
  std::optional<int>
      exit_code;  // set when the program must exit at once: 0 after --help or --version, 2 on an error
  bool check_only = false;  // set by --check: validate the options and files, then exit with 0
  boost::program_options::variables_map values;
};

/// Parses the command line with the options of a program, `own`, and the common ones: --help, --version and
/// --check, and --listen if the program serves requests and `own` does not define it. Prints the
/// help, headed by `summary`, or the version if asked for. An error in the command line is printed to
/// standard error and sets exit code 2.
ParsedOptions ParseOptions(int argc, char** argv, const std::string& summary,
                           const boost::program_options::options_description& own, bool serves = true);

/// The callbacks and limits of a server program; see Serve.
struct ServeHooks {
  http::Handler handler;
  /// Called on SIGTERM or SIGINT. It must refuse new work and make blocked handlers return.
  std::function<void()> stop = [] {};
  std::chrono::milliseconds drain{5000};  // how long requests in progress may take after the signal
  size_t max_body_bytes = 64UL << 20;
};

/// Blocks SIGTERM and SIGINT in this thread and all threads that it starts later, so that only
/// WaitForTermination receives them, and ignores SIGPIPE. Call it first in main().
void BlockTerminationSignals();

/// Serves on `address` until SIGTERM or SIGINT, after printing "listening on IP:PORT" to standard output.
/// Returns the exit code of the program: 0 after all requests have ended, 1 if it can't listen on the
/// address. If requests are still in progress at the end of the drain time, ends the process with exit
/// code 1.
int Serve(const std::string& address, const ServeHooks& hooks);

/// Prints "listening on HOST:PORT" to standard output, with the host of `address` (IP:PORT) and the bound
/// `port`.
void PrintListening(const std::string& address, unsigned port);

/// Blocks until SIGTERM or SIGINT arrives.
void WaitForTermination();

/// Waits at most `limit` for SIGTERM or SIGINT. Returns whether one arrived.
bool WaitForTermination(std::chrono::milliseconds limit);

}  // namespace cornelplank::standins

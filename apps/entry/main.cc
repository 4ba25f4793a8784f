#include <malloc.h>
#include <unistd.h>

#include <boost/program_options.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

#include "apps/entry/entry_vm.h"

namespace {

namespace po = boost::program_options;

constexpr int kUsageError = 2;
constexpr int kMappedBlockBytes = 128 << 10;
// Environment variable with the path of the settings file; used when `--settings` is not given.
constexpr char kSettingsVariable[] = "CORNELPLANK_NODE_FILE";
// For so long the VM tries to bind its addresses: the process before it may still hold them, and the address
// of a machine that has just booted may not be configured yet.
constexpr std::chrono::seconds kBindTime{5};
// For so long settings that are faulty or missing are read again: the platform may be writing the file.
constexpr std::chrono::seconds kSettingsTime{2};
constexpr std::chrono::milliseconds kRetryInterval{100};

namespace net = cornelplank::net;
using cornelplank::entry::EntrySettings;
using cornelplank::entry::EntryVm;

/// Loads the settings. Returns no value, after the faults have been printed, when they stay faulty until
/// `limit`.
std::optional<EntrySettings> LoadSettings(const std::string& path,
                                          std::chrono::steady_clock::time_point limit) {
  while (true) {
    std::vector<cornelplank::base::SettingsFault> faults;
    auto settings = cornelplank::entry::LoadEntrySettings(path, &faults);
    if (settings) return settings;
    if (std::chrono::steady_clock::now() >= limit) {
      for (const auto& fault : faults) std::cerr << fault.Text() << "\n";
      return std::nullopt;
    }
    cornelplank::base::LogEvent("start_delayed").Text("problem", faults.front().Text());
    std::this_thread::sleep_for(kRetryInterval);
  }
}

/// Runs the VM until it stops. Returns the exit status.
int RunVm(const std::string& settings_path, const EntrySettings& settings) {
  const auto limit = std::chrono::steady_clock::now() + kBindTime;
  while (true) {
    net::asio::io_context loop(1);
    std::string problem;
    const auto vm = EntryVm::Start(loop, settings_path, settings, &problem);
    if (vm) {
      loop.run();
      // Suspended coroutines may still hold connections; the process exits without destroying them.
      std::_Exit(0);
    }
    if (std::chrono::steady_clock::now() >= limit) {
      std::cerr << problem << "\n";
      return 1;
    }
    cornelplank::base::LogEvent("start_delayed").Text("problem", problem);
    std::this_thread::sleep_for(kRetryInterval);
  }
}

}  // namespace

int main(int argc, char** argv) {
  cornelplank::base::LogFatalSignals(STDOUT_FILENO);
  // Blocks from this size on are mapped and unmapped singly, so that a long body returns its memory when it
  // ends. Without the call the threshold would rise to the size of the first block that is freed.
  mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);  // a log file that has reached the limit of its size costs lines only
  std::signal(SIGHUP, SIG_IGN);   // until the VM handles it; the settings are read after this
  po::options_description options("cornelplank-entry [--settings FILE]");
  options.add_options()("help", "print this text")("version", "print the version")(
      "check", "check the settings and exit")("settings", po::value<std::string>(),
                                              "INI file of this VM; default: $CORNELPLANK_NODE_FILE");
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
    std::cout << "cornelplank-entry " << cornelplank::base::kVersion << "\n";
    return 0;
  }
  const char* variable = std::getenv(kSettingsVariable);
  if (values.count("settings") == 0 && variable == nullptr) {
    std::cerr << "--settings or $" << kSettingsVariable << " is required; --help prints the options\n";
    return kUsageError;
  }
  const std::string path = values.count("settings") > 0 ? values["settings"].as<std::string>() : variable;
  const bool check = values.count("check") > 0;
  const auto now = std::chrono::steady_clock::now();
  const auto settings = LoadSettings(path, check ? now : now + kSettingsTime);
  if (!settings) return kUsageError;
  if (check) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  cornelplank::base::InitEventLog();
  return RunVm(path, *settings);
}

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::ctl {

/// Exit codes. They are part of the interface of the tool.
enum ExitCode : int {
  kDone = 0,         // the command succeeded; for check-patch and verdict: accepted
  kRefused = 1,      // the patch or entry is refused
  kUsage = 2,        // wrong options, settings or files; nothing was asked
  kUnavailable = 3,  // a system did not answer, answered with an error, or the answer can't be judged
};

/// What the tool was asked for. Options of the command line replace those of the settings file.
struct Options {
  std::string platform;               // http://IP:PORT of the platform
  std::string address;                // IP:PORT of a gateway's operators' listener
  std::vector<std::string> gateways;  // IP:PORT each
  std::string token;                  // of the operators' listeners

  std::string snapshot_file;
  std::string document_file;
  std::string patch_file;
  std::string author;
  std::optional<uint64_t> base;
  std::optional<uint64_t> seq;
  std::string output_file;

  std::string request;                 // id of the request to explain
  std::vector<std::string> log_files;  // of entry VMs; none: standard input

  std::string client;
  std::string priority_class;
  std::string model;
  std::string service;
  std::string home;
};

/// Reads the settings of section [ctl] into the options that are still empty. Returns all faults.
std::vector<base::SettingsFault> ReadSettings(base::Settings settings, std::string* token_file,
                                              Options* options);

/// Checks the forms of the platform's URL and of the addresses. Nothing, or a sentence about the first fault.
std::optional<std::string> FindOptionFault(const Options& options);

/// The whole file, or nothing.
std::optional<std::string> ReadFile(const std::string& path);

}  // namespace cornelplank::ctl

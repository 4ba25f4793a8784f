#pragma once

#include <optional>
#include <string>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::ctl {

/// Exit codes of the tool. Scripts rely on them.
enum ExitCode : int {
  kDone = 0,         // the command succeeded; for check-patch and verdict: accepted
  kRefused = 1,      // the patch or entry is refused
  kUsage = 2,        // wrong options or settings, or a file that is invalid, unreadable or can't be written
  kUnavailable = 3,  // a system did not answer, answered with an error, or its answer can't be used
};

/// The options of all commands; unset ones are empty. The command line takes precedence over the settings
/// file.
struct Options {
  std::string platform;               // http://IP:PORT
  std::string address;                // IP:PORT of a gateway's operators' listener
  std::vector<std::string> gateways;  // IP:PORT of the operators' listener of each
  std::string token;                  // bearer token of the operators' listeners

  std::string snapshot_file;
  std::string document_file;
  std::string patch_file;
  std::string author;            // partner that publishes the patch
  std::optional<uint64_t> base;  // version number that the patch was written against
  std::optional<uint64_t> seq;   // verdict: the entry; snapshot: the last entry to apply
  std::string output_file;       // of the snapshot; empty for standard output

  std::string request_id;              // of the request to explain
  std::vector<std::string> log_files;  // of entry VMs; empty for standard input

  // The request whose routing a gateway explains.
  std::string client;
  std::string priority_class;
  std::string model;
  std::string service;
  std::string home;  // region of the data
};

/// Reads the settings of section [ctl] into `token_file` and those `options` that are still empty. Returns
/// all faults of the file; none means success.
std::vector<base::SettingsFault> ReadSettings(base::Settings settings, std::string* token_file,
                                              Options* options);

/// Checks that the platform's URL and all addresses are well-formed. Returns nothing when they are, else a
/// message about the first one that is not.
std::optional<std::string> FindOptionFault(const Options& options);

/// The content of a file, or nothing when it can't be read.
std::optional<std::string> ReadFile(const std::string& path);

}  // namespace cornelplank::ctl

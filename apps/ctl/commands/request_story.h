#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

#include "apps/ctl/commands/log_line.h"

namespace cornelplank::ctl {

/// Collects what the logs of entry VMs say of one request, and what each VM knew at the time.
class RequestStory {
 public:
  explicit RequestStory(std::string request) : request_(std::move(request)) {}

  /// Reads a log. `file` names its VM where the lines don't.
  void Read(std::istream& log, const std::string& file);
  /// The lines of the request in order of time, each with the configuration in force at its VM, and, where
  /// they are known, what was heard of the replica or region that it names and of the store. Empty when no
  /// line names the request.
  std::string Text() const;

 private:
  /// Lines that change what a VM believes, and the request's own.
  std::vector<LogLine> lines_;
  std::string request_;
};

}  // namespace cornelplank::ctl

#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

#include "apps/ctl/commands/log_line.h"

namespace cornelplank::ctl {

/// Collects the log lines of entry VMs about one request, together with the configuration, replica and store
/// state that each VM had logged by then.
class RequestTimeline {
 public:
  explicit RequestTimeline(std::string request_id) : request_id_(std::move(request_id)) {}

  /// Reads all lines of a log. `file` is the source of lines without a VM name.
  void Read(std::istream& log, const std::string& file);
  /// The request's lines in order of time. Each is followed by the last state that its VM had logged: the
  /// configuration in force, the store, the VM's own start or stop, and the replica or region that the line
  /// names. Parts that were not logged are left out. Empty when no line names the request.
  std::string Text() const;

 private:
  /// The request's lines and those that change the state of a VM.
  std::vector<LogLine> lines_;
  std::string request_id_;
};

}  // namespace cornelplank::ctl

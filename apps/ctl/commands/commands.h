#pragma once

#include <istream>
#include <ostream>
#include <string>

#include "apps/ctl/commands/options.h"
#include "apps/ctl/commands/transport.h"

namespace cornelplank::ctl {

/// Where a command writes: results to `out`, errors to `err`.
struct Output {
  std::ostream& out;
  std::ostream& err;
};

/// Runs the command `name`. Returns an ExitCode.
int RunCommand(const std::string& name, const Options& options, Transport* transport, const Output& output);

/// `status`, `dump` and `explain`: prints the JSON answer of a gateway as it came.
int RunQuery(const std::string& name, const Options& options, Transport* transport, const Output& output);
/// `explain ID`: prints what the logs of entry VMs (files, or `input`) say of a request.
int RunExplainRequest(const Options& options, std::istream& input, const Output& output);
/// `check-patch`: judges a patch against a snapshot file, a document file or the platform's head.
int RunCheckPatch(const Options& options, Transport* transport, const Output& output);
/// `verdict SEQ`: judges a published entry and asks the gateways where it is in force.
int RunVerdict(const Options& options, Transport* transport, const Output& output);
/// `snapshot`: folds the published log into a snapshot.
int RunSnapshot(const Options& options, Transport* transport, const Output& output);

}  // namespace cornelplank::ctl

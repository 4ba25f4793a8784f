#pragma once

#include <istream>
#include <ostream>
#include <string>

#include "apps/ctl/commands/options.h"
#include "apps/ctl/commands/transport.h"

namespace cornelplank::ctl {

/// The streams that a command writes to: results to `out`, errors to `err`.
struct Output {
  std::ostream& out;
  std::ostream& err;
};

/// Runs the command `name`. Returns an ExitCode, as all functions below; kUsage for an unknown name.
int RunCommand(const std::string& name, const Options& options, Transport* transport, const Output& output);

/// `status`, `dump` and `explain`: prints the JSON response body of a gateway unchanged.
int RunQuery(const std::string& name, const Options& options, Transport* transport, const Output& output);
/// `explain ID`: prints the log lines of entry VMs about one request. Reads `options.log_files`, or `input`
/// when there are none. Returns kUnavailable when no line names the request.
int RunExplainRequest(const Options& options, std::istream& input, const Output& output);
/// `check-patch`: checks whether a patch would be accepted on top of a snapshot file, a document file or the
/// platform's newest configuration.
int RunCheckPatch(const Options& options, Transport* transport, const Output& output);
/// `verdict SEQ`: computes whether a published log entry was accepted, and asks the gateways whether they
/// have applied it.
int RunVerdict(const Options& options, Transport* transport, const Output& output);
/// `snapshot`: writes a snapshot of the configuration that results from the published log, or the first
/// snapshot of a deployment from a document file.
int RunSnapshot(const Options& options, Transport* transport, const Output& output);

}  // namespace cornelplank::ctl

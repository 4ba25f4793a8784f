#include <cstdio>
#include <fstream>

#include "apps/ctl/commands/commands.h"
#include "apps/ctl/commands/published_log.h"
#include "libs/base/base.h"
#include "libs/config/config.h"

namespace cornelplank::ctl {
namespace {

/// Builds the first snapshot of a deployment from a document file. Seq and version are 1, because peers read
/// 0 as "no configuration"; the digest is that of the document. On failure prints the reason and returns
/// nothing.
std::optional<config::Snapshot> ReadFirstSnapshot(const std::string& file, const Output& output) {
  const auto text = ReadFile(file);
  if (!text) {
    output.err << file << " can't be read\n";
    return std::nullopt;
  }
  config::ConfigReason reason;
  config::Faults faults;
  auto document = config::ParseDocument(*text, config::kNewestFormat, &reason, &faults);
  if (document) {
    const std::string digest = base::Digest128(config::WriteDocument(*document));
    return config::Snapshot{{1, 1, digest}, *std::move(document)};
  }
  output.err << file << " is not valid (" << config::CodeName(reason.code) << ")\n";
  if (faults.empty()) output.err << "  " << reason.detail << "\n";
  for (const auto& fault : faults) output.err << "  " << fault.Text() << "\n";
  return std::nullopt;
}

/// Writes a temporary file and renames it to `file`, so that a failed write leaves the old content. Returns
/// false when either step fails.
bool WriteAtomically(const std::string& file, const std::string& text) {
  const std::string temporary = file + ".new";
  {
    std::ofstream stream(temporary, std::ios::binary | std::ios::trunc);
    stream << text << "\n";
    stream.close();
    if (!stream) return false;
  }
  return std::rename(temporary.c_str(), file.c_str()) == 0;
}

}  // namespace

int RunSnapshot(const Options& options, Transport* transport, const Output& output) {
  if (options.platform.empty() == options.document_file.empty()) {
    output.err << "snapshot needs one of --platform URL and --document FILE\n";
    return kUsage;
  }
  std::optional<config::Snapshot> snapshot;
  if (!options.document_file.empty()) {
    snapshot = ReadFirstSnapshot(options.document_file, output);
    if (!snapshot) return kUsage;
  } else {
    std::string error;
    const auto store = PublishedLog(transport, options.platform)
                           .Fold(
                               options.seq, [](const auto&, const auto&) {}, &error);
    if (!store) {
      output.err << error << "\n";
      return kUnavailable;
    }
    if (options.seq && store->version().seq != *options.seq) {
      output.err << "the configuration at seq " << *options.seq << " can't be had; the platform gives seq "
                 << store->version().seq << "\n";
      return kUnavailable;
    }
    snapshot = store->ToSnapshot();
  }
  const std::string text = config::WriteSnapshot(*snapshot);
  if (options.output_file.empty()) {
    output.out << text << "\n";
    return kDone;
  }
  if (!WriteAtomically(options.output_file, text)) {
    output.err << options.output_file << " can't be written\n";
    return kUsage;
  }
  output.out << "seq " << snapshot->version.seq << ", version " << snapshot->version.number << ", digest "
             << snapshot->version.digest << " written to " << options.output_file << "\n";
  return kDone;
}

int RunCommand(const std::string& name, const Options& options, Transport* transport, const Output& output) {
  if (name == "status" || name == "dump" || name == "explain") {
    return RunQuery(name, options, transport, output);
  }
  if (name == "check-patch") return RunCheckPatch(options, transport, output);
  if (name == "verdict") return RunVerdict(options, transport, output);
  if (name == "snapshot") return RunSnapshot(options, transport, output);
  output.err << "unknown command '" << name << "'; --help lists the commands\n";
  return kUsage;
}

}  // namespace cornelplank::ctl

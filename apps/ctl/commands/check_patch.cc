#include <nlohmann/json.hpp>

#include "apps/ctl/commands/commands.h"
#include "apps/ctl/commands/published_log.h"
#include "libs/config/config.h"

namespace cornelplank::ctl {
namespace {

using config::ConfigReason;
using config::Faults;
using config::Snapshot;

/// The patch to check, with the author and base that the patch file or the options name.
struct Proposal {
  std::string author;
  std::optional<uint64_t> base;  // version number that the patch was written against
  std::string patch_json;
};

/// Prints why a file is invalid. Returns kUsage, the exit code for it.
int PrintFaults(const std::string& file, const ConfigReason& reason, const Faults& faults,
                const Output& output) {
  output.err << file << " is not valid (" << config::CodeName(reason.code) << ")\n";
  if (faults.empty()) output.err << "  " << reason.detail << "\n";
  for (const auto& fault : faults) output.err << "  " << fault.Text() << "\n";
  return kUsage;
}

/// Reads the configuration that the patch is checked against: the platform's, or that of a snapshot or
/// document file. On failure prints the reason, sets `exit_code` and returns nothing.
std::optional<Snapshot> ReadCurrent(const Options& options, Transport* transport, const Output& output,
                                    int* exit_code) {
  ConfigReason reason;
  Faults faults;
  if (!options.platform.empty() && options.snapshot_file.empty() && options.document_file.empty()) {
    std::string error;
    const auto store = PublishedLog(transport, options.platform)
                           .Fold(
                               std::nullopt, [](const auto&, const auto&) {}, &error);
    if (store) return store->ToSnapshot();
    output.err << error << "\n";
    *exit_code = kUnavailable;
    return std::nullopt;
  }
  *exit_code = kUsage;
  const std::string& file = options.snapshot_file.empty() ? options.document_file : options.snapshot_file;
  const auto text = ReadFile(file);
  if (!text) {
    output.err << file << " can't be read\n";
    return std::nullopt;
  }
  if (!options.snapshot_file.empty()) {
    auto snapshot = config::ParseSnapshot(*text, config::kNewestFormat, &reason, &faults);
    if (!snapshot) PrintFaults(file, reason, faults, output);
    return snapshot;
  }
  auto document = config::ParseDocument(*text, config::kNewestFormat, &reason, &faults);
  if (document) return Snapshot{{}, *std::move(document)};
  PrintFaults(file, reason, faults, output);
  return std::nullopt;
}

/// Reads the patch file, which holds either the patch operations or an object with `author`, `base` and
/// `patch`.
/// `--author` and `--base` take precedence over the file. On failure prints the reason and returns nothing.
std::optional<Proposal> ReadProposal(const Options& options, const Output& output) {
  const auto text = ReadFile(options.patch_file);
  if (!text) {
    output.err << options.patch_file << " can't be read\n";
    return std::nullopt;
  }
  Proposal proposal{options.author, options.base, *text};
  const auto value = base::ParseJson(*text);
  if (value.is_object() && value.contains("patch")) {
    proposal.patch_json = value["patch"].dump();
    if (proposal.author.empty() && value.contains("author") && value["author"].is_string()) {
      proposal.author = value["author"];
    }
    if (!proposal.base && value.contains("base") && value["base"].is_number_unsigned()) {
      proposal.base = value["base"];
    }
  }
  if (!proposal.author.empty()) return proposal;
  output.err << "check-patch needs --author, or a patch file that names the author\n";
  return std::nullopt;
}

}  // namespace

int RunCheckPatch(const Options& options, Transport* transport, const Output& output) {
  const int source_count = (options.snapshot_file.empty() ? 0 : 1) + (options.document_file.empty() ? 0 : 1);
  if (options.patch_file.empty() || source_count > 1 || (source_count == 0 && options.platform.empty())) {
    output.err
        << "check-patch needs --patch FILE and one of --snapshot FILE, --document FILE and --platform URL\n";
    return kUsage;
  }
  const auto proposal = ReadProposal(options, output);
  if (!proposal) return kUsage;
  int exit_code = kDone;
  const auto current = ReadCurrent(options, transport, output, &exit_code);
  if (!current) return exit_code;

  const bool has_version = options.document_file.empty();
  const uint64_t current_version = current->version.number;
  const bool has_wrong_base = has_version && proposal->base && *proposal->base != current_version;
  const auto result = config::ApplyPatch(current->document, proposal->author, proposal->patch_json);
  if (result.reason.code == config::ConfigCode::kFormatUnknown) {
    output.err << "this version of the tool can't judge the patch: " << result.reason.detail << "\n";
    return kUnavailable;
  }
  if (!has_wrong_base && result.document) {
    output.out << "accepted";
    if (has_version) output.out << " against version " << current_version;
    output.out << "\n";
    return kDone;
  }
  output.out << "refused ("
             << config::CodeName(has_wrong_base ? config::ConfigCode::kBase : result.reason.code) << ")\n";
  if (has_wrong_base) {
    output.out << "  the patch names version " << *proposal->base << ", the current version is "
               << current_version << "\n";
  }
  for (const auto& fault : result.faults) output.out << "  " << fault.Text() << "\n";
  return kRefused;
}

}  // namespace cornelplank::ctl

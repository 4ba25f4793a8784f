#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "apps/ctl/commands/commands.h"
#include "apps/ctl/commands/published_log.h"
#include "libs/config/config.h"

namespace cornelplank::ctl {
namespace {

/// How many of a region's gateways have processed the entry.
struct RegionReport {
  int answered = 0;  // gateways that answered
  int reached = 0;   // gateways whose configuration includes the entry
};

/// How far a gateway has applied the log, from `region` and `config` {seq, version, digest} of its status.
struct ConfigPosition {
  std::string region;
  uint64_t seq = 0;
  std::string digest;
};

/// Asks the gateways for their configuration and prints where the entry is in force.
class InForceReport {
 public:
  InForceReport(const Options& options, Transport* transport, const config::ApplyResult& verdict,
                const Output& output)
      : options_(options), transport_(transport), verdict_(verdict), output_(output) {}

  /// Asks and prints. Returns false when a gateway did not answer or has another digest at the entry.
  bool Run() {
    bool all_agree = true;
    for (const std::string& gateway : options_.gateways) all_agree = CheckGateway(gateway) && all_agree;
    const char* entry_state = verdict_.accepted ? "in force" : "judged";
    for (const auto& [region, report] : regions_) {
      output_.out << "region " << region << ": " << (report.reached == report.answered ? "" : "not ")
                  << entry_state << (report.reached == report.answered ? "" : " everywhere") << " ("
                  << report.reached << " of " << report.answered << " gateways)\n";
    }
    return all_agree;
  }

 private:
  /// The position of a gateway; nothing, with a printed message, when it does not answer or its status can't
  /// be parsed.
  std::optional<ConfigPosition> ReadPosition(const std::string& gateway) {
    std::string error;
    const auto response = transport_->Get("http://" + gateway + "/status",
                                          {{"Authorization", "Bearer " + options_.token}}, &error);
    if (!response || response->status != 200) {
      output_.err << "gateway " << gateway << " gives no status: "
                  << (response ? "status " + std::to_string(response->status) + ": " + response->body : error)
                  << "\n";
      return std::nullopt;
    }
    try {
      const auto status = base::ParseJson(response->body);
      return ConfigPosition{status.at("region"), status.at("config").at("seq"),
                            status.at("config").at("digest")};
    } catch (const nlohmann::json::exception& fault) {
      output_.err << "gateway " << gateway << " gives a status that is not readable: " << fault.what()
                  << "\n";
      return std::nullopt;
    }
  }

  /// Prints the position of one gateway and counts it for its region. Returns false when it gives none, or
  /// has another digest at the entry: it then runs another configuration than the log gives.
  bool CheckGateway(const std::string& gateway) {
    const auto position = ReadPosition(gateway);
    if (!position) return false;
    RegionReport& report = regions_[position->region];
    ++report.answered;
    if (position->seq >= verdict_.version.seq) ++report.reached;
    output_.out << "gateway " << gateway << " (" << position->region << "): seq " << position->seq << "\n";
    if (position->seq != verdict_.version.seq || position->digest == verdict_.version.digest) return true;
    output_.err << "ALARM: gateway " << gateway << " has digest " << position->digest << " at seq "
                << position->seq << ", the published log gives " << verdict_.version.digest << "\n";
    return false;
  }

  const Options& options_;
  Transport* transport_;
  const config::ApplyResult& verdict_;
  const Output& output_;
  std::map<std::string, RegionReport> regions_;
};

}  // namespace

int RunVerdict(const Options& options, Transport* transport, const Output& output) {
  if (!options.seq || options.platform.empty()) {
    output.err << "verdict needs a sequence number and --platform URL\n";
    return kUsage;
  }
  if (!options.gateways.empty() && options.token.empty()) {
    output.err << "--gateways needs --token-file FILE\n";
    return kUsage;
  }
  std::optional<config::ApplyResult> verdict;
  std::string author;
  uint64_t base = 0;
  const auto keep_verdict = [&](const config::LogEntry& entry, const config::ApplyResult& entry_verdict) {
    if (entry.seq != *options.seq) return;
    verdict = entry_verdict;
    author = entry.author;
    base = entry.base;
  };
  std::string error;
  const auto store = PublishedLog(transport, options.platform).Fold(options.seq, keep_verdict, &error);
  if (!store) {
    output.err << error << "\n";
    return kUnavailable;
  }
  if (!verdict) {
    output.err << "entry " << *options.seq
               << (store->version().seq < *options.seq
                       ? " is not published; the head is "
                       : " can't be judged any more; the snapshot covers seq ")
               << store->version().seq << "\n";
    return kUnavailable;
  }
  output.out << "entry " << *options.seq << " by '" << author
             << "': " << (verdict->accepted ? "accepted" : "refused") << ", version "
             << verdict->version.number << ", digest " << verdict->version.digest << "\n";
  if (!verdict->accepted) {
    output.out << "  " << config::CodeName(verdict->reason.code) << ": " << verdict->reason.detail << "\n";
  }
  const bool all_agree = InForceReport(options, transport, *verdict, output).Run();
  if (!all_agree) return kUnavailable;
  return verdict->accepted ? kDone : kRefused;
}

}  // namespace cornelplank::ctl

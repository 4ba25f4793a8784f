#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "apps/ctl/commands/commands.h"
#include "apps/ctl/commands/published_log.h"
#include "libs/config/config.h"

namespace cornelplank::ctl {
namespace {

/// What one region's gateways said.
struct RegionReport {
  int asked = 0;
  int reached = 0;  // gateways that have judged the entry
};

/// The position of a gateway: `region` and `config` {seq, version, digest} of its status.
struct Position {
  std::string region;
  uint64_t seq = 0;
  std::string digest;
};

class InForceReport {
 public:
  InForceReport(const Options& options, Transport* transport, const config::ApplyResult& verdict,
                const Output& output)
      : options_(options), transport_(transport), verdict_(verdict), output_(output) {}

  /// False when a gateway did not answer or has another digest.
  bool Run() {
    bool complete = true;
    for (const std::string& gateway : options_.gateways) complete = Ask(gateway) && complete;
    const char* done = verdict_.accepted ? "in force" : "judged";
    for (const auto& [region, report] : regions_) {
      output_.out << "region " << region << ": " << (report.reached == report.asked ? "" : "not ") << done
                  << (report.reached == report.asked ? "" : " everywhere") << " (" << report.reached << " of "
                  << report.asked << " gateways)\n";
    }
    return complete;
  }

 private:
  std::optional<Position> ReadPosition(const std::string& gateway) {
    std::string error;
    const auto answer = transport_->Get("http://" + gateway + "/status",
                                        {{"Authorization", "Bearer " + options_.token}}, &error);
    if (!answer || answer->status != 200) {
      output_.err << "gateway " << gateway << " gives no status: "
                  << (answer ? "status " + std::to_string(answer->status) + ": " + answer->body : error)
                  << "\n";
      return std::nullopt;
    }
    try {
      const auto status = nlohmann::json::parse(answer->body);
      return Position{status.at("region"), status.at("config").at("seq"), status.at("config").at("digest")};
    } catch (const nlohmann::json::exception& fault) {
      output_.err << "gateway " << gateway << " gives a status that is not readable: " << fault.what()
                  << "\n";
      return std::nullopt;
    }
  }

  bool Ask(const std::string& gateway) {
    const auto position = ReadPosition(gateway);
    if (!position) return false;
    RegionReport& report = regions_[position->region];
    ++report.asked;
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
  const auto keep = [&](const config::LogEntry& entry, const config::ApplyResult& judged) {
    if (entry.seq != *options.seq) return;
    verdict = judged;
    author = entry.author;
    base = entry.base;
  };
  std::string error;
  const auto store = PublishedLog(transport, options.platform).Fold(options.seq, keep, &error);
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
  const bool complete = InForceReport(options, transport, *verdict, output).Run();
  if (!complete) return kUnavailable;
  return verdict->accepted ? kDone : kRefused;
}

}  // namespace cornelplank::ctl

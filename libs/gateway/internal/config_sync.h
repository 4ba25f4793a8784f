#pragma once

#include <string>

#include "libs/gateway/internal/shared_state.h"
#include "libs/wire/wire.h"

namespace cornelplank::gateway {

/// Applies configuration received from the platform or a peer, and rebuilds what depends on it. `source`
/// names the sender in log lines. Thread-safe.
class ConfigSync {
 public:
  explicit ConfigSync(SharedState* shared) : shared_(shared) {}

  /// Applies an encoded snapshot. Returns true when it raised this VM's sequence number; a snapshot that is
  /// older, invalid or unreadable changes nothing.
  bool ApplySnapshot(std::string_view text, const char* source);
  /// Applies an encoded page of log entries in order, up to the first that can't be decided. Returns true
  /// when at least one entry was accepted or refused; false also when the page is unreadable or there is no
  /// store.
  bool ApplyLogPage(std::string_view text, const char* source);
  /// Applies what a peer sent in answer to a pull, or pushed. Returns the result of the function for its
  /// kind; false for an empty answer.
  bool ApplyPullAnswer(const wire::PullAnswer& answer, const char* source);
  /// What a peer at sequence number `after` lacks: log entries, a snapshot when the entries are not kept any
  /// more, or nothing.
  wire::PullAnswer AnswerPull(uint64_t after) const;

  /// Sequence number of the last entry applied; 0 when there is no store.
  uint64_t seq() const;
  /// Whether this VM has received a configuration.
  bool has_store() const;
  /// Publishes a new serving view when the configuration, its confirmation or the number of usable VMs has
  /// changed. Call it periodically.
  void RefreshView();

 private:
  void PublishView();
  /// Gives gossip the name index and the position of a new configuration.
  void UpdateGossipNames(const config::Document& document, const config::Version& version);
  /// Configures the budgets of the links that leave the own region; `region_vms` VMs share each link.
  void UpdateLinkBudget(const config::Document& document, const upstreams::Topology& names,
                        uint32_t region_vms);

  SharedState* shared_;
  std::mutex publish_mutex_;
  std::shared_ptr<routing::LinkBudget> links_;
  uint64_t links_topology_ = 0;  // identity of the topology that `links_` was built for
  uint64_t published_seq_ = 0;
  bool published_ = false;  // the last view published has a configuration
  bool home_only_ = false;
  uint32_t zone_vms_ = 0;    // usable VMs of the own zone, at least 1
  uint32_t region_vms_ = 0;  // usable VMs of the own region, at least 1
};

}  // namespace cornelplank::gateway

#pragma once

#include <string>

#include "libs/gateway/internal/shared_state.h"
#include "libs/wire/wire.h"

namespace cornelplank::gateway {

/// Moves this node's configuration forward from the platform's or a peer's bytes, and rebuilds what depends
/// on it. Thread-safe.
class ConfigSync {
 public:
  explicit ConfigSync(SharedState* shared) : shared_(shared) {}

  /// A snapshot's published form. True when the node moved to a higher sequence number.
  bool ApplySnapshot(std::string_view text, const char* source);
  /// A page of the log. True when at least one entry was judged.
  bool ApplyLogPage(std::string_view text, const char* source);
  bool ApplyPullAnswer(const wire::PullAnswer& answer, const char* source);
  /// What a peer that is at `after` needs: entries, a snapshot, or nothing.
  wire::PullAnswer AnswerPull(uint64_t after) const;

  /// Sequence number of the store; 0 when there is none.
  uint64_t seq() const;
  bool has_store() const;
  /// Rebuilds the node view when the configuration, the confirmation or the number of VMs has changed.
  void RefreshView();

 private:
  void PublishView();
  void UpdateGossipNames(const config::Document& document, const config::Version& version);
  void UpdateLinkBudget(const config::Document& document, const upstreams::Topology& names,
                        uint32_t region_vms);

  SharedState* shared_;
  std::mutex publish_mutex_;
  std::shared_ptr<routing::LinkBudget> links_;
  uint64_t links_topology_ = 0;
  uint64_t published_seq_ = 0;
  bool published_ = false;
  bool home_only_ = false;
  uint32_t zone_vms_ = 0;
  uint32_t region_vms_ = 0;
};

}  // namespace cornelplank::gateway

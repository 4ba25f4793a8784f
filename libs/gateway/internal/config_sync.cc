#include "libs/gateway/internal/config_sync.h"

#include <algorithm>
#include <string>

namespace cornelplank::gateway {
namespace {

constexpr size_t kMaxPullBytes = 256 * 1024;  // of log entries in one answer to a pull

/// The first 32 bits of a hexadecimal digest.
uint32_t ShortDigest(const std::string& digest) {
  constexpr size_t kDigits = 8;
  return digest.size() < kDigits ? 0
                                 : static_cast<uint32_t>(std::stoul(digest.substr(0, kDigits), nullptr, 16));
}

}  // namespace

bool ConfigSync::ApplySnapshot(std::string_view text, const char* source) {
  config::ConfigReason reason;
  auto snapshot = config::ParseSnapshot(text, &reason);
  bool advanced = false;
  {
    const std::lock_guard<std::mutex> lock(shared_->config.mutex);
    auto& store = shared_->config.store;
    if (snapshot && !store) {
      store = config::ConfigStore::FromSnapshot(std::move(*snapshot), {}, &reason);
      advanced = store.has_value();
    } else if (snapshot) {
      advanced = store->Adopt(std::move(*snapshot), &reason);
    }
    if (!advanced) {
      shared_->config.last_reason = std::string(config::CodeName(reason.code)) + ": " + reason.detail;
    }
  }
  if (!advanced && reason.code != config::ConfigCode::kStale) {
    CP_LOG(WARNING, "config") << "Rejected the configuration snapshot from " << source
                              << "; nothing changes: " << config::CodeName(reason.code) << ".";
  }
  if (advanced) {
    CP_LOG(INFO, "config") << "Adopted the configuration snapshot from " << source << " at sequence number "
                           << seq() << ".";
  }
  return advanced;
}

bool ConfigSync::ApplyLogPage(std::string_view text, const char* source) {
  config::ConfigReason reason;
  const auto page = config::ParseLogPage(text, &reason);
  if (!page) {
    CP_LOG(WARNING, "config") << "Ignored an unreadable page of the configuration log from " << source << ".";
    return false;
  }
  bool any_judged = false;
  const std::lock_guard<std::mutex> lock(shared_->config.mutex);
  auto& store = shared_->config.store;
  if (!store) return false;
  for (const config::LogEntry& entry : page->entries) {
    const config::ApplyResult result = store->Apply(entry);
    if (!result.processed && result.reason.code == config::ConfigCode::kStale) continue;
    shared_->config.last_reason =
        std::string(config::CodeName(result.reason.code)) + ": " + result.reason.detail;
    if (!result.processed) {
      CP_LOG(WARNING, "config") << "Could not decide configuration log entry " << entry.seq
                                << "; ignoring the rest of the page: " << config::CodeName(result.reason.code)
                                << ".";
      break;
    }
    any_judged = true;
    CP_LOG(INFO, "config") << "Configuration log entry " << entry.seq << " from " << source
                           << (result.accepted ? " is in force as version " : " was refused at version ")
                           << result.version.number << ".";
  }
  return any_judged;
}

bool ConfigSync::ApplyPullAnswer(const wire::PullAnswer& answer, const char* source) {
  if (answer.kind == wire::PullAnswer::Kind::kPage) return ApplyLogPage(answer.text, source);
  if (answer.kind == wire::PullAnswer::Kind::kSnapshot) return ApplySnapshot(answer.text, source);
  return false;
}

wire::PullAnswer ConfigSync::AnswerPull(uint64_t after) const {
  const std::lock_guard<std::mutex> lock(shared_->config.mutex);
  const auto& store = shared_->config.store;
  if (!store || store->version().seq <= after) return {};
  auto entries = store->EntriesAfter(after, kMaxPullBytes);
  if (after > 0 && entries) {
    config::LogPage page;
    page.head_seq = store->version().seq;
    page.oldest_seq = after + 1;
    page.entries = std::move(*entries);
    return {wire::PullAnswer::Kind::kPage, config::WriteLogPage(page)};
  }
  return {wire::PullAnswer::Kind::kSnapshot, config::WriteSnapshot(store->version(), *store->document())};
}

uint64_t ConfigSync::seq() const {
  const std::lock_guard<std::mutex> lock(shared_->config.mutex);
  return shared_->config.store ? shared_->config.store->version().seq : 0;
}

bool ConfigSync::has_store() const {
  const std::lock_guard<std::mutex> lock(shared_->config.mutex);
  return shared_->config.store.has_value();
}

void ConfigSync::RefreshView() {
  const std::lock_guard<std::mutex> publish_lock(publish_mutex_);
  if (!has_store()) return;
  bool home_only = false;
  uint32_t zone_vms = 0;
  uint32_t region_vms = 0;
  {
    const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
    // Gossip has no name index before the first view is published, and so confirms nothing until then. The
    // first view therefore counts as confirmed; the next call, 100 ms later, corrects it.
    home_only = published_ && !shared_->fleet.gossip.IsConfirmed(shared_->fleet.table, shared_->clock.Now());
    for (const auto& [id, vm] : shared_->fleet.table.vms()) {
      if (!vm.usable() || vm.entry.region != shared_->settings.region) continue;
      ++region_vms;
      if (vm.entry.zone == shared_->settings.zone) ++zone_vms;
    }
  }
  zone_vms = std::max(zone_vms, 1U);
  region_vms = std::max(region_vms, 1U);
  const bool changed = !published_ || seq() != published_seq_ || home_only != home_only_ ||
                       zone_vms != zone_vms_ || region_vms != region_vms_;
  if (!changed) return;
  if (home_only != home_only_) {
    CP_LOG(WARNING, "config") << (home_only ? "The configuration is unconfirmed; serving in home-only mode."
                                            : "The configuration is confirmed again.");
  }
  home_only_ = home_only;
  zone_vms_ = zone_vms;
  region_vms_ = region_vms;
  PublishView();
}

void ConfigSync::PublishView() {
  auto view = std::make_unique<ServingView>();
  {
    const std::lock_guard<std::mutex> lock(shared_->config.mutex);
    view->document = shared_->config.store->document();
    view->version = shared_->config.store->version();
  }
  view->home_only = home_only_;
  std::shared_ptr<const upstreams::UpstreamSnapshot> replicas;
  {
    const std::lock_guard<std::mutex> lock(shared_->replicas.mutex);
    if (!published_ || view->version.seq != published_seq_) {
      shared_->replicas.table.Configure(*view->document, shared_->clock.Now());
    }
    replicas = shared_->replicas.table.TakeSnapshot();
  }
  UpdateLinkBudget(*view->document, replicas->Names(), region_vms_);
  routing::OwnNode node{shared_->settings.region, shared_->settings.zone, home_only_, zone_vms_, region_vms_};
  view->routing_snapshot = routing::RoutingSnapshot::Build(*view->document, replicas, node, links_);
  if (!view->routing_snapshot) {
    CP_LOG(ERROR, "config") << "Own zone " << shared_->settings.zone
                            << " is not in the configuration; this VM answers no requests.";
    view->document = nullptr;
  }
  if (view->document && (!published_ || view->version.seq != published_seq_)) {
    shared_->admission.SetConfig(
        admission::AdmissionConfigFromDocument(*view->document, shared_->settings.zone));
    UpdateGossipNames(*view->document, view->version);
  }
  shared_->admission.SetLendingSuspended(home_only_);
  published_ = view->document != nullptr;
  published_seq_ = view->version.seq;
  shared_->view.Publish(std::move(view));
}

void ConfigSync::UpdateGossipNames(const config::Document& document, const config::Version& version) {
  const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
  shared_->fleet.gossip.SetNames(membership::NameIndex::FromDocument(document, shared_->settings.zone),
                                 shared_->fleet.table);
  shared_->fleet.gossip.SetConfigPosition({version.seq, ShortDigest(version.digest)}, shared_->clock.Now());
}

void ConfigSync::UpdateLinkBudget(const config::Document& document, const upstreams::Topology& topology,
                                  uint32_t region_vms) {
  if (!links_ || links_topology_ != topology.Identity()) {
    links_ = std::make_shared<routing::LinkBudget>(topology.Regions().size());
    links_topology_ = topology.Identity();
  }
  for (const config::Link& link : document.links) {
    if (link.a != shared_->settings.region && link.b != shared_->settings.region) continue;
    const upstreams::Index other = topology.Region(link.a == shared_->settings.region ? link.b : link.a);
    if (other != upstreams::kNone) links_->Configure(other, link.mbit_s, region_vms);
  }
}

}  // namespace cornelplank::gateway

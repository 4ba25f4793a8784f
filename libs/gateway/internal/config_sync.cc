#include "libs/gateway/internal/config_sync.h"

#include <algorithm>
#include <string>

namespace cornelplank::gateway {
namespace {

constexpr size_t kPullBytes = 256 * 1024;

/// The first 32 bits of a hexadecimal digest.
uint32_t ShortDigest(const std::string& digest) {
  constexpr size_t kDigits = 8;
  return digest.size() < kDigits ? 0
                                 : static_cast<uint32_t>(std::stoul(digest.substr(0, kDigits), nullptr, 16));
}

}  // namespace

bool ConfigSync::OnSnapshot(std::string_view text, const char* source) {
  config::ConfigReason reason;
  auto snapshot = config::ParseSnapshot(text, &reason);
  bool moved = false;
  {
    const std::lock_guard<std::mutex> lock(core_->config.mutex);
    auto& store = core_->config.store;
    if (snapshot && !store) {
      store = config::ConfigStore::FromSnapshot(std::move(*snapshot), {}, &reason);
      moved = store.has_value();
    } else if (snapshot) {
      moved = store->Adopt(std::move(*snapshot), &reason);
    }
    if (!moved) core_->config.last_reason = std::string(config::CodeName(reason.code)) + ": " + reason.detail;
  }
  if (!moved && reason.code != config::ConfigCode::kStale) {
    CP_LOG(WARNING, "config") << "A snapshot from " << source
                              << " was not taken: " << config::CodeName(reason.code) << ".";
  }
  if (moved) CP_LOG(INFO, "config") << "A snapshot from " << source << " is at entry " << seq() << ".";
  return moved;
}

bool ConfigSync::OnPage(std::string_view text, const char* source) {
  config::ConfigReason reason;
  const auto page = config::ParseLogPage(text, &reason);
  if (!page) {
    CP_LOG(WARNING, "config") << "A log page from " << source << " is not readable.";
    return false;
  }
  bool judged = false;
  const std::lock_guard<std::mutex> lock(core_->config.mutex);
  auto& store = core_->config.store;
  if (!store) return false;
  for (const config::LogEntry& entry : page->entries) {
    const config::Verdict verdict = store->Apply(entry);
    if (!verdict.judged && verdict.reason.code == config::ConfigCode::kStale) continue;
    core_->config.last_reason =
        std::string(config::CodeName(verdict.reason.code)) + ": " + verdict.reason.detail;
    if (!verdict.judged) {
      CP_LOG(WARNING, "config") << "Entry " << entry.seq
                                << " was not judged: " << config::CodeName(verdict.reason.code) << ".";
      break;
    }
    judged = true;
    CP_LOG(INFO, "config") << "Entry " << entry.seq << " from " << source
                           << (verdict.accepted ? " is in force as version " : " was refused at version ")
                           << verdict.version.number << ".";
  }
  return judged;
}

bool ConfigSync::OnAnswer(const wire::PullAnswer& answer, const char* source) {
  if (answer.kind == wire::PullAnswer::Kind::kPage) return OnPage(answer.text, source);
  if (answer.kind == wire::PullAnswer::Kind::kSnapshot) return OnSnapshot(answer.text, source);
  return false;
}

wire::PullAnswer ConfigSync::AnswerPull(uint64_t after) const {
  const std::lock_guard<std::mutex> lock(core_->config.mutex);
  const auto& store = core_->config.store;
  if (!store || store->version().seq <= after) return {};
  auto entries = store->EntriesAfter(after, kPullBytes);
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
  const std::lock_guard<std::mutex> lock(core_->config.mutex);
  return core_->config.store ? core_->config.store->version().seq : 0;
}

bool ConfigSync::has_store() const {
  const std::lock_guard<std::mutex> lock(core_->config.mutex);
  return core_->config.store.has_value();
}

void ConfigSync::Refresh() {
  const std::lock_guard<std::mutex> publish_lock(publish_mutex_);
  if (!has_store()) return;
  bool home_only = false;
  uint32_t zone_nodes = 0;
  uint32_t region_nodes = 0;
  {
    const std::lock_guard<std::mutex> lock(core_->fleet.mutex);
    // The first view is published only after Refresh was called with a name index, so the first answer here
    // would be "unconfirmed"; it is corrected by the next call, 100 ms later.
    home_only = published_ && !core_->fleet.gossip.Confirmed(core_->fleet.table, core_->clock.Now());
    for (const auto& [id, vm] : core_->fleet.table.vms()) {
      if (!vm.usable() || vm.entry.region != core_->settings.region) continue;
      ++region_nodes;
      if (vm.entry.zone == core_->settings.zone) ++zone_nodes;
    }
  }
  zone_nodes = std::max(zone_nodes, 1U);
  region_nodes = std::max(region_nodes, 1U);
  const bool changed = !published_ || seq() != published_seq_ || home_only != home_only_ ||
                       zone_nodes != zone_nodes_ || region_nodes != region_nodes_;
  if (!changed) return;
  if (home_only != home_only_) {
    CP_LOG(WARNING, "config") << (home_only ? "The configuration is unconfirmed; serving in home-only mode."
                                            : "The configuration is confirmed again.");
  }
  home_only_ = home_only;
  zone_nodes_ = zone_nodes;
  region_nodes_ = region_nodes;
  Publish();
}

void ConfigSync::Publish() {
  auto view = std::make_unique<NodeView>();
  {
    const std::lock_guard<std::mutex> lock(core_->config.mutex);
    view->document = core_->config.store->document();
    view->version = core_->config.store->version();
  }
  view->home_only = home_only_;
  std::shared_ptr<const upstreams::Snapshot> replicas;
  {
    const std::lock_guard<std::mutex> lock(core_->replicas.mutex);
    if (!published_ || view->version.seq != published_seq_) {
      core_->replicas.table.Configure(*view->document, core_->clock.Now());
    }
    replicas = core_->replicas.table.TakeSnapshot();
  }
  SetLinks(*view->document, replicas->Names(), region_nodes_);
  routing::NodeView node{core_->settings.region, core_->settings.zone, home_only_, zone_nodes_,
                         region_nodes_};
  view->world = routing::World::Build(*view->document, replicas, node, links_);
  if (!view->world) {
    CP_LOG(ERROR, "config") << "Zone " << core_->settings.zone << " is not in the configuration.";
    view->document = nullptr;
  }
  if (view->document && (!published_ || view->version.seq != published_seq_)) {
    core_->admission.SetConfig(admission::AdmissionConfigFromDocument(*view->document, core_->settings.zone));
    SetNames(*view->document, view->version);
  }
  core_->admission.SetLendingSuspended(home_only_);
  published_ = view->document != nullptr;
  published_seq_ = view->version.seq;
  core_->view.Publish(std::move(view));
}

void ConfigSync::SetNames(const config::Document& document, const config::Version& version) {
  const std::lock_guard<std::mutex> lock(core_->fleet.mutex);
  core_->fleet.gossip.SetNames(membership::NameIndex::FromDocument(document, core_->settings.zone),
                               core_->fleet.table);
  core_->fleet.gossip.SetConfig({version.seq, ShortDigest(version.digest)}, core_->clock.Now());
}

void ConfigSync::SetLinks(const config::Document& document, const upstreams::Topology& names,
                          uint32_t region_nodes) {
  if (!links_ || links_topology_ != names.Identity()) {
    links_ = std::make_shared<routing::LinkBudget>(names.Regions().size());
    links_topology_ = names.Identity();
  }
  for (const config::Link& link : document.links) {
    if (link.a != core_->settings.region && link.b != core_->settings.region) continue;
    const upstreams::Index other = names.Region(link.a == core_->settings.region ? link.b : link.a);
    if (other != upstreams::kNone) links_->Configure(other, link.mbit_s, region_nodes);
  }
}

}  // namespace cornelplank::gateway

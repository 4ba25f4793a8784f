#include "libs/serving/internal/link_prober.h"

#include <algorithm>

namespace cornelplank::serving {
namespace {

constexpr std::chrono::milliseconds kInterval{50};
// Connections of a round while the links are in doubt, and while they are lost: of a region whose replicas
// were all down, only a few may be back.
constexpr size_t kDoubtProbes = 2;
constexpr size_t kLostProbes = 8;

}  // namespace

net::Task<> LinkProber::Run() {
  while (true) {
    co_await net::Sleep(loop_, kInterval);
    const base::TimePoint now = clock_.Now();
    auto candidates = Candidates();
    ReplicaLinks& links = registry_.links();
    if (links.Update(candidates.size(), now)) {
      registry_.ForgetFailuresSince(links.began_at());
      if (links.lost()) pool_.CloseAllIdle();
      base::LogEvent(links.lost() ? "replica_links_lost" : "replica_links_regained")
          .Number("replicas", static_cast<int64_t>(candidates.size()))
          .Time("after_ms", now - links.began_at());
      on_change_();
    }
    if (links.TakeProbeRound(now)) Probe(std::move(candidates));
  }
}

std::vector<std::shared_ptr<TrackedReplica>> LinkProber::Candidates() const {
  std::vector<std::shared_ptr<TrackedReplica>> candidates;
  for (const auto& [id, replica] : registry_.replicas()) {
    const PublishedReplica& published = replica->published;
    if (published.region != own_region_ || published.leaving || replica->said_leaving) continue;
    if (replica->unlisted_since || registry_.EvacuatedZones().contains(published.zone)) continue;
    candidates.push_back(replica);
  }
  return candidates;
}

void LinkProber::Probe(std::vector<std::shared_ptr<TrackedReplica>> candidates) {
  for (size_t i = candidates.size(); i > 1; --i) std::swap(candidates[i - 1], candidates[random_.Below(i)]);
  std::stable_partition(candidates.begin(), candidates.end(),
                        [&](const auto& replica) { return !registry_.links().HasFailed(replica->key); });
  const size_t most = registry_.links().lost() ? kLostProbes : kDoubtProbes;
  if (candidates.size() > most) candidates.resize(most);
  for (const auto& replica : candidates) {
    net::Spawn(loop_, "link_probe", Connect(replica->published.address, replica->key));
  }
}

net::Task<> LinkProber::Connect(net::Tcp::endpoint endpoint, uint32_t replica_key) {
  net::Error error;
  auto connection = co_await pool_.Open(endpoint, &error);
  if (connection) {
    registry_.links().OnConnected(clock_.Now());
    pool_.Release(std::move(connection));
  } else if (error != net::asio::error::no_descriptors) {
    registry_.links().OnConnectFailed(replica_key, clock_.Now());
  }
}

}  // namespace cornelplank::serving

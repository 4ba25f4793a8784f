#pragma once

#include <boost/asio/signal_set.hpp>
#include <memory>
#include <string>
#include <vector>

#include "apps/entry/entry_metrics.h"
#include "apps/entry/entry_settings.h"
#include "libs/fleet/fleet.h"
#include "libs/net/net.h"
#include "libs/serving/serving.h"
#include "platform/platform.h"

namespace cornelplank::entry {

/// Finds entry VMs to forward requests to among the members that heartbeats have made known.
class MembershipHopDirectory final : public serving::HopDirectory {
 public:
  /// `hop_port`: port at which all VMs accept forwarded requests.
  MembershipHopDirectory(fleet::MemberTable& members, const base::Clock& clock, uint16_t hop_port)
      : members_(members), clock_(clock), hop_port_(hop_port) {}

  std::vector<serving::RemoteRegion> RemoteRegions(const std::string& service) const override;
  std::optional<net::Tcp::endpoint> PickVm(const std::string& region) override;
  bool OwnRegionHasLinks() const override { return members_.OwnRegionHasLinks(clock_.Now()); }
  std::optional<net::Tcp::endpoint> PickOwnRegionVm(const std::vector<net::Tcp::endpoint>& tried) override;
  void ReportHopFailure(const net::Tcp::endpoint& vm) override;
  size_t OwnRank(uint64_t key) const override { return members_.OwnRank(key, clock_.Now()); }
  std::vector<std::string> OwnRegionVms() const override;
  size_t OwnRegionVmCount() const override { return members_.OwnRegionSenders(clock_.Now()).size(); }

 private:
  fleet::MemberTable& members_;
  const base::Clock& clock_;
  uint16_t hop_port_;
  base::Random random_{base::EntropySeed()};
};

/// One entry VM: all listeners, state and periodic tasks of the process, on one event loop.
class EntryVm {
 public:
  /// Binds all listeners and starts all tasks on `loop`. Returns null, with the reason in `problem`, when an
  /// address can't be bound. The VM stops the loop after SIGTERM or SIGINT, once it has drained.
  static std::unique_ptr<EntryVm> Start(net::asio::io_context& loop, const std::string& settings_path,
                                        const EntrySettings& settings, std::string* problem);

 private:
  EntryVm(net::asio::io_context& loop, std::string settings_path, const EntrySettings& settings);

  bool Listen(std::string* problem);
  /// The limits of the listener for clients, with those of the configuration in force.
  net::ServerLimits ClientLimits(const serving::RoutingConfig* config) const;
  /// Sets the limits of all listeners, before a configuration is known.
  void SetListenerLimits();
  /// Sets the limits for client connections when a configuration comes into force.
  void ApplyConfig(const serving::RoutingConfig& config);
  /// The estimated wait of each service in the own region, to be sent to other VMs. Services without a usable
  /// replica are left out.
  std::vector<fleet::RegionWaitReport> OwnWaitReports() const;
  EntryGauges ReadGauges() const;
  /// Periodic work: updates the replica registry, announces that the VM is ready, closes idle connections and
  /// reloads changed settings. Never returns.
  net::Task<> RunHousekeeping();
  /// States the own configuration and contact with the store to other VMs, and logs when the configuration in
  /// force becomes outdated or current again.
  void UpdateConfigState();
  /// Returns freed memory to the system after an overload, and logs refusals for lack of memory.
  void ReleaseMemory();
  /// States to other VMs whether this one has links to replicas.
  void AnnounceLinks();
  /// Logs when the number of prompt parts changes that are refused because they crash replicas.
  void LogQuarantine();
  net::Task<> HandleStopSignals();
  net::Task<> HandleReloadSignals();
  /// Announces that the VM leaves, accepts connections a little longer and waits for the requests in
  /// progress. Shortly before the end of the grace period those that are left get a final answer.
  net::Task<> Drain();
  /// Waits until no connection for requests is open, at most until `limit`.
  net::Task<> AwaitSessions(base::TimePoint limit);
  /// Reads the settings file again and applies seeds, zones, the burst of second sends and the grace period.
  /// Faulty settings are logged and not applied.
  void Reload();
  /// Sets this VM's part of the common burst of second sends, which depends on the number of VMs.
  void UpdateSecondSendBurst();
  /// True when the configuration and the replicas are known and the VM is not leaving.
  bool Ready() const;

  net::asio::io_context& loop_;
  std::string settings_path_;
  EntrySettings settings_;
  base::SystemClock clock_;
  std::shared_ptr<net::MemoryAccount> memory_;
  platform::PlatformCodec codec_;
  serving::ReplicaRegistry registry_;
  fleet::MemberTable members_;
  MembershipHopDirectory hop_directory_;
  serving::Placer placer_;
  serving::PromptQuarantine quarantine_;
  fleet::QuotaClient quota_client_;
  fleet::StreamOriginClient stream_origins_;
  net::ConnectionPool replica_pool_;
  net::ConnectionPool peer_pool_;
  EntryMetrics metrics_;
  serving::RequestProxy proxy_;
  serving::HopHandler hop_handler_;
  serving::LinkProber link_prober_;
  platform::EntryDirectory directory_;
  platform::StoreSync store_sync_;
  std::unique_ptr<platform::MirrorServer> peer_handler_;
  std::unique_ptr<fleet::HeartbeatLoop> heartbeat_loop_;
  std::unique_ptr<net::HttpServer> client_server_;
  std::unique_ptr<net::HttpServer> hop_server_;
  std::unique_ptr<net::HttpServer> readiness_server_;
  std::unique_ptr<net::HttpServer> directory_server_;
  std::unique_ptr<net::HttpServer> metrics_server_;
  net::asio::signal_set stop_signals_;
  net::asio::signal_set reload_signals_;
  size_t quarantined_parts_ = 0;  // as last logged
  uint64_t memory_refusals_ = 0;  // as last logged
  serving::ConfigFreshness::State config_state_ =
      serving::ConfigFreshness::State::kCurrent;  // as last logged
  bool leaving_ = false;
};

}  // namespace cornelplank::entry

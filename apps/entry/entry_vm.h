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

/// Hops by way of the members that the beats make known.
class MemberHops final : public serving::HopDirectory {
 public:
  MemberHops(fleet::MemberTable& members, const base::Clock& clock, uint16_t hop_port)
      : members_(members), clock_(clock), hop_port_(hop_port) {}

  std::vector<serving::RemoteRegion> RemoteRegions(const std::string& service) const override;
  std::optional<net::Tcp::endpoint> PickVm(const std::string& region) override;
  void ReportHopFailure(const net::Tcp::endpoint& vm) override;
  std::vector<std::string> OwnRegionVms() const override;

 private:
  fleet::MemberTable& members_;
  const base::Clock& clock_;
  uint16_t hop_port_;
  base::Random random_{base::EntropySeed()};
};

/// One entry VM: all listeners, tables and loops of the process, on one event loop.
class EntryVm {
 public:
  /// Binds all listeners. Null and the `problem` when one can't be bound.
  static std::unique_ptr<EntryVm> Start(net::asio::io_context& loop, const std::string& settings_path,
                                        const EntrySettings& settings, std::string* problem);

 private:
  EntryVm(net::asio::io_context& loop, std::string settings_path, const EntrySettings& settings);

  bool Listen(std::string* problem);
  void ApplyConfig(const serving::RoutingConfig& config);
  std::vector<fleet::RegionWaitReport> OwnOffers() const;
  EntryGauges Gauges() const;
  net::Task<> Housekeeping();
  net::Task<> AwaitSignals();
  net::Task<> AwaitReload();
  net::Task<> Drain();
  void Reload();
  void ShareSecondSends();
  bool Ready() const;

  net::asio::io_context& loop_;
  std::string settings_path_;
  EntrySettings settings_;
  base::SystemClock clock_;
  platform::PlatformCodec dialect_;
  serving::ReplicaRegistry table_;
  fleet::MemberTable members_;
  MemberHops hops_;
  serving::Placer placer_;
  net::ConnectionPool replica_pool_;
  net::ConnectionPool peer_pool_;
  EntryMetrics metrics_;
  serving::RequestProxy engine_;
  serving::HopHandler hop_handler_;
  platform::EntryDirectory directory_;
  platform::StoreSync store_;
  std::unique_ptr<platform::MirrorServer> peer_handler_;
  std::unique_ptr<fleet::HeartbeatLoop> beats_;
  std::unique_ptr<net::HttpServer> clients_;
  std::unique_ptr<net::HttpServer> hop_server_;
  std::unique_ptr<net::HttpServer> readiness_server_;
  std::unique_ptr<net::HttpServer> directory_server_;
  std::unique_ptr<net::HttpServer> metrics_server_;
  net::asio::signal_set stop_signals_;
  net::asio::signal_set reload_signals_;
  bool leaving_ = false;
};

}  // namespace cornelplank::entry

#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "libs/fleet/fleet.h"
#include "libs/net/net.h"
#include "libs/serving/serving.h"

namespace cornelplank::entry {

/// Values that are read at each request for the metrics.
struct EntryGauges {
  uint64_t config_version = 0;
  uint64_t newest_config_version = 0;        // that another VM states to have in force
  std::optional<base::Duration> config_age;  // since the configuration was confirmed as the newest one
  base::Duration max_denial_age{0};          // greatest age of a configuration that a request was denied by
  size_t quarantined_parts = 0;              // prompt parts that are refused because they crash replicas
  size_t replicas = 0;
  size_t limited_replicas = 0;            // that state a limit of requests a second
  size_t rejection_limited_replicas = 0;  // that state how many requests a second they can reject
  size_t leaving_replicas = 0;            // by the store or by their own responses
  size_t pushed_back_replicas = 0;        // that want no requests from this VM now
  size_t vms = 0;                         // live VMs, this one included
  size_t active_requests = 0;             // in progress, including those that other regions forwarded
  size_t received_bytes = 0;              // from outside, held now
  size_t received_bytes_limit = 0;        // that may be held
  size_t memory_waits = 0;                // requests and responses that wait for room within the limit
  size_t connections = 0;                 // of all listeners
  bool links_lost = false;                // this VM reaches no replicas
  bool ready = false;                     // takes requests of clients
  // Totals since the start of the process:
  uint64_t second_sends = 0;            // retries after an attempt whose bytes may have reached a replica
  uint64_t hops = 0;                    // attempts forwarded to another VM
  uint64_t own_region_hops = 0;         // of these, to a VM of the own region
  uint64_t denied = 0;                  // requests that no route or no tenant matched
  uint64_t resumed_streams = 0;         // that clients took up again and that went on
  uint64_t resumptions_of_unknown = 0;  // refused, as no VM knew their software version
  uint64_t resumptions_of_gone = 0;     // refused, as their software version had left
  uint64_t store_calls = 0;             // of this VM to the platform's store
  uint64_t memory_refusals = 0;         // requests and responses that found no room within the limit in time
  uint64_t stalled_requests_ended = 0;  // incomplete ones whose clients had stalled, to make room for others
  uint64_t connections_refused = 0;     // as too many were open
  uint64_t connections_evicted = 0;     // in favour of new ones
  uint64_t dropped_log_lines = 0;
  fleet::StreamOriginCounters stream_origins;
};

/// Counters, gauges and histograms of one entry VM, served in the Prometheus text format. Labels contain
/// nothing from requests, such as paths, ids or keys; tenants' names come from the configuration.
class EntryMetrics final : public serving::RequestObserver, public net::RequestHandler {
 public:
  /// `read_gauges` is called at each request for the metrics.
  explicit EntryMetrics(std::function<EntryGauges()> read_gauges);

  void OnRequestEnd(const serving::RequestSummary& summary) override;
  /// Responds to any path with all metrics.
  net::Task<> Handle(net::Request& request, net::ResponseWriter& writer) override;
  std::string PrometheusText();

 private:
  void UpdateGauges();
  /// The label of a tenant. Tenants beyond the greatest number of labels share one.
  const std::string& TenantLabel(std::string_view tenant);
  /// Adds a forecast and what was observed to the histograms of one kind of time.
  void CompareForecast(const char* kind, base::Duration forecast, base::Duration observed);

  std::function<EntryGauges()> read_gauges_;
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Histogram>& first_byte_;
  prometheus::Family<prometheus::Histogram>& duration_;
  prometheus::Family<prometheus::Histogram>& forecast_;
  prometheus::Family<prometheus::Gauge>& state_;
  prometheus::Family<prometheus::Gauge>& totals_;
  prometheus::Family<prometheus::Counter>& tenant_requests_;
  std::set<std::string, std::less<>> tenant_labels_;
};

}  // namespace cornelplank::entry

#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <string>

#include "libs/net/net.h"
#include "libs/serving/serving.h"

namespace cornelplank::entry {

/// Values that are read when the metrics are asked for.
struct EntryGauges {
  uint64_t config_version = 0;
  size_t replicas = 0;
  size_t vms = 0;     // live ones, with the own
  size_t active = 0;  // requests in progress, hops included
  bool ready = false;
  uint64_t second_sends = 0;
  uint64_t hops = 0;  // requests passed on to another region
  uint64_t store_calls = 0;
  uint64_t dropped_log_lines = 0;
};

/// Counters and histograms of one entry VM, served in Prometheus' text form. Labels hold no request content.
class EntryMetrics final : public serving::RequestObserver, public net::RequestHandler {
 public:
  explicit EntryMetrics(std::function<EntryGauges()> gauges);

  void OnRequestEnd(const serving::RequestSummary& end) override;
  /// Answers any path with all metrics.
  net::Task<> Handle(net::Request& request, net::ResponseWriter& writer) override;
  std::string Text();

 private:
  void SetGauges();

  std::function<EntryGauges()> gauges_;
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Histogram>& first_byte_;
  prometheus::Family<prometheus::Histogram>& duration_;
  prometheus::Family<prometheus::Gauge>& state_;
  prometheus::Family<prometheus::Gauge>& totals_;
};

}  // namespace cornelplank::entry

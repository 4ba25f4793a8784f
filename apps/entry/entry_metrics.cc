#include "apps/entry/entry_metrics.h"

#include <prometheus/text_serializer.h>

namespace cornelplank::entry {
namespace {

/// Upper bounds of the histogram buckets in seconds: from the few milliseconds of a lookup to the longest
/// timeouts of requests.
prometheus::Histogram::BucketBoundaries LatencyBuckets() {
  return {0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.4, 2, 4, 8, 15};
}

// Each tenant has one series for each outcome and reason, about 20 of some hundred bytes. The first 100
// tenants stay within about 1 MB; a deployment may have 1,500.
constexpr size_t kMaxTenantLabels = 100;

double Seconds(base::Duration time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

EntryMetrics::EntryMetrics(std::function<EntryGauges()> read_gauges)
    : read_gauges_(std::move(read_gauges)),
      registry_(std::make_shared<prometheus::Registry>()),
      requests_(prometheus::BuildCounter()
                    .Name("cornelplank_requests_total")
                    .Help("Requests that ended, by outcome, reason of a refusal, and whether they were hops.")
                    .Register(*registry_)),
      first_byte_(prometheus::BuildHistogram()
                      .Name("cornelplank_first_byte_seconds")
                      .Help("Time from a request to the first byte of its answer, by priority.")
                      .Register(*registry_)),
      duration_(prometheus::BuildHistogram()
                    .Name("cornelplank_request_duration_seconds")
                    .Help("Time from a request to its end, by priority and outcome.")
                    .Register(*registry_)),
      forecast_(prometheus::BuildHistogram()
                    .Name("cornelplank_forecast_seconds")
                    .Help("Forecast and observed times of the same requests, by kind: first event, longest "
                          "pause, end. Only for replicas of known speed.")
                    .Register(*registry_)),
      state_(prometheus::BuildGauge()
                 .Name("cornelplank_state")
                 .Help("What the VM believes now, by kind.")
                 .Register(*registry_)),
      totals_(prometheus::BuildGauge()
                  .Name("cornelplank_events_total")
                  .Help("Events since the start of the process, by kind.")
                  .Register(*registry_)),
      tenant_requests_(
          prometheus::BuildCounter()
              .Name("cornelplank_tenant_requests_total")
              .Help("Requests of clients that ended, by tenant, outcome and reason of a refusal.")
              .Register(*registry_)) {}

const std::string& EntryMetrics::TenantLabel(std::string_view tenant) {
  static const std::string kOthers = "(others)";
  const auto known = tenant_labels_.find(tenant);
  if (known != tenant_labels_.end()) return *known;
  if (tenant_labels_.size() >= kMaxTenantLabels) return kOthers;
  return *tenant_labels_.emplace(tenant).first;
}

void EntryMetrics::OnRequestEnd(const serving::RequestSummary& summary) {
  const std::string outcome(summary.outcome);
  const std::string priority = std::to_string(summary.priority);
  requests_
      .Add({{"outcome", outcome}, {"reason", std::string(summary.reason)}, {"hop", summary.hop ? "1" : "0"}})
      .Increment();
  if (summary.hop) return;  // the VM that forwarded the request measures its times
  if (!summary.tenant.empty()) {
    tenant_requests_
        .Add({{"tenant", TenantLabel(summary.tenant)},
              {"outcome", outcome},
              {"reason", std::string(summary.reason)}})
        .Increment();
  }
  if (summary.first_byte) {
    first_byte_.Add({{"priority", priority}}, LatencyBuckets()).Observe(Seconds(*summary.first_byte));
  }
  duration_.Add({{"priority", priority}, {"outcome", outcome}}, LatencyBuckets())
      .Observe(Seconds(summary.total));
  if (!summary.forecast) return;
  if (summary.course.first_event) {
    CompareForecast("first_event", summary.forecast->first_event.mean, *summary.course.first_event);
  }
  if (summary.course.longest_pause) {
    CompareForecast("longest_pause", summary.forecast->longest_pause.mean, *summary.course.longest_pause);
  }
  if (summary.course.whole) CompareForecast("end", summary.forecast->end.mean, summary.course.end);
}

void EntryMetrics::CompareForecast(const char* kind, base::Duration forecast, base::Duration observed) {
  forecast_.Add({{"kind", kind}, {"value", "forecast"}}, LatencyBuckets()).Observe(Seconds(forecast));
  forecast_.Add({{"kind", kind}, {"value", "observed"}}, LatencyBuckets()).Observe(Seconds(observed));
}

void EntryMetrics::UpdateGauges() {
  const EntryGauges gauges = read_gauges_();
  const auto set = [](prometheus::Family<prometheus::Gauge>& family, const char* kind, double value) {
    family.Add({{"kind", kind}}).Set(value);
  };
  set(state_, "config_version", static_cast<double>(gauges.config_version));
  set(state_, "newest_config_version", static_cast<double>(gauges.newest_config_version));
  if (gauges.config_age) set(state_, "config_age_seconds", Seconds(*gauges.config_age));
  set(state_, "max_denial_config_age_seconds", Seconds(gauges.max_denial_age));
  set(state_, "quarantined_parts", static_cast<double>(gauges.quarantined_parts));
  set(state_, "replicas", static_cast<double>(gauges.replicas));
  set(state_, "limited_replicas", static_cast<double>(gauges.limited_replicas));
  set(state_, "rejection_limited_replicas", static_cast<double>(gauges.rejection_limited_replicas));
  set(state_, "leaving_replicas", static_cast<double>(gauges.leaving_replicas));
  set(state_, "pushed_back_replicas", static_cast<double>(gauges.pushed_back_replicas));
  set(state_, "vms", static_cast<double>(gauges.vms));
  set(state_, "active_requests", static_cast<double>(gauges.active_requests));
  set(state_, "received_bytes", static_cast<double>(gauges.received_bytes));
  set(state_, "received_bytes_limit", static_cast<double>(gauges.received_bytes_limit));
  set(state_, "memory_waits", static_cast<double>(gauges.memory_waits));
  set(state_, "connections", static_cast<double>(gauges.connections));
  set(state_, "replica_links_lost", gauges.links_lost ? 1 : 0);
  set(state_, "ready", gauges.ready ? 1 : 0);
  set(totals_, "second_sends", static_cast<double>(gauges.second_sends));
  set(totals_, "hops", static_cast<double>(gauges.hops));
  set(totals_, "own_region_hops", static_cast<double>(gauges.own_region_hops));
  set(totals_, "denied", static_cast<double>(gauges.denied));
  set(totals_, "resumed_streams", static_cast<double>(gauges.resumed_streams));
  set(totals_, "resumptions_of_unknown_software", static_cast<double>(gauges.resumptions_of_unknown));
  set(totals_, "resumptions_of_gone_software", static_cast<double>(gauges.resumptions_of_gone));
  set(totals_, "store_calls", static_cast<double>(gauges.store_calls));
  set(totals_, "memory_refusals", static_cast<double>(gauges.memory_refusals));
  set(totals_, "stalled_requests_ended", static_cast<double>(gauges.stalled_requests_ended));
  set(totals_, "connections_refused", static_cast<double>(gauges.connections_refused));
  set(totals_, "connections_evicted", static_cast<double>(gauges.connections_evicted));
  set(totals_, "dropped_log_lines", static_cast<double>(gauges.dropped_log_lines));
  const fleet::StreamOriginCounters& origins = gauges.stream_origins;
  set(totals_, "stream_origin_records_sent", static_cast<double>(origins.records_sent));
  set(totals_, "stream_origin_lookups", static_cast<double>(origins.lookups));
  set(totals_, "stream_origins_found", static_cast<double>(origins.found));
  set(totals_, "stream_origins_found_by_history", static_cast<double>(origins.found_by_history));
  set(totals_, "stream_origins_unknown", static_cast<double>(origins.unknown));
  set(totals_, "stream_origin_lookups_limited", static_cast<double>(origins.limited));
}

std::string EntryMetrics::PrometheusText() {
  UpdateGauges();
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

net::Task<> EntryMetrics::Handle(net::Request&, net::ResponseWriter& writer) {
  net::ResponseHead head;
  head.status = 200;
  head.headers.Add("Content-Type", "text/plain; version=0.0.4");
  co_await writer.Send(head, PrometheusText());
}

}  // namespace cornelplank::entry

#include "libs/gateway/internal/gateway_metrics.h"

#include <prometheus/text_serializer.h>

namespace cornelplank::gateway {
namespace {

using CounterFamily = prometheus::Family<prometheus::Counter>;

CounterFamily* NewCounter(prometheus::Registry& registry, const char* name, const char* help) {
  return &prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

double Seconds(base::Duration time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

GatewayMetrics::GatewayMetrics() : registry_(std::make_shared<prometheus::Registry>()) {
  prometheus::Registry& registry = *registry_;
  requests_ =
      NewCounter(registry, "cornelplank_requests_total", "Client requests by partner, class and result.");
  served_ =
      NewCounter(registry, "cornelplank_served_total", "Requests served, by region and away from home.");
  extra_attempts_ =
      NewCounter(registry, "cornelplank_extra_attempts_total", "Retries, hedges and resumptions.");
  attempt_failures_ = NewCounter(registry, "cornelplank_attempt_failures_total", "Failed attempts by code.");
  cost_ = NewCounter(registry, "cornelplank_cost_units_total", "Cost units of served requests.");
  first_token_ = &prometheus::BuildHistogram()
                      .Name("cornelplank_first_token_seconds")
                      .Help("Time from a request to the first token of its answer.")
                      .Register(registry);
  control_calls_ = NewCounter(registry, "cornelplank_control_calls_total", "Control messages sent to peers.");
  control_bytes_ =
      NewCounter(registry, "cornelplank_control_bytes_total", "Payload of control messages sent.");
  platform_reads_ =
      NewCounter(registry, "cornelplank_platform_reads_total", "Reads of the platform's services.");
  hops_ = &NewCounter(registry, "cornelplank_hops_total", "Forwarded requests received from peers.")->Add({});
  tokens_ = &NewCounter(registry, "cornelplank_tokens_total", "Tokens passed on to clients.")->Add({});
}

void GatewayMetrics::CountRequest(const std::string& partner, const std::string& priority_class,
                                  const std::string& code) {
  requests_->Add({{"partner", partner}, {"class", priority_class}, {"code", code}}).Increment();
}

void GatewayMetrics::CountServed(const std::string& partner, const std::string& region, bool away) {
  served_->Add({{"partner", partner}, {"region", region}, {"away", away ? "true" : "false"}}).Increment();
}

void GatewayMetrics::CountExtraAttempt(const std::string& kind) {
  extra_attempts_->Add({{"kind", kind}}).Increment();
}

void GatewayMetrics::CountAttemptFailure(const std::string& code) {
  attempt_failures_->Add({{"code", code}}).Increment();
}

void GatewayMetrics::AddCost(const std::string& partner, double units) {
  cost_->Add({{"partner", partner}}).Increment(units);
}

void GatewayMetrics::ObserveFirstToken(const std::string& partner, const std::string& priority_class,
                                       base::Duration time) {
  static const prometheus::Histogram::BucketBoundaries kSeconds{0.01, 0.025, 0.05, 0.1, 0.25, 0.5,
                                                                1,    1.4,   2.5,  5,   10,   30};
  first_token_->Add({{"partner", partner}, {"class", priority_class}}, kSeconds).Observe(Seconds(time));
}

void GatewayMetrics::CountControlCall(const std::string& kind, size_t bytes_sent) {
  control_calls_->Add({{"kind", kind}}).Increment();
  control_bytes_->Add({{"kind", kind}}).Increment(static_cast<double>(bytes_sent));
}

void GatewayMetrics::CountPlatformRead(const std::string& what, bool answered) {
  platform_reads_->Add({{"what", what}, {"answered", answered ? "true" : "false"}}).Increment();
}

std::string GatewayMetrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace cornelplank::gateway

#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

#include "libs/base/base.h"

namespace cornelplank::gateway {

/// Counters and histograms of one entry VM. Thread-safe. Labels never carry request content.
class GatewayMetrics {
 public:
  GatewayMetrics();

  /// One client request ended. `code` is "ok" or the stable code of its problem details.
  void CountRequest(const std::string& partner, const std::string& priority_class, const std::string& code);
  /// One request was served in `region`; `away` when that is not its home region.
  void CountServed(const std::string& partner, const std::string& region, bool away);
  /// kind: "retry", "hedge" or "resume".
  void CountExtraAttempt(const std::string& kind);
  void CountAttemptFailure(const std::string& code);
  void AddCost(const std::string& partner, double units);
  void AddTokens(double tokens) { tokens_->Increment(tokens); }
  void ObserveFirstToken(const std::string& partner, const std::string& priority_class, base::Duration time);
  /// One forwarded request was received from a peer.
  void CountHop() { hops_->Increment(); }
  double hops() const { return hops_->Value(); }
  void CountControlCall(const std::string& kind, size_t bytes_sent);
  void CountPlatformRead(const std::string& what, bool answered);

  /// The Prometheus text form.
  std::string Text() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>* requests_;
  prometheus::Family<prometheus::Counter>* served_;
  prometheus::Family<prometheus::Counter>* extra_attempts_;
  prometheus::Family<prometheus::Counter>* attempt_failures_;
  prometheus::Family<prometheus::Counter>* cost_;
  prometheus::Family<prometheus::Histogram>* first_token_;
  prometheus::Family<prometheus::Counter>* control_calls_;
  prometheus::Family<prometheus::Counter>* control_bytes_;
  prometheus::Family<prometheus::Counter>* platform_reads_;
  prometheus::Counter* tokens_;
  prometheus::Counter* hops_;
};

}  // namespace cornelplank::gateway

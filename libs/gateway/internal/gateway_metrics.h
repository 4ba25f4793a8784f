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

  /// Counts a client request that ended. `code` is "ok" or the code of its problem details.
  void CountRequest(const std::string& partner, const std::string& priority_class, const std::string& code);
  /// Counts a request that was served in `region`; `away`: that is not the home region of its data.
  void CountServed(const std::string& partner, const std::string& region, bool away);
  /// Counts an attempt after the first one. `kind` is "retry", "hedge" or "resume".
  void CountExtraAttempt(const std::string& kind);
  /// Counts a failed attempt by the code of its failure.
  void CountAttemptFailure(const std::string& code);
  /// Adds the cost of a served request, in the cost units of the router.
  void AddCost(const std::string& partner, double units);
  void AddTokens(double tokens) { tokens_->Increment(tokens); }
  /// Records the time from the arrival of a request to the first token of its answer.
  void ObserveFirstToken(const std::string& partner, const std::string& priority_class, base::Duration time);
  /// Counts a request that a peer forwarded to this VM.
  void CountHop() { hops_->Increment(); }
  double hops() const { return hops_->Value(); }
  /// Counts a control message sent to a peer; `bytes_sent` is the size of its payload.
  void CountControlCall(const std::string& kind, size_t bytes_sent);
  /// Counts a read of a platform service; `what` names the data, `answered` means status 200.
  void CountPlatformRead(const std::string& what, bool answered);

  /// All metrics in the Prometheus text format.
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

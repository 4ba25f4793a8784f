#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libs/base/base.h"
#include "standins/engine/core/orders.h"
#include "standins/engine/core/prefix_cache.h"

namespace cornelplank::standins::engine {

struct EngineOptions {
  std::string name = "engine";
  std::string region;
  unsigned slots = 8;
  unsigned max_queue = 256;
  double ms_per_token = 20;      // step time with one running request
  double batch_slowdown = 0.05;  // growth of the step time for each further running request
  double prefill_us_per_token = 200;
  uint64_t cache_tokens = 200000;
  base::Duration report_lag{0};
  base::Duration cache_event_lag{0};
  double cache_event_loss = 0;  // share of cache events that are never reported, 0 to 1
  uint64_t seed = 1;
  bool leaving = false;
  OrderOptions orders;
};

struct EngineRequest {
  std::string id;
  std::string model;
  std::string prompt;
  unsigned priority = 4;  // 0 is served first, 7 last
  uint64_t seed = 0;
  uint64_t max_tokens = 64;    // of the whole answer, the resumed tokens included
  uint64_t resume_tokens = 0;  // tokens of the answer that the caller already has
  bool streamed = false;
  std::optional<base::TimePoint> deadline;
};

enum class RequestState { kQueued, kRunning, kFinished, kCancelled, kTimedOut, kDisconnected };

std::string_view StateName(RequestState state);

/// What the connection that serves a request needs to know.
struct RequestView {
  RequestState state = RequestState::kQueued;
  bool started = false;        // it was in a slot at some time
  uint64_t produced = 0;       // index after the last token produced
  uint64_t cached_tokens = 0;  // prompt tokens found in the cache at its start
};

struct LogRecord {
  std::string id;
  std::string outcome;
  std::string model;
  unsigned priority = 4;
  uint64_t resume_tokens = 0;
  uint64_t produced = 0;
  uint64_t prompt_hash = 0;
  bool streamed = false;
  int64_t submitted_ms = 0;  // since the start of the engine
  int64_t ended_ms = 0;
};

struct LoadReport {
  base::TimePoint at;
  std::string state;  // ready, loading or leaving
  unsigned running = 0;
  unsigned queued = 0;
  std::vector<ModelVersion> models;
};

enum class RefusalCode { kLeaving, kRejected, kUnknownModel, kQueueFull };

enum class FaultKind {
  kNone,
  kDieAfterTokens,    // the process ends after n further tokens
  kStallAfterTokens,  // no token is produced after n further ones; connections stay open
  kReject,            // the next n requests are refused, all for 0
  kSlow,              // steps take n times as long
  kEndAfterTokens,    // streams end after n tokens, in good order but without [DONE]
  kCrossChunks,       // n chunks of another request's id are mixed in
  kRepeatChunks,      // n chunks are sent twice
};

/// The model of one engine: continuous batching in steps, a priority queue, a prefix cache and model loading.
/// Time is passed in and must not go back. Not thread-safe.
class EngineCore {
 public:
  EngineCore(EngineOptions options, base::TimePoint start);

  /// Takes a request and returns its handle, or nothing with the reason of the refusal. A refused request has
  /// not run.
  std::optional<uint64_t> Submit(EngineRequest request, base::TimePoint now,
                                 base::Reason<RefusalCode>* reason);
  /// Runs all steps that end by `now`.
  void AdvanceTo(base::TimePoint now);
  /// The time of the next step or other event, if there is one.
  std::optional<base::TimePoint> NextEvent() const;

  RequestView View(uint64_t handle) const;
  const EngineRequest& RequestOf(uint64_t handle) const { return requests_.at(handle).request; }
  /// Ends the requests with this id. Returns how many there were.
  size_t Cancel(const std::string& id, base::TimePoint now);
  /// The connection of a request has ended; `delivered` is true when the whole answer was handed over. Frees
  /// the handle and writes the log record.
  void Close(uint64_t handle, bool delivered, base::TimePoint now);

  /// The newest load report that is visible at `now` given the report lag.
  LoadReport Report(base::TimePoint now) const;
  unsigned running() const { return static_cast<unsigned>(batch_.size()); }
  unsigned queued() const { return static_cast<unsigned>(queue_.size()); }
  /// Events after `after` that are visible at `now` and were not lost.
  std::vector<CacheEvent> CacheEventsAfter(uint64_t after, base::TimePoint now) const;

  /// The chain of a cached prefix, empty when it is not cached.
  std::vector<uint64_t> ExportPrefix(uint64_t prefix) const { return cache_.ChainOf(prefix); }
  void ImportPrefix(const std::vector<uint64_t>& chain, base::TimePoint now);

  void Leave(base::TimePoint now);
  bool leaving() const { return options_.leaving; }
  void SetFault(FaultKind kind, uint64_t n, base::TimePoint now);
  bool dead() const { return dead_; }
  FaultKind fault() const { return fault_; }
  uint64_t fault_count() const { return fault_count_; }
  /// Uses up one chunk of the faults that concern chunks. False when `kind` is not in force.
  bool TakeChunkFault(FaultKind kind);
  /// Takes an order; see OrderBook::Take.
  std::optional<std::string> TakeOrder(const Order& order, base::TimePoint now,
                                       base::Reason<OrderCode>* reason);
  /// Ends the load in progress; used with external loading.
  void FinishLoad(base::TimePoint now);
  const OrderBook& orders() const { return orders_; }
  const std::deque<LogRecord>& log() const { return log_; }
  std::vector<LogRecord> OpenRecords() const;
  const EngineOptions& options() const { return options_; }

 private:
  struct Active {
    EngineRequest request;
    std::vector<uint64_t> chain;
    uint64_t prompt_hash = 0;
    RequestState state = RequestState::kQueued;
    bool started = false;
    bool cached = false;  // its prefix was added to the cache
    uint64_t produced = 0;
    uint64_t cached_tokens = 0;
    base::TimePoint submitted;
    base::TimePoint prefilled;
    base::TimePoint ended;
  };

  base::Duration StepTime() const;
  void RunStep(base::TimePoint at);
  bool ProduceToken(Active& active, base::TimePoint at);
  void End(uint64_t handle, RequestState state, base::TimePoint at);
  void ExpireDeadlines(base::TimePoint at);
  void Admit(base::TimePoint at);
  void Start(uint64_t handle, base::TimePoint at);
  void RecordLoad(base::TimePoint at);
  LogRecord RecordOf(const Active& active, std::string outcome) const;

  EngineOptions options_;
  base::TimePoint start_;
  PrefixCache cache_;
  OrderBook orders_;
  std::map<uint64_t, Active> requests_;
  std::set<std::pair<unsigned, uint64_t>>
      queue_;  // (priority, handle): first come first served in a priority
  std::vector<uint64_t> batch_;
  uint64_t next_handle_ = 1;
  std::optional<base::TimePoint> step_end_;
  std::deque<LoadReport> reports_;
  std::deque<LogRecord> log_;
  FaultKind fault_ = FaultKind::kNone;
  uint64_t fault_count_ = 0;
  bool stalled_ = false;
  bool dead_ = false;
};

}  // namespace cornelplank::standins::engine

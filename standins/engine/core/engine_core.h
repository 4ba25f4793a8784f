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

/// The properties of a simulated engine; set from its command line.
struct EngineOptions {
  std::string name = "engine";
  std::string region;
  unsigned slots = 8;            // requests that run at once
  unsigned max_queue = 256;      // requests that wait at most; further ones are refused
  double ms_per_token = 20;      // step time in ms with one running request
  double batch_slowdown = 0.05;  // growth of the step time for each further running request, as a fraction
  double prefill_us_per_token = 200;  // prefill time in us for each prompt token that is not cached
  uint64_t cache_tokens = 200000;     // size of the prefix cache
  base::Duration report_lag{0};       // age of the load reports
  base::Duration cache_event_lag{0};  // time until a cache event is visible
  double cache_event_loss = 0;        // share of cache events that are never reported, 0 to 1
  uint64_t seed = 1;                  // selects which cache events are lost
  bool leaving = false;               // refuses new requests from the start
  OrderOptions orders;
};

/// A chat completion request, parsed.
struct EngineRequest {
  std::string id;
  std::string model;
  std::string prompt;
  unsigned priority = 4;     // 0 is served first, 7 last
  uint64_t seed = 0;         // selects the text of the answer
  uint64_t max_tokens = 64;  // length of the complete answer, including the resumed tokens
  // Tokens of the answer that the caller has already received; the answer continues after them.
  uint64_t resume_tokens = 0;
  bool streamed = false;
  std::optional<base::TimePoint> deadline;
};

enum class RequestState { kQueued, kRunning, kFinished, kCancelled, kTimedOut, kDisconnected };

/// The name of a state as in the log: "complete" for kFinished, "timed-out" for kTimedOut.
std::string_view StateName(RequestState state);

/// The progress of a request, for the connection that sends its answer.
struct RequestProgress {
  RequestState state = RequestState::kQueued;
  bool started = false;        // the request has left the queue and occupied a slot
  uint64_t produced = 0;       // tokens of the answer so far, including the resumed ones
  uint64_t cached_tokens = 0;  // prompt tokens that were in the cache when the request started
};

/// A request in the engine's log, from which tests tell what ran.
struct RequestLogRecord {
  std::string id;
  std::string outcome;  // "refused" or the StateName of the request
  std::string model;
  unsigned priority = 4;
  uint64_t resume_tokens = 0;
  uint64_t produced = 0;
  uint64_t prompt_hash = 0;
  bool streamed = false;
  int64_t submitted_ms = 0;  // since the start of the engine
  int64_t ended_ms = 0;      // since the start of the engine; -1 while the request is queued or running
};

/// The load of an engine at one time, as reported to its callers.
struct EngineLoadReport {
  base::TimePoint at;
  std::string state;  // ready, loading or leaving
  unsigned running = 0;
  unsigned queued = 0;
  std::vector<ModelVersion> models;  // loaded models
};

/// Why a request was refused.
enum class RefusalCode {
  kLeaving,       // the engine accepts no new requests
  kRejected,      // by EngineFaultKind::kReject
  kUnknownModel,  // the model is not loaded
  kQueueFull,
};

/// The faults that an engine can simulate, each with a count n.
enum class EngineFaultKind {
  kNone,
  kDieAfterTokens,    // the process exits after n further tokens
  kStallAfterTokens,  // produces no token after n further ones; connections stay open
  kReject,            // refuses the next n requests; with n = 0 all of them
  kSlow,              // makes each step n times as long
  kEndAfterTokens,    // ends streams after n tokens with a well-formed body that lacks [DONE]
  kCrossChunks,       // inserts n chunks with the id of another request
  kRepeatChunks,      // sends n chunks twice
};

/// Simulates one inference engine: continuous batching in steps, a priority queue, a prefix cache and model
/// loading. In each step every running request that has finished its prefill produces one token. The caller
/// passes the time, which must not go back. Not thread-safe.
class EngineCore {
 public:
  EngineCore(EngineOptions options, base::TimePoint start);

  /// Queues or starts a request and returns its handle, which Close frees. Returns nullopt with the reason if
  /// the request is refused; nothing of it has run then.
  std::optional<uint64_t> Submit(EngineRequest request, base::TimePoint now,
                                 base::Reason<RefusalCode>* reason);
  /// Processes all events up to `now`: ends of steps, of model loads and of deadlines.
  void AdvanceTo(base::TimePoint now);
  /// When the next step, model load or deadline ends; nullopt if nothing is pending.
  std::optional<base::TimePoint> NextEvent() const;

  RequestProgress Progress(uint64_t handle) const;
  const EngineRequest& RequestOf(uint64_t handle) const { return requests_.at(handle).request; }
  /// Cancels the queued and running requests with this id. Returns how many there were.
  size_t Cancel(const std::string& id, base::TimePoint now);
  /// Frees the handle of a request whose connection has ended and writes its log record. `delivered` says
  /// whether the complete answer was sent. A request that is still queued or running is cancelled; it is
  /// logged as disconnected, and so is one that finished but was not delivered.
  void Close(uint64_t handle, bool delivered, base::TimePoint now);

  /// The latest load report that is at least `report_lag` old at `now`, or the oldest one if none is.
  EngineLoadReport VisibleReport(base::TimePoint now) const;
  unsigned running() const { return static_cast<unsigned>(batch_.size()); }
  unsigned queued() const { return static_cast<unsigned>(queue_.size()); }
  /// The cache events with a sequence number above `after` that are visible at `now`, without the lost ones.
  std::vector<BlockCacheEvent> CacheEventsAfter(uint64_t after, base::TimePoint now) const;

  /// The chain of a cached prefix; empty if it is not cached.
  std::vector<uint64_t> ExportPrefix(uint64_t prefix) const { return cache_.FindChain(prefix); }
  /// Adds the blocks of a chain that another engine has exported.
  void ImportPrefix(const std::vector<uint64_t>& chain, base::TimePoint now);

  /// Refuses new requests from `now` on; those in progress continue.
  void Leave(base::TimePoint now);
  bool leaving() const { return options_.leaving; }
  /// Replaces the current fault and ends a stall. `n` is the count in EngineFaultKind.
  void SetFault(EngineFaultKind kind, uint64_t n, base::TimePoint now);
  /// True when the fault kDieAfterTokens has taken effect; the caller must end the process.
  bool crashed() const { return crashed_; }
  EngineFaultKind fault() const { return fault_; }
  uint64_t fault_count() const { return fault_count_; }
  /// Counts one chunk against the fault `kind` (kCrossChunks or kRepeatChunks). Returns whether the fault is
  /// active and the chunk is to be affected.
  bool ConsumeChunkFault(EngineFaultKind kind);
  /// Accepts or refuses an order; see OrderProcessor::Submit.
  std::optional<std::string> SubmitOrder(const ReceivedOrder& order, base::TimePoint now,
                                         base::Reason<OrderRefusal>* reason);
  /// Completes the model load in progress; called when weights come from a weight store.
  void FinishLoad(base::TimePoint now);
  const OrderProcessor& orders() const { return orders_; }
  /// Refused requests and those whose handle was closed, oldest first.
  const std::deque<RequestLogRecord>& log() const { return log_; }
  /// Records of the requests whose handle is not closed yet.
  std::vector<RequestLogRecord> OpenRecords() const;
  const EngineOptions& options() const { return options_; }

 private:
  struct ActiveRequest {
    EngineRequest request;
    std::vector<uint64_t> chain;  // see PrefixChain
    uint64_t prompt_hash = 0;
    RequestState state = RequestState::kQueued;
    bool started = false;
    bool cached = false;  // its prefix was added to the cache
    uint64_t produced = 0;
    uint64_t cached_tokens = 0;
    base::TimePoint submitted;
    base::TimePoint prefilled;  // end of the prefill; no token is produced before
    base::TimePoint ended;
  };

  base::Duration StepTime() const;
  void RunStep(base::TimePoint at);
  // Returns false if a fault crashes or stalls the engine instead.
  bool ProduceToken(ActiveRequest& active, base::TimePoint at);
  void EndRequest(uint64_t handle, RequestState state, base::TimePoint at);
  void ExpireDeadlines(base::TimePoint at);
  void StartQueuedRequests(base::TimePoint at);
  void StartRequest(uint64_t handle, base::TimePoint at);
  void RecordLoadReport(base::TimePoint at);
  RequestLogRecord RecordOf(const ActiveRequest& active, std::string outcome) const;

  EngineOptions options_;
  base::TimePoint start_;
  PrefixCache cache_;
  OrderProcessor orders_;
  std::map<uint64_t, ActiveRequest> requests_;
  std::set<std::pair<unsigned, uint64_t>>
      queue_;                    // (priority, handle), so first come first served within a priority
  std::vector<uint64_t> batch_;  // handles of the running requests
  uint64_t next_handle_ = 1;
  std::optional<base::TimePoint> step_end_;  // of the current step; nullopt while nothing runs
  std::deque<EngineLoadReport> reports_;     // oldest first, back to the one that is visible given the lag
  std::deque<RequestLogRecord> log_;
  EngineFaultKind fault_ = EngineFaultKind::kNone;
  uint64_t fault_count_ = 0;
  bool stalled_ = false;
  bool crashed_ = false;
};

}  // namespace cornelplank::standins::engine

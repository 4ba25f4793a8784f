#include "libs/rpc/internal/incoming.h"

#include <kj/debug.h>

#include <memory>
#include <thread>
#include <utility>

#include "libs/rpc/internal/answer_queue.h"
#include "libs/rpc/internal/codec.h"
#include "libs/rpc/internal/proof.h"

namespace cornelplank::rpc {
namespace {

// Nonces given out but not used yet. At this number all of them become invalid, so that callers that never
// log in can't exhaust the memory.
constexpr size_t kMaxOpenNonces = 1000;

/// Writes an answer to the queue from which the event loop sends it.
class QueueWriter final : public AnswerWriter {
 public:
  explicit QueueWriter(std::shared_ptr<AnswerQueue> queue) : queue_(std::move(queue)) {}

  bool Head(int status, const HeaderList& headers) override { return queue_->PushHead(status, headers); }
  bool Data(std::string_view bytes) override { return queue_->PushData(bytes); }
  bool cancelled() const override { return queue_->cancelled(); }

 private:
  std::shared_ptr<AnswerQueue> queue_;
};

/// Sends what the worker has queued to the caller, one batch at a time, until the end has been sent.
kj::Promise<void> SendBatches(const std::shared_ptr<AnswerQueue>& queue, wire::AnswerSink::Client sink) {
  AnswerQueue::Batch batch = queue->Take();
  if (batch.empty()) {
    return queue->Ready().then([queue, sink]() mutable { return SendBatches(queue, sink); });
  }
  kj::Promise<void> sent = kj::READY_NOW;
  if (batch.status != 0) {
    auto request = sink.headRequest();
    request.setStatus(static_cast<uint16_t>(batch.status));
    EncodeHeaders(batch.headers, request);
    sent = request.send().ignoreResult();
  }
  if (!batch.data.empty()) {
    auto request = sink.dataRequest();
    request.setBytes(ToData(batch.data));
    sent = sent.then([request = kj::mv(request)]() mutable { return request.send(); });
  }
  if (!batch.end) {
    return sent.then([queue, sink]() mutable { return SendBatches(queue, sink); });
  }
  auto request = sink.endRequest();
  Encode(*batch.end, request.initEnd());
  return sent.then([request = kj::mv(request)]() mutable { return request.send().ignoreResult(); });
}

/// Serves the calls of one peer that has logged in.
class PeerServer final : public wire::Peer::Server {
 public:
  PeerServer(const NodeOptions& options, PeerIdentity caller, NodeHandler* handler, IncomingCounter* counter)
      : options_(options), caller_(std::move(caller)), handler_(handler), counter_(counter) {}

  kj::Promise<void> forward(ForwardContext context) override {
    auto queue = std::make_shared<AnswerQueue>();
    auto sink = context.getParams().getSink();
    ForwardRequest request = Decode(context.getParams().getRequest());
    context.releaseParams();
    context.allowCancellation();
    if (counter_->running.load() >= options_.max_incoming) {
      constexpr std::chrono::milliseconds kRetryAfter{1000};
      queue->PushEnd(
          {false, "peer-full", "the VM answers too many hops", base::Outcome::kNotRun, kRetryAfter});
    } else {
      StartWorker(std::move(request), queue);
    }
    counter_->running.fetch_add(1);
    return SendBatches(queue, kj::mv(sink)).attach(kj::defer([queue, counter = counter_] {
      queue->Cancel();
      counter->running.fetch_sub(1);
    }));
  }

  kj::Promise<void> ping(PingContext /*context*/) override { return kj::READY_NOW; }

  kj::Promise<void> control(ControlContext context) override {
    const auto params = context.getParams();
    const auto payload = params.getPayload();
    const std::string answer = handler_->OnControl(
        caller_, params.getKind(), {reinterpret_cast<const char*>(payload.begin()), payload.size()});
    context.getResults().setPayload(ToData(answer));
    return kj::READY_NOW;
  }

 private:
  void StartWorker(ForwardRequest request, std::shared_ptr<AnswerQueue> queue) {
    counter_->running.fetch_add(1);
    std::thread([handler = handler_, counter = counter_, request = std::move(request),
                 queue = std::move(queue)]() mutable {
      QueueWriter writer(queue);
      queue->PushEnd(handler->OnForward(request, writer));
      queue.reset();
      counter->running.fetch_sub(1);
    }).detach();
  }

  const NodeOptions& options_;
  const PeerIdentity caller_;
  NodeHandler* handler_;
  IncomingCounter* counter_;
};

}  // namespace

kj::Promise<void> DoorServer::challenge(ChallengeContext context) {
  if (nonces_.size() >= kMaxOpenNonces) nonces_.clear();
  const std::string nonce = GenerateNonce();
  nonces_.insert(nonce);
  context.getResults().setNonce(ToData(nonce));
  return kj::READY_NOW;
}

kj::Promise<void> DoorServer::login(LoginContext context) {
  const auto params = context.getParams();
  const std::string nonce = ToString(params.getNonce());
  const std::string proof = ToString(params.getProof());
  const bool known = nonces_.erase(nonce) == 1;
  PeerIdentity caller = Decode(params.getCaller());
  KJ_REQUIRE(known && ProofsAreEqual(proof, ComputeLoginProof(options_.shared_key, nonce, caller.vm)),
             "the peer's proof is wrong");
  auto results = context.getResults();
  results.setPeer(kj::heap<PeerServer>(options_, std::move(caller), handler_, counter_));
  Encode(options_.identity, results.initCallee());
  return kj::READY_NOW;
}

}  // namespace cornelplank::rpc

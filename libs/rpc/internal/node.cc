#include "libs/rpc/internal/node.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/debug.h>

#include <atomic>
#include <future>
#include <map>
#include <thread>
#include <utility>

#include "libs/rpc/internal/call_state.h"
#include "libs/rpc/internal/incoming.h"
#include "libs/rpc/internal/outgoing.h"

namespace cornelplank::rpc {
namespace {

/// The outgoing connections and calls of a node. Used only on the event loop's thread.
class OutgoingCalls final : private kj::TaskSet::ErrorHandler {
 public:
  OutgoingCalls(const NodeOptions& options, kj::AsyncIoProvider& io)
      : options_(options), io_(io), tasks_(*this) {}

  void Forward(uint64_t id, const std::string& address, const ForwardRequest& request,
               const std::shared_ptr<CallState>& state) {
    auto canceler = kj::heap<kj::Canceler>();
    auto promise =
        canceler->wrap(LinkTo(address).Forward(request, state))
            .then(
                [state] {
                  state->Finish(
                      {false, "peer-broken", "the peer ended without an answer", base::Outcome::kUnknown});
                },
                [state](kj::Exception&& exception) {
                  const auto outcome = state->sent() ? base::Outcome::kUnknown : base::Outcome::kNotRun;
                  state->Finish({false, state->sent() ? "peer-lost" : "peer-unreachable",
                                 exception.getDescription().cStr(), outcome});
                });
    calls_[id] = kj::mv(canceler);
    tasks_.add(promise.then([this, id] { calls_.erase(id); }));
  }

  void Cancel(uint64_t id) {
    const auto found = calls_.find(id);
    if (found != calls_.end()) found->second->cancel("cancelled");
  }

  void Control(const std::string& address, uint16_t kind, const std::string& payload,
               std::chrono::milliseconds timeout, ControlCallback callback) {
    auto shared = std::make_shared<ControlCallback>(std::move(callback));
    tasks_.add(LinkTo(address)
                   .Control(kind, payload, timeout)
                   .then([shared](ControlAnswer&& answer) { (*shared)(std::move(answer)); },
                         [shared](kj::Exception&&) { (*shared)(std::nullopt); }));
  }

 private:
  /// The link to the peer at `address`, created at first use.
  PeerLink& LinkTo(const std::string& address) {
    auto& link = links_[address];
    if (!link) link = std::make_unique<PeerLink>(options_, io_, address);
    return *link;
  }

  void taskFailed(kj::Exception&& exception) override {
    CP_LOG(ERROR, "rpc") << "A call to a peer failed unexpectedly and is dropped: "
                         << exception.getDescription().cStr();
  }

  const NodeOptions& options_;
  kj::AsyncIoProvider& io_;
  std::map<std::string, std::unique_ptr<PeerLink>> links_;
  std::map<uint64_t, kj::Own<kj::Canceler>> calls_;
  kj::TaskSet tasks_;
};

class KjNode final : public Node {
 public:
  KjNode(NodeOptions options, NodeHandler* handler) : options_(std::move(options)), handler_(handler) {}

  ~KjNode() noexcept override {
    if (!thread_.joinable()) return;
    // The answers of the workers are sent by the event loop, so it must run until the last of them has ended.
    while (counter_.running.load() > 0) std::this_thread::sleep_for(std::chrono::milliseconds{5});
    stop_->fulfill();
    thread_.join();
  }

  bool Start(RpcReason* reason) {
    std::promise<std::optional<std::string>> started;
    auto result = started.get_future();
    thread_ = std::thread([this, &started] { RunLoop(&started); });
    const auto failure = result.get();
    if (failure) {
      thread_.join();
      base::SetReason(reason, RpcErrorCode::kBind, *failure);
    }
    return !failure;
  }

  void SetIdentityMetadata(std::string metadata) override {
    RunOnLoop([this, &metadata] { options_.identity.metadata = std::move(metadata); });
  }

  uint16_t port() const override { return port_; }
  size_t incoming_calls() const override { return counter_.running.load(); }

  std::unique_ptr<ForwardCall> Forward(const std::string& address, const ForwardRequest& request) override {
    auto state = std::make_shared<CallState>();
    const uint64_t id = next_call_.fetch_add(1);
    RunOnLoop([this, id, address, request, state] { outgoing_->Forward(id, address, request, state); });
    return std::make_unique<Call>(this, id, std::move(state));
  }

  void Control(const std::string& address, uint16_t kind, std::string payload,
               std::chrono::milliseconds timeout, ControlCallback callback) override {
    RunOnLoop([this, address, kind, payload = std::move(payload), timeout,
               callback = std::move(callback)]() mutable {
      outgoing_->Control(address, kind, payload, timeout, std::move(callback));
    });
  }

 private:
  class Call final : public ForwardCall {
   public:
    Call(KjNode* node, uint64_t id, std::shared_ptr<CallState> state)
        : node_(node), id_(id), state_(std::move(state)) {}
    ~Call() override {
      if (ended_) return;
      node_->RunOnLoop([node = node_, id = id_] { node->outgoing_->Cancel(id); });
    }
    ForwardEvent Next(std::chrono::milliseconds limit) override {
      ForwardEvent event = state_->Pop(limit);
      ended_ = ended_ || event.kind == ForwardEvent::Kind::kEnd;
      return event;
    }
    bool sent() const override { return state_->sent(); }

   private:
    KjNode* node_;
    const uint64_t id_;
    std::shared_ptr<CallState> state_;
    bool ended_ = false;
  };

  /// Runs `function` on the event loop's thread and waits until it has returned. An exception is dropped.
  template <typename Function>
  void RunOnLoop(Function&& function) {
    if (std::this_thread::get_id() == thread_.get_id()) {
      function();
      return;
    }
    kj::runCatchingExceptions([&] { executor_->executeSync([&] { function(); }); });
  }

  /// The event loop's thread. Sets `*started` to nothing once the node listens, or to the cause of the
  /// failure.
  void RunLoop(std::promise<std::optional<std::string>>* started) {
    auto exception = kj::runCatchingExceptions([&] {
      auto io = kj::setupAsyncIo();
      auto address = io.provider->getNetwork().parseAddress(options_.listen).wait(io.waitScope);
      auto listener = address->listen();
      OutgoingCalls outgoing(options_, *io.provider);
      outgoing_ = &outgoing;
      executor_ = kj::getCurrentThreadExecutor().addRef();
      port_ = static_cast<uint16_t>(listener->getPort());
      auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
      stop_ = kj::mv(stop.fulfiller);
      capnp::TwoPartyServer server(kj::heap<DoorServer>(options_, handler_, &counter_));
      started->set_value(std::nullopt);
      started = nullptr;
      server.listen(*listener).exclusiveJoin(kj::mv(stop.promise)).wait(io.waitScope);
    });
    KJ_IF_MAYBE (failure, exception) {
      if (started != nullptr) {
        started->set_value(std::string(failure->getDescription().cStr()));
      } else {
        CP_LOG(ERROR, "rpc") << "The event loop ended, and no further calls are sent or received: "
                             << failure->getDescription().cStr();
      }
    }
  }

  NodeOptions options_;  // used by the event loop's thread once it runs
  NodeHandler* handler_;
  std::thread thread_;
  uint16_t port_ = 0;
  OutgoingCalls* outgoing_ = nullptr;  // owned by `RunLoop`
  kj::Own<const kj::Executor> executor_;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> stop_;
  IncomingCounter counter_;
  std::atomic<uint64_t> next_call_{1};
};

}  // namespace

std::unique_ptr<Node> Node::Start(const NodeOptions& options, NodeHandler* handler, RpcReason* reason) {
  auto node = std::make_unique<KjNode>(options, handler);
  if (!node->Start(reason)) return nullptr;
  return node;
}

}  // namespace cornelplank::rpc

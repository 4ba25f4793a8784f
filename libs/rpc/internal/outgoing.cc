#include "libs/rpc/internal/outgoing.h"

#include <kj/debug.h>

#include <utility>

#include "libs/rpc/internal/codec.h"
#include "libs/rpc/internal/proof.h"

namespace cornelplank::rpc {
namespace {

// Interval of the pings on a connection with calls outstanding.
constexpr auto kPingInterval = 250 * kj::MILLISECONDS;
// Further wait for the answer to a ping after its timeout. After a pause of this process the timer fires
// before the answers that wait in the socket are read, so a connection counts as silent only when no answer
// is read in this time either.
constexpr auto kPingGracePeriod = 100 * kj::MILLISECONDS;

kj::Duration ToKjDuration(std::chrono::milliseconds time) { return time.count() * kj::MILLISECONDS; }

/// Receives the answer to a hop and queues it in the call's state.
class SinkServer final : public wire::AnswerSink::Server {
 public:
  explicit SinkServer(std::shared_ptr<CallState> state) : state_(std::move(state)) {}

  kj::Promise<void> head(HeadContext context) override {
    ForwardEvent event;
    event.kind = ForwardEvent::Kind::kHead;
    event.status = context.getParams().getStatus();
    event.headers = DecodeHeaders(context.getParams().getHeaders());
    state_->Push(std::move(event));
    return kj::READY_NOW;
  }

  kj::Promise<void> data(DataContext context) override {
    ForwardEvent event;
    event.kind = ForwardEvent::Kind::kData;
    event.data = ToString(context.getParams().getBytes());
    state_->Push(std::move(event));
    return state_->WaitForSpace();
  }

  kj::Promise<void> end(EndContext context) override {
    state_->Finish(Decode(context.getParams().getEnd()));
    return kj::READY_NOW;
  }

 private:
  std::shared_ptr<CallState> state_;
};

}  // namespace

/// One connection to the peer. Calls and the link share its ownership.
struct PeerLink::Connection : kj::Refcounted {
  explicit Connection(kj::Own<kj::AsyncIoStream> socket)
      : stream(kj::mv(socket)), client(kj::heap<capnp::TwoPartyClient>(*stream)), monitor(nullptr) {}

  kj::Own<Connection> addRef() { return kj::addRef(*this); }

  kj::Own<kj::AsyncIoStream> stream;
  kj::Own<capnp::TwoPartyClient> client;
  kj::Maybe<wire::Peer::Client> peer;
  PeerIdentity callee;
  size_t outstanding = 0;  // calls without an answer
  bool broken = false;     // `Drop` was called; the connection takes no more calls
  kj::Promise<void> monitor;
  kj::Canceler calls;
};

kj::Promise<kj::Own<PeerLink::Connection>> PeerLink::GetConnection() {
  KJ_IF_MAYBE (connecting, connecting_) {
    return connecting->addBranch();
  }
  auto forked = Connect().fork();
  auto branch = forked.addBranch();
  connecting_ = kj::mv(forked);
  return branch.catch_([this](kj::Exception&& exception) -> kj::Own<Connection> {
    connecting_ = nullptr;
    kj::throwFatalException(kj::mv(exception));
  });
}

kj::Promise<kj::Own<PeerLink::Connection>> PeerLink::Connect() {
  auto login = io_.getNetwork()
                   .parseAddress(address_)
                   .then([](kj::Own<kj::NetworkAddress>&& address) {
                     auto promise = address->connect();
                     return promise.attach(kj::mv(address));
                   })
                   .then([this](kj::Own<kj::AsyncIoStream>&& stream) {
                     auto connection = kj::refcounted<Connection>(kj::mv(stream));
                     auto door = connection->client->bootstrap().castAs<wire::Door>();
                     return door.challengeRequest()
                         .send()
                         .then([this, door](auto&& challenge) mutable {
                           const std::string nonce = ToString(challenge.getNonce());
                           auto request = door.loginRequest();
                           Encode(options_.identity, request.initCaller());
                           request.setNonce(ToData(nonce));
                           request.setProof(
                               ToData(ComputeLoginProof(options_.shared_key, nonce, options_.identity.vm)));
                           return request.send();
                         })
                         .then([this, connection = kj::mv(connection)](auto&& response) mutable {
                           connection->peer = response.getPeer();
                           connection->callee = Decode(response.getCallee());
                           connection->monitor =
                               SendPings(*connection).eagerlyEvaluate([](kj::Exception&&) {});
                           return kj::mv(connection);
                         });
                   });
  return io_.getTimer().timeoutAfter(ToKjDuration(options_.connect_timeout), kj::mv(login));
}

/// Sends pings while calls are outstanding. A ping without an answer means that something between the two
/// ends has lost the connection: it is dropped, and the next call opens a new one.
kj::Promise<void> PeerLink::SendPings(Connection& connection) {
  return io_.getTimer().afterDelay(kPingInterval).then([this, &connection]() -> kj::Promise<void> {
    if (connection.broken) return kj::READY_NOW;
    if (connection.outstanding == 0) return SendPings(connection);
    auto answered =
        KJ_ASSERT_NONNULL(connection.peer).pingRequest().send().ignoreResult().then([] { return true; });
    auto silent = io_.getTimer()
                      .afterDelay(ToKjDuration(options_.ping_timeout))
                      .then([this] { return io_.getTimer().afterDelay(kPingGracePeriod); })
                      .then([] { return false; });
    return answered.exclusiveJoin(kj::mv(silent))
        .then(
            [this, &connection](bool alive) -> kj::Promise<void> {
              if (alive) return SendPings(connection);
              CP_LOG(WARNING, "rpc") << "The connection to " << address_
                                     << " answered no ping and is replaced.";
              Drop(&connection);
              return kj::READY_NOW;
            },
            [this, &connection](kj::Exception&&) -> kj::Promise<void> {
              Drop(&connection);
              return kj::READY_NOW;
            });
  });
}

void PeerLink::Drop(const Connection* connection) {
  auto* mutable_connection = const_cast<Connection*>(connection);
  if (mutable_connection->broken) return;
  mutable_connection->broken = true;
  connecting_ = nullptr;
  mutable_connection->calls.cancel(KJ_EXCEPTION(DISCONNECTED, "the connection broke or went silent"));
}

kj::Promise<void> PeerLink::Forward(const ForwardRequest& request, std::shared_ptr<CallState> state) {
  return GetConnection().then([this, request, state](kj::Own<Connection>&& connection) mutable {
    auto call = KJ_ASSERT_NONNULL(connection->peer).forwardRequest();
    Encode(request, call.initRequest());
    call.setSink(kj::heap<SinkServer>(state));
    state->MarkSent();
    ++connection->outstanding;
    auto* raw = connection.get();
    return raw->calls.wrap(call.send().ignoreResult())
        .catch_([this, raw](kj::Exception&& exception) {
          if (exception.getType() == kj::Exception::Type::DISCONNECTED) Drop(raw);
          kj::throwFatalException(kj::mv(exception));
        })
        .attach(kj::defer([connection = kj::mv(connection)]() mutable { --connection->outstanding; }));
  });
}

kj::Promise<ControlAnswer> PeerLink::SendControl(uint16_t kind, const std::string& payload) {
  return GetConnection().then([this, kind, payload](kj::Own<Connection>&& connection) mutable {
    auto call = KJ_ASSERT_NONNULL(connection->peer).controlRequest();
    call.setKind(kind);
    call.setPayload(ToData(payload));
    ++connection->outstanding;
    auto* raw = connection.get();
    return raw->calls
        .wrap(call.send().then([raw](auto&& response) {
          return ControlAnswer{raw->callee, ToString(response.getPayload())};
        }))
        .catch_([this, raw](kj::Exception&& exception) -> ControlAnswer {
          if (exception.getType() == kj::Exception::Type::DISCONNECTED) Drop(raw);
          kj::throwFatalException(kj::mv(exception));
        })
        .attach(kj::defer([connection = kj::mv(connection)]() mutable { --connection->outstanding; }));
  });
}

/// A call whose connection broke or went silent is repeated once over a new connection, since the failure of
/// a connection doesn't show that the VM at the other end has failed. Control messages may be delivered
/// twice.
kj::Promise<ControlAnswer> PeerLink::Control(uint16_t kind, const std::string& payload,
                                             std::chrono::milliseconds timeout) {
  auto exchange = SendControl(kind, payload)
                      .catch_([this, kind, payload](kj::Exception&& exception) -> kj::Promise<ControlAnswer> {
                        if (exception.getType() != kj::Exception::Type::DISCONNECTED) {
                          kj::throwFatalException(kj::mv(exception));
                        }
                        return SendControl(kind, payload);
                      });
  return io_.getTimer().timeoutAfter(ToKjDuration(timeout), kj::mv(exchange));
}

}  // namespace cornelplank::rpc

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "libs/rpc/rpc.h"

namespace cornelplank::rpc {
namespace {

using std::chrono::milliseconds;

const std::string kToken(100, 't');

/// Answers a hop with one token for each character of its path. With method WAIT it then waits for the
/// cancellation.
class TestHandler final : public NodeHandler {
 public:
  ForwardEnd OnForward(const ForwardRequest& request, AnswerWriter& writer) override {
    last_remaining = request.remaining;
    writer.Head(200, {{"Served-By", request.target}});
    for (int i = 0; i < static_cast<int>(request.path.size()) && writer.Data(kToken); ++i) ++written;
    if (request.method == "WAIT") {
      while (!writer.cancelled()) std::this_thread::sleep_for(milliseconds{1});
      ++cancelled;
    }
    return {true, "", "", base::Outcome::kRan};
  }
  std::string OnControl(const PeerIdentity& caller, uint16_t kind, std::string_view payload) override {
    return std::to_string(kind) + std::string(payload) + caller.vm + caller.metadata;
  }

  milliseconds last_remaining{0};
  std::atomic<int> written{0};
  std::atomic<int> cancelled{0};
};

class NodeTest : public testing::Test {
 protected:
  NodeTest() {
    NodeOptions options{.identity = {"b", 2, ""}, .shared_key = "secret"};
    receiver_ = Node::Start(options, &handler_, nullptr);
    options.identity = {"a", 1, "!"};
    sender_ = Node::Start(options, &handler_, nullptr);
    address_ = "127.0.0.1:" + std::to_string(receiver_->port());
  }

  TestHandler handler_;
  std::unique_ptr<Node> receiver_;
  std::unique_ptr<Node> sender_;
  std::string address_;
};

/// Reads the answer to its end and returns the last event (kNothing when none arrives for 5 s).
ForwardEvent ReadToEnd(ForwardCall& call, std::string* data, int* status) {
  while (true) {
    ForwardEvent event = call.Next(milliseconds{5000});
    if (event.kind == ForwardEvent::Kind::kHead) *status = event.status;
    if (event.kind == ForwardEvent::Kind::kData) *data += event.data;
    if (event.kind == ForwardEvent::Kind::kEnd || event.kind == ForwardEvent::Kind::kNothing) return event;
  }
}

// Guards against a hop that loses a part of the request or of its streamed answer.
TEST_F(NodeTest, CarriesRequestAndStreamedAnswer) {
  const auto call = sender_->Forward(
      address_, {.remaining = milliseconds{1234}, .target = "x", .path = std::string(1000, 'p')});
  std::string data;
  int status = 0;
  const ForwardEvent last = ReadToEnd(*call, &data, &status);
  EXPECT_EQ(status, 200);
  EXPECT_TRUE(last.end.complete);
  EXPECT_EQ(data.size(), 1000 * kToken.size());
  EXPECT_EQ(handler_.last_remaining, milliseconds{1234});
  EXPECT_TRUE(call->sent());
}

// Guards against work that goes on after the caller has cancelled the hop.
TEST_F(NodeTest, CancelReachesTheReceiver) {
  auto call = sender_->Forward(address_, {.method = "WAIT"});
  EXPECT_EQ(call->Next(milliseconds{5000}).kind, ForwardEvent::Kind::kHead);
  call.reset();
  for (int i = 0; i < 1000 && handler_.cancelled == 0; ++i) std::this_thread::sleep_for(milliseconds{5});
  EXPECT_EQ(handler_.cancelled, 1);
}

// Guards against unbounded memory when the consumer is slow: the handler must be blocked, not run ahead of
// it.
TEST_F(NodeTest, BlocksTheSenderWhenTheConsumerIsSlow) {
  constexpr int kTokens = 200000;  // 20 MB, well above the size of the queues and socket buffers
  const auto call = sender_->Forward(address_, {.path = std::string(kTokens, 'p')});
  std::this_thread::sleep_for(milliseconds{300});
  EXPECT_LT(handler_.written, kTokens);
  std::string data;
  int status = 0;
  EXPECT_TRUE(ReadToEnd(*call, &data, &status).end.complete);
  EXPECT_EQ(handler_.written, kTokens);
}

// Guards against an outcome other than not-run for a hop that could not be sent, which would forbid a retry.
TEST_F(NodeTest, HopToAnUnreachablePeerIsNotRun) {
  receiver_.reset();
  const auto call = sender_->Forward(address_, {});
  const ForwardEvent event = call->Next(milliseconds{5000});
  ASSERT_EQ(event.kind, ForwardEvent::Kind::kEnd);
  EXPECT_EQ(event.end.outcome, base::Outcome::kNotRun);
  EXPECT_FALSE(call->sent());
}

// Guards against calls from processes that don't know the fleet's shared key.
TEST_F(NodeTest, RefusesAPeerWithoutTheSharedKey) {
  const auto outsider = Node::Start({.identity = {"c", 3, ""}, .shared_key = "wrong"}, &handler_, nullptr);
  const auto call = outsider->Forward(address_, {});
  const ForwardEvent event = call->Next(milliseconds{5000});
  ASSERT_EQ(event.kind, ForwardEvent::Kind::kEnd);
  EXPECT_EQ(event.end.outcome, base::Outcome::kNotRun);
}

// Guards against control messages that block the sender, or lose their reply or the peer's identity.
TEST_F(NodeTest, ExchangesControlMessages) {
  std::atomic<bool> done{false};
  std::optional<ControlAnswer> answer;
  sender_->Control(address_, 7, "x", milliseconds{2000}, [&](std::optional<ControlAnswer> value) {
    answer = std::move(value);
    done = true;
  });
  while (!done) std::this_thread::sleep_for(milliseconds{1});
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->payload, "7xa!");
  EXPECT_EQ(answer->callee.vm, "b");
  EXPECT_EQ(answer->callee.incarnation, 2U);
}

}  // namespace
}  // namespace cornelplank::rpc

#include <gtest/gtest.h>

#include <thread>

#include "libs/http/http.h"

namespace cornelplank::http {
namespace {

using std::chrono::milliseconds;

/// A body of "abc" `count` times that then ends, breaks, or ends only after 700 ms of silence.
class TestBody final : public BodySource {
 public:
  enum class End { kComplete, kBroken, kSilent };
  TestBody(int count, End end) : count_(count), end_(end) {}
  std::optional<size_t> Read(char* buffer, size_t /*capacity*/) override {
    if (count_-- > 0) {
      return std::string("abc").copy(buffer, 3);
    }
    if (end_ == End::kSilent) std::this_thread::sleep_for(milliseconds{700});
    if (end_ == End::kBroken) return std::nullopt;
    return 0;
  }

 private:
  int count_;
  End end_;
};

Response Handle(const Request& request) {
  Response response;
  if (request.path == "/echo") {
    response.headers["Seen"] = std::string(HeaderValue(request.headers, "x-value"));
    response.body = request.method + request.body + request.query.at("q");
  } else if (request.path == "/stream") {
    response.stream = std::make_unique<TestBody>(2, TestBody::End::kComplete);
  } else if (request.path == "/broken") {
    response.stream = std::make_unique<TestBody>(2, TestBody::End::kBroken);
  } else {
    response.stream = std::make_unique<TestBody>(2, TestBody::End::kSilent);
  }
  return response;
}

class ExchangeTest : public testing::Test {
 protected:
  ExchangeTest() {
    ServerOptions options;
    options.max_body_bytes = 100;
    server_ = Server::Start(options, Handle, nullptr);
    client_ = Client::Create();
  }
  std::string Url(const std::string& path) const {
    return "http://127.0.0.1:" + std::to_string(server_->port()) + path;
  }

  std::unique_ptr<Server> server_;
  std::unique_ptr<Client> client_;
};

// Guards against requests and responses that lose their method, headers, query or body on the way.
TEST_F(ExchangeTest, CarriesMethodHeadersQueryAndBody) {
  const auto response = client_->Send(
      {.method = "POST", .url = Url("/echo?q=z"), .headers = {{"X-Value", "7"}}, .body = "hello"}, nullptr,
      nullptr);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body, "POSThelloz");
  EXPECT_EQ(HeaderValue(response->headers, "seen"), "7");
}

// Guards against a request body above the limit that is accepted and takes up memory.
TEST_F(ExchangeTest, RefusesBodiesAboveTheLimit) {
  const auto response = client_->Send(
      {.method = "POST", .url = Url("/echo?q=z"), .body = std::string(101, 'x')}, nullptr, nullptr);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 413);
}

struct EndCase {
  const char* path;
  bool complete;
  HttpErrorCode code;  // ignored when the response is complete
};
class StreamEndTest : public ExchangeTest, public testing::WithParamInterface<EndCase> {};

// Guards against a broken or silent stream that is taken for a complete one.
TEST_P(StreamEndTest, ReportsHowAStreamEnded) {
  const auto exchange = client_->Open({.url = Url(GetParam().path), .progress_timeout = milliseconds{200}});
  std::string body;
  ExchangeEvent event;
  do {
    event = exchange->Next(milliseconds{5000});
    body += event.data;
  } while (event.kind == ExchangeEvent::Kind::kHead || event.kind == ExchangeEvent::Kind::kData);
  const bool complete = event.kind == ExchangeEvent::Kind::kEnd;
  EXPECT_EQ(complete, GetParam().complete);
  EXPECT_EQ(body, "abcabc");
  EXPECT_TRUE(exchange->state().request_sent);
  EXPECT_TRUE(exchange->state().head_received);
  if (!complete) {
    EXPECT_EQ(event.reason.code, GetParam().code);
  }
  EXPECT_TRUE(server_->WaitIdle(milliseconds{2000}));
}
INSTANTIATE_TEST_SUITE_P(Table, StreamEndTest,
                         testing::Values(EndCase{"/stream", true, HttpErrorCode::kInvalid},
                                         EndCase{"/broken", false, HttpErrorCode::kBroken},
                                         EndCase{"/silent", false, HttpErrorCode::kStalled}));

// Guards against a refused connection that is reported as if bytes of the request had been sent.
TEST_F(ExchangeTest, ReportsThatNothingWasSentWhenTheConnectionIsRefused) {
  const std::string url = Url("/echo");
  server_.reset();
  HttpReason reason;
  ExchangeState state{true, true};
  EXPECT_FALSE(client_->Send({.url = url}, &reason, &state));
  EXPECT_EQ(reason.code, HttpErrorCode::kConnect);
  EXPECT_FALSE(state.request_sent);
}

// Guards against events that are split or joined where the reads of the stream are split.
TEST(SseParserTest, FindsEventsWhereverReadsAreSplit) {
  const std::string wire = FormatSse({"", "one"}) + FormatSse({"error", "two\nlines"}) + ": comment\n\n" +
                           FormatSse({"", std::string(kSseDone)});
  for (size_t step = 1; step < wire.size(); ++step) {
    SseParser parser;
    std::vector<std::string> seen;
    for (size_t at = 0; at < wire.size(); at += step) {
      ASSERT_TRUE(parser.Feed(std::string_view(wire).substr(at, step), [&](const SseEvent& event) {
        seen.push_back(event.event + "|" + event.data);
        return true;
      }));
    }
    EXPECT_EQ(seen, (std::vector<std::string>{"|one", "error|two\nlines", "|[DONE]"}));
  }
}

}  // namespace
}  // namespace cornelplank::http

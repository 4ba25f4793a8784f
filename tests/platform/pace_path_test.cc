#include <gtest/gtest.h>

#include "tests/platform/proxy_path.h"

namespace cornelplank {
namespace {

using std::chrono::milliseconds;
using testing::SequenceServer;

std::string MakeHead(const std::string& status, const std::string& id, const std::string& load,
                     const std::string& more) {
  return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + id +
         "\r\nResponse-Signature: s\r\nServer-Load: " + load + "\r\n" + more + "\r\n";
}

struct PacePathTest : testing::ProxyPath {
  /// Gives the routes' service an engine.
  void AddEngine() {
    auto config = std::make_shared<serving::RoutingConfig>(*entry->registry.config());
    ++config->version;
    config->services["svc"].engine = serving::ModelEngineConfig{16, 0, 8};
    entry->registry.SetConfig(config);
  }
};

// Guards against a forecast that is not compared with the course of its own request, and against one where
// the replica has not stated its speed.
TEST_F(PacePathTest, ForecastAndCourseOfAStreamAreReported) {
  const std::string stream = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
  const std::string event = "10\r\nid: 1\ndata: aa\n\n\r\n";
  const std::string next = "10\r\nid: 2\ndata: bb\n\n\r\n0\r\n\r\n";
  ASSERT_EQ(std::string("id: 1\ndata: aa\n\n").size(), 0x10U);
  SequenceServer first(loop, {{MakeHead("200 OK", "1", "1,0,16,100", stream) + event, false, next},
                              {MakeHead("200 OK", "2", "1,0,16,100", stream) + event, false, next}});
  SequenceServer second(loop, {});
  Connect(first.Endpoint(), second.Endpoint(), false);
  AddEngine();
  entry->registry.RecordLeaving(*entry->registry.Find("second"), clock.Now());
  Send("/stream/a", "1", milliseconds(100));
  EXPECT_EQ(entry->last_request.summary.outcome, "answered");
  EXPECT_FALSE(entry->last_request.summary.forecast);
  Send("/stream/a", "2", milliseconds(100));
  const serving::RequestSummary& summary = entry->last_request.summary;
  EXPECT_EQ(summary.outcome, "answered");
  ASSERT_TRUE(summary.forecast);
  EXPECT_GT(summary.forecast->first_event.mean.count(), 0);
  ASSERT_TRUE(summary.course.first_event && summary.course.longest_pause);
  EXPECT_GE(*summary.course.longest_pause, milliseconds(20));  // the second event comes 30 ms later
  EXPECT_GE(summary.course.end, *summary.course.first_event + *summary.course.longest_pause);
  EXPECT_TRUE(summary.course.whole);
}

// Guards against a replica that has refused a request as full being sent the next one at once, and against a
// refused request that no other replica gets.
TEST_F(PacePathTest, AReplicaThatRefusesAsFullIsLeftAlone) {
  const std::string refusal =
      MakeHead("503 Full", "1", "6,0,6,100", "Not-Executed: 1\r\nContent-Length: 0\r\n");
  const std::string answer = "Content-Length: 2\r\n";
  SequenceServer first(loop, {{refusal}});
  SequenceServer second(loop, {{MakeHead("200 OK", "1", "1,0,6,100", answer) + "ok"}});
  Connect(first.Endpoint(), second.Endpoint(), false);
  Send("/once/a", "1", milliseconds(10));
  EXPECT_EQ(entry->last_request.summary.outcome, "answered");
  EXPECT_EQ(first.requests(), 1);
  EXPECT_EQ(second.requests(), 1);
  const auto full = entry->registry.Find("first");
  EXPECT_GT(full->full_until, full->load_stated_at);
  EXPECT_EQ(entry->registry.Find("second")->full_until, base::TimePoint{});
}

}  // namespace
}  // namespace cornelplank

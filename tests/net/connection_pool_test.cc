#include <gtest/gtest.h>

#include "tests/net/loopback.h"

namespace cornelplank {
namespace {

using testing::RunTask;
using testing::ScriptedServer;
using Ending = ScriptedServer::Ending;

struct FullPoolCase {
  const char* name;
  size_t connections;  // limit of the pool
  bool other_is_idle;  // besides the connection in use, one to another server is idle
  size_t idle_per_endpoint;
  bool opens;  // a connection to a third server can be opened
};

class FullPoolTest : public ::testing::TestWithParam<FullPoolCase> {
 protected:
  std::shared_ptr<net::PooledConnection> Take(const ScriptedServer& server) {
    std::shared_ptr<net::PooledConnection> connection;
    EXPECT_TRUE(RunTask(loop_,
                        [](net::ConnectionPool& pool, net::Tcp::endpoint endpoint, net::Error* error,
                           std::shared_ptr<net::PooledConnection>* out) -> net::Task<> {
                          *out = co_await pool.Take(endpoint, std::chrono::seconds(60), error);
                        }(pool_, server.Endpoint(), &error_, &connection)));
    return connection;
  }

  net::asio::io_context loop_{1};
  base::SystemClock clock_;
  net::PoolSettings settings_ = [] {
    net::PoolSettings settings;
    settings.connections = GetParam().connections;
    settings.idle_per_endpoint = GetParam().idle_per_endpoint;
    return settings;
  }();
  net::ConnectionPool pool_{loop_, clock_, settings_};
  net::Error error_;
};

// Guards against the end of the process when a pool is full and the last idle connection to a server is in
// use.
TEST_P(FullPoolTest, ClosesOnlyConnectionsThatAreIdle) {
  ScriptedServer first(loop_, "", Ending::kKeepOpen);
  ScriptedServer second(loop_, "", Ending::kKeepOpen);
  ScriptedServer third(loop_, "", Ending::kKeepOpen);
  pool_.Release(Take(first));
  const auto in_use = Take(first);
  ASSERT_TRUE(in_use);
  if (GetParam().other_is_idle) {
    pool_.Release(Take(second));
  }
  const auto opened = Take(third);
  EXPECT_EQ(opened != nullptr, GetParam().opens);
  EXPECT_EQ(error_ == net::asio::error::no_descriptors, !GetParam().opens);
  EXPECT_TRUE(in_use->stream.socket().is_open());
}

INSTANTIATE_TEST_SUITE_P(Pools, FullPoolTest,
                         ::testing::Values(FullPoolCase{"OtherServerIdle", 2, true, 16, true},
                                           FullPoolCase{"NothingIdle", 1, false, 16, false},
                                           FullPoolCase{"NoneIsKept", 1, false, 0, false}),
                         [](const auto& param_info) { return param_info.param.name; });

}  // namespace
}  // namespace cornelplank

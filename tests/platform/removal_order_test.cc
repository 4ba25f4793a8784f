#include <gtest/gtest.h>

#include "tests/platform/vm_under_test.h"

namespace cornelplank {
namespace {

using platform::PrefixMirror;
using platform::StoreChange;
using testing::kFirstVmAddress;
using testing::RunFor;

/// What a mirror reads: a listing or changes, with the store's revision up to which they are complete.
struct Read {
  bool listing;
  std::vector<StoreChange> items;
  uint64_t store_revision;
};
struct RemovalCase {
  const char* name;
  std::vector<Read> reads;
  std::vector<std::string> expected;  // keys afterwards
};
class RemovalOrderTest : public ::testing::TestWithParam<RemovalCase> {};

// Guards against a key that an older answer removes or restores, such as an evacuated zone or a replica that
// has left.
TEST_P(RemovalOrderTest, FollowsTheNewestAnswer) {
  net::asio::io_context loop(1);
  PrefixMirror mirror(loop);
  for (const Read& read : GetParam().reads) {
    if (read.listing) {
      mirror.Replace(read.items, read.store_revision);
    } else {
      mirror.Apply(read.items, read.store_revision);
    }
  }
  std::vector<std::string> keys;
  for (const StoreChange& item : mirror.Items()) keys.push_back(item.key);
  EXPECT_EQ(keys, GetParam().expected);
}

const StoreChange kA{"a", "1", 5, ""};
const StoreChange kB{"b", "1", 9, ""};
const StoreChange kBGone{"b", std::nullopt, 12, ""};
const StoreChange kBAgain{"b", "2", 15, ""};

INSTANTIATE_TEST_SUITE_P(
    Reads, RemovalOrderTest,
    ::testing::Values(
        RemovalCase{
            "OlderListingWithoutTheKey", {{true, {kA}, 6}, {false, {kB}, 9}, {true, {kA}, 8}}, {"a", "b"}},
        RemovalCase{"OlderListingWithARemovedKey",
                    {{true, {kA, kB}, 9}, {false, {kBGone}, 12}, {true, {kA, kB}, 11}},
                    {"a"}},
        RemovalCase{"OlderChangeOfARemovedKey",
                    {{true, {kA, kB}, 9}, {false, {kBGone}, 12}, {false, {kB}, 9}},
                    {"a"}},
        RemovalCase{"OlderListingOfUnknownRevision",
                    {{true, {kA, kB}, 9}, {false, {kBGone}, 12}, {true, {kA, kB}, 0}},
                    {"a"}},
        RemovalCase{"OlderRemoval", {{true, {kA, kBAgain}, 15}, {false, {kBGone}, 12}}, {"a", "b"}},
        RemovalCase{"NewerListingWithoutTheKey", {{true, {kA, kB}, 9}, {true, {kA}, 12}}, {"a"}},
        RemovalCase{"SameListingAgain", {{true, {kA, kB}, 9}, {true, {kA, kB}, 9}}, {"a", "b"}},
        RemovalCase{
            "WrittenAgain", {{true, {kA, kB}, 9}, {false, {kBGone}, 12}, {false, {kBAgain}, 15}}, {"a", "b"}},
        RemovalCase{"ListedAgain",
                    {{true, {kA, kB}, 9}, {false, {kBGone}, 12}, {true, {kA, kBAgain}, 15}},
                    {"a", "b"}},
        // A page after the first one may hold what was written while the listing was read.
        RemovalCase{"WrittenWhileListed", {{true, {kA, kB}, 7}, {true, {kA}, 8}}, {"a", "b"}},
        RemovalCase{"UnknownRevisions", {{true, {kA, kB}, 0}, {true, {kA}, 0}}, {"a"}}),
    [](const auto& info) { return info.param.name; });

// Guards against a removal that a VM takes from another one's listing and hands on without its age.
TEST(RemovalOrder, IsKnownToFollowers) {
  net::asio::io_context loop(1);
  PrefixMirror mirror(loop);
  mirror.Replace({kA, kB}, 9);
  const uint64_t sequence = mirror.List().revision;
  mirror.Replace({kA}, 12);
  platform::StorePage page;
  ASSERT_TRUE(testing::RunTask(loop, [](auto& watched, uint64_t after, auto* out) -> net::Task<> {
    *out = co_await watched.Watch(after, std::chrono::milliseconds(10));
  }(mirror, sequence, &page)));
  ASSERT_EQ(page.changes.size(), 1U);
  EXPECT_EQ(page.changes[0].revision, 12U);
  platform::StorePage read;
  ASSERT_TRUE(platform::DecodePage(platform::EncodePage(page), &read));
  EXPECT_EQ(read.store_revision, 12U);
}

/// A store whose watches are silent until `EndWatches`, and whose listings, made when they are asked for,
/// arrive `listing_delay` later.
class SlowStore final : public net::RequestHandler {
 public:
  explicit SlowStore(net::asio::io_context& loop) : loop_(loop) {
    net::Error error;
    server_ = net::HttpServer::Listen(loop, testing::Loopback(), *this, &error);
    if (!server_) throw std::runtime_error(error.message());
  }

  net::Tcp::endpoint Endpoint() const { return testing::Loopback(server_->Port()); }
  void Put(const std::string& key) { items_[key] = ++revision_; }
  int listings() const { return listings_; }

  bool watches_answer = false;
  std::chrono::milliseconds listing_delay{0};

  net::Task<> Handle(net::Request& request, net::ResponseWriter& writer) override {
    const bool watch = request.target.starts_with("/kv-watch");
    const bool operator_call = request.target.find("path_prefix=op/") != std::string::npos;
    while (watch && !watches_answer) {
      co_await net::Sleep(loop_, std::chrono::milliseconds(10));
      if (writer.ClientGone()) co_return;
    }
    if (watch) {
      co_await net::Sleep(loop_, std::chrono::milliseconds(100));
    }
    std::string body =
        R"({"current_rev":)" + std::to_string(revision_) + (watch ? R"(,"events":[)" : R"(,"items":[)");
    const std::string after(platform::QueryValue(request.target, "after"));
    bool first = true;
    for (const auto& [key, revision] : items_) {
      if (!operator_call || (watch && revision <= std::stoull(after))) continue;
      body += (first ? R"({"key":")" : R"(,{"key":")") + key + R"(","value":"e30=","revision":)" +
              std::to_string(revision) + "}";
      first = false;
    }
    body += "]}";
    if (!watch && operator_call) ++listings_;
    if (!watch) {
      co_await net::Sleep(loop_, listing_delay);
    }
    co_await writer.Send({200, {}}, body);
  }

 private:
  net::asio::io_context& loop_;
  std::unique_ptr<net::HttpServer> server_;
  std::map<std::string, uint64_t> items_;  // revision by key
  uint64_t revision_ = 10;
  int listings_ = 0;
};

// Guards against a direct read of the store that undoes an evacuation which a watch brings meanwhile.
TEST(DirectReadTest, KeepsAnEvacuationThatComesMeanwhile) {
  net::asio::io_context loop{1};
  base::SystemClock clock;
  SlowStore store(loop);
  store.Put("op/config");
  testing::VmUnderTest vm(loop, clock, store.Endpoint(), kFirstVmAddress, testing::OwnMirrorPort());
  RunFor(loop, std::chrono::milliseconds(200));
  ASSERT_EQ(store.listings(), 1);
  store.listing_delay = std::chrono::milliseconds(450);  // below the timeout of a direct read
  for (int i = 0; i < 400 && store.listings() == 1; ++i) RunFor(loop, std::chrono::milliseconds(10));
  ASSERT_EQ(store.listings(), 2);  // the direct read, which doesn't have what follows
  store.Put("op/evacuate/z");
  store.watches_answer = true;
  RunFor(loop, std::chrono::milliseconds(350));
  ASSERT_TRUE(vm.registry.EvacuatedZones().contains("z"));  // by the watch
  RunFor(loop, std::chrono::milliseconds(800));
  EXPECT_TRUE(vm.registry.EvacuatedZones().contains("z"));
}

}  // namespace
}  // namespace cornelplank

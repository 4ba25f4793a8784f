#include <gtest/gtest.h>

#include "tests/platform/paged_store.h"
#include "tests/platform/vm_under_test.h"

namespace cornelplank {
namespace {

using testing::kFirstVmAddress;
using testing::RunFor;

struct OddKeyCase {
  const char* name;
  std::vector<std::string> ids;  // of the other writer's entries
  bool has_value = true;
};

/// A VM beside a store that lists three replicas and the entries of another writer, one item a page.
class OddKeyTest : public ::testing::TestWithParam<OddKeyCase> {
 protected:
  OddKeyTest() {
    store_.PutValue("op/config", testing::ConfigText(7));
    for (const char* id : {"a", "m", "z"}) {
      store_.PutValue(std::string("servers/") + id, testing::ReplicaText("svc", testing::Loopback(1)));
    }
    for (const std::string& id : GetParam().ids) {
      if (GetParam().has_value) {
        store_.PutValue("servers/" + id, "{}");
      } else {
        store_.Put("servers/" + id, "");
      }
    }
  }

  net::asio::io_context loop_{1};
  base::SystemClock clock_;
  testing::PagedStore store_{loop_};
  testing::VmUnderTest vm_{loop_, clock_, store_.Endpoint(), kFirstVmAddress, testing::OwnMirrorPort()};
};

// Guards against a listing that stops or never ends at a key of another writer, so that replicas are missing.
TEST_P(OddKeyTest, DoesNotHideTheOtherItems) {
  RunFor(loop_, std::chrono::milliseconds(1000));
  EXPECT_EQ(vm_.KnownReplicas(), (std::set<std::string>{"a", "m", "z"}));
  EXPECT_TRUE(vm_.sync.Loaded());
  EXPECT_LE(store_.listing_calls(), static_cast<int>(1 + 3 + GetParam().ids.size()));
}

std::vector<OddKeyCase> OddKeyCases() {
  std::vector<OddKeyCase> cases = {{"Ampersand", {"b&c"}},
                                   {"Plus", {"b+c"}},
                                   {"Hash", {"b#c"}},
                                   {"Percent", {"b%zz", "b%2Fc", "b%"}},
                                   {"Blank", {"b c", " b"}},
                                   {"SlashAndQuestionMark", {"b/c?d=e"}},
                                   {"Quotes", {"b\"c", "b\\c"}},
                                   {"OwnCursor", {"b&after=servers/z", "b&after="}},
                                   {"LineBreak", {"b\r\nHost: c"}},
                                   {"OutsideAscii", {"b\xc3\xa9", "b\xf0\x9f\x98\x80"}},
                                   {"NoUtf8", {"b\xff", "b\xc3", "b\xed\xa0\x80"}},
                                   {"Empty", {""}}};
  OddKeyCase many{"Sixty", {}};
  for (int i = 0; i < 60; ++i) many.ids.push_back("b&" + std::to_string(i));
  cases.push_back(many);
  for (OddKeyCase plain :
       {OddKeyCase{"NoValueFirst", {"0"}}, {"NoValueLater", {"b"}}, {"NoValueLast", {"zz"}}}) {
    plain.has_value = false;
    cases.push_back(plain);
  }
  return cases;
}

INSTANTIATE_TEST_SUITE_P(Keys, OddKeyTest, ::testing::ValuesIn(OddKeyCases()),
                         [](const auto& info) { return info.param.name; });

struct MisreadKeyCase {
  const char* name;
  std::set<std::string> ids;  // of replicas
  std::string odd_id;         // of the other writer's entry
  testing::PagedStore::Escapes escapes;
};
class MisreadKeyTest : public ::testing::TestWithParam<MisreadKeyCase> {};

// Guards against a key at the border of a page that hides replicas, since the store misreads or refuses its
// escapes.
TEST_P(MisreadKeyTest, DoesNotHideThePlainOnes) {
  net::asio::io_context loop{1};
  base::SystemClock clock;
  testing::PagedStore store{loop, 2};
  store.SetEscapes(GetParam().escapes);
  store.PutValue("op/config", testing::ConfigText(7));
  for (const std::string& id : GetParam().ids) {
    store.PutValue("servers/" + id, testing::ReplicaText("svc", testing::Loopback(1)));
  }
  store.PutValue("servers/" + GetParam().odd_id, "{}");
  testing::VmUnderTest vm(loop, clock, store.Endpoint(), kFirstVmAddress, testing::OwnMirrorPort());
  RunFor(loop, std::chrono::milliseconds(1000));
  EXPECT_TRUE(vm.sync.Loaded());
  EXPECT_EQ(vm.KnownReplicas(), GetParam().ids);
}

using Escapes = testing::PagedStore::Escapes;
INSTANTIATE_TEST_SUITE_P(
    Keys, MisreadKeyTest,
    ::testing::Values(MisreadKeyCase{"ListedAgain", {"bz", "m", "z"}, "b\xc3\xa9", Escapes::kKeep},
                      MisreadKeyCase{"SkipsTheNext", {"a", "b!d", "z"}, "b c", Escapes::kKeep},
                      MisreadKeyCase{"Ampersand", {"a", "m", "z"}, "b&c", Escapes::kKeep},
                      MisreadKeyCase{"Refused", {"a", "m", "z"}, "b&c", Escapes::kRefuse}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank

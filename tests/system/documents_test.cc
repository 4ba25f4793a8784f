#include "tests/system/harness/documents.h"

#include <gtest/gtest.h>

#include "libs/config/config.h"

namespace cornelplank::harness {
namespace {

// Guards against test documents that the gateway refuses: a system test would then fail, or pass, for that
// reason only.
TEST(DocumentsTest, AreValidPublishedForms) {
  nlohmann::json document = TwoPartnerDocument();
  AddEngine(document, "e1", "gavekvittering", "ost-1", "127.0.0.1:1", 8);
  AddEngine(document, "e2", "leakline", "kochi-1", "127.0.0.1:2", 8);
  AddService(document, "s1", "gavekvittering", "ost-2", "127.0.0.1:3");
  config::ConfigReason reason;
  const auto snapshot = config::ParseSnapshot(FirstSnapshot(document).dump(), &reason);
  ASSERT_TRUE(snapshot) << reason.detail;
  EXPECT_EQ(snapshot->document.upstreams.size(), 3U);

  const nlohmann::json client =
      ClientRecord("c1", "gavekvittering", "key", {"desk"}, "ost", "gavekvittering-home");
  const nlohmann::json directory = {
      {"revision", 1}, {"clients", {client}}, {"removed", nlohmann::json::array()}};
  config::Faults faults;
  const auto page = config::ParseClientPage(directory.dump(), &reason, &faults);
  ASSERT_TRUE(page) << reason.detail;
  EXPECT_TRUE(faults.empty());
  EXPECT_EQ(page->clients.size(), 1U);
  EXPECT_EQ(Sha256("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

}  // namespace
}  // namespace cornelplank::harness

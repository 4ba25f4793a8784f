#include <gtest/gtest.h>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>

#include "tests/config/example.h"

namespace cornelplank::config {
namespace {

std::string ReadExample(const std::string& name) {
  std::ifstream stream(std::string(CORNELPLANK_SOURCE_DIR "/examples/two-partners/") + name);
  return {std::istreambuf_iterator<char>(stream), {}};
}

Document ReadExampleDocument(const std::string& name) {
  Faults faults;
  auto document = ParseDocument(ReadExample(name), kNewestFormat, nullptr, &faults);
  for (const Fault& fault : faults) ADD_FAILURE() << name << ": " << fault.Text();
  return document.value_or(Document{});
}

std::string Sha256(const std::string& text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
  std::string hex;
  for (unsigned i = 0; i < size; ++i) {
    hex += "0123456789abcdef"[digest[i] >> 4];
    hex += "0123456789abcdef"[digest[i] & 15];
  }
  return hex;
}

long CountUpstreams(const Document& document, const std::string& partner, UpstreamKind kind) {
  return std::count_if(document.upstreams.begin(), document.upstreams.end(), [&](const auto& entry) {
    return entry.second.partner == partner && entry.second.kind == kind;
  });
}

// Guards against example documents that the gateway would refuse or that lack some of the upstreams.
TEST(ExampleTest, DocumentsAreValidAndComplete) {
  const Document full = ReadExampleDocument("document.json");
  const Document small = ReadExampleDocument("document-small.json");
  for (const char* partner : {"gavekvittering", "leakline"}) {
    EXPECT_EQ(CountUpstreams(full, partner, UpstreamKind::kEngine), 20);
    EXPECT_EQ(CountUpstreams(full, partner, UpstreamKind::kService), 3);
    EXPECT_EQ(CountUpstreams(small, partner, UpstreamKind::kEngine), 3);
    EXPECT_EQ(CountUpstreams(small, partner, UpstreamKind::kService), 1);
  }
  EXPECT_EQ(full.links.size(), 15U);
  EXPECT_EQ(small.upstreams.at("kozhikode-engine").address, "127.0.0.1:21006");
  EXPECT_EQ(small.upstreams.at("kochi-booking").address, "127.0.0.1:21012");
}

// Guards against example clients that can't be used: with keys other than the documented ones, or with a
// class, home region or residency rule that the example documents lack.
TEST(ExampleTest, ClientsFitTheDocuments) {
  Faults faults;
  const auto page = ParseClientPage(ReadExample("clients.json"), nullptr, &faults);
  ASSERT_TRUE(page && faults.empty());
  EXPECT_EQ(page->clients.size(), 12U);
  for (const char* name : {"document.json", "document-small.json"}) {
    const Document document = ReadExampleDocument(name);
    for (const ClientRecord& client : page->clients) {
      EXPECT_EQ(client.key_sha256, Sha256("demo-" + client.id)) << client.id;
      const Partner& partner = document.partners.at(client.partner);
      for (const std::string& value : client.classes) EXPECT_TRUE(partner.classes.contains(value)) << value;
      EXPECT_EQ(document.regions.at(client.home).partner, client.partner);
      EXPECT_EQ(document.residency.at(client.residency).partner, client.partner);
    }
  }
}

}  // namespace
}  // namespace cornelplank::config

#include <gtest/gtest.h>

#include <algorithm>

#include "tests/config/example.h"

namespace cornelplank::config {
namespace {

using nlohmann::json;

// Guards against a field that is lost or changed when a document is parsed and written.
TEST(DocumentTest, KeepsEveryField) {
  const Document document = ExampleDocument();
  EXPECT_EQ(document.regions.at("ost").zones, (std::vector<std::string>{"ost-1", "ost-2"}));
  EXPECT_EQ(document.links.at(0).one_way, std::chrono::milliseconds{80});
  EXPECT_EQ(document.partners.at("leak").objective, Objective::kLatency);
  EXPECT_EQ(document.partners.at("leak").away_penalty, 2.5);
  EXPECT_EQ(document.partners.at("gave").lends.at("leak"), 0.2);
  EXPECT_EQ(document.partners.at("gave").classes.at("desk").deadline, std::chrono::seconds{20});
  EXPECT_TRUE(document.partners.at("leak").classes.at("caller").hedge);
  EXPECT_EQ(document.upstreams.at("l1").kind, UpstreamKind::kService);
  EXPECT_EQ(document.upstreams.at("e1").slots, 4);
  EXPECT_EQ(ParseDocument(WriteDocument(document), nullptr), document);
}

// Guards against two texts for equal documents: nodes apply patches to the canonical form, so they would
// differ.
TEST(DocumentTest, EqualDocumentsGiveEqualText) {
  json reordered = ExampleJson();
  reordered["links"][0]["mbit_s"] = 140.0;
  reordered["partners"]["gave"]["away_penalty"] = -0.0;
  reordered["upstreams"]["e1"]["service"] = "";
  const auto other = ParseDocument(reordered.dump(2), nullptr);
  ASSERT_TRUE(other);
  EXPECT_EQ(WriteDocument(*other), WriteDocument(ExampleDocument()));
}

struct FaultCase {
  const char* path;     // of the field that is changed in the example
  const char* value;    // new value as JSON; empty removes the field
  const char* pointer;  // of the fault
  const char* problem;  // part of the fault's text
};

class DocumentFaultTest : public testing::TestWithParam<FaultCase> {};

// Guards against faulty documents that are accepted, or whose fault is reported with another JSON pointer.
TEST_P(DocumentFaultTest, NamesThePointer) {
  json faulty = ExampleJson();
  if (std::string(GetParam().value).empty()) {
    faulty.patch_inplace(json::array({{{"op", "remove"}, {"path", GetParam().path}}}));
  } else {
    faulty[json::json_pointer(GetParam().path)] = json::parse(GetParam().value);
  }
  Faults faults;
  ConfigReason reason;
  EXPECT_FALSE(ParseDocument(faulty.dump(), kNewestFormat, &reason, &faults));
  EXPECT_EQ(reason.code, ConfigCode::kInvalid);
  ASSERT_FALSE(faults.empty());
  EXPECT_EQ(reason.detail, faults.front().Text());
  const auto found = std::find_if(faults.begin(), faults.end(), [](const Fault& fault) {
    return fault.pointer == GetParam().pointer && fault.problem.find(GetParam().problem) != std::string::npos;
  });
  EXPECT_NE(found, faults.end()) << "first fault: " << faults.front().Text();
}

INSTANTIATE_TEST_SUITE_P(
    Table, DocumentFaultTest,
    testing::Values(
        FaultCase{"", "[]", "", "must be an object"}, FaultCase{"/format", "", "/format", "is required"},
        FaultCase{"/format", "0", "/format", "from 1"}, FaultCase{"/format", "2.5", "/format", "whole"},
        FaultCase{"/regions", "", "/regions", "is required"},
        FaultCase{"/extra", "1", "/extra", "unknown field"},
        FaultCase{"/upstreams/e1/slot", "1", "/upstreams/e1/slot", "unknown field"},
        FaultCase{"/models", "[]", "/models", "must be an object"},
        FaultCase{"/links", "{}", "/links", "must be a list"},
        FaultCase{"/services/ledger", "null", "/services/ledger", "must be an object"},
        FaultCase{"/models/a~1b", "{}", "/models/a~1b", "not a valid name"},
        FaultCase{"/regions/ost/zones/1", "3", "/regions/ost/zones/1", "must be a name"},
        FaultCase{"/partners/gave/lends/leak", "1.5", "/partners/gave/lends/leak", "from 0 to 1"},
        FaultCase{"/partners/gave/lends/leak", R"("0.1")", "/partners/gave/lends/leak", "from 0 to 1"},
        FaultCase{"/partners/leak/objective", R"("fast")", "/partners/leak/objective",
                  "must be one of 'cost' 'latency'"},
        FaultCase{"/partners/leak/away_penalty", "-1", "/partners/leak/away_penalty", "from 0"},
        FaultCase{"/partners/leak/classes/caller/priority", "8", "/partners/leak/classes/caller/priority",
                  "from 0 to 7"},
        FaultCase{"/partners/leak/classes/caller/deadline_ms", "",
                  "/partners/leak/classes/caller/deadline_ms", "is required"},
        FaultCase{"/partners/leak/classes/caller/hedge", "1", "/partners/leak/classes/caller/hedge",
                  "true or false"},
        FaultCase{"/upstreams/e1/slots", "18446744073709551615", "/upstreams/e1/slots", "from 1 to 100000"},
        FaultCase{"/upstreams/e1/address", R"("127.0.0.1")", "/upstreams/e1/address", "IP:PORT"},
        FaultCase{"/upstreams/e1/address", R"("127.0.0.1:0")", "/upstreams/e1/address", "IP:PORT"},
        FaultCase{"/upstreams/e1/address", R"("engine:80")", "/upstreams/e1/address", "IP:PORT"},
        FaultCase{"/services/ledger/idempotent_methods/-", R"("get")", "/services/ledger/idempotent_methods",
                  "not an HTTP method"},
        FaultCase{"/regions/ost/partner", R"("x")", "/regions/ost/partner", "does not exist"},
        FaultCase{"/regions/home", R"({"partner":"gave","zones":["h"]})", "/regions/home", "reserved"},
        FaultCase{"/regions/ost/zones", "[]", "/regions/ost/zones", "at least one"},
        FaultCase{"/regions/ost/zones/-", R"("kochi-1")", "/regions/ost/zones/2",
                  "belongs to region 'kochi'"},
        FaultCase{"/regions/ost/zones/-", R"("ost-1")", "/regions/ost/zones/2", "listed twice"},
        FaultCase{"/links/0/b", R"("x")", "/links/0/b", "does not exist"},
        FaultCase{"/links/0/b", R"("ost")", "/links/0/b", "must differ"},
        FaultCase{"/links/-", R"({"a":"kochi","b":"ost","mbit_s":1,"one_way_ms":1})", "/links/1",
                  "linked already"},
        FaultCase{"/partners/gave/classes/tax/guaranteed", "0.5", "/partners/gave/classes",
                  "add up to more than 1"},
        FaultCase{"/partners/gave/lends/gave", "0.1", "/partners/gave/lends/gave", "to itself"},
        FaultCase{"/partners/gave/lends/x", "0.1", "/partners/gave/lends/x", "does not exist"},
        FaultCase{"/partners/gave/lends/x", "0.9", "/partners/gave/lends", "add up to more than 1"},
        FaultCase{"/residency/gave-home/allow/-", R"("x")", "/residency/gave-home/allow/1", "does not exist"},
        FaultCase{"/residency/gave-home/allow", R"(["ost"])", "/residency/gave-home/allow",
                  "must list 'home'"},
        FaultCase{"/models/letter/partner", R"("x")", "/models/letter/partner", "does not exist"},
        FaultCase{"/services/ledger/partner", R"("x")", "/services/ledger/partner", "does not exist"},
        FaultCase{"/upstreams/e2/models/-", R"("x")", "/upstreams/e2/models/1", "does not exist"},
        FaultCase{"/upstreams/e1/zone", R"("kochi-1")", "/upstreams/e1/zone", "not in region 'ost'"},
        FaultCase{"/upstreams/e1/region", R"("x")", "/upstreams/e1/region", "does not exist"},
        FaultCase{"/upstreams/l1/service", "", "/upstreams/l1/service", "is required"},
        FaultCase{"/upstreams/l1/service", R"("x")", "/upstreams/l1/service", "does not exist"},
        FaultCase{"/upstreams/e1/service", R"("ledger")", "/upstreams/e1/service", "must be empty"},
        FaultCase{"/upstreams/l1/models", R"(["letter"])", "/upstreams/l1/models", "must be empty"},
        FaultCase{"/regions/kochi/partner", R"("gave")", "/upstreams/e2/region", "another partner"}));

// Guards against reports that stop at the first fault.
TEST(DocumentTest, CollectsAllFaults) {
  json faulty = ExampleJson();
  faulty["upstreams"]["e1"]["slots"] = 0;
  faulty["upstreams"]["e2"]["zone"] = "x";
  faulty["models"]["letter"]["extra"] = 1;
  Faults faults;
  EXPECT_FALSE(ParseDocument(faulty.dump(), kNewestFormat, nullptr, &faults));
  EXPECT_EQ(faults.size(), 3U);
}

struct TextCase {
  const char* name;
  std::string text;
  ConfigCode code;
};

class DocumentTextTest : public testing::TestWithParam<TextCase> {};

// Guards against crashes and wrong codes on text that is not a document.
TEST_P(DocumentTextTest, IsRefusedWithItsCode) {
  ConfigReason reason;
  EXPECT_FALSE(ParseDocument(GetParam().text, &reason));
  EXPECT_EQ(reason.code, GetParam().code);
}

INSTANTIATE_TEST_SUITE_P(
    Table, DocumentTextTest,
    testing::Values(TextCase{"Empty", "", ConfigCode::kMalformed},
                    TextCase{"Truncated", R"({"format":1,)", ConfigCode::kMalformed},
                    TextCase{"InvalidUtf8", "{\"format\":1,\"\xff\":1}", ConfigCode::kMalformed},
                    TextCase{"DeepNesting", std::string(200'000, '['), ConfigCode::kMalformed},
                    TextCase{"DeepNestingClosed", std::string(100'000, '[') + std::string(100'000, ']'),
                             ConfigCode::kMalformed},
                    TextCase{"NewFormat", R"({"format":2,"anything":[]})", ConfigCode::kFormatUnknown}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace cornelplank::config

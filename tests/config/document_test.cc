#include <gtest/gtest.h>

#include <algorithm>

#include "tests/config/example.h"

namespace cornelplank::config {
namespace {

using nlohmann::json;

// Guards against a field that is lost or changed on the way through the codec.
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

// Guards against two texts for one document: nodes apply patches to the canonical text.
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
  const char* name;
  const char* patch;    // applied to the example
  const char* pointer;  // of the fault
  const char* problem;  // part of it
};

class DocumentFaultTest : public testing::TestWithParam<FaultCase> {};

// Guards against faulty documents that are accepted, or whose fault is reported at another place.
TEST_P(DocumentFaultTest, NamesThePointer) {
  const json faulty = ExampleJson().patch(json::parse(GetParam().patch));
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

std::string CaseName(const testing::TestParamInfo<FaultCase>& info) { return info.param.name; }

INSTANTIATE_TEST_SUITE_P(
    Fields, DocumentFaultTest,
    testing::Values(
        FaultCase{"NotAnObject", R"([{"op":"replace","path":"","value":[]}])", "", "must be an object"},
        FaultCase{"NoFormat", R"([{"op":"remove","path":"/format"}])", "/format", "is required"},
        FaultCase{"FormatZero", R"([{"op":"replace","path":"/format","value":0}])", "/format", "from 1"},
        FaultCase{"FormatFraction", R"([{"op":"replace","path":"/format","value":2.5}])", "/format", "whole"},
        FaultCase{"NoRegions", R"([{"op":"remove","path":"/regions"}])", "/regions", "is required"},
        FaultCase{"UnknownSection", R"([{"op":"add","path":"/extra","value":1}])", "/extra", "unknown field"},
        FaultCase{"UnknownField", R"([{"op":"add","path":"/upstreams/e1/slot","value":1}])",
                  "/upstreams/e1/slot", "unknown field"},
        FaultCase{"SectionIsList", R"([{"op":"replace","path":"/models","value":[]}])", "/models",
                  "must be an object"},
        FaultCase{"LinksIsObject", R"([{"op":"replace","path":"/links","value":{}}])", "/links",
                  "must be a list"},
        FaultCase{"EntryIsNull", R"([{"op":"replace","path":"/services/ledger","value":null}])",
                  "/services/ledger", "must be an object"},
        FaultCase{"BadName", R"([{"op":"add","path":"/models/a~1b","value":{}}])", "/models/a~1b",
                  "not a valid name"},
        FaultCase{"ZoneIsNumber", R"([{"op":"replace","path":"/regions/ost/zones/1","value":3}])",
                  "/regions/ost/zones/1", "must be a name"},
        FaultCase{"ShareTooLarge", R"([{"op":"replace","path":"/partners/gave/lends/leak","value":1.5}])",
                  "/partners/gave/lends/leak", "from 0 to 1"},
        FaultCase{"ShareIsText", R"([{"op":"replace","path":"/partners/gave/lends/leak","value":"0.1"}])",
                  "/partners/gave/lends/leak", "from 0 to 1"},
        FaultCase{"BadObjective", R"([{"op":"replace","path":"/partners/leak/objective","value":"fast"}])",
                  "/partners/leak/objective", "must be one of 'cost' 'latency'"},
        FaultCase{"NegativePenalty", R"([{"op":"replace","path":"/partners/leak/away_penalty","value":-1}])",
                  "/partners/leak/away_penalty", "from 0"},
        FaultCase{"Priority8",
                  R"([{"op":"replace","path":"/partners/leak/classes/caller/priority","value":8}])",
                  "/partners/leak/classes/caller/priority", "from 0 to 7"},
        FaultCase{"NoDeadline", R"([{"op":"remove","path":"/partners/leak/classes/caller/deadline_ms"}])",
                  "/partners/leak/classes/caller/deadline_ms", "is required"},
        FaultCase{"HedgeIsNumber",
                  R"([{"op":"replace","path":"/partners/leak/classes/caller/hedge","value":1}])",
                  "/partners/leak/classes/caller/hedge", "true or false"},
        FaultCase{"HugeInteger",
                  R"([{"op":"add","path":"/upstreams/e1/slots","value":18446744073709551615}])",
                  "/upstreams/e1/slots", "from 1 to 100000"},
        FaultCase{"NoPort", R"([{"op":"replace","path":"/upstreams/e1/address","value":"127.0.0.1"}])",
                  "/upstreams/e1/address", "IP:PORT"},
        FaultCase{"PortZero", R"([{"op":"replace","path":"/upstreams/e1/address","value":"127.0.0.1:0"}])",
                  "/upstreams/e1/address", "IP:PORT"},
        FaultCase{"HostName", R"([{"op":"replace","path":"/upstreams/e1/address","value":"engine:80"}])",
                  "/upstreams/e1/address", "IP:PORT"},
        FaultCase{"BadMethod",
                  R"([{"op":"add","path":"/services/ledger/idempotent_methods/-","value":"get"}])",
                  "/services/ledger/idempotent_methods", "not an HTTP method"}),
    CaseName);

INSTANTIATE_TEST_SUITE_P(
    References, DocumentFaultTest,
    testing::Values(
        FaultCase{"RegionPartner", R"([{"op":"replace","path":"/regions/ost/partner","value":"x"}])",
                  "/regions/ost/partner", "does not exist"},
        FaultCase{"RegionNamedHome",
                  R"([{"op":"add","path":"/regions/home","value":{"partner":"gave","zones":["h"]}}])",
                  "/regions/home", "reserved"},
        FaultCase{"NoZones", R"([{"op":"replace","path":"/regions/ost/zones","value":[]}])",
                  "/regions/ost/zones", "at least one"},
        FaultCase{"ZoneInTwoRegions", R"([{"op":"add","path":"/regions/ost/zones/-","value":"kochi-1"}])",
                  "/regions/ost/zones/2", "belongs to region 'kochi'"},
        FaultCase{"ZoneTwice", R"([{"op":"add","path":"/regions/ost/zones/-","value":"ost-1"}])",
                  "/regions/ost/zones/2", "listed twice"},
        FaultCase{"LinkEnd", R"([{"op":"replace","path":"/links/0/b","value":"x"}])", "/links/0/b",
                  "does not exist"},
        FaultCase{"LinkToItself", R"([{"op":"replace","path":"/links/0/b","value":"ost"}])", "/links/0/b",
                  "must differ"},
        FaultCase{
            "LinkTwice",
            R"([{"op":"add","path":"/links/-","value":{"a":"kochi","b":"ost","mbit_s":1,"one_way_ms":1}}])",
            "/links/1", "linked already"},
        FaultCase{"GuaranteedAboveOne",
                  R"([{"op":"replace","path":"/partners/gave/classes/tax/guaranteed","value":0.5}])",
                  "/partners/gave/classes", "add up to more than 1"},
        FaultCase{"LendsToItself", R"([{"op":"add","path":"/partners/gave/lends/gave","value":0.1}])",
                  "/partners/gave/lends/gave", "to itself"},
        FaultCase{"LendsToNobody", R"([{"op":"add","path":"/partners/gave/lends/x","value":0.1}])",
                  "/partners/gave/lends/x", "does not exist"},
        FaultCase{"LentAboveOne", R"([{"op":"add","path":"/partners/gave/lends/x","value":0.9}])",
                  "/partners/gave/lends", "add up to more than 1"},
        FaultCase{"ResidencyRegion", R"([{"op":"add","path":"/residency/gave-home/allow/-","value":"x"}])",
                  "/residency/gave-home/allow/1", "does not exist"},
        FaultCase{"ResidencyWithoutHome",
                  R"([{"op":"replace","path":"/residency/gave-home/allow","value":["ost"]}])",
                  "/residency/gave-home/allow", "must list 'home'"},
        FaultCase{"ModelPartner", R"([{"op":"replace","path":"/models/letter/partner","value":"x"}])",
                  "/models/letter/partner", "does not exist"},
        FaultCase{"ServicePartner", R"([{"op":"replace","path":"/services/ledger/partner","value":"x"}])",
                  "/services/ledger/partner", "does not exist"},
        FaultCase{"UpstreamModel", R"([{"op":"add","path":"/upstreams/e2/models/-","value":"x"}])",
                  "/upstreams/e2/models/1", "does not exist"},
        FaultCase{"UpstreamZoneElsewhere",
                  R"([{"op":"replace","path":"/upstreams/e1/zone","value":"kochi-1"}])", "/upstreams/e1/zone",
                  "not in region 'ost'"},
        FaultCase{"UpstreamRegion", R"([{"op":"replace","path":"/upstreams/e1/region","value":"x"}])",
                  "/upstreams/e1/region", "does not exist"},
        FaultCase{
            "UpstreamInForeignRegion",
            R"([{"op":"replace","path":"/upstreams/e1/region","value":"kochi"},{"op":"replace","path":"/upstreams/e1/zone","value":"kochi-1"}])",
            "/upstreams/e1/region", "another partner"},
        FaultCase{"ServiceMissing", R"([{"op":"remove","path":"/upstreams/l1/service"}])",
                  "/upstreams/l1/service", "is required"},
        FaultCase{"ServiceUnknown", R"([{"op":"replace","path":"/upstreams/l1/service","value":"x"}])",
                  "/upstreams/l1/service", "does not exist"},
        FaultCase{"EngineWithService", R"([{"op":"add","path":"/upstreams/e1/service","value":"ledger"}])",
                  "/upstreams/e1/service", "must be empty"},
        FaultCase{"ServiceWithModels", R"([{"op":"add","path":"/upstreams/l1/models","value":["letter"]}])",
                  "/upstreams/l1/models", "must be empty"}),
    CaseName);

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

// Guards against crashes and misjudgement on text that is no document at all.
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

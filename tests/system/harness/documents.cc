#include "tests/system/harness/documents.h"

#include <openssl/evp.h>

#include <array>

namespace cornelplank::harness {
namespace {

using nlohmann::json;

std::string RegionOf(const std::string& zone) { return zone.substr(0, zone.rfind('-')); }

}  // namespace

json TwoPartnerDocument() {
  return json::parse(R"({
    "format": 1,
    "regions": {"ost": {"partner": "gavekvittering", "zones": ["ost-1", "ost-2"]},
                "vest": {"partner": "gavekvittering", "zones": ["vest-1"]},
                "kochi": {"partner": "leakline", "zones": ["kochi-1"]}},
    "links": [{"a": "ost", "b": "vest", "mbit_s": 2000, "one_way_ms": 80},
              {"a": "ost", "b": "kochi", "mbit_s": 140, "one_way_ms": 80},
              {"a": "vest", "b": "kochi", "mbit_s": 140, "one_way_ms": 80}],
    "partners": {
      "gavekvittering": {"objective": "cost", "lends": {"leakline": 0.2}, "classes": {
        "desk": {"priority": 1, "guaranteed": 0.6, "max_queue": 50, "deadline_ms": 20000},
        "yearend": {"priority": 6, "guaranteed": 0.1, "max_queue": 200, "deadline_ms": 60000, "may_wait": true}}},
      "leakline": {"objective": "latency", "away_penalty": 2, "lends": {"gavekvittering": 0.2}, "classes": {
        "caller": {"priority": 0, "guaranteed": 0.6, "max_queue": 50, "deadline_ms": 10000, "hedge": true},
        "draft": {"priority": 5, "guaranteed": 0.1, "max_queue": 200, "deadline_ms": 60000}}}},
    "residency": {"gavekvittering-home": {"partner": "gavekvittering", "allow": ["home"]},
                  "gavekvittering-any": {"partner": "gavekvittering", "allow": ["home", "ost", "vest", "kochi"]},
                  "leakline-home": {"partner": "leakline", "allow": ["home"]},
                  "leakline-any": {"partner": "leakline", "allow": ["home", "ost", "vest", "kochi"]}},
    "services": {"ledger": {"partner": "gavekvittering", "idempotent_methods": ["GET"]},
                 "booking": {"partner": "leakline", "idempotent_methods": ["GET"]}},
    "models": {"letter": {"partner": "gavekvittering", "version": "1", "size_gb": 1},
               "report": {"partner": "leakline", "version": "1", "size_gb": 1}},
    "upstreams": {}})");
}

void AddEngine(json& document, const std::string& id, const std::string& partner, const std::string& zone,
               const std::string& address, int slots) {
  document["upstreams"][id] = {{"partner", partner},
                               {"region", RegionOf(zone)},
                               {"zone", zone},
                               {"address", address},
                               {"kind", "engine"},
                               {"slots", slots},
                               {"price", 1},
                               {"checks_fence", true},
                               {"models", {partner == "leakline" ? "report" : "letter"}}};
}

void AddService(json& document, const std::string& id, const std::string& partner, const std::string& zone,
                const std::string& address) {
  document["upstreams"][id] = {
      {"partner", partner}, {"region", RegionOf(zone)},
      {"zone", zone},       {"address", address},
      {"kind", "service"},  {"service", partner == "leakline" ? "booking" : "ledger"},
      {"slots", 16}};
}

json FirstSnapshot(const json& document) {
  return {{"format", document.at("format")},
          {"seq", 1},
          {"version", 1},
          {"digest", std::string(32, '0')},
          {"document", document}};
}

json ClientRecord(const std::string& id, const std::string& partner, const std::string& key,
                  const std::vector<std::string>& classes, const std::string& home, const std::string& rule) {
  return {{"id", id},           {"partner", partner}, {"key_sha256", Sha256(key)},
          {"classes", classes}, {"home", home},       {"residency", rule}};
}

std::string Sha256(const std::string& text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest;
  unsigned length = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hexadecimal;
  for (unsigned index = 0; index < length; ++index) {
    hexadecimal += kDigits[digest[index] >> 4];
    hexadecimal += kDigits[digest[index] & 15];
  }
  return hexadecimal;
}

}  // namespace cornelplank::harness

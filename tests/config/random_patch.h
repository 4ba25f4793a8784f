#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "libs/base/base.h"

namespace cornelplank::config {

/// Patches of all kinds that operators may publish, by a seeded generator: good ones, faulty ones, patches to
/// the other partner's entries, and changes of the format.
class RandomPatch {
 public:
  RandomPatch(std::string author, uint64_t seed) : author_(std::move(author)), random_(seed) {}

  nlohmann::json Make() {
    switch (random_.Below(12)) {
      case 0:
        return nlohmann::json::array({AddUpstream(), Replace(Upstream() + "/slots", random_.Below(3))});
      case 1:
        return nlohmann::json::array({AddUpstream(), AddUpstream(), Replace("/models/none/size_gb", 1)});
      case 2:
        return nlohmann::json::array({Replace("/format", 1 + random_.Below(4))});
      case 3:
        return Odd();
      default:
        return nlohmann::json::array({Simple()});
    }
  }

 private:
  using Json = nlohmann::json;

  static Json Replace(const std::string& path, Json value) {
    return {{"op", "replace"}, {"path", path}, {"value", std::move(value)}};
  }
  static Json Add(const std::string& path, Json value) {
    return {{"op", "add"}, {"path", path}, {"value", std::move(value)}};
  }

  std::string Pick(const std::vector<std::string>& choices) { return choices[random_.Below(choices.size())]; }
  std::string Upstream() { return "/upstreams/" + Pick({"e1", "e2", "l1", "n0", "n1", "n2"}); }
  std::string Owner() { return random_.Below(8) == 0 ? Pick({"gave", "leak", "none"}) : author_; }

  Json AddUpstream() {
    const std::string owner = Owner();
    const bool is_gave = owner == "gave";
    return Add("/upstreams/n" + std::to_string(random_.Below(3)), {{"partner", owner},
                                                                   {"region", is_gave ? "ost" : "kochi"},
                                                                   {"zone", is_gave ? "ost-1" : "kochi-1"},
                                                                   {"address", "10.0.0.1:80"},
                                                                   {"kind", "engine"},
                                                                   {"slots", random_.Below(9)}});
  }

  Json Simple() {
    const std::string section = "/partners/" + Owner();
    switch (random_.Below(12)) {
      case 0:
        return AddUpstream();
      case 1:
        return Replace(Upstream() + "/slots", random_.Below(9));
      case 2:
        return {{"op", "remove"}, {"path", Upstream()}};
      case 3:
        return Replace(Upstream() + "/leaving", random_.Below(2) == 0);
      case 4:
        return Replace(section + "/lends", {{author_ == "gave" ? "leak" : "gave", random_.Unit() * 1.2}});
      case 5:
        return Add(section + "/classes/c" + std::to_string(random_.Below(3)),
                   {{"deadline_ms", 1 + random_.Below(100)}, {"guaranteed", random_.Unit() * 0.6}});
      case 6:
        return {{"op", "remove"}, {"path", Pick({"/models/letter", "/models/trace", "/services/ledger"})}};
      case 7:
        return Replace(Upstream() + "/partner", Pick({"gave", "leak"}));
      case 8:
        return Add("/residency/r" + std::to_string(random_.Below(2)),
                   {{"partner", Owner()}, {"allow", {"home", Pick({"ost", "kochi", "nowhere"})}}});
      case 9:
        return Replace("/links/0/mbit_s", random_.Below(3) * 70);
      case 10:
        return {{"op", "copy"}, {"from", Upstream()}, {"path", Upstream()}};
      default:
        return {{"op", "move"}, {"from", Upstream()}, {"path", Upstream()}};
    }
  }

  Json Odd() {
    const std::vector<std::string> sections = {"/models", "/upstreams", "/residency", "/links", "/services"};
    switch (random_.Below(12)) {
      case 8:
        return Json::array({{{"op", "copy"}, {"from", Pick(sections)}, {"path", Pick(sections)}}});
      case 9:
        return Json::array({Replace(Pick(sections), Json::object())});
      case 10:
        return Json::array({{{"op", "remove"}, {"path", Pick(sections)}}});
      case 11:
        return Json::array({{{"op", "move"}, {"from", Upstream()}, {"path", Pick(sections) + "/n0"}}});
      case 0:
        return Json::object();
      case 1:
        return "patch";
      case 2:
        return Json::array();
      case 3:
        return Json::array({Replace("", Json::object())});
      case 4:
        return Json::array({{{"op", "remove"}, {"path", ""}}});
      case 5:
        return Json::array({{{"op", "copy"}, {"from", ""}, {"path", "/upstreams/n0"}}});
      case 6:
        return Json::array({{{"op", "test"}, {"path", Upstream() + "/slots"}, {"value", 4}},
                            Replace(Upstream() + "/slots", 5)});
      default:
        return Json::array({1, Json::array(), {{"op", "none"}}});
    }
  }

  std::string author_;
  base::Random random_;
};

}  // namespace cornelplank::config

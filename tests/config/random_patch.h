#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "libs/base/base.h"

namespace cornelplank::config {

/// Generates the patches that operators may publish, from a seed: valid and faulty ones, patches to the other
/// partner's entries, and changes of the format.
class RandomPatch {
 public:
  RandomPatch(std::string author, uint64_t seed) : author_(std::move(author)), random_(seed) {}

  nlohmann::json Make() {
    switch (random_.Below(12)) {
      case 0:
        return nlohmann::json::array(
            {AddUpstreamOperation(), ReplaceOperation(UpstreamPath() + "/slots", random_.Below(3))});
      case 1:
        return nlohmann::json::array(
            {AddUpstreamOperation(), AddUpstreamOperation(), ReplaceOperation("/models/none/size_gb", 1)});
      case 2:
        return nlohmann::json::array({ReplaceOperation("/format", 1 + random_.Below(4))});
      case 3:
        return UnusualPatch();
      default:
        return nlohmann::json::array({EntryOperation()});
    }
  }

 private:
  using Json = nlohmann::json;

  static Json ReplaceOperation(const std::string& path, Json value) {
    return {{"op", "replace"}, {"path", path}, {"value", std::move(value)}};
  }
  static Json AddOperation(const std::string& path, Json value) {
    return {{"op", "add"}, {"path", path}, {"value", std::move(value)}};
  }

  std::string Pick(const std::vector<std::string>& choices) { return choices[random_.Below(choices.size())]; }
  /// The path of an upstream, which may not exist.
  std::string UpstreamPath() { return "/upstreams/" + Pick({"e1", "e2", "l1", "n0", "n1", "n2"}); }
  /// Mostly the author; otherwise any partner or one that doesn't exist.
  std::string PickOwner() { return random_.Below(8) == 0 ? Pick({"gave", "leak", "none"}) : author_; }

  Json AddUpstreamOperation() {
    const std::string owner = PickOwner();
    const bool is_gave = owner == "gave";
    return AddOperation("/upstreams/n" + std::to_string(random_.Below(3)),
                        {{"partner", owner},
                         {"region", is_gave ? "ost" : "kochi"},
                         {"zone", is_gave ? "ost-1" : "kochi-1"},
                         {"address", "10.0.0.1:80"},
                         {"kind", "engine"},
                         {"slots", random_.Below(9)}});
  }

  /// A single operation on an entry.
  Json EntryOperation() {
    const std::string section = "/partners/" + PickOwner();
    switch (random_.Below(12)) {
      case 0:
        return AddUpstreamOperation();
      case 1:
        return ReplaceOperation(UpstreamPath() + "/slots", random_.Below(9));
      case 2:
        return {{"op", "remove"}, {"path", UpstreamPath()}};
      case 3:
        return ReplaceOperation(UpstreamPath() + "/leaving", random_.Below(2) == 0);
      case 4:
        return ReplaceOperation(section + "/lends",
                                {{author_ == "gave" ? "leak" : "gave", random_.Unit() * 1.2}});
      case 5:
        return AddOperation(section + "/classes/c" + std::to_string(random_.Below(3)),
                            {{"deadline_ms", 1 + random_.Below(100)}, {"guaranteed", random_.Unit() * 0.6}});
      case 6:
        return {{"op", "remove"}, {"path", Pick({"/models/letter", "/models/trace", "/services/ledger"})}};
      case 7:
        return ReplaceOperation(UpstreamPath() + "/partner", Pick({"gave", "leak"}));
      case 8:
        return AddOperation(
            "/residency/r" + std::to_string(random_.Below(2)),
            {{"partner", PickOwner()}, {"allow", {"home", Pick({"ost", "kochi", "nowhere"})}}});
      case 9:
        return ReplaceOperation("/links/0/mbit_s", random_.Below(3) * 70);
      case 10:
        return {{"op", "copy"}, {"from", UpstreamPath()}, {"path", UpstreamPath()}};
      default:
        return {{"op", "move"}, {"from", UpstreamPath()}, {"path", UpstreamPath()}};
    }
  }

  /// A whole patch that is malformed or replaces, copies, moves or removes whole sections or the document.
  Json UnusualPatch() {
    const std::vector<std::string> sections = {"/models", "/upstreams", "/residency", "/links", "/services"};
    switch (random_.Below(12)) {
      case 8:
        return Json::array({{{"op", "copy"}, {"from", Pick(sections)}, {"path", Pick(sections)}}});
      case 9:
        return Json::array({ReplaceOperation(Pick(sections), Json::object())});
      case 10:
        return Json::array({{{"op", "remove"}, {"path", Pick(sections)}}});
      case 11:
        return Json::array({{{"op", "move"}, {"from", UpstreamPath()}, {"path", Pick(sections) + "/n0"}}});
      case 0:
        return Json::object();
      case 1:
        return "patch";
      case 2:
        return Json::array();
      case 3:
        return Json::array({ReplaceOperation("", Json::object())});
      case 4:
        return Json::array({{{"op", "remove"}, {"path", ""}}});
      case 5:
        return Json::array({{{"op", "copy"}, {"from", ""}, {"path", "/upstreams/n0"}}});
      case 6:
        return Json::array({{{"op", "test"}, {"path", UpstreamPath() + "/slots"}, {"value", 4}},
                            ReplaceOperation(UpstreamPath() + "/slots", 5)});
      default:
        return Json::array({1, Json::array(), {{"op", "none"}}});
    }
  }

  std::string author_;
  base::Random random_;
};

}  // namespace cornelplank::config

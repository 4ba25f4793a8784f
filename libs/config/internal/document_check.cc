#include "libs/config/internal/document_check.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "libs/config/internal/json_reader.h"

namespace cornelplank::config {
namespace {

// Binary rounding can make decimal shares such as 0.1 + 0.2 + 0.7 add up to slightly more than 1.
constexpr double kShareTolerance = 1e-9;

class DocumentChecker {
 public:
  DocumentChecker(const Document& document, Faults* faults) : document_(document), faults_(faults) {}

  void Run() {
    CheckRegions();
    CheckLinks();
    CheckPartners();
    CheckResidency();
    for (const auto& [name, service] : document_.services) {
      CheckPartnerReference("services", name, service.partner);
    }
    for (const auto& [name, model] : document_.models) CheckPartnerReference("models", name, model.partner);
    for (const auto& [id, upstream] : document_.upstreams) CheckUpstream(id, upstream);
  }

 private:
  void AddFault(std::string pointer, std::string problem) {
    faults_->push_back({std::move(pointer), std::move(problem)});
  }

  /// True when no entry has this name. An empty name is not reported again: it comes from a field that was
  /// missing or faulty, and that was reported when the field was read.
  template <typename Map>
  bool IsDangling(const Map& map, const std::string& name) const {
    return !name.empty() && !map.contains(name);
  }

  void CheckPartnerReference(const char* section, const std::string& name, const std::string& partner) {
    if (IsDangling(document_.partners, partner)) {
      AddFault(JoinPointer({section, name, "partner"}), "partner '" + partner + "' does not exist");
    }
  }

  void CheckRegions() {
    std::map<std::string, std::string> region_of_zone;
    for (const auto& [name, region] : document_.regions) {
      CheckPartnerReference("regions", name, region.partner);
      if (name == "home") AddFault(JoinPointer({"regions", name}), "'home' is reserved for residency rules");
      if (region.zones.empty()) AddFault(JoinPointer({"regions", name, "zones"}), "needs at least one zone");
      for (size_t i = 0; i < region.zones.size(); ++i) {
        const auto [other, is_new] = region_of_zone.emplace(region.zones[i], name);
        if (!is_new && other->second != name && !region.zones[i].empty()) {
          AddFault(JoinPointer({"regions", name, "zones", std::to_string(i)}),
                   "zone '" + region.zones[i] + "' belongs to region '" + other->second + "' already");
        }
      }
    }
  }

  void CheckLinks() {
    std::set<std::pair<std::string, std::string>> pairs;
    for (size_t i = 0; i < document_.links.size(); ++i) {
      const Link& link = document_.links[i];
      const std::string index = std::to_string(i);
      if (IsDangling(document_.regions, link.a)) {
        AddFault(JoinPointer({"links", index, "a"}), "region '" + link.a + "' does not exist");
      }
      if (IsDangling(document_.regions, link.b)) {
        AddFault(JoinPointer({"links", index, "b"}), "region '" + link.b + "' does not exist");
      }
      if (link.a.empty() || link.b.empty()) continue;
      if (link.a == link.b) AddFault(JoinPointer({"links", index, "b"}), "must differ from a");
      if (!pairs.insert(std::minmax(link.a, link.b)).second) {
        AddFault(JoinPointer({"links", index}), "the two regions are linked already");
      }
    }
  }

  void CheckPartners() {
    for (const auto& [name, partner] : document_.partners) {
      double guaranteed = 0;
      for (const auto& [class_name, priority_class] : partner.classes) {
        guaranteed += priority_class.guaranteed;
      }
      if (guaranteed > 1 + kShareTolerance) {
        AddFault(JoinPointer({"partners", name, "classes"}), "the guaranteed shares add up to more than 1");
      }
      double lent = 0;
      for (const auto& [borrower, share] : partner.lends) {
        lent += share;
        if (borrower == name) {
          AddFault(JoinPointer({"partners", name, "lends", borrower}), "a partner can't lend to itself");
        }
        if (IsDangling(document_.partners, borrower)) {
          AddFault(JoinPointer({"partners", name, "lends", borrower}),
                   "partner '" + borrower + "' does not exist");
        }
      }
      if (lent > 1 + kShareTolerance) {
        AddFault(JoinPointer({"partners", name, "lends"}), "the lent shares add up to more than 1");
      }
    }
  }

  void CheckResidency() {
    for (const auto& [name, rule] : document_.residency) {
      CheckPartnerReference("residency", name, rule.partner);
      bool has_home = false;
      for (size_t i = 0; i < rule.allow.size(); ++i) {
        has_home = has_home || rule.allow[i] == "home";
        if (rule.allow[i] != "home" && IsDangling(document_.regions, rule.allow[i])) {
          AddFault(JoinPointer({"residency", name, "allow", std::to_string(i)}),
                   "region '" + rule.allow[i] + "' does not exist");
        }
      }
      // Home-only mode processes every request in its home region, so every rule has to allow that.
      if (!has_home) AddFault(JoinPointer({"residency", name, "allow"}), "must list 'home'");
    }
  }

  void CheckUpstream(const std::string& id, const Upstream& upstream) {
    CheckPartnerReference("upstreams", id, upstream.partner);
    CheckUpstreamLocation(id, upstream);
    if (upstream.kind == UpstreamKind::kService) {
      CheckServiceUpstream(id, upstream);
    } else if (!upstream.service.empty()) {
      AddFault(JoinPointer({"upstreams", id, "service"}), "must be empty for an engine");
    }
    for (size_t i = 0; i < upstream.models.size(); ++i) {
      if (IsDangling(document_.models, upstream.models[i])) {
        AddFault(JoinPointer({"upstreams", id, "models", std::to_string(i)}),
                 "model '" + upstream.models[i] + "' does not exist");
      }
    }
  }

  void CheckUpstreamLocation(const std::string& id, const Upstream& upstream) {
    if (upstream.region.empty()) return;
    const auto region = document_.regions.find(upstream.region);
    if (region == document_.regions.end()) {
      AddFault(JoinPointer({"upstreams", id, "region"}), "region '" + upstream.region + "' does not exist");
      return;
    }
    if (!upstream.partner.empty() && region->second.partner != upstream.partner) {
      AddFault(JoinPointer({"upstreams", id, "region"}),
               "region '" + upstream.region + "' belongs to another partner");
    }
    const auto& zones = region->second.zones;
    if (!upstream.zone.empty() && std::find(zones.begin(), zones.end(), upstream.zone) == zones.end()) {
      AddFault(JoinPointer({"upstreams", id, "zone"}),
               "zone '" + upstream.zone + "' is not in region '" + upstream.region + "'");
    }
  }

  void CheckServiceUpstream(const std::string& id, const Upstream& upstream) {
    if (!upstream.models.empty()) {
      AddFault(JoinPointer({"upstreams", id, "models"}), "must be empty for a service");
    }
    if (upstream.service.empty()) {
      AddFault(JoinPointer({"upstreams", id, "service"}), "is required for a service");
      return;
    }
    const auto service = document_.services.find(upstream.service);
    if (service == document_.services.end()) {
      AddFault(JoinPointer({"upstreams", id, "service"}),
               "service '" + upstream.service + "' does not exist");
    } else if (!upstream.partner.empty() && service->second.partner != upstream.partner) {
      AddFault(JoinPointer({"upstreams", id, "service"}),
               "service '" + upstream.service + "' belongs to another partner");
    }
  }

  const Document& document_;
  Faults* faults_;
};

}  // namespace

void CheckDocument(const Document& document, Faults* faults) { DocumentChecker(document, faults).Run(); }

}  // namespace cornelplank::config

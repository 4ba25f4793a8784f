#include "libs/config/internal/ownership.h"

#include <algorithm>
#include <string>
#include <vector>

#include "libs/config/internal/json_reader.h"

namespace cornelplank::config {
namespace {

class OwnershipCheck {
 public:
  OwnershipCheck(std::string_view author, Faults* faults) : author_(author), faults_(faults) {}

  /// `owner(name, entry)` returns the partner that owns an entry.
  template <typename Entry, typename Owner>
  void Compare(std::string_view section, const std::map<std::string, Entry>& before,
               const std::map<std::string, Entry>& after, Owner&& owner) {
    for (const auto& [name, entry] : before) {
      const auto found = after.find(name);
      if (found != after.end() && found->second == entry) continue;
      if (owner(name, entry) != author_) {
        Add(section, name, "belongs to partner '" + owner(name, entry) + "'");
      } else if (found != after.end() && owner(name, found->second) != author_) {
        Add(section, name, "can't be given to another partner");
      }
    }
    for (const auto& [name, entry] : after) {
      if (!before.contains(name) && owner(name, entry) != author_) {
        Add(section, name, "can't be created for another partner");
      }
    }
  }

  void CompareLinks(const Document& before, const Document& after) {
    CheckLinks(before.links, after.links, before);
    CheckLinks(after.links, before.links, after);
  }

 private:
  static std::string OwnerOf(const Document& document, const std::string& region) {
    const auto found = document.regions.find(region);
    return found == document.regions.end() ? "" : found->second.partner;
  }

  /// Reports the links of `links` that are absent from `others` and that the author has no end of.
  void CheckLinks(const std::vector<Link>& links, const std::vector<Link>& others, const Document& document) {
    for (size_t i = 0; i < links.size(); ++i) {
      const Link& link = links[i];
      if (std::find(others.begin(), others.end(), link) != others.end()) continue;
      if (OwnerOf(document, link.a) != author_ && OwnerOf(document, link.b) != author_) {
        Add("links", std::to_string(i), "joins two regions of another partner");
      }
    }
  }

  void Add(std::string_view section, const std::string& name, std::string problem) {
    faults_->push_back({JoinPointer({section, name}), std::move(problem)});
  }

  std::string_view author_;
  Faults* faults_;
};

}  // namespace

void CheckOwnership(const Document& before, const Document& after, std::string_view author, Faults* faults) {
  if (!before.partners.contains(std::string(author))) {
    faults->push_back({"", "author '" + std::string(author) + "' is not a partner"});
    return;
  }
  OwnershipCheck check(author, faults);
  const auto by_field = [](const std::string&, const auto& entry) { return entry.partner; };
  const auto by_name = [](const std::string& name, const auto&) { return name; };
  check.Compare("regions", before.regions, after.regions, by_field);
  check.CompareLinks(before, after);
  check.Compare("partners", before.partners, after.partners, by_name);
  check.Compare("residency", before.residency, after.residency, by_field);
  check.Compare("services", before.services, after.services, by_field);
  check.Compare("models", before.models, after.models, by_field);
  check.Compare("upstreams", before.upstreams, after.upstreams, by_field);
}

}  // namespace cornelplank::config

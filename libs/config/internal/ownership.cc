#include "libs/config/internal/ownership.h"

#include <algorithm>
#include <string>
#include <vector>

#include "libs/config/internal/json_reader.h"

namespace cornelplank::config {
namespace {

class OwnershipChecker {
 public:
  OwnershipChecker(std::string_view author, Faults* faults) : author_(author), faults_(faults) {}

  /// Checks each entry that differs. `owner(name, entry)` returns the partner that owns an entry.
  template <typename Entry, typename Owner>
  void Compare(std::string_view section, const std::map<std::string, Entry>& before,
               const std::map<std::string, Entry>& after, Owner&& owner) {
    auto old_entry = before.begin();
    auto new_entry = after.begin();
    // Both maps are ordered, so one pass over both replaces a lookup for each of several thousand entries.
    while (old_entry != before.end() || new_entry != after.end()) {
      const bool is_removed =
          new_entry == after.end() || (old_entry != before.end() && old_entry->first < new_entry->first);
      const bool is_added = !is_removed && (old_entry == before.end() || new_entry->first < old_entry->first);
      if (is_added) {
        if (owner(new_entry->first, new_entry->second) != author_) {
          AddFault(section, new_entry->first, "can't be created for another partner");
        }
      } else if (is_removed || old_entry->second != new_entry->second) {
        const std::string& name = old_entry->first;
        if (owner(name, old_entry->second) != author_) {
          AddFault(section, name, "belongs to partner '" + owner(name, old_entry->second) + "'");
        } else if (!is_removed && owner(name, new_entry->second) != author_) {
          AddFault(section, name, "can't be given to another partner");
        }
      }
      if (!is_added) ++old_entry;
      if (!is_removed) ++new_entry;
    }
  }

  void CompareLinks(const Document& before, const Document& after) {
    CheckChangedLinks(before.links, after.links, before);
    CheckChangedLinks(after.links, before.links, after);
  }

 private:
  static std::string OwnerOf(const Document& document, const std::string& region) {
    const auto found = document.regions.find(region);
    return found == document.regions.end() ? "" : found->second.partner;
  }

  /// Reports each link of `links` that is absent from `others` and joins two regions that the author doesn't
  /// own. `document` holds the regions.
  void CheckChangedLinks(const std::vector<Link>& links, const std::vector<Link>& others,
                         const Document& document) {
    for (size_t i = 0; i < links.size(); ++i) {
      const Link& link = links[i];
      if (std::find(others.begin(), others.end(), link) != others.end()) continue;
      if (OwnerOf(document, link.a) != author_ && OwnerOf(document, link.b) != author_) {
        AddFault("links", std::to_string(i), "joins two regions of another partner");
      }
    }
  }

  void AddFault(std::string_view section, const std::string& name, std::string problem) {
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
  OwnershipChecker checker(author, faults);
  const auto partner_field = [](const std::string&, const auto& entry) { return entry.partner; };
  const auto entry_name = [](const std::string& name, const auto&) { return name; };
  checker.Compare("regions", before.regions, after.regions, partner_field);
  checker.CompareLinks(before, after);
  checker.Compare("partners", before.partners, after.partners, entry_name);
  checker.Compare("residency", before.residency, after.residency, partner_field);
  checker.Compare("services", before.services, after.services, partner_field);
  checker.Compare("models", before.models, after.models, partner_field);
  checker.Compare("upstreams", before.upstreams, after.upstreams, partner_field);
}

}  // namespace cornelplank::config

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cornelplank::serving {

/// The regions in which a request's data may be processed. Combines the home regions of its route and of its
/// tenant, of the configuration by which the request was accepted and of the one in force: a region must be
/// allowed by all of them. All checks of a request's regions go through this type.
class DataResidency {
 public:
  /// Restricts the data to `homes`; an empty list restricts nothing. Keeps a reference to the list.
  void Restrict(const std::vector<std::string>& homes) { homes_.push_back(&homes); }
  /// Sets whether the configuration in force may be used for data that is bound to regions.
  void SetConfigFresh(bool fresh) { config_fresh_ = fresh; }

  /// Whether the data is bound to regions.
  bool Bound() const;
  /// Whether the data is bound to regions, but the configuration may have been replaced by a newer one.
  bool Unknown() const { return !config_fresh_ && Bound(); }
  /// Whether the data may be processed in the region.
  bool Allows(std::string_view region) const;

 private:
  std::vector<const std::vector<std::string>*> homes_;
  bool config_fresh_ = true;
};

}  // namespace cornelplank::serving

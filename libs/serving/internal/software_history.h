#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::serving {

/// Which software versions each service has had lately, as the store's listings show them to this VM. Not
/// thread-safe; the caller passes in the time.
class SoftwareHistory {
 public:
  /// A longer gap between two confirmed states of the listing may hide a version that came and went.
  static constexpr std::chrono::milliseconds kMaxGap{5000};
  /// Greatest age of the last confirmed state by which streams may go on: a version may have come since then.
  /// Covers two waits for changes at the store, since an answer with changes confirms the begin of its wait.
  static constexpr std::chrono::milliseconds kMaxAnswerAge{3200};

  /// Time from the moment at which a VM learns of a version until it begins streams there. By then every VM
  /// that doesn't know the version has ceased to answer by its history.
  static constexpr std::chrono::milliseconds kSettlingTime = kMaxAnswerAge + std::chrono::milliseconds(300);

  /// Sets the time for which versions count after their last replica has gone.
  void SetRetention(base::Duration retention);
  base::Duration retention() const { return retention_; }
  /// Sets the services (Hash64 of their names) of each route of streams, by its name. When they change,
  /// streams of a route may have begun at services that it no longer names, so the history begins anew.
  void SetRoutes(std::map<std::string, std::vector<uint64_t>> routes);
  /// No replica served before this process started: the whole system has just started for the first time.
  void SetFirstStart() { first_start_ = true; }
  /// A replica of the software is or was listed. `service`: Hash64 of its name. Returns from when streams
  /// should begin there rather than at other versions.
  base::TimePoint OnListed(uint64_t service, uint64_t software, base::TimePoint now);
  /// `OnListed` has just been called for all replicas. Versions without one are new when they return.
  void OnAllListed(base::TimePoint now) { all_listed_at_ = now; }
  /// From when no version is new.
  base::TimePoint settled_at() const { return settled_at_; }
  /// All changes of the listing up to `at` are known.
  void OnConfirmed(base::TimePoint at);
  /// The listing could not be read. Nothing is known of the present versions until the next confirmation.
  void OnReadFailed() { read_failed_ = true; }

  /// The versions that the services have had within the retention time.
  std::set<uint64_t> Versions(const std::vector<uint64_t>& services, base::TimePoint now) const;
  /// Whether `Versions` is complete: the listing was known for the whole retention time.
  bool IsComplete(base::TimePoint now) const;
  /// Whether the streams of some route may have begun at more than one version within the retention time, as
  /// far as this VM can tell now.
  bool IsMixed(base::TimePoint now) const;
  /// The only version of the services, if they had just one for the whole retention time until now.
  std::optional<uint64_t> OnlyVersion(const std::vector<uint64_t>& services, base::TimePoint now) const;

 private:
  struct Version {
    base::TimePoint listed_at{};
    base::TimePoint settled_at{};
  };

  /// Whether the listing is known as it is now.
  bool IsCurrent(base::TimePoint now) const;

  base::Duration retention_ = std::chrono::seconds(60);
  std::map<std::string, std::vector<uint64_t>> routes_;
  bool first_start_ = false;
  std::optional<base::TimePoint> known_since_;
  std::optional<base::TimePoint> confirmed_at_;
  bool read_failed_ = false;  // since the last confirmation
  base::TimePoint all_listed_at_{};
  base::TimePoint settled_at_{};
  std::map<uint64_t, std::map<uint64_t, Version>> versions_;  // by service and software
};

}  // namespace cornelplank::serving

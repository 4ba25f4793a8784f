#pragma once

#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::load {

/// The entry VMs that a client may use, best first, as listed by GET /v1/entry. Thread-safe.
class EntryList {
 public:
  /// `urls` are the base URLs from the client's own settings. They stay candidates behind the listed entries,
  /// and are the only ones until a list is adopted.
  explicit EntryList(std::vector<std::string> urls);

  /// The base URLs to try in turn. Not empty if the constructor was given a URL.
  std::vector<std::string> Candidates() const;
  /// Moves an entry that can't be reached, or that is leaving, behind all other entries until the next list
  /// is adopted. Does nothing for a URL that is not in the list.
  void Demote(const std::string& url);

  /// Replaces the list by the response body of a GET /v1/entry. Returns false, and keeps the old list, when
  /// the body can't be parsed or lists no entry. A list without a lifetime expires at once.
  bool Adopt(const std::string& json, base::TimePoint now);
  /// True when no list was adopted yet or the lifetime of the last one has passed.
  bool NeedsRefresh(base::TimePoint now) const;

 private:
  const std::vector<std::string> configured_;
  mutable std::mutex mutex_;
  std::vector<std::string> entries_;
  std::optional<base::TimePoint> expires_;
};

}  // namespace cornelplank::load

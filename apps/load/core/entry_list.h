#pragma once

#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::load {

/// The entry VMs that a client may use, best first, as told by GET /v1/entry. Thread-safe.
class EntryList {
 public:
  /// `urls` are the base URLs that the client knows from its own settings. They are asked for the list, and
  /// used while there is none.
  explicit EntryList(std::vector<std::string> urls);

  /// The base URLs to try in turn. Never empty.
  std::vector<std::string> Candidates() const;
  /// Moves an entry that can't be reached, or that is leaving, behind all others until the next list.
  void Demote(const std::string& url);

  /// Adopts an answer of GET /v1/entry. False when it is not readable or lists no entry.
  bool Adopt(const std::string& json, base::TimePoint now);
  /// True when the list is missing or its lifetime has passed.
  bool NeedsRefresh(base::TimePoint now) const;

 private:
  const std::vector<std::string> known_;
  mutable std::mutex mutex_;
  std::vector<std::string> entries_;
  std::optional<base::TimePoint> expires_;
};

}  // namespace cornelplank::load

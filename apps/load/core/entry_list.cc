#include "apps/load/core/entry_list.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace cornelplank::load {

EntryList::EntryList(std::vector<std::string> urls) : configured_(std::move(urls)), entries_(configured_) {}

std::vector<std::string> EntryList::Candidates() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> candidates = entries_;
  for (const std::string& url : configured_) {
    if (std::find(candidates.begin(), candidates.end(), url) == candidates.end()) candidates.push_back(url);
  }
  return candidates;
}

void EntryList::Demote(const std::string& url) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = std::find(entries_.begin(), entries_.end(), url);
  if (found != entries_.end()) std::rotate(found, found + 1, entries_.end());
}

bool EntryList::Adopt(const std::string& json, base::TimePoint now) {
  const auto list = base::ParseJson(json);
  if (!list.is_object() || !list.contains("entries") || !list["entries"].is_array()) return false;
  std::vector<std::string> entries;
  for (const auto& entry : list["entries"]) {
    if (!entry.is_object() || !entry.contains("http") || !entry["http"].is_string()) return false;
    entries.push_back("http://" + entry["http"].get<std::string>());
  }
  if (entries.empty()) return false;
  const auto lifetime = list.find("lifetime_s");
  const bool has_lifetime = lifetime != list.end() && lifetime->is_number_unsigned();
  const std::lock_guard<std::mutex> lock(mutex_);
  entries_ = std::move(entries);
  expires_ = now + std::chrono::seconds{has_lifetime ? lifetime->get<uint32_t>() : 0};
  return true;
}

bool EntryList::NeedsRefresh(base::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return !expires_ || *expires_ <= now;
}

}  // namespace cornelplank::load

#include "libs/serving/internal/software_history.h"

#include <algorithm>

namespace cornelplank::serving {

void SoftwareHistory::SetRetention(base::Duration retention) {
  // Versions that left before the present retention time have been forgotten.
  if (known_since_ && retention > retention_ && *confirmed_at_ - *known_since_ > retention_) {
    known_since_ = *confirmed_at_ - retention_;
    first_start_ = false;
  }
  retention_ = retention;
}

void SoftwareHistory::SetRoutes(std::map<std::string, std::vector<uint64_t>> routes) {
  if (!routes_.empty() && routes != routes_) {
    known_since_.reset();
    first_start_ = false;
  }
  routes_ = std::move(routes);
}

base::TimePoint SoftwareHistory::OnListed(uint64_t service, uint64_t software, base::TimePoint now) {
  auto& versions = versions_[service];
  std::erase_if(versions, [&](const auto& entry) { return now - entry.second.listed_at > retention_; });
  const auto [entry, added] = versions.try_emplace(software);
  if (added || entry->second.listed_at < all_listed_at_) {
    // Nobody goes on at another version when there is none, and what was listed before this VM started has
    // been known to others.
    const bool known_to_all = versions.size() == 1 || !confirmed_at_;
    entry->second.settled_at = known_to_all ? now : now + kSettlingTime;
    settled_at_ = std::max(settled_at_, entry->second.settled_at);
  }
  entry->second.listed_at = now;
  return entry->second.settled_at;
}

void SoftwareHistory::OnConfirmed(base::TimePoint at) {
  read_failed_ = false;
  if (confirmed_at_ && at <= *confirmed_at_) return;
  if (!known_since_ || at - *confirmed_at_ > kMaxGap) {
    if (known_since_) first_start_ = false;
    known_since_ = at;
  }
  confirmed_at_ = at;
}

std::set<uint64_t> SoftwareHistory::Versions(const std::vector<uint64_t>& services,
                                             base::TimePoint now) const {
  std::set<uint64_t> found;
  for (const uint64_t service : services) {
    const auto versions = versions_.find(service);
    if (versions == versions_.end()) continue;
    for (const auto& [software, version] : versions->second) {
      if (now - version.listed_at <= retention_) found.insert(software);
    }
  }
  return found;
}

bool SoftwareHistory::IsComplete(base::TimePoint now) const {
  if (!known_since_ || now - *confirmed_at_ > kMaxGap) return false;
  return first_start_ || now - *known_since_ >= retention_;
}

bool SoftwareHistory::IsCurrent(base::TimePoint now) const {
  return confirmed_at_ && !read_failed_ && now - *confirmed_at_ <= kMaxAnswerAge;
}

bool SoftwareHistory::IsMixed(base::TimePoint now) const {
  if (!IsComplete(now) || !IsCurrent(now)) return true;
  return std::any_of(routes_.begin(), routes_.end(),
                     [&](const auto& route) { return Versions(route.second, now).size() > 1; });
}

std::optional<uint64_t> SoftwareHistory::OnlyVersion(const std::vector<uint64_t>& services,
                                                     base::TimePoint now) const {
  const std::set<uint64_t> versions = Versions(services, now);
  if (!IsComplete(now) || !IsCurrent(now) || versions.size() != 1) return std::nullopt;
  return *versions.begin();
}

}  // namespace cornelplank::serving

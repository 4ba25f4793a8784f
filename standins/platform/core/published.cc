#include "standins/platform/core/published.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cornelplank::standins::platform {
namespace {

using nlohmann::json;

/// Parses a published value. Returns no value, with the reason, when it is too long or no JSON object.
std::optional<json> ParseValue(const std::string& text, PlatformReason* reason) {
  if (text.size() > kMaxValueBytes) {
    base::SetReason(reason, PlatformCode::kTooLong, "the value is longer than 1 MB");
    return std::nullopt;
  }
  json value = json::parse(text, nullptr, false);
  if (!value.is_object()) {
    base::SetReason(reason, PlatformCode::kNoJson, "the value is no JSON object");
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::optional<uint64_t> PublishedConfig::Append(const std::string& text, PlatformReason* reason) {
  const auto value = ParseValue(text, reason);
  if (!value) return std::nullopt;
  if (value->contains("seq")) {
    base::SetReason(reason, PlatformCode::kInvalid, "the platform assigns the sequence number");
    return std::nullopt;
  }
  // The published bytes are not reformatted, since readers compute a digest of them.
  const std::string rest = text.substr(text.find('{') + 1);
  ++head_;
  entries_.push_back({head_, "{\"seq\":" + std::to_string(head_) + (value->empty() ? "" : ",") + rest});
  if (entries_.size() > kept_entries_) Trim(entries_.front().seq + 1);
  return head_;
}

bool PublishedConfig::SetSnapshot(const std::string& text, PlatformReason* reason) {
  const auto value = ParseValue(text, reason);
  if (!value) return false;
  const auto seq = value->find("seq");
  if (seq == value->end() || !seq->is_number_unsigned()) {
    base::SetReason(reason, PlatformCode::kInvalid, "the snapshot has no sequence number");
    return false;
  }
  snapshots_.push_back({seq->get<uint64_t>(), text});
  if (snapshots_.back().seq > head_) {
    head_ = snapshots_.back().seq;
    Trim(head_ + 1);
  }
  return true;
}

void PublishedConfig::Trim(uint64_t oldest) {
  oldest_ = std::clamp(oldest, oldest_, head_ + 1);
  while (!entries_.empty() && entries_.front().seq < oldest_) entries_.pop_front();
}

std::optional<std::string> PublishedConfig::Snapshot(PlatformReason* reason) const {
  if (snapshots_.empty()) {
    base::SetReason(reason, PlatformCode::kNotFound, "there is no snapshot");
    return std::nullopt;
  }
  return snapshots_.back().text;
}

std::optional<std::string> PublishedConfig::LogAfter(uint64_t after, PlatformReason* reason) const {
  if (after + 1 < oldest_) {
    base::SetReason(reason, PlatformCode::kGone, "older entries were dropped; read the snapshot");
    return std::nullopt;
  }
  std::string entries;
  for (const Entry& entry : entries_) {
    if (entry.seq <= after) continue;
    if (!entries.empty() && entries.size() + entry.text.size() > kMaxValueBytes) break;
    entries += (entries.empty() ? "" : ",") + entry.text;
  }
  return "{\"head_seq\":" + std::to_string(head_) + ",\"oldest_seq\":" + std::to_string(oldest_) +
         ",\"entries\":[" + entries + "]}";
}

PublishedConfig PublishedConfig::AtHead(uint64_t seq) const {
  PublishedConfig old = *this;
  std::erase_if(old.snapshots_, [seq](const Entry& entry) { return entry.seq > seq; });
  std::erase_if(old.entries_, [seq](const Entry& entry) { return entry.seq > seq; });
  old.head_ = std::min(head_, seq);
  old.oldest_ = std::min(oldest_, old.head_ + 1);
  return old;
}

bool PublishedVmList::Publish(const std::string& text, base::TimePoint now, PlatformReason* reason) {
  const auto value = ParseValue(text, reason);
  if (!value) return false;
  const auto vms = value->find("vms");
  if (vms == value->end() || !vms->is_array()) {
    base::SetReason(reason, PlatformCode::kInvalid, "there is no array \"vms\"");
    return false;
  }
  versions_.push_back({versions_.empty() ? now : now + lag_, vms->dump()});
  // Only the newest visible version and those that are not visible yet are needed.
  while (versions_.size() > 1 && versions_[1].visible <= now) versions_.erase(versions_.begin());
  return true;
}

std::string PublishedVmList::VisibleAt(base::TimePoint now) const {
  std::string visible = "[]";
  for (const Version& version : versions_) {
    if (version.visible <= now) visible = version.vms;
  }
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(lag_);
  return "{\"age_ms\":" + std::to_string(age.count()) + ",\"vms\":" + visible + "}";
}

std::optional<uint64_t> PublishedClients::Update(const std::string& text, PlatformReason* reason) {
  const auto value = ParseValue(text, reason);
  if (!value) return std::nullopt;
  const json clients = value->value("clients", json::array());
  const json removed = value->value("removed", json::array());
  for (const json& client : clients) {
    if (client.is_object() && client.contains("id") && client["id"].is_string()) continue;
    base::SetReason(reason, PlatformCode::kInvalid, "a client has no id");
    return std::nullopt;
  }
  ++revision_;
  for (const json& client : clients) records_[client["id"].get<std::string>()] = {revision_, client.dump()};
  for (const json& id : removed) {
    if (id.is_string()) records_[id.get<std::string>()] = {revision_, ""};
  }
  return revision_;
}

std::string PublishedClients::Since(uint64_t revision) const {
  std::string clients;
  json removed = json::array();
  for (const auto& [id, record] : records_) {
    if (record.revision <= revision) continue;
    if (record.text.empty()) {
      removed.push_back(id);
    } else {
      clients += (clients.empty() ? "" : ",") + record.text;
    }
  }
  return "{\"revision\":" + std::to_string(revision_) + ",\"clients\":[" + clients +
         "],\"removed\":" + removed.dump() + "}";
}

double PartialTokenBucket::Take(double wanted, double min_taken, base::TimePoint now) {
  if (per_second_ <= 0) return wanted;
  if (last_) {
    const double seconds = std::chrono::duration<double>(now - *last_).count();
    level_ = std::min(burst_, level_ + seconds * per_second_);
  }
  last_ = now;
  if (level_ < min_taken) return 0;
  const double taken = std::min(wanted, level_);
  level_ -= taken;
  return taken;
}

}  // namespace cornelplank::standins::platform

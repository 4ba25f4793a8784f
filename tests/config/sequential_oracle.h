#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/config/example.h"

namespace cornelplank::config {

/// Reference model of the published log: it processes each entry once, in order, on a full copy of the JSON
/// document, and keeps the resulting state of every sequence number.
class SequentialOracle {
 public:
  struct State {
    Version version;
    std::shared_ptr<const Document> document;
    bool accepted = true;  // whether the entry that led to this state was accepted
  };

  SequentialOracle(Snapshot start, int newest_format) : newest_format_(newest_format) {
    first_seq_ = start.version.seq;
    auto document = std::make_shared<const Document>(std::move(start.document));
    json_ = nlohmann::json::parse(WriteDocument(*document));
    states_.push_back({start.version, std::move(document), true});
  }

  /// Appends an entry to the log and processes it.
  void Publish(LogEntry entry) {
    const State& last = states_.back();
    auto next = entry.base == last.version.number ? ApplyEntry(entry) : nullptr;
    State state = last;
    state.accepted = next != nullptr;
    state.version.seq = entry.seq;
    state.version.number += state.accepted ? 1 : 0;
    state.version.digest = ChainDigest(last.version.digest, entry.seq, entry.patch_json, state.accepted);
    if (next != nullptr) {
      json_ = nlohmann::json::parse(WriteDocument(*next));
      state.document = std::move(next);
    }
    states_.push_back(std::move(state));
    log_.push_back(std::move(entry));
  }

  uint64_t first_seq() const { return first_seq_; }
  uint64_t head_seq() const { return first_seq_ + log_.size(); }
  const State& At(uint64_t seq) const { return states_.at(seq - first_seq_); }
  /// The entry that follows `seq`.
  const LogEntry& EntryAfter(uint64_t seq) const { return log_.at(seq - first_seq_); }
  Snapshot SnapshotAt(uint64_t seq) const { return {At(seq).version, *At(seq).document}; }

 private:
  /// The document after the entry's patch, or null when the patch is refused.
  std::shared_ptr<const Document> ApplyEntry(const LogEntry& entry) const {
    const auto patch = nlohmann::json::parse(entry.patch_json, nullptr, false);
    if (!patch.is_array() || !json_["partners"].contains(entry.author)) return nullptr;
    nlohmann::json after;
    try {
      after = json_.patch(patch);
    } catch (const nlohmann::json::exception&) {
      return nullptr;
    }
    auto document = ParseDocument(after.dump(), newest_format_, nullptr, nullptr);
    if (!document) return nullptr;
    after = nlohmann::json::parse(WriteDocument(*document));
    const int step = document->format - json_["format"].get<int>();
    if (step < 0 || step > 1 || !OwnsAllChanges(entry.author, after)) return nullptr;
    return std::make_shared<const Document>(*std::move(document));
  }

  static std::string OwnerOf(const nlohmann::json& document, const char* section, const std::string& name) {
    const auto& entries = document[section];
    if (!entries.contains(name)) return "";
    return std::string(section) == "partners" ? name : entries[name]["partner"].get<std::string>();
  }

  /// True when the author owns every entry that differs, both before and after the change.
  bool OwnsAllChanges(const std::string& author, const nlohmann::json& after) const {
    for (const char* section : {"regions", "partners", "residency", "services", "models", "upstreams"}) {
      nlohmann::json names = json_[section];
      names.update(after[section]);
      for (const auto& [name, ignored] : names.items()) {
        const bool unchanged = json_[section].contains(name) && after[section].contains(name) &&
                               json_[section][name] == after[section][name];
        for (const auto* document : {&json_, &after}) {
          const std::string owner = OwnerOf(*document, section, name);
          if (!unchanged && !owner.empty() && owner != author) return false;
        }
      }
    }
    return OwnsMissingLinks(author, json_, after) && OwnsMissingLinks(author, after, json_);
  }

  /// True when the author owns an end of each link of `from` that `to` lacks.
  static bool OwnsMissingLinks(const std::string& author, const nlohmann::json& from,
                               const nlohmann::json& to) {
    for (const auto& link : from["links"]) {
      bool kept = false;
      for (const auto& other : to["links"]) kept = kept || other == link;
      if (!kept && OwnerOf(from, "regions", link["a"]) != author &&
          OwnerOf(from, "regions", link["b"]) != author) {
        return false;
      }
    }
    return true;
  }

  int newest_format_;
  uint64_t first_seq_ = 0;
  nlohmann::json json_;
  std::vector<State> states_;
  std::vector<LogEntry> log_;
};

}  // namespace cornelplank::config

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelplank::base {

/// One fault of a settings file. `line` counts from 1; it is 0 when the file or the key is missing.
struct SettingsFault {
  std::string file;
  int line = 0;
  std::string section;
  std::string key;
  std::string problem;

  /// Returns "FILE:LINE: [SECTION] KEY: PROBLEM".
  std::string Text() const;
};

/// Reads an INI file and returns typed values. Faults are collected, so that one run reports all of them: an
/// accessor that meets a malformed value records a fault and, unless stated otherwise, returns `fallback`, as
/// it does for a missing key. Each accessor marks its key as known; `Finish` reports the keys that no
/// accessor read.
class Settings {
 public:
  /// Reads and parses the file at `path`. A file that can't be read becomes one fault.
  static Settings Load(const std::string& path);
  /// Parses `text`. Faults give `name` as the file.
  static Settings Parse(const std::string& name, const std::string& text);

  /// Records a fault and returns an empty text when the key is missing or empty.
  std::string RequiredText(const std::string& section, const std::string& key);
  std::string Text(const std::string& section, const std::string& key, const std::string& fallback);
  /// A whole number in [low, high].
  int64_t Integer(const std::string& section, const std::string& key, int64_t fallback, int64_t low,
                  int64_t high);
  /// A number in [low, high].
  double Number(const std::string& section, const std::string& key, double fallback, double low, double high);
  /// "true" or "false".
  bool Flag(const std::string& section, const std::string& key, bool fallback);
  /// A number with one of the units ms, s, min (for example "250ms" or "1.5s"), at most `high`; rounded to
  /// milliseconds.
  std::chrono::milliseconds Time(const std::string& section, const std::string& key,
                                 std::chrono::milliseconds fallback, std::chrono::milliseconds high);
  /// "IP:PORT" with an IPv4 address; port 0 means any free port. Returns the text of the file even when it is
  /// malformed; `fallback` is checked too.
  std::string Address(const std::string& section, const std::string& key, const std::string& fallback);
  /// Comma-separated values without surrounding blanks; empty ones are left out, and a missing key gives
  /// none.
  std::vector<std::string> List(const std::string& section, const std::string& key);

  /// Adds a fault that the caller found, with the line of the key (0 when it is missing).
  void AddFault(const std::string& section, const std::string& key, std::string problem);
  /// Adds a fault for each key that no accessor read and returns all faults, ordered by line. Call it last.
  std::vector<SettingsFault> Finish();

 private:
  struct Entry {
    std::string value;
    int line = 0;
    bool known = false;  // an accessor has read the key
  };
  using Key = std::pair<std::string, std::string>;

  /// The entry, marked as known, or null.
  const Entry* Find(const std::string& section, const std::string& key);

  std::string file_;
  std::map<Key, Entry> entries_;
  std::vector<SettingsFault> faults_;
};

}  // namespace cornelplank::base

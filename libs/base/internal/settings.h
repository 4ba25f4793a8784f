#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelplank::base {

/// One fault of a settings file. `line` is 0 when the fault is a missing key.
struct SettingsFault {
  std::string file;
  int line = 0;
  std::string section;
  std::string key;
  std::string problem;

  /// "FILE:LINE: [SECTION] KEY: PROBLEM"
  std::string Text() const;
};

/// Reads an INI file and hands out typed values. Every fault is collected, so that one run reports all.
/// Each accessor marks its key as known; `Finish` reports the keys that no accessor asked for.
class Settings {
 public:
  /// Reads the file. A file that can't be read or parsed is a fault of its own.
  static Settings Load(const std::string& path);
  /// Parses `text`; `name` stands for the file in faults.
  static Settings Parse(const std::string& name, const std::string& text);

  std::string RequiredText(const std::string& section, const std::string& key);
  std::string Text(const std::string& section, const std::string& key, const std::string& fallback);
  /// A whole number in [low, high].
  int64_t Integer(const std::string& section, const std::string& key, int64_t fallback, int64_t low,
                  int64_t high);
  /// A number in [low, high].
  double Number(const std::string& section, const std::string& key, double fallback, double low, double high);
  bool Flag(const std::string& section, const std::string& key, bool fallback);
  /// A whole number with one of the units ms, s, min (for example "250ms"), at most `high`.
  std::chrono::milliseconds Time(const std::string& section, const std::string& key,
                                 std::chrono::milliseconds fallback, std::chrono::milliseconds high);
  /// "IP:PORT"; port 0 is allowed and means any free port.
  std::string Address(const std::string& section, const std::string& key, const std::string& fallback);
  /// Comma-separated values without surrounding blanks.
  std::vector<std::string> List(const std::string& section, const std::string& key);

  /// Adds a fault found by the caller at the place of the key.
  void AddFault(const std::string& section, const std::string& key, std::string problem);
  /// Adds a fault for each unknown key and returns all faults in file order. Call it last.
  std::vector<SettingsFault> Finish();

 private:
  struct Entry {
    std::string value;
    int line = 0;
    bool known = false;
  };
  using Key = std::pair<std::string, std::string>;

  const Entry* Find(const std::string& section, const std::string& key);

  std::string file_;
  std::map<Key, Entry> entries_;
  std::vector<SettingsFault> faults_;
};

}  // namespace cornelplank::base

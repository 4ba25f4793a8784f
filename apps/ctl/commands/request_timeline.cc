#include "apps/ctl/commands/request_timeline.h"

#include <algorithm>
#include <sstream>

namespace cornelplank::ctl {
namespace {

/// True for events that report a change of a VM's configuration, store, replicas or own state.
bool IsStateChange(const std::string& event) {
  return event == "config_in_force" || event == "store_lost" || event == "store_regained" ||
         event == "stopping" || event == "ready" || event == "zone_evacuated" ||
         event.starts_with("replica_");
}

/// The last state that one VM has logged. Each text is empty until an event sets it.
struct LoggedState {
  std::string config;
  std::string store;
  std::string lifecycle;                        // ready, stopping or zone_evacuated
  std::map<std::string, std::string> replicas;  // last event by replica id

  void Update(const LogLine& line) {
    const std::string at = " at " + std::to_string(line.time.count());
    if (line.event == "config_in_force") {
      config = "config " + line.Field("version") + " in force since " + std::to_string(line.time.count());
    } else if (line.event.starts_with("store_")) {
      store = line.event + at;
    } else if (line.event.starts_with("replica_")) {
      replicas[line.Field("replica")] = line.event + at;
    } else {
      lifecycle = line.event + at;
    }
  }

  /// The state that matters for a line of the request: all but the replicas that the line does not name.
  std::string DescribeFor(const LogLine& line) const {
    std::vector<std::string> known;
    if (!config.empty()) known.push_back(config);
    if (!store.empty()) known.push_back(store);
    if (!lifecycle.empty()) known.push_back(lifecycle);
    for (const char* key : {"replica", "by"}) {
      const auto replica = replicas.find(line.Field(key));
      if (replica != replicas.end()) known.push_back(replica->first + ": " + replica->second);
    }
    std::string text;
    for (const std::string& part : known) text += (text.empty() ? "" : "; ") + part;
    return text;
  }
};

}  // namespace

void RequestTimeline::Read(std::istream& log, const std::string& file) {
  for (std::string text; std::getline(log, text);) {
    auto line = ParseLogLine(text, file);
    if (!line) continue;
    if (line->Field("request") == request_id_ || IsStateChange(line->event)) {
      lines_.push_back(std::move(*line));
    }
  }
}

std::string RequestTimeline::Text() const {
  std::vector<const LogLine*> ordered;
  for (const LogLine& line : lines_) ordered.push_back(&line);
  std::stable_sort(ordered.begin(), ordered.end(),
                   [](const LogLine* a, const LogLine* b) { return a->time < b->time; });
  std::map<std::string, LoggedState> states;  // by VM
  std::ostringstream text;
  for (const LogLine* line : ordered) {
    LoggedState& state = states[line->source];
    if (line->Field("request") != request_id_) {
      state.Update(*line);
      continue;
    }
    text << line->time.count() << " " << line->source << " " << line->event;
    for (const auto& [key, value] : line->fields) {
      if (key != "request") text << " " << key << "=" << (value.empty() ? "\"\"" : value);
    }
    text << "\n";
    const std::string known = state.DescribeFor(*line);
    if (!known.empty()) text << "    known: " << known << "\n";
  }
  return text.str();
}

}  // namespace cornelplank::ctl

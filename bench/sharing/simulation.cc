#include "bench/sharing/simulation.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <unordered_map>

namespace cornelplank::bench {
namespace {

using base::Duration;
using base::TimePoint;

constexpr double kTokenIntervalS = 0.062;
constexpr double kMeanTokens = 232;
// A cancelled request frees its slot after the round trip to the upstream.
constexpr Duration kCancelDelay = std::chrono::milliseconds(20);

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}
double InSeconds(Duration time) { return std::chrono::duration<double>(time).count(); }
double Exponential(base::Random* random, double mean) { return -mean * std::log(1 - random->Unit()); }

/// One request of a source.
struct Arrival {
  TimePoint time;
  const Source* source = nullptr;
  uint64_t client = 0;       // number of the client within the source
  double first_token_s = 0;  // from the grant of a slot to the first token
  double hold_s = 0;         // from the grant to the last token
};

/// Draws the arrivals of all sources, ordered by time.
std::vector<Arrival> MakeArrivals(const std::vector<Source>& sources, const SimulationOptions& options) {
  std::vector<Arrival> arrivals;
  for (const Source& source : sources) {
    base::Random random(
        base::Hash64(source.partner + source.priority_class + source.client_prefix, options.seed));
    double arrival_s = InSeconds(source.start);
    while (true) {
      arrival_s += Exponential(&random, 1 / source.requests_per_s);
      if (arrival_s >= InSeconds(options.duration)) break;
      Arrival arrival{TimePoint{Seconds(arrival_s)}, &source, random.Below(source.clients), 0, 0};
      // Uniform from 0.2 to 1.46 s, so that the 95th percentile is the 1.4 s that the design states.
      arrival.first_token_s = 0.2 + 1.26 * random.Unit();
      arrival.hold_s = arrival.first_token_s + Exponential(&random, kMeanTokens) * kTokenIntervalS;
      arrivals.push_back(arrival);
    }
  }
  std::sort(arrivals.begin(), arrivals.end(),
            [](const Arrival& a, const Arrival& b) { return a.time < b.time; });
  return arrivals;
}

/// One run of the simulation.
class SimulationRun {
 public:
  SimulationRun(admission::Controller* controller, double slots, const SimulationOptions& options)
      : controller_(controller), slots_(slots), options_(options) {}

  SimulationResult Execute(const std::vector<Arrival>& arrivals) {
    constexpr Duration kTickInterval = std::chrono::milliseconds(50);
    TimePoint next_tick{};
    size_t next_arrival = 0;
    const TimePoint end{options_.duration};
    while (true) {
      const TimePoint arrival = next_arrival < arrivals.size() ? arrivals[next_arrival].time : end;
      const TimePoint finish = ends_.empty() ? end : ends_.top().first;
      const TimePoint now = std::min({arrival, finish, next_tick, end});
      if (now >= end) break;
      AddBusyTime(now);
      if (now == finish) {
        Finish(now);
      } else if (now == next_tick) {
        controller_->Tick(now);
        next_tick += kTickInterval;
      } else {
        Submit(arrivals[next_arrival++], now);
      }
      ApplyDecisions(now);
    }
    result_.utilization = busy_s_ / (slots_ * InSeconds(options_.duration));
    return std::move(result_);
  }

 private:
  using RequestEnd = std::pair<TimePoint, uint64_t>;  // time and request id

  /// Adds the slot time used since the last call.
  void AddBusyTime(TimePoint now) {
    busy_s_ += static_cast<double>(running_) * InSeconds(now - last_accounted_);
    last_accounted_ = now;
  }

  void Submit(const Arrival& arrival, TimePoint now) {
    const Source& source = *arrival.source;
    const uint64_t id = ++last_id_;
    requests_[id] = Request{&arrival, false, false};
    const auto decision =
        controller_->Submit(admission::WorkItem{id, options_.pool, source.partner, source.priority_class,
                                                source.client_prefix + std::to_string(arrival.client),
                                                now + options_.deadline, 1, source.cancellable},
                            now);
    if (decision.kind == admission::AdmissionDecisionKind::kGranted) Start(id, now);
    if (decision.kind == admission::AdmissionDecisionKind::kRefused) RecordRefusal(id);
  }

  /// Carries out what the controller has decided: grants, refusals and cancellations.
  void ApplyDecisions(TimePoint now) {
    while (const auto grant = controller_->NextGrant(now)) Start(grant->id, now);
    for (const auto& refusal : controller_->TakeRefusals(now)) RecordRefusal(refusal.id);
    for (const uint64_t id : controller_->TakeCancellations(now)) {
      requests_.at(id).cancelled = true;
      ++result_.cancelled;
      ends_.push({now + kCancelDelay, id});
    }
  }

  void Start(uint64_t id, TimePoint now) {
    Request& request = requests_.at(id);
    request.running = true;
    ++running_;
    const Arrival& arrival = *request.arrival;
    ends_.push({now + Seconds(arrival.hold_s), id});
    const double wait = InSeconds(now - arrival.time);
    Record(arrival, wait + arrival.first_token_s, wait + arrival.hold_s);
  }

  void RecordRefusal(uint64_t id) {
    const Arrival& arrival = *requests_.at(id).arrival;
    const double deadline = InSeconds(options_.deadline);
    if (Record(arrival, deadline, deadline)) ++ResultOf(arrival).refused;
    requests_.erase(id);
  }

  void Finish(TimePoint now) {
    const uint64_t id = ends_.top().second;
    ends_.pop();
    if (requests_.erase(id) == 0) return;  // a cancelled request ends early; this is its planned end
    --running_;
    controller_->Finish(id, now);
  }

  ClassResult& ResultOf(const Arrival& arrival) {
    return result_.classes[arrival.source->partner + "/" + arrival.source->priority_class];
  }

  /// Adds latencies to the class's result. Returns false for arrivals that are not measured.
  bool Record(const Arrival& arrival, double first_token, double complete) {
    if (!arrival.source->measured || arrival.time < TimePoint{options_.warm_up}) return false;
    ClassResult& result = ResultOf(arrival);
    result.first_token.push_back(first_token);
    result.complete.push_back(complete);
    return true;
  }

  struct Request {
    const Arrival* arrival;
    bool running;
    bool cancelled;
  };

  admission::Controller* controller_;
  double slots_;
  SimulationOptions options_;
  uint64_t last_id_ = 0;
  size_t running_ = 0;
  double busy_s_ = 0;  // slot seconds in use
  TimePoint last_accounted_{};
  std::unordered_map<uint64_t, Request> requests_;
  // Planned ends of running requests, and the earlier ends of cancelled ones.
  std::priority_queue<RequestEnd, std::vector<RequestEnd>, std::greater<>> ends_;
  SimulationResult result_;
};

}  // namespace

SimulationResult Simulate(admission::Controller* controller, double slots, const std::vector<Source>& sources,
                          const SimulationOptions& options) {
  const auto arrivals = MakeArrivals(sources, options);
  return SimulationRun(controller, slots, options).Execute(arrivals);
}

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index = static_cast<size_t>(quantile * static_cast<double>(values.size() - 1));
  return values[index];
}

}  // namespace cornelplank::bench

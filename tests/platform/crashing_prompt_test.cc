#include <gtest/gtest.h>

#include <cstdio>
#include <iostream>
#include <set>

#include "tests/platform/test_fleet.h"

namespace cornelplank {
namespace {

using testing::ClientResult;
using testing::CrashingReplicaSettings;
using testing::TestFleet;

constexpr char kSharedPart[] = "5c1e07a2";
constexpr char kCrashingPart[] = "bad0c0de";
constexpr size_t kSecondParts = 4;  // different second parts of the sound requests
constexpr std::chrono::milliseconds kSoundInterval{33};
constexpr std::chrono::milliseconds kCrashingInterval{333};
constexpr size_t kVms = 3;
constexpr size_t kReplicas = 7;
// More than a response takes, so that the requests sent before this time have ended.
constexpr std::chrono::milliseconds kResponseTime{800};

using Results = std::vector<std::shared_ptr<const ClientResult>>;

/// Sends requests to the VMs by turns, at fixed intervals, until it is stopped. Each prompt has `first_part`,
/// one of `second_parts` and a part of its own.
class RequestSource {
 public:
  RequestSource(TestFleet& fleet, std::vector<std::string> second_parts, std::chrono::milliseconds interval)
      : fleet_(fleet), second_parts_(std::move(second_parts)), interval_(interval) {}

  void Start() { net::Spawn(fleet_.loop(), "source", Send()); }
  void Stop() { stopped_ = true; }
  const Results& results() const { return results_; }
  bool AllEnded() const {
    return std::all_of(results_.begin(), results_.end(),
                       [](const auto& result) { return result->ended_at != base::TimePoint{}; });
  }
  /// The requests that were sent in a period of time.
  Results SentBetween(base::TimePoint begin, base::TimePoint end) const {
    Results sent;
    for (const auto& result : results_) {
      if (result->sent_at >= begin && result->sent_at < end) sent.push_back(result);
    }
    return sent;
  }

 private:
  net::Task<> Send() {
    while (!stopped_) {
      const size_t number = results_.size();
      char own_part[16];
      std::snprintf(own_part, sizeof own_part, "%08zx", 0xe4400000 + number);
      results_.push_back(fleet_.Send(number % kVms, std::string(kSharedPart) + ":800," +
                                                        second_parts_[number % second_parts_.size()] +
                                                        ":410," + own_part + ":250"));
      co_await net::Sleep(fleet_.loop(), interval_);
    }
  }

  TestFleet& fleet_;
  std::vector<std::string> second_parts_;
  std::chrono::milliseconds interval_;
  bool stopped_ = false;
  Results results_;
};

std::vector<std::string> SoundParts() {
  std::vector<std::string> parts;
  for (size_t i = 0; i < kSecondParts; ++i) parts.push_back("91bd3f0" + std::to_string(i));
  return parts;
}

size_t CountAnswered(const TestFleet& fleet, const Results& results) {
  return static_cast<size_t>(std::count_if(
      results.begin(), results.end(), [&](const auto& result) { return result->Answered(fleet.events()); }));
}

size_t CountRefused(const Results& results) {
  return static_cast<size_t>(std::count_if(results.begin(), results.end(),
                                           [](const auto& result) { return result->status == 503; }));
}

/// Share of the requests that were answered completely; 0 when there are none.
double AnsweredShare(const TestFleet& fleet, const Results& results) {
  if (results.empty()) return 0;
  return static_cast<double>(CountAnswered(fleet, results)) / static_cast<double>(results.size());
}

struct CrashingPromptTest : ::testing::Test {
  static constexpr std::chrono::seconds kConnectLimit{5};
  static constexpr std::chrono::seconds kDrainLimit{9};
};

// Guards against a prompt part that crashes one replica after another: requests with it have to be refused
// soon after the first crashes, at every VM, and requests that share the other parts have to be served.
TEST_F(CrashingPromptTest, StopsAfterTheFifthCrash) {
  constexpr size_t kCrashesBefore = 5;
  constexpr std::chrono::seconds kReactionTime{6};
  constexpr size_t kMaxLateArrivals = 3;
  // Far less than the time that a request may take, and more than a refusal takes on a busy machine.
  constexpr std::chrono::milliseconds kRefusalTime{1000};

  CrashingReplicaSettings settings;
  settings.crashing_part = kCrashingPart;
  TestFleet fleet(kVms, kReplicas, settings);
  ASSERT_TRUE(fleet.RunUntilConnected(kConnectLimit));
  RequestSource sound(fleet, SoundParts(), kSoundInterval);
  RequestSource crashing(fleet, {kCrashingPart}, kCrashingInterval);
  const base::TimePoint begin = fleet.Now();
  sound.Start();
  fleet.Run(std::chrono::milliseconds(1500) + kResponseTime);
  const base::TimePoint first_crashing_request = fleet.Now();
  crashing.Start();
  fleet.RunUntil([&] { return fleet.CrashTimes().size() >= kCrashesBefore; }, std::chrono::seconds(5));
  // The part may be refused before the fifth crash; the time then counts from the last one.
  const auto crash_times = fleet.CrashTimes();
  ASSERT_FALSE(crash_times.empty());
  const base::TimePoint late = crash_times[std::min(crash_times.size(), kCrashesBefore) - 1] + kReactionTime;
  fleet.RunUntil([&] { return fleet.Now() >= late + std::chrono::milliseconds(3500); },
                 std::chrono::seconds(12));
  const base::TimePoint end = fleet.Now();
  sound.Stop();
  crashing.Stop();
  ASSERT_TRUE(fleet.RunUntil([&] { return sound.AllEnded() && crashing.AllEnded(); }, kDrainLimit));

  std::set<std::string> arrived_ids;
  size_t late_arrivals = 0;
  for (const auto& arrival : fleet.Arrivals()) {
    arrived_ids.insert(arrival.request_id);
    if (arrival.time > late) ++late_arrivals;
  }
  const Results sound_before = sound.SentBetween(begin, first_crashing_request - kResponseTime);
  const Results sound_late = sound.SentBetween(late, end);
  const Results crashing_late = crashing.SentBetween(late, end);
  const double share_before = AnsweredShare(fleet, sound_before);
  const double share_late = AnsweredShare(fleet, sound_late);
  std::cout << "crashes " << fleet.CrashTimes().size() << ", late arrivals " << late_arrivals << " of "
            << crashing_late.size() << " requests, sound requests answered before " << share_before << " of "
            << sound_before.size() << ", late " << share_late << " of " << sound_late.size() << "\n";

  EXPECT_GE(crashing_late.size(), 2 * kMaxLateArrivals);
  EXPECT_LE(late_arrivals, kMaxLateArrivals);
  EXPECT_GE(share_before, 0.95);
  EXPECT_GE(share_late, share_before / 2);
  for (const auto& result : crashing_late) {
    if (arrived_ids.contains(result->request_id)) continue;
    EXPECT_EQ(result->status, 503U) << result->request_id;
    EXPECT_FALSE(result->retry_after.empty()) << result->request_id;
    EXPECT_LT(result->Time(), kRefusalTime) << result->request_id;
  }
}

// Guards against refusals of sound prompts after crashes that have another cause, such as a power loss: the
// requests that were without an event at those moments share their first part with all others.
TEST_F(CrashingPromptTest, ServesAllPromptsAfterCrashesOfAnotherCause) {
  CrashingReplicaSettings settings;
  settings.restart_time = std::chrono::milliseconds(1000);
  TestFleet fleet(kVms, kReplicas, settings);
  ASSERT_TRUE(fleet.RunUntilConnected(kConnectLimit));
  RequestSource sound(fleet, SoundParts(), kSoundInterval);
  sound.Start();
  fleet.Run(std::chrono::milliseconds(1000));
  int suspects = 0;
  // Numbers of replicas that are killed together, at most four: a VM that finds so many gone still reaches
  // the others. The single ones follow shortly after each other.
  const std::vector<size_t> kills = {4, 4, 1, 1, 1, 1};
  for (size_t i = 0; i < kills.size(); ++i) {
    // The kills hit requests that are without an event, as the ones that a prompt causes do.
    ASSERT_TRUE(fleet.RunUntil([&] { return fleet.CountWithoutEvent(kills[i]) > 0; }, kDrainLimit));
    suspects += fleet.CountWithoutEvent(kills[i]);
    fleet.Kill(kills[i]);
    if (kills[i] == 1 && i + 1 < kills.size()) {
      fleet.Run(std::chrono::milliseconds(500));
      continue;
    }
    ASSERT_TRUE(fleet.RunUntil([&] { return fleet.AllReplicasListed(); }, std::chrono::seconds(6)));
    const base::TimePoint back = fleet.Now();
    fleet.Run(std::chrono::milliseconds(1200));
    const Results sent = sound.SentBetween(back, fleet.Now());
    fleet.Run(kResponseTime);
    EXPECT_EQ(CountAnswered(fleet, sent), sent.size()) << "after kill " << i;
    EXPECT_GE(sent.size(), 2 * kSecondParts);
  }
  sound.Stop();
  ASSERT_TRUE(fleet.RunUntil([&] { return sound.AllEnded(); }, kDrainLimit));
  std::cout << "requests " << sound.results().size() << ", answered " << CountAnswered(fleet, sound.results())
            << ", without an event at a crash " << suspects << "\n";
  EXPECT_EQ(CountRefused(sound.results()), 0U);
  EXPECT_GE(suspects, static_cast<int>(kills.size()));
}

}  // namespace
}  // namespace cornelplank

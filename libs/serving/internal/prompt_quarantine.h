#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::serving {

/// One request that had no event yet when its replica crashed. The first three members identify it, also
/// across restarts of the VM that saw it.
struct CrashObservation {
  uint32_t reporter = 0;        // address of the VM that saw it
  uint64_t incarnation = 0;     // differs for each start of the reporter
  uint32_t sequence = 0;        // differs for each observation of the reporter since its start
  uint32_t replica_key = 0;     // ReplicaKey of the replica's id
  std::vector<uint64_t> parts;  // ids of the prompt parts that are still suspected, in the prompt's order
  base::Duration age{0};        // since the crash
};

/// A request with the part began its answer: the part doesn't crash replicas.
struct PartClearance {
  uint64_t part = 0;
  base::Duration age{0};
};

/// A condemned part whose evidence may have expired.
struct PartVerdict {
  uint64_t part = 0;
  uint32_t level = 0;     // trials that crashed so far
  base::Duration age{0};  // since the crash that condemned the part, or that of the last trial
};

/// What VMs tell each other of crashes.
struct QuarantineReport {
  std::vector<CrashObservation> crashes;
  std::vector<PartClearance> clearances;
  std::vector<PartVerdict> verdicts;
};

/// Finds the prompt parts that crash replicas, and decides which requests are refused because of them.
///
/// Every part of a request that had no event when its replica crashed is suspected, until a request with
/// the part gets an answer. A part that several crashes name is condemned: requests with it are refused for
/// a time, and then one request may pass as a trial. A trial that crashes doubles the time, an answer lifts
/// the verdict.
///
/// VMs exchange reports and come to the same verdicts. Merging is commutative and idempotent: of an
/// observation the earliest time and the common parts are kept, of a clearance and of a recorded verdict the
/// latest time. A verdict follows from the observations at first, so that one that was made on a part of them
/// is taken back when the others arrive. After `kSettleTime` it is recorded and sent itself; then it outlives
/// the observations and reaches VMs that have restarted.
///
/// Not thread-safe; the caller passes in the time.
class PromptQuarantine {
 public:
  /// Crashes, and different replicas among them, that condemn a part. Replicas also crash for other reasons;
  /// a request that is retried after such a crash may well meet a second one.
  static constexpr size_t kCrashesToCondemn = 3;
  static constexpr size_t kMinReplicas = 3;
  /// Time between two of these crashes. Replicas that fail together for another reason crash within less.
  static constexpr std::chrono::milliseconds kMinSeparation{400};
  /// The crashes that condemn a part lie within this time. Older observations are not sent to other VMs.
  static constexpr std::chrono::seconds kEvidenceAge{60};
  /// Observations of one replica within this time are of the same crash. VMs notice a crash at different
  /// times.
  static constexpr std::chrono::milliseconds kSameCrash{1000};
  /// A clearance also covers crashes up to this much later: its time is estimated too early by
  /// `kTransportAllowance` for each VM that passed it on.
  static constexpr std::chrono::milliseconds kClearanceSkew{1000};
  /// Added to the ages of clearances and verdicts that are sent. It exceeds the transport delay, so that what
  /// comes back to a VM never seems newer than what the VM has: the latest time wins, and without the
  /// allowance two VMs would move it forward with each exchange.
  static constexpr std::chrono::milliseconds kTransportAllowance{250};
  /// Time after which a verdict is recorded and sent. By then all VMs have the observations.
  static constexpr std::chrono::seconds kSettleTime{5};
  static constexpr std::chrono::seconds kFirstQuarantine{15};
  static constexpr std::chrono::minutes kMaxQuarantine{5};
  /// Time after which a trial without result no longer holds back the next one.
  static constexpr std::chrono::seconds kTrialTimeout{5};
  static constexpr std::chrono::seconds kTrialSpacing{3};
  /// Time for which a verdict is kept when a trial is due and no request makes it.
  static constexpr std::chrono::minutes kVerdictMemory{5};
  /// Clearances outlive all verdicts that they lift, so that a VM that missed one doesn't bring the verdict
  /// back.
  static constexpr std::chrono::minutes kClearanceMemory{10};
  /// Time for which entries are kept after they are no longer sent. Other VMs send them a little longer, and
  /// an entry that had been erased would be taken for a new one.
  static constexpr std::chrono::seconds kHoldMargin{10};
  static constexpr std::chrono::seconds kMinRetryAfter{1};
  static constexpr size_t kMaxParts = 8;  // of an observation; the last ones are kept
  static constexpr size_t kMaxObservations = 64;
  static constexpr size_t kMaxClearances = 64;
  static constexpr size_t kMaxQuarantined = 32;

  /// `incarnation`: differs for each start of this VM.
  PromptQuarantine(uint32_t own_vm, uint64_t incarnation) : own_vm_(own_vm), incarnation_(incarnation) {}

  /// Records that a replica crashed before the first event of a request. `shared_parts`: ids of all parts of
  /// its prompt but the last.
  void RecordCrash(const std::vector<uint64_t>& shared_parts, uint32_t replica_key, base::TimePoint now);
  /// Records that the first event of an answer has arrived. Later events of it prove nothing new. Cheap
  /// unless one of the parts is suspected.
  void RecordAnswer(const std::vector<uint64_t>& shared_parts, base::TimePoint now);

  /// What to send to other VMs, with at most `max_crashes` observations: those with suspected parts first,
  /// and among them the newest.
  QuarantineReport Report(size_t max_crashes, base::TimePoint now) const;
  void Merge(const QuarantineReport& report, base::TimePoint now);

  struct Refusal {
    uint64_t part = 0;
    base::Duration retry_after{0};  // until the next trial may pass
  };
  /// Whether a request may be sent: no value if it may. A request that passes although it has a condemned
  /// part is the trial. `trial_rank`: place of this VM in an order of all VMs. A VM may make a trial once the
  /// quarantine has ended and `kTrialSpacing` has passed for each VM before it, so that mostly one VM makes
  /// one and the others hear of its result, and a part that is requested at few VMs still gets a trial.
  std::optional<Refusal> Check(const std::vector<uint64_t>& shared_parts, size_t trial_rank,
                               base::TimePoint now);
  /// Whether to send a request to another replica after the crash of its replica, which has been recorded.
  /// False when one of its parts is condemned or crashes of different replicas at different moments name it.
  bool MayRetryAfterCrash(const std::vector<uint64_t>& shared_parts, base::TimePoint now) const;

  size_t quarantined_count() const { return verdicts_.size(); }
  size_t observation_count() const { return observations_.size(); }

 private:
  using ObservationId = std::tuple<uint32_t, uint64_t, uint32_t>;  // reporter, incarnation, sequence
  struct Observation {
    uint32_t replica_key = 0;
    std::vector<uint64_t> parts;  // without the cleared ones
    base::TimePoint crashed_at{};
    bool explained = false;  // a condemned part caused the crash
  };
  struct Verdict {
    base::TimePoint since{};  // the crash that condemned the part, or that of the last trial
    uint32_t level = 0;       // trials that crashed so far
    base::TimePoint End() const;
  };
  struct ActiveVerdict {
    Verdict verdict;
    base::TimePoint found_at{};  // when this VM came to it
    std::optional<base::TimePoint> last_trial;
  };
  struct Crash {
    uint32_t replica_key = 0;
    base::TimePoint at{};
  };

  /// The order in which observations are kept when there are too many. Those without suspected parts go
  /// first: they only keep other VMs from bringing the cleared parts back.
  static base::TimePoint Rank(const Observation& observation);
  static base::TimePoint TimeOfVerdict(const Verdict& verdict) { return verdict.since; }
  /// These return whether they changed something.
  bool AddObservation(const ObservationId& id, Observation observation);
  bool AddClearance(uint64_t part, base::TimePoint at);
  bool AddRecord(uint64_t part, const Verdict& verdict);
  bool IsCleared(uint64_t part, base::TimePoint crashed_at) const;
  /// The crashes that name the part, in order of time. `unexplained_only`: only those without a known cause.
  std::vector<Crash> CrashesOf(uint64_t part, bool unexplained_only) const;
  /// Number of crashes, in order of time, of which each is `kMinSeparation` after the one before.
  static size_t CountMoments(const std::vector<Crash>& crashes);
  /// Takes the verdicts from the records and the observations.
  void Evaluate(base::TimePoint now);
  /// The part to condemn next on the unexplained observations.
  std::optional<std::pair<uint64_t, Verdict>> NextVerdict() const;
  void Condemn(uint64_t part, Verdict verdict, base::TimePoint now,
               const std::map<uint64_t, ActiveVerdict>& previous);
  /// Records the settled verdicts, evaluates, and erases what is too old or too much.
  void Update(base::TimePoint now);

  const uint32_t own_vm_;
  const uint64_t incarnation_;
  uint32_t next_sequence_ = 0;
  std::map<ObservationId, Observation> observations_;
  std::map<uint64_t, base::TimePoint> clearances_;  // by part
  std::map<uint64_t, Verdict> records_;             // settled verdicts, by part
  std::map<uint64_t, ActiveVerdict> verdicts_;      // in force, by part
  std::vector<uint64_t> suspects_;  // condemned parts and parts of observations, in ascending order
  base::TimePoint next_update_{};
};

}  // namespace cornelplank::serving

#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libs/fleet/internal/member_table.h"
#include "libs/fleet/internal/stream_origin_table.h"
#include "libs/serving/serving.h"

namespace cornelplank::fleet {

/// Streams that began at one software version.
struct OriginRecords {
  uint64_t software = 0;  // SoftwareKey
  std::vector<uint64_t> attempts;
};

/// Asks at which software version a stream began.
struct OriginQuery {
  uint64_t sequence = 0;
  uint64_t attempt = 0;            // 0: not known
  std::vector<uint64_t> services;  // that the stream may have begun at
};

struct OriginAnswer {
  enum class Kind : uint8_t {
    kUnknown,
    kRecorded,     // the answering VM has a record of the stream
    kOnlyVersion,  // the services had no other version within the retention time
    kConflicting,  // the answering VM has records of the stream at several versions
    kLastKind = kConflicting,
  };

  uint64_t sequence = 0;  // of the query
  Kind kind = Kind::kUnknown;
  uint64_t software = 0;
};

/// What a VM tells another about the origins of streams, in one datagram.
struct OriginMessages {
  // Bounds of what is read from a datagram:
  static constexpr size_t kMaxGroups = 64;      // of records
  static constexpr size_t kMaxAttempts = 1024;  // in all records
  static constexpr size_t kMaxQueries = 64;     // and as many answers
  static constexpr size_t kMaxServices = 64;    // of a query

  std::vector<OriginRecords> records;
  std::vector<OriginQuery> queries;
  std::vector<OriginAnswer> answers;

  bool empty() const { return records.empty() && queries.empty() && answers.empty(); }
};

/// Totals since the start of the process.
struct StreamOriginCounters {
  uint64_t records_sent = 0;
  uint64_t lookups = 0;
  uint64_t found = 0;             // by a record of this or another VM
  uint64_t found_by_history = 0;  // since the services had only one version
  uint64_t unknown = 0;           // conflicting records included
  uint64_t limited = 0;           // of the unknown: nobody was asked, since there were too many lookups
};

/// Keeps the origins of streams at several VMs, and finds them again. Decides who is told and asked what;
/// sends and receives nothing itself. Not thread-safe; the caller passes in the time.
class StreamOriginExchange {
 public:
  /// Time from a question to the own region until the other regions are asked too.
  static constexpr std::chrono::milliseconds kOwnRegionTime{30};
  /// Time after which the VMs that haven't answered are asked again.
  static constexpr std::chrono::milliseconds kRepeatTime{150};
  static constexpr std::chrono::milliseconds kLookupTime{400};
  /// Least time between two datagrams with queries to the same VM.
  static constexpr std::chrono::milliseconds kQueryInterval{20};
  /// Lookups that may begin to ask other VMs: in a burst, and per second in the long run. Further ones end as
  /// unknown at once.
  static constexpr size_t kMaxLookups = 256;
  static constexpr size_t kLookupsPerSecond = 128;

  /// `first_sequence`: greater than those of earlier processes of this VM.
  StreamOriginExchange(const MemberTable& members, const serving::SoftwareHistory& history,
                       uint64_t first_sequence)
      : members_(members), history_(history), last_sequence_(first_sequence) {}

  void Record(uint64_t attempt, uint64_t software, base::TimePoint now);
  /// Puts the records that its two receivers don't have into the outbox, as long as several versions may
  /// serve. Returns false when nothing is left.
  bool SendRecords(base::TimePoint now);
  /// Returns the lookups to poll again.
  std::vector<uint64_t> OnMessages(VmAddress from, const OriginMessages& messages, base::TimePoint now);

  /// Begins to look for the origin of a stream. Returns the lookup's number.
  uint64_t Begin(std::optional<uint64_t> attempt, std::vector<uint64_t> services, base::TimePoint now);
  struct Result {
    std::optional<uint64_t> software;
  };
  /// Takes the lookup a step further. Returns no value until it has ended; then the number is void.
  std::optional<Result> Poll(uint64_t lookup, base::TimePoint now);
  /// When to poll at the latest.
  base::TimePoint Deadline(uint64_t lookup) const;

  /// The messages to send, each in one datagram.
  std::vector<std::pair<VmAddress, OriginMessages>> TakeOutbox() { return std::exchange(outbox_, {}); }
  const StreamOriginCounters& counters() const { return counters_; }

 private:
  struct OwnRecord {
    uint64_t attempt = 0;
    uint64_t software = 0;
    base::TimePoint at{};
  };
  /// A VM that gets the records of this one.
  struct Receiver {
    uint64_t incarnation = 0;
    uint64_t next_record = 0;  // number of the first one that it hasn't got
  };
  /// Queries for a VM that are not sent yet.
  struct QueryQueue {
    base::TimePoint sent_at{};     // the last ones before
    std::deque<uint64_t> lookups;  // by sequence
  };
  struct Lookup {
    uint64_t attempt = 0;
    std::vector<uint64_t> services;
    base::TimePoint begun_at{};
    std::map<VmAddress, bool> answered;  // of each VM that was asked
    size_t unanswered = 0;               // of these
    bool asked_own_region = false;
    bool asked_all = false;
    bool repeated = false;
    std::optional<StreamOrigin> recorded;
    std::set<uint64_t> only_versions;  // by the histories of the VMs that have answered
  };

  void ForgetOld(base::TimePoint now);
  /// The receivers for the live VMs of this moment.
  std::map<VmAddress, Receiver> PickReceivers(base::TimePoint now) const;
  /// Puts records into datagrams for `vm`. Returns false when it has got all.
  bool SendRecordsTo(VmAddress vm, Receiver& receiver);
  OriginAnswer Answer(const OriginQuery& query, base::TimePoint now) const;
  /// Asks the live VMs of the own region or those of the others.
  void Ask(uint64_t sequence, Lookup& lookup, bool own_region, base::TimePoint now);
  /// Counts a lookup that asks other VMs, unless there have been too many of them.
  bool TakeLookupToken(base::TimePoint now);
  void QueueQuery(uint64_t sequence, VmAddress vm, base::TimePoint now);
  /// Puts the queries that may be sent now into the outbox, those for a VM into one datagram.
  void SendQueries(base::TimePoint now);
  /// The version that the histories of other VMs tell, if it is the only one that this VM has seen too.
  std::optional<uint64_t> VersionByHistory(const Lookup& lookup, base::TimePoint now) const;

  const MemberTable& members_;
  const serving::SoftwareHistory& history_;
  StreamOriginTable table_;
  std::deque<OwnRecord> own_records_;  // oldest first
  uint64_t first_own_record_ = 0;      // number of the oldest one
  std::map<VmAddress, Receiver> receivers_;
  uint64_t last_sequence_;
  std::unordered_map<uint64_t, Lookup> lookups_;  // by sequence
  double lookups_left_ = kMaxLookups;             // that may begin to ask
  base::TimePoint lookups_counted_at_{};
  std::map<VmAddress, QueryQueue> queries_;
  base::TimePoint next_queries_at_ = base::TimePoint::max();  // when the next ones may be sent
  std::vector<std::pair<VmAddress, OriginMessages>> outbox_;
  StreamOriginCounters counters_;
};

}  // namespace cornelplank::fleet

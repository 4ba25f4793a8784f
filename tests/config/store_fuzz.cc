#include <algorithm>
#include <sstream>
#include <vector>

#include "tests/config/example.h"
#include "tests/config/random_patch.h"
#include "tests/config/sequential_oracle.h"
#include "tests/config/store_harness.h"
#include "tests/fuzz/fuzz_target.h"

namespace cornelplank::config {
namespace {

constexpr int kStores = 5;
constexpr int kOldFormat = 1;
constexpr int kNewFormat = 2;
constexpr int kMaxCommands = 120;

/// A random command, encoded as one number that is decoded field by field, so that rapidcheck shrinks it
/// towards 0.
class Command {
 public:
  explicit Command(uint64_t bits) : bits_(bits) {}
  uint64_t TakeBelow(uint64_t bound) {
    const uint64_t value = bits_ % bound;
    bits_ /= bound;
    return value;
  }

 private:
  uint64_t bits_;
};

/// Several stores, of old and new binaries, that read one published log in incomplete and reordered parts.
class StoreFleet {
 public:
  explicit StoreFleet(const StoreFactory& factory)
      : factory_(factory), oracle_(ExampleSnapshot(), kNewFormat) {
    for (int i = 0; i < kStores; ++i) stores_.push_back(factory_(ExampleSnapshot(), Options(i)));
  }

  void Run(uint64_t bits) {
    Command command(bits);
    switch (command.TakeBelow(9)) {
      case 0:
      case 1:
        return Publish(&command);
      case 2:
      case 3:
        return ReadLog(&command);
      case 4:
        return DeliverOne(&command);
      case 5:
        return DeliverSnapshot(&command);
      case 6:
        return PullFromPeer(&command);
      case 7:
        return Restart(&command);
      default:
        return OfferContradictingSnapshot(&command);
    }
  }

  /// Delivers every published entry to every store, in order, and checks that all catch up.
  void DeliverAll() {
    for (int i = 0; i < kStores; ++i) {
      while (stores_[i]->store().version().seq < oracle_.head_seq()) {
        const uint64_t seq = stores_[i]->store().version().seq;
        Apply(i, oracle_.EntryAfter(seq));
        if (stores_[i]->store().version().seq == seq) break;
      }
      const bool stopped = stores_[i]->store().blocked();
      Check(stopped || stores_[i]->store().version().seq == oracle_.head_seq(), "a store did not catch up");
      Check(!stopped || Options(i).newest_format == kOldFormat || IsAtNewFormat(i),
            "a new binary stopped at a format that it knows");
    }
  }

 private:
  static StoreOptions Options(int store) {
    StoreOptions options;
    options.newest_format = store < 2 ? kOldFormat : kNewFormat;
    options.history_entries = 6;
    return options;
  }

  static void Check(bool condition, const std::string& problem) {
    if (!condition) RC_FAIL(problem);
  }

  bool IsAtNewFormat(int store) const { return stores_[store]->store().document()->format == kNewFormat; }

  void Publish(Command* command) {
    const std::vector<std::string> authors = {"gave", "leak", "gave", "leak", "gave", "leak", "nobody"};
    const std::string& author = authors[command->TakeBelow(authors.size())];
    // Operators publish concurrently: some patches name a version that is no longer, or not yet, the current
    // one.
    const uint64_t number = oracle_.At(oracle_.head_seq()).version.number;
    const uint64_t base_choice = command->TakeBelow(6);
    const uint64_t base = base_choice == 0 ? number - 1 : base_choice == 1 ? number + 1 : number;
    oracle_.Publish(MakeEntry(oracle_.head_seq() + 1, base, author,
                              RandomPatch(author, command->TakeBelow(1 << 20)).Make()));
  }

  /// A random sequence number from the first to the head, often a recent one.
  uint64_t RandomSeq(Command* command) const {
    const uint64_t span = oracle_.head_seq() - oracle_.first_seq();
    const uint64_t back = command->TakeBelow(2) == 0 ? command->TakeBelow(3) : command->TakeBelow(64);
    return oracle_.head_seq() - std::min(back, span);
  }

  /// Reads a page that may start too early (duplicates) or too late (a gap), and applies its entries in order
  /// or in reverse.
  void ReadLog(Command* command) {
    const int store = static_cast<int>(command->TakeBelow(kStores));
    uint64_t after = stores_[store]->store().version().seq;
    if (command->TakeBelow(3) == 0) after = RandomSeq(command);
    LogPage page{oracle_.head_seq(), oracle_.first_seq() + 1, {}};
    const uint64_t end = std::min(oracle_.head_seq(), after + 1 + command->TakeBelow(5));
    for (uint64_t seq = after; seq < end; ++seq) page.entries.push_back(oracle_.EntryAfter(seq));
    const auto read = ParseLogPage(WriteLogPage(page), nullptr);
    Check(read == page, "the log codec changed an entry");
    if (command->TakeBelow(4) == 0) std::reverse(page.entries.begin(), page.entries.end());
    for (const LogEntry& entry : page.entries) Apply(store, entry);
  }

  void DeliverOne(Command* command) {
    const int store = static_cast<int>(command->TakeBelow(kStores));
    const uint64_t seq = RandomSeq(command);
    if (seq < oracle_.head_seq()) Apply(store, oracle_.EntryAfter(seq));
  }

  void DeliverSnapshot(Command* command) {
    const int store = static_cast<int>(command->TakeBelow(kStores));
    Snapshot snapshot = oracle_.SnapshotAt(RandomSeq(command));
    const auto read = ParseSnapshot(WriteSnapshot(snapshot), kNewFormat, nullptr, nullptr);
    Check(read == snapshot, "the snapshot codec changed a snapshot");
    Adopt(store, std::move(snapshot));
  }

  void PullFromPeer(Command* command) {
    const int store = static_cast<int>(command->TakeBelow(kStores));
    ConfigStore& peer = stores_[command->TakeBelow(kStores)]->store();
    const Version own = stores_[store]->store().version();
    Check(!peer.CheckPeerDigest(own.seq, own.digest), "two stores disagree on a digest");
    const auto entries = peer.EntriesAfter(own.seq, 2000);
    if (!entries) return Adopt(store, peer.ToSnapshot());
    Check(entries->empty() == (peer.version().seq <= own.seq),
          "a peer returned no entries though it has newer ones");
    for (const LogEntry& entry : *entries) Apply(store, entry);
  }

  void Restart(Command* command) {
    const int store = static_cast<int>(command->TakeBelow(kStores));
    if (command->TakeBelow(4) != 0) return;
    Snapshot snapshot = oracle_.SnapshotAt(RandomSeq(command));
    if (snapshot.document.format > Options(store).newest_format) return;
    stores_[store] = factory_(std::move(snapshot), Options(store));
  }

  /// Offers a snapshot that contradicts the history: it must give kConflict and change nothing.
  void OfferContradictingSnapshot(Command* command) {
    const int store = static_cast<int>(command->TakeBelow(kStores));
    Snapshot forged = stores_[store]->store().ToSnapshot();
    if (command->TakeBelow(2) == 0) {
      forged.version.digest = std::string(32, 'f');
    } else {
      forged.document.upstreams["forged"] = forged.document.upstreams["e1"];
    }
    const Snapshot before = stores_[store]->store().ToSnapshot();
    ConfigReason reason;
    Check(!stores_[store]->Adopt(forged, &reason), "a contradicting snapshot was adopted");
    Check(reason.code == ConfigCode::kConflict, "a contradicting snapshot gave no conflict");
    Check(stores_[store]->store().ToSnapshot() == before, "a refused snapshot changed the store");
  }

  void Apply(int store, const LogEntry& entry) {
    const Version before = stores_[store]->store().version();
    const auto document = stores_[store]->store().document();
    const ApplyResult result = stores_[store]->Apply(entry);
    const Version after = stores_[store]->store().version();
    Check(after.seq >= before.seq, "the sequence number went down");
    Check(result.processed == (after.seq == before.seq + 1),
          "`processed` does not match the sequence number");
    Check(result.processed || (after == before && *stores_[store]->store().document() == *document),
          "an entry that was not processed changed the store");
    Check(result.accepted || *stores_[store]->store().document() == *document,
          "a refused patch changed the document");
    Check(result.accepted == (result.reason.code == ConfigCode::kNone),
          "`accepted` does not match the reason");
    CheckAgainstOracle(store);
    const bool out_of_order = entry.seq != before.seq + 1;
    Check(result.processed != out_of_order || result.reason.code == ConfigCode::kFormatUnknown,
          "an entry was processed out of order, or the next one was not processed");
  }

  void Adopt(int store, Snapshot snapshot) {
    const Version before = stores_[store]->store().version();
    const bool newer = snapshot.version.seq > before.seq;
    const bool known = snapshot.document.format <= Options(store).newest_format;
    const bool adopted = stores_[store]->Adopt(std::move(snapshot), nullptr);
    Check(stores_[store]->store().version().seq >= before.seq, "the sequence number went down");
    Check(adopted == (newer && known), "a snapshot was wrongly adopted or refused");
    CheckAgainstOracle(store);
  }

  void CheckAgainstOracle(int store) const {
    const ConfigStore& real = stores_[store]->store();
    const SequentialOracle::State& expected = oracle_.At(real.version().seq);
    Check(real.version() == expected.version, "equal seq, but another version or digest than the oracle");
    Check(*real.document() == *expected.document, "equal seq, but another document than the oracle");
    Check(real.document()->format <= Options(store).newest_format, "an unknown format is in force");
  }

  const StoreFactory& factory_;
  SequentialOracle oracle_;
  std::vector<std::unique_ptr<StoreUnderTest>> stores_;
};

const bool kRegistered =
    fuzz::RegisterFuzzTarget({"config", [](uint64_t seed, uint64_t steps) {
                                return RunStoreFuzz(
                                    [](Snapshot snapshot, const StoreOptions& options) {
                                      return std::make_unique<StoreUnderTest>(std::move(snapshot), options);
                                    },
                                    seed, steps);
                              }});

}  // namespace

std::optional<std::string> RunStoreFuzz(const StoreFactory& factory, uint64_t seed, uint64_t steps) {
  const auto command = rc::gen::resize(rc::kNominalSize, rc::gen::inRange<uint64_t>(0, uint64_t{1} << 48));
  // The lengths of the command lists are random, so rounds are added until at least `steps` commands have
  // run.
  uint64_t executed = 0;
  for (uint64_t round = 0; executed < steps; ++round) {
    const uint64_t cases = std::max<uint64_t>(50, (steps - executed) * 2 / kMaxCommands);
    const auto violation = fuzz::CheckProperty(seed + round, cases, kMaxCommands, [&] {
      const auto commands = *rc::gen::container<std::vector<uint64_t>>(command);
      StoreFleet fleet(factory);
      for (const uint64_t bits : commands) fleet.Run(bits);
      fleet.DeliverAll();
      executed += commands.size();
    });
    if (violation) return violation;
  }
  return std::nullopt;
}

}  // namespace cornelplank::config

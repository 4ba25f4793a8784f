#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "libs/config/config.h"

namespace cornelplank::config {

/// The interface through which the fuzzer drives a store. Tests derive faulty stores from it.
class StoreUnderTest {
 public:
  StoreUnderTest(Snapshot snapshot, const StoreOptions& options)
      : options_(options), store_(ConfigStore::FromSnapshot(std::move(snapshot), options, nullptr).value()) {}
  virtual ~StoreUnderTest() = default;

  virtual ApplyResult Apply(const LogEntry& entry) { return store_.Apply(entry); }
  virtual bool Adopt(Snapshot snapshot, ConfigReason* reason) {
    return store_.Adopt(std::move(snapshot), reason);
  }
  ConfigStore& store() { return store_; }

 protected:
  /// Replaces the store by one that starts at `snapshot`.
  void Replace(Snapshot snapshot) {
    store_ = ConfigStore::FromSnapshot(std::move(snapshot), options_, nullptr).value();
  }

  StoreOptions options_;
  ConfigStore store_;
};

using StoreFactory = std::function<std::unique_ptr<StoreUnderTest>(Snapshot, const StoreOptions&)>;

/// Runs at least `steps` random commands on several stores and compares them with the sequential oracle.
/// Returns the first violation with its shrunk counterexample, or nothing.
std::optional<std::string> RunStoreFuzz(const StoreFactory& factory, uint64_t seed, uint64_t steps);

/// Mutates valid published texts at least `steps` times and parses the results with the codec of their form.
/// Returns the first violation with its shrunk counterexample, or nothing.
std::optional<std::string> RunParseFuzz(uint64_t seed, uint64_t steps);

}  // namespace cornelplank::config

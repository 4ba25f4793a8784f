#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "libs/base/base.h"
#include "libs/config/config.h"

namespace cornelplank::gateway {

/// The clients that may call, by the hash of their key. Lookups take no lock.
class ClientTable {
 public:
  ClientTable();

  /// The client whose key this is, or nothing.
  std::optional<config::ClientRecord> Authenticate(std::string_view key) const;

  /// The client of this id, or nothing.
  std::optional<config::ClientRecord> Find(std::string_view id) const;

  /// Applies a page unless it is older than what is known. `whole`: clients that are not on it are removed.
  void Apply(const config::ClientPage& page, bool whole);
  uint64_t revision() const;
  size_t size() const;
  /// The whole directory for a peer that knows `since`; nothing when it knows as much.
  std::optional<config::ClientPage> PageSince(uint64_t since) const;

 private:
  struct Table {
    uint64_t revision = 0;
    std::unordered_map<std::string, config::ClientRecord> by_key;  // SHA-256 in hexadecimal
  };

  base::RcuPointer<Table> table_;
  std::mutex writer_;
};

}  // namespace cornelplank::gateway

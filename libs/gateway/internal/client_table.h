#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "libs/base/base.h"
#include "libs/config/config.h"

namespace cornelplank::gateway {

/// The clients known to this VM, by the hash of their key. Filled from the client directory of the platform
/// or of a peer. Lookups take no lock.
class ClientTable {
 public:
  ClientTable();

  /// Returns the client with this bearer key, or nothing when no client has it.
  std::optional<config::ClientRecord> Authenticate(std::string_view key) const;

  /// Returns the client with this id, or nothing. Takes time linear in the number of clients.
  std::optional<config::ClientRecord> Find(std::string_view id) const;

  /// Applies a page whose revision is higher than the table's and ignores any other. With `whole` the page is
  /// the complete directory: clients that it does not list are removed.
  void Apply(const config::ClientPage& page, bool whole);
  /// Revision of the last page that was applied; 0 before the first.
  uint64_t revision() const;
  size_t size() const;
  /// Returns the complete directory for a peer that has revision `since`, or nothing when this table is not
  /// newer.
  std::optional<config::ClientPage> PageSince(uint64_t since) const;

 private:
  struct Table {
    uint64_t revision = 0;
    std::unordered_map<std::string, config::ClientRecord> by_key;  // SHA-256 of the key in hexadecimal
  };

  base::RcuPointer<Table> table_;
  std::mutex writer_;
};

}  // namespace cornelplank::gateway

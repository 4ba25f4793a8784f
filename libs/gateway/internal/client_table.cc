#include "libs/gateway/internal/client_table.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <memory>

namespace cornelplank::gateway {
namespace {

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
  constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (const unsigned char byte : digest) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 0xf];
  }
  return hex;
}

}  // namespace

ClientTable::ClientTable() : table_(std::make_unique<Table>()) {}

std::optional<config::ClientRecord> ClientTable::Authenticate(std::string_view key) const {
  const std::string hash = Sha256Hex(key);
  const auto table = table_.Read();
  const auto found = table->by_key.find(hash);
  if (found == table->by_key.end()) return std::nullopt;
  return found->second;
}

void ClientTable::Apply(const config::ClientPage& page, bool whole) {
  const std::lock_guard<std::mutex> lock(writer_);
  auto next = std::make_unique<Table>(*table_.Read());
  if (page.revision <= next->revision) return;
  const auto changed = [&page](const std::string& id) {
    const bool removed = std::find(page.removed.begin(), page.removed.end(), id) != page.removed.end();
    return removed || std::any_of(page.clients.begin(), page.clients.end(),
                                  [&id](const config::ClientRecord& client) { return client.id == id; });
  };
  std::erase_if(next->by_key, [&](const auto& entry) { return whole || changed(entry.second.id); });
  for (const config::ClientRecord& client : page.clients) next->by_key[client.key_sha256] = client;
  next->revision = page.revision;
  table_.Publish(std::move(next));
}

std::optional<config::ClientRecord> ClientTable::Find(std::string_view id) const {
  const auto table = table_.Read();
  for (const auto& [key, client] : table->by_key) {
    if (client.id == id) return client;
  }
  return std::nullopt;
}

uint64_t ClientTable::revision() const { return table_.Read()->revision; }
size_t ClientTable::size() const { return table_.Read()->by_key.size(); }

std::optional<config::ClientPage> ClientTable::PageSince(uint64_t since) const {
  const auto table = table_.Read();
  if (table->revision <= since) return std::nullopt;
  config::ClientPage page;
  page.revision = table->revision;
  for (const auto& [key, client] : table->by_key) page.clients.push_back(client);
  return page;
}

}  // namespace cornelplank::gateway

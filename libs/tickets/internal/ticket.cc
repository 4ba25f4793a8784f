#include "libs/tickets/internal/ticket.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cinttypes>
#include <cstdio>
#include <utility>
#include <vector>

namespace cornelplank::tickets {
namespace {

// The MAC is the first 128 bits of the HMAC: still infeasible to guess, and short enough for a header.
constexpr size_t kMacBytes = 16;
constexpr size_t kMacChars = 22;     // base64url without padding
constexpr size_t kNumberChars = 16;  // hexadecimal digits
constexpr size_t kMaxTicketChars = 256;

std::string Base64Url(const unsigned char* bytes, size_t size) {
  std::vector<unsigned char> text(4 * ((size + 2) / 3) + 1);
  const int length = EVP_EncodeBlock(text.data(), bytes, static_cast<int>(size));
  std::string result(reinterpret_cast<const char*>(text.data()), static_cast<size_t>(length));
  while (!result.empty() && result.back() == '=') result.pop_back();
  for (char& c : result) {
    if (c == '+') c = '-';
    if (c == '/') c = '_';
  }
  return result;
}

std::string Hex(uint64_t value) {
  char text[kNumberChars + 1];
  std::snprintf(text, sizeof text, "%016" PRIx64, value);
  return text;
}

std::optional<uint64_t> ParseHex(std::string_view text) {
  if (text.size() != kNumberChars) return std::nullopt;
  uint64_t value = 0;
  for (const char c : text) {
    if (c >= '0' && c <= '9') {
      value = value * 16 + static_cast<uint64_t>(c - '0');
    } else if (c >= 'a' && c <= 'f') {
      value = value * 16 + static_cast<uint64_t>(c - 'a' + 10);
    } else {
      return std::nullopt;
    }
  }
  return value;
}

}  // namespace

std::string_view TicketCodeName(TicketCode code) {
  switch (code) {
    case TicketCode::kNone:
      return "none";
    case TicketCode::kMalformed:
      return "ticket-malformed";
    case TicketCode::kForged:
      return "ticket-forged";
    case TicketCode::kOtherIncarnation:
      return "ticket-owner-gone";
    case TicketCode::kForgotten:
      return "ticket-forgotten";
    case TicketCode::kExpired:
      return "ticket-expired";
    case TicketCode::kDeadline:
      return "deadline-exceeded";
    case TicketCode::kOwnerStale:
      return "owner-stale";
    case TicketCode::kOwnerReplaced:
      return "owner-replaced";
    case TicketCode::kOwnerConfigOlder:
      return "owner-config-older";
    case TicketCode::kConnectionRefused:
      return "connection-refused";
    case TicketCode::kMismatch:
      return "ticket-mismatch";
    case TicketCode::kInProgress:
      return "ticket-in-progress";
    case TicketCode::kNoAnswer:
      return "no-answer";
    case TicketCode::kResultDropped:
      return "result-dropped";
    case TicketCode::kDraining:
      return "draining";
    case TicketCode::kTableFull:
      return "ticket-table-full";
    case TicketCode::kClientLimit:
      return "ticket-client-limit";
  }
  return "none";
}

std::optional<Ticket> ParseTicket(std::string_view text, TicketReason* reason) {
  const auto malformed = [&](const char* detail) {
    base::SetReason(reason, TicketCode::kMalformed, detail);
    return std::nullopt;
  };
  if (text.size() > kMaxTicketChars) return malformed("the ticket is too long");
  std::array<std::string_view, 5> fields;
  for (size_t i = 0; i < fields.size(); ++i) {
    const size_t end = text.find('/');
    const bool last = i + 1 == fields.size();
    if (last != (end == std::string_view::npos)) return malformed("expected zone/vm/incarnation/counter/MAC");
    fields[i] = text.substr(0, end);
    if (!last) text.remove_prefix(end + 1);
  }
  const auto incarnation = ParseHex(fields[2]);
  const auto counter = ParseHex(fields[3]);
  if (fields[0].empty() || fields[1].empty()) return malformed("zone or VM is empty");
  if (!incarnation || !counter) return malformed("incarnation and counter must be 16 hexadecimal digits");
  if (fields[4].size() != kMacChars) return malformed("the MAC must have 22 characters");
  return Ticket{std::string(fields[0]), std::string(fields[1]), *incarnation, *counter,
                std::string(fields[4])};
}

TicketCodec::TicketCodec(std::string zone, std::string vm, uint64_t incarnation, const Key& key)
    : zone_(std::move(zone)), vm_(std::move(vm)), incarnation_(incarnation), key_(key) {}

TicketCodec::Key TicketCodec::RandomKey() {
  Key key{};
  CHECK_EQ(RAND_bytes(key.data(), static_cast<int>(key.size())), 1) << "No random bytes.";
  return key;
}

std::string TicketCodec::Mac(std::string_view bytes) const {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest, &size);
  return Base64Url(digest, kMacBytes);
}

std::string TicketCodec::Encode(uint64_t counter) const {
  const std::string body = zone_ + "/" + vm_ + "/" + Hex(incarnation_) + "/" + Hex(counter);
  return body + "/" + Mac(body);
}

std::optional<uint64_t> TicketCodec::Decode(std::string_view text, TicketReason* reason) const {
  const auto ticket = ParseTicket(text, reason);
  if (!ticket) return std::nullopt;
  if (ticket->zone != zone_ || ticket->vm != vm_ || ticket->incarnation != incarnation_) {
    base::SetReason(reason, TicketCode::kOtherIncarnation, "minted by another VM or incarnation");
    return std::nullopt;
  }
  const std::string expected = Mac(text.substr(0, text.size() - kMacChars - 1));
  if (CRYPTO_memcmp(expected.data(), ticket->mac.data(), kMacChars) != 0) {
    base::SetReason(reason, TicketCode::kForged, "the MAC does not match");
    return std::nullopt;
  }
  return ticket->counter;
}

}  // namespace cornelplank::tickets

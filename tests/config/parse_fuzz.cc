#include <algorithm>
#include <array>
#include <vector>

#include "libs/config/internal/document_size.h"
#include "tests/config/example.h"
#include "tests/config/random_patch.h"
#include "tests/config/store_harness.h"
#include "tests/fuzz/fuzz_target.h"

namespace cornelplank::config {
namespace {

constexpr int kMaxMutations = 100;

/// A valid text of each published form.
std::vector<std::string> SeedTexts() {
  const ClientPage clients{
      4, {{"c1", "gave", std::string(64, 'a'), {"desk", "tax"}, "ost", "gave-home"}}, {"c0"}};
  const VmList vms{std::chrono::milliseconds{700},
                   {{"vm1", "gave", "ost", "ost-1", "10.0.0.1:7", "10.0.0.1:8", 99, VmState::kLeaving}}};
  LogPage page{9, 8, {}};
  for (uint64_t seed = 0; seed < 4; ++seed) {
    page.entries.push_back(MakeEntry(8 + seed, 3, "gave", RandomPatch("gave", seed).Make()));
  }
  return {WriteDocument(ExampleDocument()), WriteSnapshot(ExampleSnapshot()), WriteLogPage(page),
          WriteLogEntry(page.entries[0]),   WriteClientPage(clients),         WriteVmList(vms)};
}

/// Applies one mutation, decoded from `bits`, to valid text.
std::string Mutate(std::string text, uint64_t bits) {
  static constexpr std::array<const char*, 18> kTokens = {
      "{}", "[]", "null",     "true",    "\"\"",   "-1",
      "0",  "1",  "2",        "0.5",     "1e308",  "18446744073709551615",
      ",",  ":",  "\"home\"", "\"ost\"", "\"e1\"", "\xc3"};
  const auto take = [&bits](uint64_t bound) {
    const uint64_t value = bits % bound;
    bits /= bound;
    return value;
  };
  const uint64_t kind = take(6);
  const uint64_t at = take(text.size() + 1);
  const uint64_t length = std::min<uint64_t>(take(24), text.size() - at);
  switch (kind) {
    case 0:
      if (at < text.size()) text[at] = static_cast<char>(take(256));
      return text;
    case 1:
      return text.erase(at, length);
    case 2:
      return text.insert(at, text.substr(at, length));
    case 3:
      return text.insert(at, kTokens[take(kTokens.size())]);
    case 4: {
      // Replaces a whole value, so that the text often stays valid JSON.
      const size_t colon = text.find(':', at);
      if (colon == std::string::npos) return text;
      const size_t end = text.find_first_of(",}]", colon);
      return text.replace(colon + 1, end == std::string::npos ? end : end - colon - 1,
                          kTokens[take(kTokens.size())]);
    }
    default: {
      const size_t digit = text.find_first_of("0123456789", at);
      if (digit != std::string::npos) text[digit] = static_cast<char>('0' + take(10));
      return text;
    }
  }
}

/// Returns false when `text` does not parse. Fails the property unless the written form parses to the same
/// value and is written as the same bytes again.
template <typename Parse, typename Write>
bool CheckRoundTrip(const std::string& text, Parse&& parse, Write&& write) {
  const auto value = parse(text);
  if (!value) return false;
  const std::string written = write(*value);
  const auto again = parse(written);
  if (!again || !(*again == *value) || write(*again) != written) RC_FAIL("parse and write are not stable");
  return true;
}

/// Parses `text` as the form with this index in SeedTexts and checks the codec. Returns whether it parsed.
bool ParseAndCheck(size_t form, const std::string& text) {
  switch (form) {
    case 0: {
      ConfigReason reason;
      Faults faults;
      const auto document = ParseDocument(text, kNewestFormat, &reason, &faults);
      if (document.has_value() != (reason.code == ConfigCode::kNone)) {
        RC_FAIL("an error without a reason, or a reason without an error");
      }
      if (reason.code == ConfigCode::kInvalid && reason.detail != faults.front().Text()) {
        RC_FAIL("the reason is not the first fault");
      }
      if (document && DocumentSize(*document) != WriteDocument(*document).size()) {
        RC_FAIL("wrong document size");
      }
      return CheckRoundTrip(
          text, [](const std::string& t) { return ParseDocument(t, nullptr); }, WriteDocument);
    }
    case 1:
      return CheckRoundTrip(
          text, [](const std::string& t) { return ParseSnapshot(t, nullptr); },
          [](const Snapshot& snapshot) { return WriteSnapshot(snapshot); });
    case 2:
      return CheckRoundTrip(
          text, [](const std::string& t) { return ParseLogPage(t, nullptr); }, WriteLogPage);
    case 3:
      return CheckRoundTrip(
          text, [](const std::string& t) { return ParseLogEntry(t, nullptr); }, WriteLogEntry);
    case 4:
      return CheckRoundTrip(
          text, [](const std::string& t) { return ParseClientPage(t, nullptr, nullptr); }, WriteClientPage);
    default:
      return CheckRoundTrip(
          text, [](const std::string& t) { return ParseVmList(t, nullptr); }, WriteVmList);
  }
}

/// Applies a mutated entry to one store, and its written and parsed form to another; both must agree.
void CheckStoresAgree(const std::string& text) {
  auto entry = ParseLogEntry(text, nullptr);
  if (!entry) return;
  entry->seq = 8;
  entry->base = 3;
  auto first = ConfigStore::FromSnapshot(ExampleSnapshot(), {}, nullptr);
  auto second = ConfigStore::FromSnapshot(ExampleSnapshot(), {}, nullptr);
  first->Apply(*entry);
  second->Apply(ParseLogEntry(WriteLogEntry(*entry), nullptr).value());
  if (!(first->ToSnapshot() == second->ToSnapshot())) RC_FAIL("two stores processed one entry differently");
}

void RunMutations(size_t form, std::string text, const std::vector<uint64_t>& mutations) {
  for (const uint64_t bits : mutations) {
    std::string mutated = Mutate(text, bits);
    const bool parsed = ParseAndCheck(form, mutated);
    if (form == 3) CheckStoresAgree(mutated);
    // Mostly continues from text that parses; otherwise later mutations would exercise only the JSON parser.
    if (parsed || bits % 16 == 0) text = std::move(mutated);
  }
}

const bool kRegistered = fuzz::RegisterFuzzTarget({"config_parse", RunParseFuzz});

}  // namespace

std::optional<std::string> RunParseFuzz(uint64_t seed, uint64_t steps) {
  static const std::vector<std::string> kSeeds = SeedTexts();
  const auto mutation = rc::gen::resize(rc::kNominalSize, rc::gen::inRange<uint64_t>(0, uint64_t{1} << 56));
  uint64_t executed = 0;
  for (uint64_t round = 0; executed < steps; ++round) {
    const uint64_t cases = std::max<uint64_t>(50, (steps - executed) * 2 / kMaxMutations);
    const auto violation = fuzz::CheckProperty(seed + round, cases, kMaxMutations, [&] {
      const auto form = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<size_t>(0, kSeeds.size()));
      const auto mutations = *rc::gen::container<std::vector<uint64_t>>(mutation);
      RunMutations(form, kSeeds[form], mutations);
      executed += mutations.size();
    });
    if (violation) return violation;
  }
  return std::nullopt;
}

}  // namespace cornelplank::config

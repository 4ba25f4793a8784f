#include "libs/config/internal/snapshot.h"

#include <algorithm>
#include <utility>

#include "libs/config/internal/document_codec.h"
#include "libs/config/internal/document_size.h"
#include "libs/config/internal/document_text.h"
#include "libs/config/internal/log_entry.h"

namespace cornelplank::config {
namespace {

constexpr size_t kDigestDigits = 32;

std::string ReadDigest(ObjectReader* reader) {
  const Json* field = reader->Require("digest");
  if (field == nullptr) return "";
  const auto* text = field->get_ptr<const std::string*>();
  const auto is_digit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
  if (text != nullptr && text->size() == kDigestDigits && std::all_of(text->begin(), text->end(), is_digit)) {
    return *text;
  }
  reader->AddFault("digest", "must be 32 lower-case hexadecimal digits");
  return "";
}

std::optional<Snapshot> SnapshotFromJson(const Json& value, int newest_format, ConfigReason* reason,
                                         Faults* faults) {
  const JsonPath root;
  ObjectReader reader(value, root, faults);
  // Checked first, because nothing else can be checked when the format is unknown.
  const Json* format = reader.Require("format");
  if (IsFormatUnknown(value, newest_format, reason)) return std::nullopt;
  Snapshot snapshot;
  snapshot.version.seq = reader.Unsigned("seq");
  snapshot.version.number = reader.Unsigned("version");
  if (snapshot.version.number == kNoBase) reader.AddFault("version", "is reserved");
  snapshot.version.digest = ReadDigest(&reader);
  const Json* document = reader.Require("document");
  reader.RejectUnknown();
  if (document != nullptr) {
    Faults document_faults;
    auto parsed = DocumentFromJson(*document, newest_format, reason, &document_faults);
    if (!parsed && document_faults.empty()) return std::nullopt;
    for (Fault& fault : document_faults) faults->push_back({"/document" + fault.pointer, fault.problem});
    if (parsed) {
      if (format != nullptr && *format != parsed->format) {
        reader.AddFault("format", "must equal the format of the document");
      }
      snapshot.document = *std::move(parsed);
    }
  }
  if (faults->empty()) return snapshot;
  base::SetReason(reason, ConfigCode::kInvalid, faults->front().Text());
  return std::nullopt;
}

}  // namespace

std::optional<Snapshot> ParseSnapshot(std::string_view json, ConfigReason* reason) {
  return ParseSnapshot(json, kNewestFormat, reason, nullptr);
}

std::optional<Snapshot> ParseSnapshot(std::string_view json, int newest_format, ConfigReason* reason,
                                      Faults* faults) {
  const auto value = ParseJson(json, reason);
  if (!value) return std::nullopt;
  Faults found;
  auto snapshot = SnapshotFromJson(*value, newest_format, reason, &found);
  if (faults != nullptr) *faults = std::move(found);
  if (snapshot && DocumentSize(snapshot->document) > kMaxDocumentBytes) {
    base::SetReason(reason, ConfigCode::kTooLarge,
                    "the document exceeds " + std::to_string(kMaxDocumentBytes) + " bytes");
    return std::nullopt;
  }
  return snapshot;
}

std::string WriteSnapshot(const Snapshot& snapshot) {
  return WriteSnapshot(snapshot.version, snapshot.document);
}

std::string WriteSnapshot(const Version& version, const Document& document) {
  const Json value = {{"format", document.format},
                      {"seq", version.seq},
                      {"version", version.number},
                      {"digest", version.digest},
                      {"document", DocumentToJson(document)}};
  return value.dump();
}

}  // namespace cornelplank::config

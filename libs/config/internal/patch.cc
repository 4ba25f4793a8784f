#include "libs/config/internal/patch.h"

#include <utility>

#include "libs/config/internal/document_codec.h"
#include "libs/config/internal/document_size.h"
#include "libs/config/internal/document_text.h"
#include "libs/config/internal/ownership.h"
#include "libs/config/internal/patch_scope.h"

namespace cornelplank::config {
namespace {

// Limit of the values that the "copy" and "move" operations of a patch copy. A "copy" adds values that the
// patch does not contain, so a few operations could double the document until memory is exhausted. The JSON
// library copies the values of a "move" too: 10,000 moves of a large section took 159 s. A document of the
// largest size has about 20,000 values.
constexpr size_t kMaxCopiedValues = 100'000;
/// Counts `value` and the values nested in it; stops counting above `limit`.
size_t CountValues(const Json& value, size_t limit) {
  size_t count = 1;
  if (!value.is_structured()) return count;
  for (const Json& member : value) {
    if (count > limit) break;
    count += CountValues(member, limit - count);
  }
  return count;
}

/// Applies the operations of a patch one by one, so that a fault names the operation that failed.
class PatchApplier {
 public:
  PatchApplier(Json* document, Faults* faults) : document_(document), faults_(faults) {}

  bool Apply(const Json& patch) {
    if (!patch.is_array()) return Fail("", "the patch must be a list of operations");
    if (patch.size() > kMaxPatchOperations) return Fail("", "the patch has too many operations");
    for (size_t i = 0; i < patch.size(); ++i) {
      const std::string pointer = std::string("/").append(std::to_string(i));
      if (!patch[i].is_object()) return Fail(pointer, "an operation must be an object");
      if (!WithinBounds(patch[i], pointer)) return false;
      try {
        document_->patch_inplace(Json::array({patch[i]}));
      } catch (const Json::exception& error) {
        return Fail(pointer, std::string("operation failed: ") + error.what());
      }
    }
    return true;
  }

 private:
  bool Fail(std::string pointer, std::string problem) {
    faults_->push_back({std::move(pointer), std::move(problem)});
    return false;
  }

  bool WithinBounds(const Json& operation, const std::string& pointer) {
    if (CountPathTokens(operation, "path") > kMaxPathTokens ||
        CountPathTokens(operation, "from") > kMaxPathTokens) {
      return Fail(pointer, "the path is longer than any path of a document");
    }
    const auto op = operation.find("op");
    const auto from = operation.find("from");
    const bool moves_values = op != operation.end() && (*op == "copy" || *op == "move");
    if (!moves_values || from == operation.end() || !from->is_string()) return true;
    try {
      const Json& source = document_->at(Json::json_pointer(from->get<std::string>()));
      copied_values_ += CountValues(source, kMaxCopiedValues);
    } catch (const Json::exception& error) {
      return Fail(pointer, std::string("operation failed: ") + error.what());
    }
    return copied_values_ <= kMaxCopiedValues || Fail(pointer, "the patch copies or moves too many values");
  }

  Json* document_;
  Faults* faults_;
  size_t copied_values_ = 0;
};

PatchResult Refuse(ConfigCode code, Faults faults) {
  ConfigReason reason{code, faults.empty() ? "" : faults.front().Text()};
  return {std::nullopt, std::move(reason), std::move(faults)};
}

/// True when the format stays or rises by one. A higher format would be unknown to every binary, however new,
/// and would stop them all.
bool IsAllowedFormatChange(const Json& value, int current) {
  if (!value.is_object()) return true;  // reported later as an invalid document
  const auto format = value.find("format");
  if (format == value.end() || !format->is_number_unsigned()) return true;
  const auto next = format->get<uint64_t>();
  return next == static_cast<uint64_t>(current) || next == static_cast<uint64_t>(current) + 1;
}

}  // namespace

PatchResult ApplyPatch(const Document& document, std::string_view author, std::string_view patch_json,
                       int newest_format) {
  if (patch_json.size() > kMaxPatchBytes) {
    return Refuse(ConfigCode::kTooLarge, {{"", "the patch is too large"}});
  }
  ConfigReason reason;
  const auto patch = ParseJson(patch_json, &reason);
  if (!patch) return Refuse(ConfigCode::kMalformed, {{"", reason.detail}});
  Faults faults;
  const PatchScope scope(*patch);
  Json value = scope.ToJson(document);
  if (!PatchApplier(&value, &faults).Apply(*patch)) return Refuse(ConfigCode::kPatch, std::move(faults));
  if (!IsAllowedFormatChange(value, document.format)) {
    return Refuse(ConfigCode::kInvalid, {{"/format", "may only stay or rise by one"}});
  }
  if (IsFormatUnknown(value, newest_format, &reason)) return {std::nullopt, std::move(reason), {}};
  Document next = ReadDocument(value, scope.SelectUnreachable(document), newest_format, &faults);
  const bool is_invalid = !faults.empty();
  // Ownership is checked on an invalid document too, so that all faults are reported at once.
  CheckOwnership(document, next, author, &faults);
  if (is_invalid) return Refuse(ConfigCode::kInvalid, std::move(faults));
  if (!faults.empty()) return Refuse(ConfigCode::kOwnership, std::move(faults));
  if (DocumentSize(next) > kMaxDocumentBytes) {
    return Refuse(ConfigCode::kTooLarge,
                  {{"", "the document would exceed " + std::to_string(kMaxDocumentBytes) + " bytes"}});
  }
  return {std::move(next), {}, {}};
}

}  // namespace cornelplank::config

#include "libs/config/internal/document_codec.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include "libs/config/internal/document_check.h"
#include "libs/config/internal/document_size.h"
#include "libs/config/internal/document_text.h"

namespace cornelplank::config {
namespace {

using std::chrono::milliseconds;

constexpr double kMaxMbitS = 1e6;
constexpr int64_t kMaxOneWayLatencyMs = 60'000;
constexpr double kMaxAwayPenalty = 1e6;
constexpr int64_t kMaxPriority = 7;  // served last
constexpr int64_t kMaxQueue = 1'000'000;
constexpr int64_t kMaxDeadlineMs = 7LL * 24 * 3600 * 1000;
constexpr double kMaxModelSizeGb = 1e5;
constexpr int64_t kMaxReplicas = 10'000;
constexpr int64_t kMaxSlots = 100'000;
constexpr double kMaxPrice = 1e9;

constexpr std::array<std::string_view, 2> kObjectives = {"cost", "latency"};
constexpr std::array<std::string_view, 2> kUpstreamKinds = {"engine", "service"};
constexpr std::array<std::string_view, 7> kHttpMethods = {"DELETE", "GET",  "HEAD", "OPTIONS",
                                                          "PATCH",  "POST", "PUT"};

/// Reads the entries of a document by the rules of format 1 and adds them to the given document.
class DocumentReader {
 public:
  DocumentReader(Document unchanged, Faults* faults) : faults_(faults), document_(std::move(unchanged)) {}

  Document Read(const Json& value, int newest_format) {
    const JsonPath root;
    ObjectReader reader(value, root, faults_);
    document_.format = static_cast<int>(reader.Integer("format", std::nullopt, 1, newest_format));
    ForEachMember(&reader, "regions", true, faults_, [this](auto&... args) { ReadRegion(args...); });
    ForEachElement(&reader, "links", false, faults_, [this](auto&... args) { ReadLink(args...); });
    ForEachMember(&reader, "partners", true, faults_, [this](auto&... args) { ReadPartner(args...); });
    ForEachMember(&reader, "residency", false, faults_, [this](auto&... args) { ReadResidency(args...); });
    ForEachMember(&reader, "services", false, faults_, [this](auto&... args) { ReadService(args...); });
    ForEachMember(&reader, "models", false, faults_, [this](auto&... args) { ReadModel(args...); });
    ForEachMember(&reader, "upstreams", false, faults_, [this](auto&... args) { ReadUpstream(args...); });
    reader.RejectUnknown();
    return std::move(document_);
  }

 private:
  void ReadRegion(const std::string& name, const Json& value, const JsonPath& path) {
    ObjectReader reader(value, path, faults_);
    Region& region = document_.regions[name];
    region.partner = reader.RequiredName("partner");
    region.zones = reader.Names("zones", true);
    reader.RejectUnknown();
  }

  void ReadLink(const Json& value, const JsonPath& path) {
    ObjectReader reader(value, path, faults_);
    Link link;
    link.a = reader.RequiredName("a");
    link.b = reader.RequiredName("b");
    link.mbit_s = reader.Number("mbit_s", std::nullopt, 0.001, kMaxMbitS);
    link.one_way = milliseconds{reader.Integer("one_way_ms", std::nullopt, 0, kMaxOneWayLatencyMs)};
    reader.RejectUnknown();
    document_.links.push_back(std::move(link));
  }

  void ReadPartner(const std::string& name, const Json& value, const JsonPath& path) {
    ObjectReader reader(value, path, faults_);
    Partner& partner = document_.partners[name];
    partner.objective = static_cast<Objective>(reader.Choice("objective", kObjectives, std::nullopt));
    partner.away_penalty = reader.Number("away_penalty", 0, 0, kMaxAwayPenalty);
    ForEachMember(&reader, "classes", false, faults_,
                  [&](const std::string& class_name, const Json& member, const JsonPath& member_path) {
                    partner.classes[class_name] = ReadClass(member, member_path);
                  });
    ForEachMember(&reader, "lends", false, faults_,
                  [&](const std::string& borrower, const Json& member, const JsonPath& member_path) {
                    partner.lends[borrower] = ReadShare(member, member_path);
                  });
    reader.RejectUnknown();
  }

  PriorityClass ReadClass(const Json& value, const JsonPath& path) {
    ObjectReader reader(value, path, faults_);
    PriorityClass result;
    result.priority = static_cast<int>(reader.Integer("priority", result.priority, 0, kMaxPriority));
    result.guaranteed = reader.Number("guaranteed", 0, 0, 1);
    result.max_queue = static_cast<int>(reader.Integer("max_queue", 0, 0, kMaxQueue));
    result.deadline = milliseconds{reader.Integer("deadline_ms", std::nullopt, 1, kMaxDeadlineMs)};
    result.hedge = reader.Flag("hedge", false);
    result.may_wait = reader.Flag("may_wait", false);
    reader.RejectUnknown();
    return result;
  }

  double ReadShare(const Json& value, const JsonPath& path) {
    const double share = value.is_number() ? value.get<double>() + 0.0 : -1;
    if (share >= 0 && share <= 1) return share;
    faults_->push_back({path.ToPointer(), "must be a number from 0 to 1"});
    return 0;
  }

  void ReadResidency(const std::string& name, const Json& value, const JsonPath& path) {
    ObjectReader reader(value, path, faults_);
    ResidencyRule& rule = document_.residency[name];
    rule.partner = reader.RequiredName("partner");
    rule.allow = reader.Names("allow", true);
    reader.RejectUnknown();
  }

  void ReadService(const std::string& name, const Json& value, const JsonPath& path) {
    ObjectReader reader(value, path, faults_);
    Service& service = document_.services[name];
    service.partner = reader.RequiredName("partner");
    service.idempotent_methods = reader.Names("idempotent_methods", false);
    for (size_t i = 0; i < service.idempotent_methods.size(); ++i) {
      const std::string& method = service.idempotent_methods[i];
      if (!method.empty() &&
          std::find(kHttpMethods.begin(), kHttpMethods.end(), method) == kHttpMethods.end()) {
        reader.AddFault("idempotent_methods", "'" + method + "' is not an HTTP method");
      }
    }
    reader.RejectUnknown();
  }

  void ReadModel(const std::string& name, const Json& value, const JsonPath& path) {
    ObjectReader reader(value, path, faults_);
    Model& model = document_.models[name];
    model.partner = reader.RequiredName("partner");
    model.version = reader.RequiredName("version");
    model.size_gb = reader.Number("size_gb", std::nullopt, 0, kMaxModelSizeGb);
    model.min_replicas_per_zone =
        static_cast<int>(reader.Integer("min_replicas_per_zone", 0, 0, kMaxReplicas));
    reader.RejectUnknown();
  }

  void ReadUpstream(const std::string& id, const Json& value, const JsonPath& path) {
    ObjectReader reader(value, path, faults_);
    Upstream& upstream = document_.upstreams[id];
    upstream.partner = reader.RequiredName("partner");
    upstream.region = reader.RequiredName("region");
    upstream.zone = reader.RequiredName("zone");
    upstream.address = reader.RequiredAddress("address");
    upstream.kind = static_cast<UpstreamKind>(reader.Choice("kind", kUpstreamKinds, std::nullopt));
    upstream.service = ReadServiceName(&reader);
    upstream.slots = static_cast<int>(reader.Integer("slots", 1, 1, kMaxSlots));
    upstream.price = reader.Number("price", 0, 0, kMaxPrice);
    upstream.checks_fence = reader.Flag("checks_fence", false);
    upstream.checks_orderer = reader.Flag("checks_orderer", false);
    upstream.models = reader.Names("models", false);
    upstream.leaving = reader.Flag("leaving", false);
    reader.RejectUnknown();
  }

  /// An absent or empty name is valid here: the canonical form of an engine has an empty service name.
  static std::string ReadServiceName(ObjectReader* reader) {
    const Json* field = reader->Find("service");
    if (field == nullptr || (field->is_string() && field->get_ref<const std::string&>().empty())) return "";
    return reader->RequiredName("service");
  }

  Faults* faults_;
  Document document_;
};

Json PartnerToJson(const Partner& partner) {
  Json classes = Json::object();
  for (const auto& [name, value] : partner.classes) {
    classes[name] = {{"priority", value.priority},   {"guaranteed", value.guaranteed},
                     {"max_queue", value.max_queue}, {"deadline_ms", value.deadline.count()},
                     {"hedge", value.hedge},         {"may_wait", value.may_wait}};
  }
  return {{"objective", kObjectives[static_cast<size_t>(partner.objective)]},
          {"away_penalty", partner.away_penalty},
          {"classes", std::move(classes)},
          {"lends", Json(partner.lends.empty() ? Json::object() : Json(partner.lends))}};
}

Json UpstreamToJson(const Upstream& upstream) {
  return {{"partner", upstream.partner},
          {"region", upstream.region},
          {"zone", upstream.zone},
          {"address", upstream.address},
          {"kind", kUpstreamKinds[static_cast<size_t>(upstream.kind)]},
          {"service", upstream.service},
          {"slots", upstream.slots},
          {"price", upstream.price},
          {"checks_fence", upstream.checks_fence},
          {"checks_orderer", upstream.checks_orderer},
          {"models", upstream.models},
          {"leaving", upstream.leaving}};
}

}  // namespace

bool IsFormatUnknown(const Json& value, int newest_format, ConfigReason* reason) {
  if (!value.is_object()) return false;
  const auto format = value.find("format");
  if (format == value.end() || !format->is_number_unsigned()) return false;
  if (format->get<uint64_t>() <= static_cast<uint64_t>(newest_format)) return false;
  base::SetReason(
      reason, ConfigCode::kFormatUnknown,
      "format " + format->dump() + " is above the newest known format " + std::to_string(newest_format));
  return true;
}

Document ReadDocument(const Json& value, Document unchanged, int newest_format, Faults* faults) {
  Document document = DocumentReader(std::move(unchanged), faults).Read(value, newest_format);
  CheckDocument(document, faults);
  return document;
}

std::optional<Document> DocumentFromJson(const Json& value, int newest_format, ConfigReason* reason,
                                         Faults* faults) {
  if (IsFormatUnknown(value, newest_format, reason)) return std::nullopt;
  const size_t faults_before = faults->size();
  Document document = ReadDocument(value, {}, newest_format, faults);
  if (faults->size() == faults_before) return document;
  base::SetReason(reason, ConfigCode::kInvalid, (*faults)[faults_before].Text());
  return std::nullopt;
}

Json DocumentToJson(const Document& document) {
  Json value = {{"format", document.format}};
  for (const char* section : {"regions", "partners", "residency", "services", "models", "upstreams"}) {
    value[section] = Json::object();
  }
  value["links"] = Json::array();
  for (const auto& [name, region] : document.regions) {
    value["regions"][name] = {{"partner", region.partner}, {"zones", region.zones}};
  }
  for (const Link& link : document.links) {
    value["links"].push_back(
        {{"a", link.a}, {"b", link.b}, {"mbit_s", link.mbit_s}, {"one_way_ms", link.one_way.count()}});
  }
  for (const auto& [name, partner] : document.partners) value["partners"][name] = PartnerToJson(partner);
  for (const auto& [name, rule] : document.residency) {
    value["residency"][name] = {{"partner", rule.partner}, {"allow", rule.allow}};
  }
  for (const auto& [name, service] : document.services) {
    value["services"][name] = {{"partner", service.partner},
                               {"idempotent_methods", service.idempotent_methods}};
  }
  for (const auto& [name, model] : document.models) {
    value["models"][name] = {{"partner", model.partner},
                             {"version", model.version},
                             {"size_gb", model.size_gb},
                             {"min_replicas_per_zone", model.min_replicas_per_zone}};
  }
  Json& upstreams = value["upstreams"];
  for (const auto& [id, upstream] : document.upstreams) upstreams[id] = UpstreamToJson(upstream);
  return value;
}

std::optional<Document> ParseDocument(std::string_view json, ConfigReason* reason) {
  return ParseDocument(json, kNewestFormat, reason, nullptr);
}

std::optional<Document> ParseDocument(std::string_view json, int newest_format, ConfigReason* reason,
                                      Faults* faults) {
  Faults ignored;
  const auto value = ParseJson(json, reason);
  if (!value) return std::nullopt;
  auto document = DocumentFromJson(*value, newest_format, reason, faults != nullptr ? faults : &ignored);
  if (document && DocumentSize(*document) > kMaxDocumentBytes) {
    base::SetReason(reason, ConfigCode::kTooLarge,
                    "the document exceeds " + std::to_string(kMaxDocumentBytes) + " bytes");
    return std::nullopt;
  }
  return document;
}

std::string WriteDocument(const Document& document) { return DocumentToJson(document).dump(); }

}  // namespace cornelplank::config

#include "libs/config/internal/client_directory.h"

#include <algorithm>
#include <set>
#include <utility>

#include "libs/config/internal/json_reader.h"

namespace cornelplank::config {
namespace {

constexpr size_t kSha256Digits = 64;

bool IsSha256(const std::string& text) {
  return text.size() == kSha256Digits && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

ClientRecord ReadClient(const Json& value, const JsonPath& path, Faults* faults) {
  ObjectReader reader(value, path, faults);
  ClientRecord client;
  client.id = reader.RequiredName("id");
  client.partner = reader.RequiredName("partner");
  client.key_sha256 = reader.RequiredText("key_sha256");
  if (!client.key_sha256.empty() && !IsSha256(client.key_sha256)) {
    reader.AddFault("key_sha256", "must be 64 lower-case hexadecimal digits");
  }
  client.classes = reader.Names("classes", true);
  if (client.classes.empty()) reader.AddFault("classes", "needs at least one class");
  client.home = reader.RequiredName("home");
  client.residency = reader.RequiredName("residency");
  return client;
}

}  // namespace

std::optional<ClientPage> ParseClientPage(std::string_view json, ConfigReason* reason, Faults* faults) {
  const auto value = ParseJson(json, reason);
  if (!value) return std::nullopt;
  Faults page_faults;
  Faults record_faults;
  const JsonPath root;
  ObjectReader reader(*value, root, &page_faults);
  ClientPage page;
  page.revision = reader.Unsigned("revision");
  std::set<std::string> seen_ids;
  std::set<std::string> removed;
  ForEachElement(&reader, "removed", false, &page_faults, [&](const Json& element, const JsonPath& path) {
    const auto* id = element.get_ptr<const std::string*>();
    if (id == nullptr || !IsName(*id)) {
      page_faults.push_back({path.ToPointer(), "must be a name"});
    } else if (removed.insert(*id).second) {
      page.removed.push_back(*id);
    }
  });
  ForEachElement(&reader, "clients", true, &page_faults, [&](const Json& element, const JsonPath& path) {
    const size_t faults_before = record_faults.size();
    ClientRecord client = ReadClient(element, path, &record_faults);
    if (!client.id.empty() && (removed.contains(client.id) || !seen_ids.insert(client.id).second)) {
      record_faults.push_back({path.ToPointer(), "client '" + client.id + "' is listed twice"});
    }
    if (record_faults.size() == faults_before) {
      page.clients.push_back(std::move(client));
    } else if (!client.id.empty() && removed.insert(client.id).second) {
      page.removed.push_back(std::move(client.id));
    }
  });
  std::erase_if(page.clients, [&](const ClientRecord& client) { return removed.contains(client.id); });
  if (faults != nullptr) {
    *faults = page_faults;
    faults->insert(faults->end(), record_faults.begin(), record_faults.end());
  }
  if (page_faults.empty()) return page;
  base::SetReason(reason, ConfigCode::kMalformed, page_faults.front().Text());
  return std::nullopt;
}

std::string WriteClientPage(const ClientPage& page) {
  Json clients = Json::array();
  for (const ClientRecord& client : page.clients) {
    clients.push_back({{"id", client.id},
                       {"partner", client.partner},
                       {"key_sha256", client.key_sha256},
                       {"classes", client.classes},
                       {"home", client.home},
                       {"residency", client.residency}});
  }
  const Json value = {
      {"revision", page.revision}, {"clients", std::move(clients)}, {"removed", page.removed}};
  return value.dump();
}

}  // namespace cornelplank::config

#include "tests/system/harness/deployment.h"

#include <sstream>
#include <stdexcept>

namespace cornelplank::harness {
namespace {

using nlohmann::json;
using std::chrono::seconds;

constexpr char kOperatorToken[] = "operator-token-of-the-tests";
constexpr seconds kStartLimit{10};

std::string ModelOf(const std::string& partner) { return partner == "leakline" ? "report" : "letter"; }

// Parses "clients PORT peers PORT operators PORT", the rest of a gateway's "listening on" line.
std::map<std::string, std::string> ParsePorts(const std::string& line) {
  std::istringstream words(line);
  std::map<std::string, std::string> ports;
  for (std::string name, port; words >> name >> port;) ports[name] = port;
  return ports;
}

}  // namespace

Deployment::Deployment(TestProcesses* processes)
    : processes_(processes),
      document_(TwoPartnerDocument()),
      peers_key_file_(processes->WriteFile("peers.key", "shared-key-of-the-test-fleet")),
      token_file_(processes->WriteFile("operators.token", kOperatorToken)) {
  processes_->StartListening("platform", "standin-platform", {});
}

void Deployment::AddEngineProcess(const std::string& id, const std::string& partner, const std::string& zone,
                                  int slots, const std::vector<std::string>& options) {
  const std::string region = zone.substr(0, zone.rfind('-'));
  std::vector<std::string> arguments{"--name",
                                     id,
                                     "--region",
                                     region,
                                     "--model",
                                     ModelOf(partner),
                                     "--slots",
                                     std::to_string(slots),
                                     "--ms-per-token",
                                     "10",
                                     "--prefill-us-per-token",
                                     "50"};
  arguments.insert(arguments.end(), options.begin(), options.end());
  processes_->StartListening(id, "standin-engine", arguments);
  processes_->StartListening(id + "-relay", "standin-relay",
                             {"--listen", "127.0.0.1:0", "--to", processes_->address(id)});
  AddEngine(document_, id, partner, zone, processes_->address(id + "-relay"), slots);
}

void Deployment::AddServiceProcess(const std::string& id, const std::string& partner,
                                   const std::string& zone) {
  processes_->StartListening(id, "standin-service", {"--name", id, "--delay", "50"});
  processes_->StartListening(id + "-relay", "standin-relay",
                             {"--listen", "127.0.0.1:0", "--to", processes_->address(id)});
  AddService(document_, id, partner, zone, processes_->address(id + "-relay"));
}

void Deployment::AddEngineAt(const std::string& id, const std::string& partner, const std::string& zone,
                             const std::string& address) {
  constexpr int kSlots = 8;
  AddEngine(document_, id, partner, zone, address, kSlots);
}

void Deployment::AddServiceAt(const std::string& id, const std::string& partner, const std::string& zone,
                              const std::string& address) {
  AddService(document_, id, partner, zone, address);
}

void Deployment::AddClient(const std::string& id, const std::string& partner, const std::string& home,
                           const std::string& rule) {
  const std::vector<std::string> classes = partner == "leakline"
                                               ? std::vector<std::string>{"caller", "draft"}
                                               : std::vector<std::string>{"desk", "yearend"};
  clients_[id] = ClientRecord(id, partner, "key-" + id, classes, home, rule);
}

void Deployment::Publish() {
  const std::string url = processes_->url("platform");
  json clients = json::array();
  for (const auto& [id, client] : clients_) clients.push_back(client);
  const int snapshot = processes_->Post(url + "/operator/config/snapshot", FirstSnapshot(document_)).status;
  const int directory = processes_->Post(url + "/operator/clients", {{"clients", clients}}).status;
  if (snapshot != 200 || directory != 200) throw std::runtime_error("the platform refused the documents");
}

void Deployment::StartVm(const std::string& id, const std::string& zone, size_t body_bytes) {
  const std::string region = zone.substr(0, zone.rfind('-'));
  const std::string partner = document_["regions"][region]["partner"];
  Process& relay = processes_->StartListening(id + "-relay", "standin-relay",
                                              {"--listen", "127.0.0.1:0", "--to", "127.0.0.1:1", "--listen",
                                               "127.0.0.1:0", "--to", processes_->address("platform")});
  // The relay prints a "listening on" line for each pair; the second one is the platform's.
  std::string platform;
  WaitUntil(kStartLimit, [&] {
    const std::string output = relay.Output();
    const size_t first = output.find("listening on ");
    const size_t second = output.find("listening on ", first + 1);
    if (second == std::string::npos || output.back() != '\n') return false;
    platform = output.substr(second + 13, output.find('\n', second) - second - 13);
    return true;
  });
  const std::string peers = processes_->address(id + "-relay");
  std::string seeds;
  for (const auto& [other, vm] : vms_) seeds += (seeds.empty() ? "" : ",") + vm.peers;
  const std::string settings = processes_->WriteFile(
      id + ".ini", IniText({{"vm", {{"id", id}, {"partner", partner}, {"region", region}, {"zone", zone}}},
                            {"advertise", {{"peers", peers}}},
                            {"platform", {{"address", platform}}},
                            {"peers", {{"seeds", seeds}, {"key_file", peers_key_file_}}},
                            {"operators", {{"token_file", token_file_}}},
                            {"limits", {{"drain", "20s"}, {"body_bytes", std::to_string(body_bytes)}}},
                            {"upstreams", {{"poll_interval", "200ms"}}}}));
  Process& process = processes_->Start(id, "cornelplank-gateway", {"--settings", settings});
  const auto line = process.WaitForLine("listening on ", kStartLimit);
  if (!line) throw std::runtime_error(id + " does not listen: " + process.Errors());
  const auto ports = ParsePorts(*line);
  const std::string host = "127.0.0.1:";
  CommandRelay(id + "-relay", {{"pair", 0}, {"mode", "target"}, {"to", host + ports.at("peers")}});
  vms_[id] = {zone, "http://" + host + ports.at("clients"), "http://" + host + ports.at("operators"), peers};
  PublishVms();
}

void Deployment::PublishVms() {
  json list = json::array();
  for (const auto& [id, vm] : vms_) {
    if (!processes_->at(id).running()) continue;
    const json status = Status(id);
    list.push_back({{"id", id},
                    {"partner", status["partner"]},
                    {"region", status["region"]},
                    {"zone", vm.zone},
                    {"rpc", vm.peers},
                    {"http", vm.clients_url.substr(7)},
                    {"incarnation", std::stoull(status["incarnation"].get<std::string>())},
                    {"state", "live"}});
  }
  processes_->Post(processes_->url("platform") + "/operator/vms", {{"vms", list}});
}

bool Deployment::WaitForVersion(uint64_t version, std::chrono::milliseconds limit) {
  return WaitUntil(limit, [&] {
    for (const auto& [id, vm] : vms_) {
      if (!processes_->at(id).running()) continue;
      const json status = Status(id);
      if (status["config"]["version"] != version || status["clients"] != clients_.size()) return false;
    }
    return true;
  });
}

int Deployment::CommandRelay(const std::string& id, const json& command) {
  const auto control = processes_->at(id).WaitForLine("control on ", kStartLimit);
  return processes_->Post("http://" + control.value_or("") + "/mode", command).status;
}

uint64_t Deployment::PublishPatch(uint64_t base, const std::string& author, const json& patch) {
  const Reply reply = processes_->Post(processes_->url("platform") + "/operator/config/log",
                                       {{"base", base}, {"author", author}, {"patch", patch}});
  return reply.status == 200 ? reply.Json()["seq"].get<uint64_t>() : 0;
}

int Deployment::SetPlatformMode(const json& mode) {
  return processes_->Post(processes_->url("platform") + "/standin/mode", mode).status;
}

json Deployment::GetOperatorJson(const std::string& vm, const std::string& path) const {
  http::ClientRequest request;
  request.url = vms_.at(vm).operators_url + path;
  request.headers["Authorization"] = std::string("Bearer ") + kOperatorToken;
  request.timeout = seconds{5};
  const json answer = processes_->Send(request).Json();
  return answer.is_object() ? answer : json::object();
}

json Deployment::Status(const std::string& vm) const { return GetOperatorJson(vm, "/status"); }
json Deployment::Dump(const std::string& vm) const { return GetOperatorJson(vm, "/dump"); }

json Deployment::Explain(const std::string& vm, const std::string& client) const {
  return GetOperatorJson(vm, "/explain?client=" + client + "&model=" + ModelOf(PartnerOf(client)));
}

http::Headers Deployment::AuthorizationHeader(const std::string& client) const {
  http::Headers headers;
  headers["Authorization"] = "Bearer key-" + client;
  return headers;
}

Reply Deployment::Chat(const std::string& vm, const std::string& client, unsigned max_tokens, bool stream,
                       std::chrono::milliseconds timeout) const {
  return processes_->Post(clients_url(vm) + "/v1/chat/completions",
                          {{"model", ModelOf(PartnerOf(client))},
                           {"messages", {{{"role", "user"}, {"content", "hello"}}}},
                           {"max_tokens", max_tokens},
                           {"stream", stream}},
                          AuthorizationHeader(client), timeout);
}

std::string Deployment::MintTicket(const std::string& vm, const std::string& client,
                                   const std::string& service) const {
  const Reply reply =
      processes_->Post(clients_url(vm) + "/v1/tickets", {{"service", service}}, AuthorizationHeader(client));
  return reply.status == 200 ? reply.Json()["ticket"].get<std::string>() : "";
}

Reply Deployment::CallService(const std::string& vm, const std::string& client, const std::string& path,
                              const std::string& ticket, std::chrono::milliseconds timeout) const {
  http::Headers headers = AuthorizationHeader(client);
  if (!ticket.empty()) headers["Idempotency-Key"] = ticket;
  return processes_->Post(clients_url(vm) + "/v1/services/" + path, {{"amount", 5}}, headers, timeout);
}

Process& Deployment::StartLoad(const std::string& name, const std::string& client,
                               const std::vector<std::string>& vms, const std::vector<std::string>& options) {
  std::vector<std::string> arguments{"--json", "--key", "key-" + client, "--model",
                                     ModelOf(PartnerOf(client))};
  for (const std::string& vm : vms) arguments.insert(arguments.end(), {"--url", clients_url(vm)});
  arguments.insert(arguments.end(), options.begin(), options.end());
  return processes_->Start(name, "cornelplank-load", arguments);
}

json Deployment::LoadResult(const std::string& name, std::chrono::milliseconds limit) {
  processes_->at(name).WaitForExit(limit);
  return json::parse(processes_->at(name).Output(), nullptr, false);
}

std::vector<json> Deployment::RequestsRunOn(const std::string& engine) const {
  std::vector<json> ran;
  const json log = processes_->Get(processes_->url(engine) + "/standin/log").Json();
  for (const json& record : log["requests"]) {
    if (record["outcome"] != "refused") ran.push_back(record);
  }
  return ran;
}

uint64_t Deployment::CountExecutions(const std::string& service) const {
  uint64_t sum = 0;
  const json executions = processes_->Get(processes_->url(service) + "/executions").Json();
  for (const auto& [key, count] : executions.items()) {
    sum += count.get<uint64_t>();
  }
  return sum;
}

}  // namespace cornelplank::harness

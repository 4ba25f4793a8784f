#include <iostream>
#include <map>

#include "standins/common/program.h"
#include "standins/common/reply.h"
#include "standins/relay/relay.h"

namespace {

namespace options = boost::program_options;
using cornelplank::http::Request;
using cornelplank::http::Response;
using cornelplank::standins::JsonReply;
using cornelplank::standins::MemberNumber;
using cornelplank::standins::MemberText;
using cornelplank::standins::ProblemReply;
using cornelplank::standins::relay::Direction;
using cornelplank::standins::relay::PairAddresses;
using cornelplank::standins::relay::PairMode;
using cornelplank::standins::relay::PairState;
using cornelplank::standins::relay::Relay;

const char* ModeName(PairMode mode) {
  return mode == PairMode::kForward ? "forward" : mode == PairMode::kCut ? "cut" : "freeze";
}

Response ListPairs(Relay& relay) {
  nlohmann::json pairs = nlohmann::json::array();
  for (const PairState& state : relay.PairStates()) {
    const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(state.delay);
    pairs.push_back({{"listen", state.listen},
                     {"to", state.target},
                     {"mode", ModeName(state.mode)},
                     {"delay_ms", delay.count()},
                     {"connections", state.connections},
                     {"accepted", state.accepted}});
  }
  return JsonReply(200, {{"pairs", pairs}});
}

// Applies a command of the control interface to one pair. Returns false if the mode, the direction or the
// target is invalid; sets `response` if a cut pair can't listen again.
bool ApplyCommand(Relay& relay, size_t pair, const nlohmann::json& command, Response* response) {
  static const std::map<std::string, PairMode> kModes = {
      {"forward", PairMode::kForward}, {"cut", PairMode::kCut}, {"freeze", PairMode::kFreeze}};
  static const std::map<std::string, Direction> kDirections = {{"", Direction::kBoth},
                                                               {"both", Direction::kBoth},
                                                               {"to-target", Direction::kToTarget},
                                                               {"to-client", Direction::kToClient}};
  const std::string mode = MemberText(command, "mode");
  if (const auto found = kModes.find(mode); found != kModes.end()) {
    if (relay.SetMode(pair, found->second)) return true;
    *response = ProblemReply(503, "bind", "the pair can't listen again", "ran");
    return true;
  }
  if (mode == "delay") {
    relay.SetDelay(pair, std::chrono::milliseconds{MemberNumber(command, "ms", 0)});
    return true;
  }
  if (mode == "target") return relay.SetTarget(pair, MemberText(command, "to"));
  const auto direction = kDirections.find(MemberText(command, "direction"));
  if (mode != "drop" || direction == kDirections.end()) return false;
  relay.DropOnOpenConnections(pair, direction->second);
  return true;
}

Response HandleCommand(Relay& relay, const Request& request) {
  if (request.path == "/pairs") return ListPairs(relay);
  if (request.path != "/mode" || request.method != "POST") {
    return ProblemReply(404, "unknown-path", "there is no such path", "not-run");
  }
  const auto command = cornelplank::standins::ParseObject(request.body);
  if (!command) return ProblemReply(400, "no-json", "the body is no JSON object", "not-run");
  const size_t count = relay.PairStates().size();
  const size_t first = command->contains("pair") ? MemberNumber(*command, "pair", count) : 0;
  const size_t last = command->contains("pair") ? first + 1 : count;
  if (last > count) return ProblemReply(400, "invalid", "there is no such pair", "not-run");
  Response response = JsonReply(200, {{"pairs", last - first}});
  for (size_t pair = first; pair < last; ++pair) {
    if (!ApplyCommand(relay, pair, *command, &response)) {
      return ProblemReply(400, "invalid", "the mode, direction or target is unknown", "not-run");
    }
  }
  return response;
}

options::options_description ProgramOptions() {
  options::options_description own("Relay");
  own.add_options()("listen", options::value<std::vector<std::string>>()->composing(),
                    "IP:PORT to listen on; repeatable, each with its --to")(
      "to", options::value<std::vector<std::string>>()->composing(), "IP:PORT to relay to; repeatable")(
      "control", options::value<std::string>()->default_value("127.0.0.1:0"), "IP:PORT of the commands");
  return own;
}

}  // namespace

int main(int argc, char** argv) {
  const auto parsed = cornelplank::standins::ParseOptions(
      argc, argv, "standin-relay: a TCP relay with faults, see docs/standins.md", ProgramOptions());
  if (parsed.exit_code) return *parsed.exit_code;
  const auto list = [&](const char* name) {
    return parsed.values.contains(name) ? parsed.values[name].as<std::vector<std::string>>()
                                        : std::vector<std::string>{};
  };
  const auto listen = list("listen");
  const auto target = list("to");
  if (listen.empty() || listen.size() != target.size()) {
    std::cerr << "give at least one --listen, and one --to for each\n";
    return 2;
  }
  if (parsed.check_only) return 0;
  cornelplank::standins::BlockTerminationSignals();
  std::vector<PairAddresses> pairs;
  for (size_t index = 0; index < listen.size(); ++index) pairs.push_back({listen[index], target[index]});
  std::string problem;
  const auto relay = Relay::Start(pairs, &problem);
  if (!relay) {
    std::cerr << problem << "\n";
    return 1;
  }
  cornelplank::http::ServerOptions server_options;
  const std::string control = parsed.values["control"].as<std::string>();
  server_options.address = control;
  cornelplank::http::HttpReason reason;
  const auto server = cornelplank::http::Server::Start(
      server_options, [&relay](const Request& request) { return HandleCommand(*relay, request); }, &reason);
  if (!server) {
    std::cerr << "can't listen on " << control << ": " << reason.detail << "\n";
    return 1;
  }
  std::cout << "control on " << control.substr(0, control.rfind(':')) << ":" << server->port() << std::endl;
  for (const PairState& state : relay->PairStates()) {
    std::cout << "listening on " << state.listen << std::endl;
  }
  cornelplank::standins::WaitForTermination();
  return 0;
}

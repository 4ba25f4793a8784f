#include <boost/program_options.hpp>
#include <iostream>
#include <sstream>

#include "apps/ctl/commands/commands.h"
#include "apps/ctl/http_transport.h"
#include "libs/base/base.h"

namespace {

namespace po = boost::program_options;
using cornelplank::ctl::Options;

constexpr const char* kCommands = R"(usage: cornelplank-ctl COMMAND [options]

commands:
  status        print the status of a gateway (--address, --token-file)
  dump          print the state of a gateway (--address, --token-file)
  explain       print how a gateway would route a request
                (--client, --class, --model or --service, --home)
  explain ID [LOG...]
                print the story of a request from logs of entry VMs (files or standard input)
  check-patch   judge a patch before it is published
                (--patch, --author; --snapshot, --document or --platform)
  verdict SEQ   judge a published entry and show where it is in force
                (--platform, --gateways, --token-file)
  snapshot      fold the published log into a snapshot
                (--platform or --document; --output, --seq)

exit codes: 0 done or accepted, 1 refused, 2 wrong usage, settings or files, 3 no usable answer

)";

/// The parsed command line. Settings still have to be merged into `options`.
struct CommandLine {
  Options options;
  std::string command;
  std::vector<std::string> arguments;  // after the command
  std::string token_file;
  std::string settings_file;
  std::string gateways;  // separated by commas
  int timeout_ms = 10000;
};

po::options_description DescribeOptions(CommandLine* line) {
  Options& options = line->options;
  po::options_description description("options");
  const auto text = [&](const char* name, std::string* target, const char* help) {
    description.add_options()(name, po::value(target), help);
  };
  description.add_options()("help", "print this text")("version", "print the version")(
      "check", "check the settings file and exit");
  text("settings", &line->settings_file, "settings file (INI, section [ctl])");
  text("platform", &options.platform, "the platform, http://IP:PORT");
  text("address", &options.address, "a gateway's operators' listener, IP:PORT");
  text("gateways", &line->gateways, "operators' listeners, IP:PORT, separated by commas");
  text("token-file", &line->token_file, "file with the token of the operators' listeners");
  description.add_options()("timeout-ms", po::value(&line->timeout_ms), "limit of each exchange (10000)");
  text("snapshot", &options.snapshot_file, "snapshot file to judge against");
  text("document", &options.document_file, "document file to judge against, or to start from");
  text("patch", &options.patch_file, "patch file: operations, or an object with author, base and patch");
  text("author", &options.author, "partner that publishes the patch");
  text("output", &options.output_file, "file for the snapshot; without it, standard output");
  description.add_options()("base", po::value<uint64_t>(), "version that the patch names")(
      "seq", po::value<uint64_t>(), "fold the log up to this entry");
  text("client", &options.client, "client id");
  text("class", &options.priority_class, "priority class");
  text("model", &options.model, "model");
  text("service", &options.service, "service");
  text("home", &options.home, "home region of the data");
  return description;
}

/// Splits a text at its commas and drops empty parts.
std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    if (!part.empty()) parts.push_back(part);
  }
  return parts;
}

/// Reads the token file, if one is named, without white space at its end. Returns false, with a printed
/// message, when the file can't be read or is empty.
bool ReadToken(CommandLine* line) {
  if (line->token_file.empty()) return true;
  auto token = cornelplank::ctl::ReadFile(line->token_file);
  if (!token) {
    std::cerr << line->token_file << " can't be read\n";
    return false;
  }
  const size_t end = token->find_last_not_of(" \t\r\n");
  line->options.token = end == std::string::npos ? "" : token->substr(0, end + 1);
  if (!line->options.token.empty()) return true;
  std::cerr << line->token_file << " holds no token\n";
  return false;
}

/// Returns false, with printed messages, when the settings file has faults.
bool ReadSettingsFile(CommandLine* line) {
  const auto faults = cornelplank::ctl::ReadSettings(cornelplank::base::Settings::Load(line->settings_file),
                                                     &line->token_file, &line->options);
  for (const auto& fault : faults) std::cerr << fault.Text() << "\n";
  return faults.empty();
}

/// Reads the sequence number of `verdict SEQ` or the id and log files of `explain ID LOG...`. Returns false,
/// with a printed message, when an argument is not a number or the command takes none.
bool ReadArguments(CommandLine* line) {
  if (line->arguments.empty()) return true;
  if (line->command == "explain") {
    line->options.request_id = line->arguments.front();
    line->options.log_files.assign(line->arguments.begin() + 1, line->arguments.end());
    return true;
  }
  const std::string& argument = line->arguments.front();
  std::istringstream stream(argument);
  uint64_t seq = 0;
  const bool is_number = argument.find_first_not_of("0123456789") == std::string::npos;
  if (line->command == "verdict" && line->arguments.size() == 1 && is_number && stream >> seq) {
    line->options.seq = seq;
    return true;
  }
  std::cerr << "unexpected argument '" << argument << "'\n";
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  using cornelplank::ctl::kDone;
  using cornelplank::ctl::kUsage;
  CommandLine line;
  po::options_description visible = DescribeOptions(&line);
  po::options_description all;
  all.add(visible).add_options()("command", po::value(&line.command))("argument", po::value(&line.arguments));
  po::positional_options_description positional;
  positional.add("command", 1).add("argument", -1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(argc, argv).options(all).positional(positional).run(), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "; --help lists the options\n";
    return kUsage;
  }
  if (values.count("help") > 0) {
    std::cout << kCommands << visible;
    return kDone;
  }
  if (values.count("version") > 0) {
    std::cout << "cornelplank-ctl " << cornelplank::base::kVersion << "\n";
    return kDone;
  }
  if (values.count("base") > 0) line.options.base = values["base"].as<uint64_t>();
  if (values.count("seq") > 0) line.options.seq = values["seq"].as<uint64_t>();
  line.options.gateways = SplitList(line.gateways);
  if (!line.settings_file.empty() && !ReadSettingsFile(&line)) return kUsage;
  if (values.count("check") > 0) {
    if (line.settings_file.empty()) std::cerr << "--check needs --settings FILE\n";
    return line.settings_file.empty() ? kUsage : kDone;
  }
  if (const auto fault = cornelplank::ctl::FindOptionFault(line.options)) {
    std::cerr << *fault << "\n";
    return kUsage;
  }
  if (!ReadArguments(&line) || !ReadToken(&line)) return kUsage;
  if (line.command.empty()) {
    std::cerr << kCommands;
    return kUsage;
  }
  if (!line.options.request_id.empty()) {
    return cornelplank::ctl::RunExplainRequest(line.options, std::cin, {std::cout, std::cerr});
  }
  const auto transport = cornelplank::ctl::MakeHttpTransport(std::chrono::milliseconds{line.timeout_ms});
  return cornelplank::ctl::RunCommand(line.command, line.options, transport.get(), {std::cout, std::cerr});
}

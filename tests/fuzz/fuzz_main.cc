#include <boost/program_options.hpp>
#include <chrono>
#include <iostream>

#include "tests/fuzz/fuzz_target.h"

namespace po = boost::program_options;

int main(int argc, char** argv) {
  using cornelplank::fuzz::FuzzTargets;
  po::options_description options("cornelplank-fuzz NAME [options]");
  options.add_options()("help", "print this text")("list", "print the names of all fuzzers")(
      "name", po::value<std::string>(), "the fuzzer to run, or 'all'")(
      "seed", po::value<uint64_t>()->default_value(1), "seed of the random commands")(
      "steps", po::value<uint64_t>()->default_value(100000), "number of commands, about");
  po::positional_options_description positional;
  positional.add("name", 1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(argc, argv).options(options).positional(positional).run(), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
  if (values.count("list") > 0) {
    for (const auto& target : FuzzTargets()) std::cout << target.name << "\n";
    return 0;
  }
  if (values.count("help") > 0 || values.count("name") == 0) {
    std::cout << options;
    return values.count("help") > 0 ? 0 : 2;
  }
  const auto name = values["name"].as<std::string>();
  const auto seed = values["seed"].as<uint64_t>();
  const auto steps = values["steps"].as<uint64_t>();
  bool found = false;
  bool failed = false;
  for (const auto& target : FuzzTargets()) {
    if (name != "all" && name != target.name) continue;
    found = true;
    const auto start = std::chrono::steady_clock::now();
    const auto violation = target.run(seed, steps);
    const std::chrono::duration<double> seconds = std::chrono::steady_clock::now() - start;
    std::cout << target.name << " seed " << seed << " steps " << steps << ": "
              << (violation ? "VIOLATION" : "no violation") << " (" << seconds.count() << " s)\n";
    if (violation) std::cout << *violation << "\n";
    failed = failed || violation.has_value();
  }
  if (!found) {
    std::cerr << "unknown fuzzer '" << name << "'; --list prints the names\n";
    return 2;
  }
  return failed ? 1 : 0;
}

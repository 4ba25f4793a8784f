#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::load {

/// The load to generate; cornelplank-load has an option for each.
struct LoadOptions {
  std::vector<std::string> urls;  // base URLs, http://IP:PORT
  bool use_entry_list = false;    // ask the URLs for the list of entry VMs and use the first reachable entry
  double rate = 0;                // arrivals per second, 0 for none
  unsigned streams = 0;           // streams open at any time; each that ends is replaced
  std::chrono::milliseconds duration{10000};  // time during which requests are sent
  uint64_t seed = 1;
  std::string key;           // bearer key, empty for none
  std::string client_class;  // header Priority-Class, empty for none
  std::string home;          // header Data-Home, empty for none
  std::string model = "m";
  uint64_t prompt_tokens = 200;  // mean length of a prompt
  uint64_t max_tokens = 64;      // mean length of an answer
  double spread = 0;             // share, 0 to 1, by which both lengths vary to either side of the mean
  double prefix_share = 0.5;     // share of a prompt that is a shared prefix, 0 to 1
  unsigned prefixes = 16;        // number of different shared prefixes
  double stream_share = 1;       // share of requests that ask for a stream, 0 to 1
  std::chrono::milliseconds timeout{30000};  // of a request
  unsigned max_in_flight = 2000;             // requests at a time; arrivals beyond it are counted as not-sent
};

/// The content of one generated request and the URL to send it to.
struct RequestPlan {
  uint64_t index = 0;
  size_t url_index = 0;     // in LoadOptions::urls; not used with the entry list
  std::string prompt;       // content of the user's message
  uint64_t seed = 0;        // of the answer; different for each request
  uint64_t max_tokens = 0;  // exact length of the expected answer
  bool streamed = true;
};

/// Generates the request with this index. Equal options and indexes give equal requests.
RequestPlan MakePlan(const LoadOptions& options, uint64_t index);

/// The body of the request as JSON text.
std::string RequestBody(const LoadOptions& options, const RequestPlan& plan);

/// Open-loop arrivals: a Poisson process, with exponentially distributed gaps between arrivals.
class Arrivals {
 public:
  Arrivals(double rate_per_s, uint64_t seed) : rate_per_s_(rate_per_s), random_(seed) {}

  /// The next arrival, as time since the start. Never decreases.
  base::Duration Next();

 private:
  double rate_per_s_;
  base::Random random_;
  double last_arrival_s_ = 0;
};

}  // namespace cornelplank::load

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::load {

struct LoadOptions {
  std::vector<std::string> urls;  // base URLs, http://IP:PORT
  bool use_entry_list = false;    // ask the URLs for the entry VMs and use the first that works
  double rate = 0;                // arrivals per second, 0 for none
  unsigned streams = 0;           // streams that are kept open
  std::chrono::milliseconds duration{10000};
  uint64_t seed = 1;
  std::string key;           // bearer key, empty for none
  std::string client_class;  // header Priority-Class, empty for none
  std::string home;          // header Data-Home, empty for none
  std::string model = "m";
  uint64_t prompt_tokens = 200;
  uint64_t max_tokens = 64;
  double spread = 0;          // lengths vary by this share to either side, 0 to 1
  double prefix_share = 0.5;  // share of a prompt that others have, too
  unsigned prefixes = 16;     // different shared prefixes
  double stream_share = 1;    // share of requests that ask for a stream
  std::chrono::milliseconds timeout{30000};
  unsigned max_in_flight = 2000;  // arrivals beyond it are counted and not sent
};

/// One request of the load.
struct RequestPlan {
  uint64_t index = 0;
  size_t url = 0;      // index into LoadOptions::urls
  std::string prompt;  // content of the user's message
  uint64_t seed = 0;   // unlike that of every other request
  uint64_t max_tokens = 0;
  bool streamed = true;
};

/// The request with this index. Equal for equal options on every run.
RequestPlan MakePlan(const LoadOptions& options, uint64_t index);

/// The body of the request as JSON text.
std::string RequestBody(const LoadOptions& options, const RequestPlan& plan);

/// Open-loop arrivals: exponential gaps at the given rate.
class Arrivals {
 public:
  Arrivals(double per_second, uint64_t seed) : per_second_(per_second), random_(seed) {}

  /// The time of the next arrival since the start.
  base::Duration Next();

 private:
  double per_second_;
  base::Random random_;
  double at_seconds_ = 0;
};

}  // namespace cornelplank::load

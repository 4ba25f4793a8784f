#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/base.h"
#include "libs/net/net.h"

namespace cornelplank::serving {

/// A part of a prompt that other requests may share.
struct PromptPart {
  uint64_t id = 0;
  uint32_t tokens = 0;
};

/// What the engine needs to know of a client's request.
struct RequestInfo {
  std::string id;  // of this client attempt
  std::string host;
  std::string path;                         // without the query
  std::optional<base::Duration> time_left;  // how long the client waits
  std::optional<uint64_t> last_event_id;    // the client resumes a stream after this event
  std::vector<PromptPart> prompt;           // in order; all but the last may be shared with other requests
  uint32_t prompt_tokens = 0;
  uint32_t output_tokens = 0;  // at most

  uint32_t SharedPrefixTokens() const;
  /// Identity of the shared parts as a chain; 0 when nothing is shared.
  uint64_t SharedPrefixKey() const;
};

/// What is set anew for each attempt.
struct AttemptParameters {
  base::Duration time_left{0};
  std::string replica;                   // id that must answer; another replica at the address refuses
  int priority = 0;                      // 0 is the most urgent
  std::optional<uint64_t> resume_after;  // resume after this event
};

/// Load as a replica reports it with an answer.
struct ReportedLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
};

/// What the head of a replica's answer tells.
struct ResponseInfo {
  std::string request_id;      // of the request that is answered; empty when missing
  bool authentic = false;      // carries the replica's signature
  bool not_run = false;        // the replica states that it did not run the request
  bool wrong_replica = false;  // another replica has the address now
  bool encoded = false;        // the body isn't in the form that was asked for
  std::optional<ReportedLoad> load;
  std::optional<std::chrono::milliseconds> cold_remaining;
};

/// A request that one entry VM passes to another one of the region that is to serve it.
struct HopParameters {
  std::string service;
  base::Duration time_left{0};
};

/// How requests and answers are spelled towards clients and replicas.
class MessageCodec {
 public:
  virtual ~MessageCodec() = default;

  /// Nothing when the request lacks what it must have; `problem` then says what.
  virtual std::optional<RequestInfo> DecodeRequest(const net::Request& request,
                                                   std::string* problem) const = 0;
  /// The request as a replica gets it.
  virtual net::Request EncodeAttempt(const net::Request& request, const AttemptParameters& terms) const = 0;
  virtual ResponseInfo DecodeResponse(const net::ResponseHead& head) const = 0;
  /// The request as the entry VM of another region gets it, and its terms there.
  virtual net::Request EncodeHop(const net::Request& request, const HopParameters& terms) const = 0;
  virtual std::optional<HopParameters> DecodeHop(const net::Request& request) const = 0;
  /// An answer of this system's own. `retry_after` is left out when empty.
  virtual net::ResponseHead MakeLocalResponse(unsigned status, const std::string& request_id,
                                              std::optional<base::Duration> retry_after) const = 0;
  /// Marks an own answer so that an entry VM of the system recognises it as "not run".
  virtual void MarkNotRun(net::ResponseHead* head) const = 0;
};

}  // namespace cornelplank::serving

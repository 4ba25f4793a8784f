#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/base.h"
#include "libs/net/net.h"
#include "libs/tenancy/tenancy.h"

namespace cornelplank::serving {

/// A part of a prompt. Requests whose prompts begin with the same parts can share the KV cache of these
/// parts.
struct PromptPart {
  uint64_t id = 0;  // equal for equal text
  uint32_t tokens = 0;
};

/// The properties of a client's request that routing, placement and retries depend on.
struct RequestInfo {
  std::string id;  // chosen by the client, different for each of its attempts
  std::string host;
  std::string path;                         // without the query
  std::string key;                          // of the client's tenant; empty when it states none
  std::optional<base::Duration> time_left;  // until the client gives up; none when it states no deadline
  std::optional<uint64_t> last_event_id;    // set when the client resumes a stream after this event
  bool unreadable_event_id = false;         // it resumes a stream, but after which event can't be told
  std::optional<std::string> resumes;       // id of the attempt that brought that stream's first event
  std::vector<PromptPart> prompt_parts;     // in order; other requests may share all but the last
  uint32_t prompt_tokens = 0;
  uint32_t max_output_tokens = 0;
  bool states_tokens = false;  // both numbers of tokens are known

  /// Tokens of the prompt parts that other requests may share: all but the last part.
  uint32_t SharedPrefixTokens() const;
  /// Ids of these parts, in order.
  std::vector<uint64_t> SharedParts() const;
  /// Hash over the ids of these parts in order; 0 when the prompt has fewer than two parts.
  uint64_t SharedPrefixKey() const;
  /// What the request takes from its tenant's quota, in the quota's unit.
  double QuotaCost(const tenancy::Quota& quota) const;
};

/// The values that are set anew for each attempt of a request.
struct AttemptParameters {
  base::Duration time_left{0};           // until the response must be complete
  std::string expected_replica;          // id; another replica that has taken over the address refuses
  int priority = 0;                      // 0 is the most urgent
  std::optional<uint64_t> resume_after;  // id of the last event that the client already has
  // Name of the tenant; empty: the request is of no tenant. None when the configuration has no tenants: what
  // the client sent under the names of tenants' headers is then passed on.
  std::optional<std::string> tenant;
};

/// The load that a replica reports in the headers of a response, in requests.
struct ReportedLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  // Time that work takes on its machine now, in percent of the usual time; none when it isn't stated.
  std::optional<double> percent = std::nullopt;
};

/// The properties of a replica's response that its status line and headers state.
struct ResponseInfo {
  std::string request_id;      // request that the response belongs to; empty when the header is missing
  bool has_signature = false;  // the header with the replica's signature is present
  bool not_run = false;        // the replica states that it did not run the request
  bool unsent = false;         // in the response to a hop: the request was sent to no replica
  bool wrong_replica = false;  // the address now belongs to a replica other than the expected one
  bool encoded = false;        // the body has a content encoding, although none was asked for
  std::optional<ReportedLoad> load;
  std::optional<base::Duration> cold_remaining;  // until the replica has its full speed
  bool leaving = false;                          // the replica is about to exit and takes no new requests
  // Set when the replica turned the request away: it takes no requests from this VM for so long.
  std::optional<base::Duration> push_back;
  // Requests a second that the replica takes from all VMs together; none when it states no limit.
  std::optional<double> rate_limit;
  // Requests a second that the replica can reject for want of room without a crash; none when it states no
  // such limit.
  std::optional<double> rejection_limit;
  // In the response to a hop: SoftwareKey of the replica that made it. Means nothing in a replica's response.
  std::optional<uint64_t> software;
};

/// What an entry VM adds to a request when it forwards it to an entry VM of another region (a hop).
struct HopParameters {
  std::string service;
  base::Duration time_left{0};        // until the response must be complete
  std::optional<std::string> tenant;  // as in AttemptParameters; an empty one is decoded as none
  std::optional<uint64_t> software;   // SoftwareKey of the replicas that may continue the stream; none: any
};

/// Translates between the requests and responses on the wire and the structs above, so that the rest of the
/// library does not depend on header names.
class MessageCodec {
 public:
  virtual ~MessageCodec() = default;

  /// Returns no value, with the reason in `problem`, when the request lacks a required header.
  virtual std::optional<RequestInfo> DecodeRequest(const net::Request& request,
                                                   std::string* problem) const = 0;
  /// The request to send to a replica.
  virtual net::Request EncodeAttempt(const net::Request& request,
                                     const AttemptParameters& parameters) const = 0;
  virtual ResponseInfo DecodeResponse(const net::ResponseHead& head) const = 0;
  /// The request to send to an entry VM of another region.
  virtual net::Request EncodeHop(const net::Request& request, const HopParameters& parameters) const = 0;
  /// Returns no value when the request lacks the headers of a hop.
  virtual std::optional<HopParameters> DecodeHop(const net::Request& request) const = 0;
  /// The head of a response that this VM makes itself. An empty `request_id` or `retry_after` is left out.
  virtual net::ResponseHead MakeLocalResponse(unsigned status, const std::string& request_id,
                                              std::optional<base::Duration> retry_after) const = 0;
  /// Marks a local response so that the entry VM that forwarded the request knows that it was not run and
  /// whether it was `sent` to a replica.
  virtual void MarkNotRun(net::ResponseHead* head, bool sent) const = 0;
  /// Replaces what the head of a response states as `ResponseInfo::software`; none: removes it.
  virtual void StateSoftware(net::ResponseHead* head, std::optional<uint64_t> software) const = 0;
};

}  // namespace cornelplank::serving

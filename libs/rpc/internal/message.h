#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::rpc {

enum class RpcErrorCode { kBind, kConnect, kRefused, kSilent, kBroken };
using RpcReason = base::Reason<RpcErrorCode>;

using HeaderList = std::vector<std::pair<std::string, std::string>>;

enum class ForwardKind { kCompletion, kServiceCall, kMintTicket };

/// A request that an entry VM hands to a VM of another zone, or to the owner of a ticket.
struct ForwardRequest {
  std::string attempt_id;
  ForwardKind kind = ForwardKind::kCompletion;
  std::chrono::milliseconds remaining{0};  // time left; a duration, because clocks of VMs differ
  uint64_t config_seq = 0;                 // the sender's configuration
  std::vector<std::string> visited_zones;
  std::string client_id;
  std::string partner;
  std::string priority_class;
  std::string home;
  std::string residency;
  std::string target;  // model or service
  std::string method;
  std::string path;
  HeaderList headers;
  std::string body;
  std::string ticket;
  uint32_t resume_tokens = 0;
};

/// Who is at the other end of a connection, as proved when it was made.
struct PeerIdentity {
  std::string vm;
  uint64_t incarnation = 0;
  std::string metadata;  // what else the VM says of itself; opaque to this library
};

/// How an answer ended. The fields after `whole` are set when it is false.
struct ForwardEnd {
  bool complete = false;
  std::string code;
  std::string detail;
  base::Outcome outcome = base::Outcome::kUnknown;
  std::chrono::milliseconds retry_after{0};
};

/// One step of an answer that comes back over a hop.
struct ForwardEvent {
  enum class Kind { kHead, kData, kEnd, kNothing };
  Kind kind = Kind::kNothing;
  int status = 0;
  HeaderList headers;
  std::string data;
  ForwardEnd end;
};

}  // namespace cornelplank::rpc

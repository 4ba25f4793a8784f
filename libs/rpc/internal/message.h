#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "libs/base/base.h"

namespace cornelplank::rpc {

/// Why a node could not start (kBind). The other values are not used.
enum class RpcErrorCode { kBind, kConnect, kRefused, kSilent, kBroken };
using RpcReason = base::Reason<RpcErrorCode>;

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// What the receiving VM does with a hop. The values are those of the schema's `Kind`.
enum class ForwardKind { kCompletion, kServiceCall, kMintTicket };

/// A hop: a request that one VM forwards to a VM of another zone, or to the VM that owns the request's
/// ticket.
struct ForwardRequest {
  std::string attempt_id;
  ForwardKind kind = ForwardKind::kCompletion;
  std::chrono::milliseconds remaining{0};  // until the deadline; a duration, since clocks of VMs differ
  uint64_t config_seq = 0;                 // sequence number of the sender's configuration
  std::vector<std::string> visited_zones;
  std::string client_id;
  std::string partner;
  std::string priority_class;
  std::string home;
  std::string residency;
  std::string target;  // name of the model or service
  std::string method;
  std::string path;
  HeaderList headers;
  std::string body;
  std::string ticket;
  uint32_t resume_tokens = 0;  // tokens that the client has already received; the answer continues after them
};

/// The VM at one end of a connection. The receiving side verifies the caller's name `vm` when it logs in.
struct PeerIdentity {
  std::string vm;
  uint64_t incarnation = 0;
  std::string metadata;  // further data about the VM (the schema's `card`); opaque to this library
};

/// How the answer to a hop ended. The fields after `complete` have a meaning only when it is false.
struct ForwardEnd {
  bool complete = false;  // the answer ended as intended
  std::string code;       // problem code, for programs
  std::string detail;     // for people
  base::Outcome outcome = base::Outcome::kUnknown;
  std::chrono::milliseconds retry_after{0};  // 0 means not given
};

/// One part of the answer to a hop.
struct ForwardEvent {
  enum class Kind {
    kHead,    // `status` and `headers` are set
    kData,    // `data` is set
    kEnd,     // `end` is set; nothing follows
    kNothing  // no event arrived in the given time
  };
  Kind kind = Kind::kNothing;
  int status = 0;
  HeaderList headers;
  std::string data;
  ForwardEnd end;
};

}  // namespace cornelplank::rpc

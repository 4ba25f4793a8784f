#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libs/membership/membership.h"

namespace cornelplank::wire {

/// Kinds of control messages between VMs: the request and its reply, as structs of control.capnp.
enum class ControlKind : uint16_t {
  kGossip = 1,       // exchanges the senders' state: Gossip -> Gossip
  kPullConfig = 2,   // reads the configuration log: Pull (after a sequence number) -> PullAnswer
  kPullClients = 3,  // reads the client directory: Pull (after a revision) -> PullAnswer with a page
  kPushConfig = 4,   // sends entries of the configuration log: PullAnswer with a page -> empty
};

/// The reply to a pull: nothing newer, a page of entries, or a complete snapshot. The text has the form in
/// which the platform publishes such a page or snapshot.
struct PullAnswer {
  enum class Kind { kNothing, kPage, kSnapshot };
  Kind kind = Kind::kNothing;
  std::string text;
};

// Encoders return the bytes of a Cap'n Proto message. Decoders return nothing when the bytes are malformed.

std::string EncodeVm(const membership::VmListEntry& vm);
std::optional<membership::VmListEntry> DecodeVm(std::string_view bytes);

std::string EncodeGossip(const membership::GossipMessage& message);
std::optional<membership::GossipMessage> DecodeGossip(std::string_view bytes);

std::string EncodePull(uint64_t after);
std::optional<uint64_t> DecodePull(std::string_view bytes);

std::string EncodePullAnswer(const PullAnswer& answer);
std::optional<PullAnswer> DecodePullAnswer(std::string_view bytes);

}  // namespace cornelplank::wire

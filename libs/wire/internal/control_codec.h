#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libs/membership/membership.h"

namespace cornelplank::wire {

/// Kinds of control messages between VMs.
enum class ControlKind : uint16_t {
  kGossip = 1,       // Gossip -> Gossip
  kPullConfig = 2,   // Pull (after a sequence number) -> PullAnswer
  kPullClients = 3,  // Pull (after a revision) -> PullAnswer with a page
  kPushConfig = 4,   // PullAnswer with a page -> empty
};

/// An answer to a pull. The texts are the platform's published forms.
struct PullAnswer {
  enum class Kind { kNothing, kPage, kSnapshot };
  Kind kind = Kind::kNothing;
  std::string text;
};

// Each decoder returns nothing when the bytes are not a well-formed message.

std::string EncodeVm(const membership::VmListEntry& vm);
std::optional<membership::VmListEntry> DecodeVm(std::string_view bytes);

std::string EncodeGossip(const membership::GossipMessage& message);
std::optional<membership::GossipMessage> DecodeGossip(std::string_view bytes);

std::string EncodePull(uint64_t after);
std::optional<uint64_t> DecodePull(std::string_view bytes);

std::string EncodePullAnswer(const PullAnswer& answer);
std::optional<PullAnswer> DecodePullAnswer(std::string_view bytes);

}  // namespace cornelplank::wire

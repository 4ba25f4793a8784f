#pragma once

#include <string>
#include <string_view>

namespace cornelplank::rpc {

/// Returns the HMAC-SHA256 (32 bytes) of the nonce followed by the VM's name, with the fleet's shared key.
std::string ComputeLoginProof(std::string_view shared_key, std::string_view nonce, std::string_view vm);

/// Compares in constant time, so that the time taken doesn't reveal how much of a guessed proof is right.
bool ProofsAreEqual(std::string_view a, std::string_view b);

/// Returns 32 random bytes.
std::string GenerateNonce();

}  // namespace cornelplank::rpc

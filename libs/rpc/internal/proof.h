#pragma once

#include <string>
#include <string_view>

namespace cornelplank::rpc {

/// HMAC-SHA256 over the nonce and the VM's name, with the fleet's shared key.
std::string LoginProof(std::string_view shared_key, std::string_view nonce, std::string_view vm);

/// Compares in constant time.
bool SameProof(std::string_view a, std::string_view b);

/// 32 random bytes.
std::string RandomNonce();

}  // namespace cornelplank::rpc

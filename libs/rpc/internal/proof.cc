#include "libs/rpc/internal/proof.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace cornelplank::rpc {

std::string ComputeLoginProof(std::string_view shared_key, std::string_view nonce, std::string_view vm) {
  const std::string text = std::string(nonce) + std::string(vm);
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned length = 0;
  HMAC(EVP_sha256(), shared_key.data(), static_cast<int>(shared_key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest, &length);
  return {reinterpret_cast<const char*>(digest), length};
}

bool ProofsAreEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string GenerateNonce() {
  constexpr int kNonceBytes = 32;
  std::string nonce(kNonceBytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()), kNonceBytes);
  return nonce;
}

}  // namespace cornelplank::rpc

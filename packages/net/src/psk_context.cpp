#include "psk_context.h"

#include <openssl/evp.h>
#include <openssl/sha.h>
#include <openssl/ssl.h>

#include <array>
#include <cstring>
#include <string>

namespace bronzering {

namespace {

constexpr auto kIdentity = std::string_view("bronzering-peer-1");
/// Domain separation: derives a TLS key that differs from other uses of the fleet's key.
constexpr auto kKeyLabel = std::string_view("bronzering peer links 1:");
// TLS_AES_128_GCM_SHA256, which is mandatory to implement in TLS 1.3.
constexpr auto kCipherId = std::array<unsigned char, 2>{ 0x13, 0x01 };

using key_bytes = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

auto FreeKey(void*, void* aKey, CRYPTO_EX_DATA*, int, long, void*) -> void
{
  delete static_cast<key_bytes*>(aKey);
}

auto KeyIndex() -> int
{
  static const auto kIndex = SSL_CTX_get_ex_new_index(0, nullptr, nullptr, nullptr, FreeKey);
  return kIndex;
}

auto IdentityBytes() -> const unsigned char*
{
  return reinterpret_cast<const unsigned char*>(kIdentity.data());
}

/// Creates the session that OpenSSL resumes for PSK authentication; null if out of memory.
auto MakeSession(SSL* aSsl) -> SSL_SESSION*
{
  const auto* key =
    static_cast<const key_bytes*>(SSL_CTX_get_ex_data(SSL_get_SSL_CTX(aSsl), KeyIndex()));
  const auto* cipher = SSL_CIPHER_find(aSsl, kCipherId.data());
  auto* session = SSL_SESSION_new();
  if (key == nullptr || cipher == nullptr || session == nullptr ||
      SSL_SESSION_set1_master_key(session, key->data(), key->size()) != 1 ||
      SSL_SESSION_set_cipher(session, cipher) != 1 ||
      SSL_SESSION_set_protocol_version(session, TLS1_3_VERSION) != 1 ||
      SSL_SESSION_set1_id_context(session, IdentityBytes(), kIdentity.size()) != 1) {
    SSL_SESSION_free(session);
    return nullptr;
  }
  return session;
}

auto FindServerSession(SSL* aSsl,
                       const unsigned char* aIdentity,
                       std::size_t aLength,
                       SSL_SESSION** aSession) -> int
{
  *aSession = nullptr;
  if (std::string_view(reinterpret_cast<const char*>(aIdentity), aLength) != kIdentity) {
    return 1;
  }
  *aSession = MakeSession(aSsl);
  return *aSession != nullptr ? 1 : 0;
}

auto UseClientSession(SSL* aSsl,
                      const EVP_MD* aDigest,
                      const unsigned char** aIdentity,
                      std::size_t* aLength,
                      SSL_SESSION** aSession) -> int
{
  *aSession = nullptr;
  *aIdentity = nullptr;
  *aLength = 0;
  // After a HelloRetryRequest the digest is fixed and must match the cipher suite's.
  if (aDigest != nullptr && EVP_MD_get_type(aDigest) != EVP_MD_get_type(EVP_sha256())) {
    return 1;
  }
  *aSession = MakeSession(aSsl);
  if (*aSession == nullptr) {
    return 0;
  }
  *aIdentity = IdentityBytes();
  *aLength = kIdentity.size();
  return 1;
}

} // namespace

auto MakePskContext(std::string_view aKey) -> std::shared_ptr<boost::asio::ssl::context>
{
  using boost::asio::ssl::context;
  auto result = std::make_shared<context>(context::tls);
  auto* handle = result->native_handle();

  SSL_CTX_set_min_proto_version(handle, TLS1_3_VERSION);
  SSL_CTX_set_max_proto_version(handle, TLS1_3_VERSION);
  SSL_CTX_set_ciphersuites(handle, "TLS_AES_128_GCM_SHA256");
  SSL_CTX_set_options(handle, SSL_OP_NO_TICKET);
  SSL_CTX_set_num_tickets(handle, 0);
  SSL_CTX_set_session_cache_mode(handle, SSL_SESS_CACHE_OFF);
  // Frees OpenSSL's buffers while a link is idle.
  SSL_CTX_set_mode(handle, SSL_MODE_RELEASE_BUFFERS);
  // No certificate is trusted, so a server that presents one instead of the key is rejected.
  result->set_verify_mode(boost::asio::ssl::verify_peer);

  // OpenSSL requires a session id context if peers are verified and sessions are resumed.
  SSL_CTX_set_session_id_context(handle, IdentityBytes(), kIdentity.size());

  const auto labelled = std::string(kKeyLabel).append(aKey);
  auto* key = new key_bytes();
  SHA256(reinterpret_cast<const unsigned char*>(labelled.data()), labelled.size(), key->data());
  SSL_CTX_set_ex_data(handle, KeyIndex(), key);
  SSL_CTX_set_psk_find_session_callback(handle, FindServerSession);
  SSL_CTX_set_psk_use_session_callback(handle, UseClientSession);
  return result;
}

auto IsPskAuthenticated(SSL* aSsl) -> bool
{
  // OpenSSL reports an external PSK as a resumed session.
  return SSL_version(aSsl) == TLS1_3_VERSION && SSL_session_reused(aSsl) == 1;
}

} // namespace bronzering

#pragma once

#include <boost/asio/ssl/context.hpp>

#include <memory>
#include <string_view>

namespace bronzering {

/// Creates a TLS 1.3 context in which both sides authenticate with the pre-shared key. It has no
/// certificates, so a peer without the key cannot complete a handshake. The key exchange is
/// ephemeral (forward secrecy), so past traffic stays secret if the key leaks.
[[nodiscard]] auto MakePskContext(std::string_view aKey)
  -> std::shared_ptr<boost::asio::ssl::context>;

/// Whether the completed handshake was authenticated by the pre-shared key. Thread-safe.
[[nodiscard]] auto IsPskAuthenticated(SSL* aSsl) -> bool;

} // namespace bronzering

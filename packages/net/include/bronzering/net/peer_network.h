#pragma once

#include <bronzering/base/errors.h>
#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>
#include <bronzering/coordination/messages.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace boost::asio {
class io_context;
}

namespace bronzering {

class metrics_registry;

/// A session was established. mListed is the address passed to Open, or empty if the peer connected
/// to this process.
struct peer_up
{
  peer_id mPeer;
  process_identity mIdentity;
  std::string mListed;
};
/// The session has had no working connection for 2 s (mSilent true), or has one again (false).
struct peer_silent
{
  peer_id mPeer;
  bool mSilent = false;
};
/// The session ended and cannot be resumed; its undelivered messages are dropped.
struct peer_down
{
  peer_id mPeer;
};
/// A message from the peer. See link_session for the ordering guarantees.
struct peer_received
{
  peer_id mPeer;
  peer_message mMessage;
};
using peer_event = std::variant<peer_up, peer_silent, peer_down, peer_received>;

struct peer_network_settings
{
  process_identity mIdentity;
  /// IP address and port to listen on; port 0 selects a free port.
  std::string mListenAddress = "0.0.0.0";
  std::uint16_t mListenPort = 0;
  /// Pre-shared key of the fleet, at least 16 bytes. Peers with a different key cannot connect.
  std::string mPresharedKey;
  /// Random seed for session ids and backoff; must differ between processes.
  std::uint64_t mSeed = 0;
  /// Maximum number of accepted connections, including those in the handshake.
  std::size_t mMaxConnections = 8192;
  /// Maximum number of accepted connections that have not finished the handshake.
  std::size_t mMaxHandshakes = 512;
  /// Timeout of the TLS handshake and hello on an accepted connection.
  duration mHandshakeTimeout = std::chrono::seconds(5);
  /// Maximum size of a link's unacknowledged messages; the session is lost if it would be exceeded.
  std::size_t mMaxResendBytes = std::size_t{ 32 } * 1024 * 1024;
  /// Maximum size of an encoded message.
  std::size_t mMaxMessageBytes = std::size_t{ 16 } * 1024 * 1024;
  /// Maximum number of a link's received bytes that the control thread has not handled yet; reading
  /// from the link pauses above it.
  std::size_t mMaxUnhandledBytes = std::size_t{ 4 } * 1024 * 1024;
};

/// Manages the sessions of one process with its peers: TLS 1.3 with a pre-shared key over TCP,
/// framing, and resumption over new connections. Owned by the daemon. Connections run on the
/// threads that run aTraffic; events are delivered on the single thread that runs aControl. Open,
/// Close and Send may be called by any thread; the rest by the control thread only.
class peer_network
{
public:
  using event_handler = std::function<void(peer_event)>;

  /// Precondition: both contexts outlive the last handler that they run, and aMetrics outlives the
  /// contexts.
  peer_network(boost::asio::io_context& aControl,
               boost::asio::io_context& aTraffic,
               peer_network_settings aSettings,
               metrics_registry& aMetrics,
               event_handler aHandler);
  /// Closes all connections without waiting. No event is delivered afterwards.
  ~peer_network();
  peer_network(const peer_network&) = delete;
  auto operator=(const peer_network&) -> peer_network& = delete;

  /// Starts listening for peers. Fails with io_failure, or malformed_input for an invalid setting.
  [[nodiscard]] auto Start() -> outcome<void>;
  /// The port listened on. Precondition: Start succeeded.
  [[nodiscard]] auto Port() const -> std::uint16_t;

  /// Opens a session to "address:port". Retries until Close, also after the session is lost. Has no
  /// effect if the address is open already.
  auto Open(std::string aAddress) -> void;
  /// Ends the session to the address; peer_down follows if it was established.
  auto Close(std::string aAddress) -> void;
  /// Sends a message to the peer. The message is dropped if the session is lost.
  auto Send(peer_id aPeer, peer_message aMessage) -> void;

  /// Stops accepting and opening connections. Ends each session once its messages are acknowledged,
  /// or after aGrace, then calls aDone on the control thread.
  auto Stop(duration aGrace, std::function<void()> aDone) -> void;

private:
  class state;
  std::shared_ptr<state> mState;
};

} // namespace bronzering

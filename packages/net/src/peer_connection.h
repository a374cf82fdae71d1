#pragma once

#include <bronzering/base/time.h>
#include <bronzering/wire/frame.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bronzering {

/// One TLS connection to a peer. Shared by its owner and its pending operations. All methods must
/// be called on the connection's executor, a strand, and all handlers run there.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
  using tcp = boost::asio::ip::tcp;
  using done_handler = std::function<void(bool)>;
  /// Receives the bytes read, or an empty view if the connection has ended.
  using bytes_handler = std::function<void(std::string_view)>;

  /// The connection shares ownership of aContext and uses aSocket's executor.
  peer_connection(tcp::socket aSocket, std::shared_ptr<boost::asio::ssl::context> aContext);

  /// Connects to a peer and performs the TLS handshake. There is no timeout; call Close to abort.
  auto Connect(const tcp::endpoint& aEndpoint, done_handler aHandler) -> void;
  /// Performs the TLS handshake as the server.
  auto Accept(done_handler aHandler) -> void;
  /// Reads available bytes once. They remain valid until the next Read.
  auto Read(bytes_handler aHandler) -> void;
  /// Writes all of aBytes. Precondition: no write is pending.
  auto Write(std::string aBytes, done_handler aHandler) -> void;
  /// Closes the connection immediately; pending operations fail.
  auto Close() -> void;
  /// Closes the connection when the peer has closed its side, or after 1 s, so that written data
  /// reaches the peer.
  auto CloseGracefully() -> void;
  /// Closes the connection after aTime unless the deadline is set again or cancelled.
  auto SetDeadline(duration aTime) -> void;
  auto CancelDeadline() -> void;

  /// Keeps an object alive until the connection is destroyed.
  auto KeepAlive(std::shared_ptr<void> aObject) -> void { mKeptAlive = std::move(aObject); }

  [[nodiscard]] auto Executor() -> boost::asio::any_io_executor;
  /// Frame decoder of this connection; the handler of Read feeds it.
  [[nodiscard]] auto Decoder() -> frame_decoder& { return mDecoder; }

private:
  // A fragment with its headers takes several reads; a larger buffer would increase the memory of
  // idle links.
  static constexpr std::size_t kReadBufferBytes = std::size_t{ 8 } * 1024;

  auto Handshake(boost::asio::ssl::stream_base::handshake_type aType, done_handler aHandler)
    -> void;
  auto DiscardInput() -> void;

  std::shared_ptr<boost::asio::ssl::context> mContext;
  boost::asio::ssl::stream<tcp::socket> mStream;
  boost::asio::steady_timer mDeadline;
  std::array<char, kReadBufferBytes> mReadBuffer;
  std::string mWriteBuffer;
  std::shared_ptr<void> mKeptAlive;
  frame_decoder mDecoder;
  bool mIsClosing = false;
};

} // namespace bronzering

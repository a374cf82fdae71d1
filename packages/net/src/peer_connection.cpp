#include "peer_connection.h"

#include "psk_context.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>

#include <cassert>
#include <utility>

namespace bronzering {

namespace {

using boost::system::error_code;

/// Limit of unsent bytes in the kernel's send buffer, so that urgent messages are not queued behind
/// much bulk data.
constexpr int kMaxUnsentBytes = 64 * 1024;

using unsent_limit = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;

} // namespace

peer_connection::peer_connection(tcp::socket aSocket,
                                 std::shared_ptr<boost::asio::ssl::context> aContext)
  : mContext(std::move(aContext))
  , mStream(std::move(aSocket), *mContext)
  , mDeadline(mStream.get_executor())
{
}

auto peer_connection::Executor() -> boost::asio::any_io_executor
{
  return mStream.get_executor();
}

auto peer_connection::Connect(const tcp::endpoint& aEndpoint, done_handler aHandler) -> void
{
  mStream.next_layer().async_connect(
    aEndpoint,
    [self = shared_from_this(), handler = std::move(aHandler)](error_code aError) mutable {
      if (aError) {
        handler(false);
        return;
      }
      self->Handshake(boost::asio::ssl::stream_base::client, std::move(handler));
    });
}

auto peer_connection::Accept(done_handler aHandler) -> void
{
  Handshake(boost::asio::ssl::stream_base::server, std::move(aHandler));
}

auto peer_connection::Handshake(boost::asio::ssl::stream_base::handshake_type aType,
                                done_handler aHandler) -> void
{
  auto ignored = error_code();
  mStream.next_layer().set_option(tcp::no_delay(true), ignored);
  mStream.next_layer().set_option(unsent_limit(kMaxUnsentBytes), ignored);
  mStream.async_handshake(
    aType, [self = shared_from_this(), handler = std::move(aHandler)](error_code aError) {
      handler(!aError && IsPskAuthenticated(self->mStream.native_handle()));
    });
}

auto peer_connection::Read(bytes_handler aHandler) -> void
{
  mStream.async_read_some(boost::asio::buffer(mReadBuffer),
                          [self = shared_from_this(),
                           handler = std::move(aHandler)](error_code aError, std::size_t aCount) {
                            handler(aError ? std::string_view()
                                           : std::string_view(self->mReadBuffer.data(), aCount));
                          });
}

auto peer_connection::Write(std::string aBytes, done_handler aHandler) -> void
{
  assert(mWriteBuffer.empty());
  mWriteBuffer = std::move(aBytes);
  boost::asio::async_write(
    mStream,
    boost::asio::buffer(mWriteBuffer),
    [self = shared_from_this(), handler = std::move(aHandler)](error_code aError, std::size_t) {
      // Assignment also frees the memory, since most links are idle most of the time.
      self->mWriteBuffer = std::string();
      handler(!aError);
    });
}

auto peer_connection::Close() -> void
{
  auto ignored = error_code();
  mDeadline.cancel();
  mStream.next_layer().close(ignored);
}

auto peer_connection::CloseGracefully() -> void
{
  if (std::exchange(mIsClosing, true)) {
    return;
  }
  // Closing a socket with unread input resets the connection, which could discard data that was
  // just written. Shut down only the sending side and discard input until the peer closes too.
  auto error = error_code();
  mStream.next_layer().shutdown(tcp::socket::shutdown_send, error);
  if (error) {
    Close();
    return;
  }
  SetDeadline(std::chrono::seconds(1));
  mStream.next_layer().cancel(error);
  DiscardInput();
}

auto peer_connection::DiscardInput() -> void
{
  mStream.next_layer().async_read_some(boost::asio::buffer(mReadBuffer),
                                       [self = shared_from_this()](error_code aError, std::size_t) {
                                         if (aError) {
                                           self->Close();
                                         } else {
                                           self->DiscardInput();
                                         }
                                       });
}

auto peer_connection::SetDeadline(duration aTime) -> void
{
  mDeadline.expires_after(aTime);
  mDeadline.async_wait([weak = weak_from_this()](error_code aError) {
    const auto self = weak.lock();
    if (self && !aError) {
      self->Close();
    }
  });
}

auto peer_connection::CancelDeadline() -> void
{
  mDeadline.cancel();
}

} // namespace bronzering

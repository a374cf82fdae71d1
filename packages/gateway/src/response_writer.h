#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>

#include <string>
#include <string_view>

namespace bronzering {

/// Writes the response to one request, either complete or as a stream that is forwarded as it
/// arrives. The session resets the connection of a response that cannot be completed, so that the
/// caller never takes it for a complete one. Control thread only; owned by the caller's session.
class response_writer
{
public:
  /// The response announces "Connection: close" when aKeepsAlive is false. Streams use chunked
  /// encoding unless aIsHttp10 is set (HTTP/1.0).
  response_writer(boost::asio::ip::tcp::socket& aSocket, bool aKeepsAlive, bool aIsHttp10);

  /// Writes a complete response. False when the caller has disconnected.
  auto WriteComplete(unsigned aStatus,
                     const boost::beast::http::fields& aFields,
                     std::string_view aBody) -> boost::asio::awaitable<bool>;
  /// Writes the header of a streamed response and its first bytes. False when the caller has
  /// disconnected.
  auto StartStream(unsigned aStatus,
                   const boost::beast::http::fields& aFields,
                   std::string_view aBytes) -> boost::asio::awaitable<bool>;
  auto ContinueStream(std::string_view aBytes) -> boost::asio::awaitable<bool>;
  auto FinishStream() -> boost::asio::awaitable<bool>;

  /// Whether the caller is known to have disconnected.
  [[nodiscard]] auto IsCallerGone() -> bool;
  [[nodiscard]] auto HasStarted() const -> bool { return mHasStarted; }
  [[nodiscard]] auto IsComplete() const -> bool { return mIsComplete; }
  /// Whether the connection can carry another request.
  [[nodiscard]] auto KeepsAlive() const -> bool { return mKeepsAlive; }
  /// Makes this the last response on its connection. To be called before the response starts.
  auto CloseAfterResponse() -> void { mKeepsAlive = false; }

private:
  [[nodiscard]] auto FormatHeader(unsigned aStatus, const boost::beast::http::fields& aFields) const
    -> std::string;
  /// Writes aBytes and then aBody, which must outlive the call.
  auto Write(std::string aBytes, std::string_view aBody = {}) -> boost::asio::awaitable<bool>;
  [[nodiscard]] auto EncodeBodyPart(std::string_view aBytes) const -> std::string;

  boost::asio::ip::tcp::socket& mSocket;
  bool mKeepsAlive;
  bool mIsHttp10;
  bool mHasStarted = false;
  bool mIsComplete = false;
};

} // namespace bronzering

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>

#include <string>
#include <string_view>

namespace bronzering {

/// Writes the answer to one request to its caller: whole, or as a stream whose parts are passed on
/// as they come. An answer that cannot be completed ends with a reset, so that it never looks
/// whole. Control thread only; owned by the caller's session.
class caller_reply
{
public:
  /// The reply closes the connection after the answer when aKeepsAlive is false, and frames streams
  /// by chunks unless aIsOldVersion (HTTP/1.0).
  caller_reply(boost::asio::ip::tcp::socket& aSocket, bool aKeepsAlive, bool aIsOldVersion);

  /// Writes a complete answer. False when the caller is gone.
  auto WriteWhole(unsigned aStatus,
                  const boost::beast::http::fields& aFields,
                  std::string_view aBody) -> boost::asio::awaitable<bool>;
  /// Writes the head of a stream and its first bytes. False when the caller is gone.
  auto StartStream(unsigned aStatus,
                   const boost::beast::http::fields& aFields,
                   std::string_view aBytes) -> boost::asio::awaitable<bool>;
  auto ContinueStream(std::string_view aBytes) -> boost::asio::awaitable<bool>;
  auto FinishStream() -> boost::asio::awaitable<bool>;

  [[nodiscard]] auto HasStarted() const -> bool { return mHasStarted; }
  [[nodiscard]] auto IsComplete() const -> bool { return mIsComplete; }
  /// Whether the connection can carry another request.
  [[nodiscard]] auto KeepsAlive() const -> bool { return mKeepsAlive; }
  /// The answer is the last one on this connection. No effect once the answer has started.
  auto CloseAfterwards() -> void { mKeepsAlive = false; }

private:
  [[nodiscard]] auto Head(unsigned aStatus, const boost::beast::http::fields& aFields) const
    -> std::string;
  auto Write(std::string aBytes) -> boost::asio::awaitable<bool>;
  [[nodiscard]] auto Framed(std::string_view aBytes) const -> std::string;

  boost::asio::ip::tcp::socket& mSocket;
  bool mKeepsAlive;
  bool mIsOldVersion;
  bool mHasStarted = false;
  bool mIsComplete = false;
};

} // namespace bronzering

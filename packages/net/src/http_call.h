#pragma once

#include <bronzering/base/time.h>
#include <bronzering/coordination/messages.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bronzering {

/// Idle keep-alive connections to one address. Used on one thread only.
class connection_pool
{
public:
  connection_pool(boost::asio::io_context& aContext, std::size_t aMaxIdle, duration aIdleTimeout);

  /// Returns an idle connection that the peer has neither closed nor written to; empty when none.
  [[nodiscard]] auto Acquire() -> std::optional<boost::asio::ip::tcp::socket>;
  auto Release(boost::asio::ip::tcp::socket aSocket) -> void;
  auto Clear() -> void { mIdle.clear(); }
  [[nodiscard]] auto Context() -> boost::asio::io_context& { return mContext; }

private:
  struct idle_connection
  {
    boost::asio::ip::tcp::socket mSocket;
    std::chrono::steady_clock::time_point mIdleSince;
  };
  boost::asio::io_context& mContext;
  std::size_t mMaxIdle;
  duration mIdleTimeout;
  std::vector<idle_connection> mIdle;
};

struct http_call_request
{
  std::string mMethod;
  std::string mTarget;
  std::vector<header_field> mHeaders;
  std::string mBody;
};

struct http_call_limits
{
  duration mConnectTimeout{};
  /// From the end of the request to the response head, and from there to the first body bytes.
  duration mHeadTimeout{};
  /// Between two reads of body bytes.
  duration mSilenceTimeout{};
  std::size_t mMaxHeaderBytes = 0;
};

/// Callbacks of an http_call. After mHead and any number of mBody calls, exactly one of mEnd and
/// mFailure is called, unless Abandon was called. mFailure may also come before mHead.
struct http_call_events
{
  std::function<void(std::uint32_t aStatus, std::vector<header_field> aHeaders)> mHead;
  std::function<void(std::string aBytes)> mBody;
  std::function<void()> mEnd;
  /// aStarted is false only when no byte was written to the connection.
  std::function<void(bool aStarted, std::string aWhat)> mFailure;
};

/// Sends one HTTP/1.1 request over one connection and streams the response. The request is never
/// retried. A response that is delimited only by the end of the connection is a failure, because
/// truncation could not be detected. Owned by its pending operations; runs on
/// the pool's thread.
class http_call : public std::enable_shared_from_this<http_call>
{
public:
  http_call(connection_pool& aPool,
            boost::asio::ip::tcp::endpoint aEndpoint,
            http_call_limits aLimits,
            http_call_events aEvents);

  auto Start(const http_call_request& aRequest) -> void;
  /// While paused, no more of the response is read and no read timeout applies.
  auto Pause(bool aPaused) -> void;
  /// Closes the connection; no callback is called afterwards.
  auto Abandon() -> void;

private:
  using error_code = boost::system::error_code;
  using response_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  auto SerializeRequest(const http_call_request& aRequest) -> void;
  auto Connect() -> void;
  auto Write() -> void;
  auto ReadHead(bool aIsHeadRequest) -> void;
  auto OnHead() -> void;
  auto ReadBody() -> void;
  auto OnBody(error_code aError) -> void;
  auto End() -> void;
  auto Fail(std::string aWhat) -> void;
  auto ArmTimer(duration aTimeout, const char* aWhat) -> void;
  auto ArmReadTimer() -> void;
  auto DisarmTimer() -> void;

  connection_pool& mPool;
  boost::asio::ip::tcp::endpoint mEndpoint;
  http_call_limits mLimits;
  http_call_events mEvents;
  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  std::string mOutput;
  std::size_t mWritten = 0;
  bool mIsHeadRequest = false;
  boost::beast::flat_buffer mInputBuffer;
  std::optional<response_parser> mParser;
  std::array<char, 16UL * 1024> mReadBuffer = {};
  bool mIsPaused = false;
  bool mIsReading = false;
  bool mHasBody = false;
  bool mIsFinished = false;
};

} // namespace bronzering

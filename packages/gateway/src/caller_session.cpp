#include "caller_session.h"

#include "exchange.h"
#include "request_fields.h"
#include "response_writer.h"
#include "socket_options.h"
#include "with_timeout.h"

#include <bronzering/base/boot_clock.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace bronzering {

namespace http = boost::beast::http;

namespace {

constexpr auto kUseTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
/// Maximum bytes of pipelined requests that are buffered while a request is served.
constexpr auto kMaxPipelineBytes = std::size_t{ 64 } * 1024;
constexpr auto kPipelineReadBytes = std::size_t{ 4 } * 1024;
/// Space in the input buffer beside a header. Bounds a chunk header or a trailer.
constexpr auto kReadBytes = std::size_t{ 64 } * 1024;
/// Time allowed for the body, in addition to the header timeout.
constexpr auto kBodyTimeout = duration(std::chrono::seconds(10));

} // namespace

caller_session::caller_session(gateway_state& aState, boost::asio::ip::tcp::socket aSocket)
  : mState(aState)
  , mSocket(std::move(aSocket))
  , mIdleTimer(aState.mContext)
{
  ConfigureSocket(mSocket);
}

auto caller_session::Run() -> boost::asio::awaitable<void>
{
  const auto self = shared_from_this();
  while (co_await AwaitRequest()) {
    auto request = co_await ReadRequest();
    if (!request || !co_await ServeRequest(std::move(*request))) {
      break;
    }
  }
}

auto caller_session::CloseIfIdle() -> void
{
  if (mIsIdle) {
    mIdleTimer.cancel();
    Close();
  }
}

auto caller_session::OnStopRequested() -> void
{
  if (mExchange != nullptr) {
    mExchange->OnStopRequested();
  }
}

auto caller_session::AwaitRequest() -> boost::asio::awaitable<bool>
{
  using namespace boost::asio::experimental::awaitable_operators;
  if (mInput.size() > 0) {
    co_return true;
  }
  // The idle timeout may change with a new routing document, so it is read again in each iteration.
  const auto since = std::chrono::steady_clock::now();
  mIsIdle = true;
  for (;;) {
    mIdleTimer.expires_at(since + Limits().mIdleTimeout);
    const auto result =
      co_await (mSocket.async_wait(boost::asio::ip::tcp::socket::wait_read, kUseTuple) ||
                mIdleTimer.async_wait(kUseTuple));
    if (result.index() == 0) {
      mIsIdle = false;
      co_return !std::get<0>(std::get<0>(result)) && mSocket.is_open();
    }
    if (!mSocket.is_open() || std::chrono::steady_clock::now() >= since + Limits().mIdleTimeout) {
      Close();
      co_return false;
    }
  }
}

auto caller_session::ReadRequest() -> boost::asio::awaitable<std::optional<http_request>>
{
  const auto limits = Limits();
  mInput.max_size(limits.mMaxHeaderBytes + kMaxPipelineBytes + kReadBytes);
  auto parser = http::request_parser<http::string_body>();
  parser.header_limit(limits.mMaxHeaderBytes);
  parser.body_limit(limits.mMaxBodyBytes);

  auto header = co_await WithTimeout(http::async_read_header(mSocket, mInput, parser, kUseTuple),
                                     limits.mHeaderTimeout);
  if (!header) {
    co_await Reject(408);
    co_return std::nullopt;
  }
  if (const auto error = std::get<0>(*header)) {
    co_await RejectMalformed(error);
    co_return std::nullopt;
  }
  if (!HasUnambiguousFraming(parser.get().base())) {
    co_await Reject(400);
    co_return std::nullopt;
  }
  if (!parser.is_done() &&
      boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    constexpr auto kContinue = std::string_view("HTTP/1.1 100 Continue\r\n\r\n");
    co_await boost::asio::async_write(mSocket, boost::asio::buffer(kContinue), kUseTuple);
  }

  auto body = co_await WithTimeout(http::async_read(mSocket, mInput, parser, kUseTuple),
                                   limits.mHeaderTimeout + kBodyTimeout);
  if (!body) {
    co_await Reject(408);
    co_return std::nullopt;
  }
  if (const auto error = std::get<0>(*body)) {
    co_await RejectMalformed(error);
    co_return std::nullopt;
  }
  co_return parser.release();
}

auto caller_session::ServeRequest(http_request aRequest) -> boost::asio::awaitable<bool>
{
  using namespace boost::asio::experimental::awaitable_operators;
  const auto keepsAlive = aRequest.keep_alive() && !mState.mShutdown.IsStopping();
  auto writer = response_writer(mSocket, keepsAlive, aRequest.version() < 11);
  {
    // Resets mExchange also if the coroutine is destroyed.
    struct exchange_guard
    {
      caller_session& mSession;
      ~exchange_guard() { mSession.mExchange = nullptr; }
    } guard{ *this };
    auto exchange = bronzering::exchange(mState, std::move(aRequest), writer);
    mExchange = &exchange;
    co_await (exchange.Serve() || AwaitDisconnect());
  }
  if (!writer.IsComplete()) {
    AbortSocket(mSocket);
    co_return false;
  }
  if (!writer.KeepsAlive()) {
    Close();
    co_return false;
  }
  co_return true;
}

auto caller_session::AwaitDisconnect() -> boost::asio::awaitable<void>
{
  while (mInput.size() < kMaxPipelineBytes) {
    auto [error, count] =
      co_await mSocket.async_read_some(mInput.prepare(kPipelineReadBytes), kUseTuple);
    if (error) {
      co_return;
    }
    mInput.commit(count);
  }
  // The buffer for pipelined requests is full. A disconnect is no longer detected by reading; it
  // shows when the response is written.
  auto never = boost::asio::steady_timer(mState.mContext);
  never.expires_at(boost::asio::steady_timer::time_point::max());
  co_await never.async_wait(kUseTuple);
}

auto caller_session::RejectMalformed(boost::system::error_code aError)
  -> boost::asio::awaitable<void>
{
  const auto isParserError =
    aError.category() == http::make_error_code(http::error::bad_method).category();
  if (!isParserError || aError == http::error::end_of_stream ||
      aError == http::error::partial_message) {
    // The caller has disconnected.
    co_return;
  }
  const auto status = aError == http::error::header_limit ? 431U
                      : aError == http::error::body_limit ? 413U
                                                          : 400U;
  co_await Reject(status);
}

auto caller_session::Reject(unsigned aStatus) -> boost::asio::awaitable<void>
{
  mState.mLog.Write(log_priority::Notable,
                    "request_rejected",
                    { { "status", aStatus }, { "reason", "malformed, too large or too slow" } },
                    ReadBootClock());
  auto writer = response_writer(mSocket, false, false);
  const auto fields = http_fields();
  if (co_await writer.WriteComplete(aStatus, fields, std::string_view())) {
    Close();
  }
}

auto caller_session::Close() -> void
{
  auto ignored = boost::system::error_code();
  mSocket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
  mSocket.close(ignored);
}

auto caller_session::Limits() const -> caller_limits
{
  return mState.mRoutes ? mState.mRoutes->Document().mLimits : caller_limits();
}

} // namespace bronzering

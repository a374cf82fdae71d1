#include "caller_session.h"

#include "exchange.h"
#include "request_fields.h"
#include "response_writer.h"
#include "socket_options.h"
#include "with_timeout.h"

#include <bronzering/base/boot_clock.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace bronzering {

namespace http = boost::beast::http;

namespace {

constexpr auto kUseTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
/// Maximum bytes of pipelined requests that are buffered while a request is served.
constexpr auto kMaxPipelineBytes = std::size_t{ 64 } * 1024;
constexpr auto kPipelineReadBytes = std::size_t{ 4 } * 1024;
/// Space in the input buffer beside a header. Bounds a chunk header or a trailer.
constexpr auto kReadBytes = std::size_t{ 64 } * 1024;
/// A body is read in steps of at least so many bytes, each as large as what was read before.
constexpr auto kFirstBodyBytes = std::size_t{ 16 } * 1024;
/// How long a body waits for memory, and how often it looks. After that others need the memory that
/// it holds.
constexpr auto kMemoryWait = std::chrono::milliseconds(500);
constexpr auto kMemoryRecheck = std::chrono::milliseconds(100);
/// When a request that found no memory may be sent again: bodies that are held now have been sent
/// or refused by then.
constexpr auto kMemoryReturn = std::string_view("0.5");
/// What is read and dropped after a refusal, and for how long: about what is on the way then.
constexpr auto kMaxDiscardedBytes = std::size_t{ 256 } * 1024;
constexpr auto kDiscardTimeout = duration(std::chrono::milliseconds(500));
/// Rejected requests are logged once in this time, for each status.
constexpr auto kRejectionLogInterval = std::chrono::seconds(1);
/// Time allowed for the body, in addition to the header timeout.
constexpr auto kBodyTimeout = duration(std::chrono::seconds(10));

} // namespace

caller_session::caller_session(gateway_state& aState, boost::asio::ip::tcp::socket aSocket)
  : mState(aState)
  , mSocket(std::move(aSocket))
  , mInputMemory(aState.mMemory)
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
  // A request may have arrived that the coroutine has not been resumed for yet.
  if (mIsIdle && IsOpenAndIdle(mSocket)) {
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
  mInput.shrink_to_fit();
  mInputMemory.Release();
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

auto caller_session::ReadRequest() -> boost::asio::awaitable<std::optional<received_request>>
{
  const auto limits = Limits();
  mInput.max_size(limits.mMaxHeaderBytes + kMaxPipelineBytes + kReadBytes);
  auto parser = request_parser();
  parser.header_limit(limits.mMaxHeaderBytes);
  parser.body_limit(limits.mMaxBodyBytes);

  auto header = co_await WithTimeout(http::async_read_header(mSocket, mInput, parser, kUseTuple),
                                     limits.mHeaderTimeout);
  if (!header) {
    co_await Reject(408, "header too slow");
    co_return std::nullopt;
  }
  if (const auto error = std::get<0>(*header)) {
    co_await RejectMalformed(error);
    co_return std::nullopt;
  }
  if (!HasUnambiguousFraming(parser.get().base())) {
    co_await Reject(400, "ambiguous framing");
    co_return std::nullopt;
  }
  auto received = received_request{ {}, memory_reservation(mState.mMemory) };
  if (!parser.is_done()) {
    if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      constexpr auto kContinue = std::string_view("HTTP/1.1 100 Continue\r\n\r\n");
      co_await boost::asio::async_write(mSocket, boost::asio::buffer(kContinue), kUseTuple);
    }
    auto body = co_await WithTimeout(ReadBody(parser), limits.mHeaderTimeout + kBodyTimeout);
    if (!body) {
      co_await Reject(408, "body too slow");
      co_return std::nullopt;
    }
    if (body->mIsMemoryShort) {
      body.reset();
      co_await Reject(503, "no memory for the body");
      co_return std::nullopt;
    }
    if (const auto error = body->mError) {
      body.reset();
      co_await RejectMalformed(error);
      co_return std::nullopt;
    }
    received.mRequest.body() = std::move(body->mBytes);
    received.mBodyMemory = std::move(body->mMemory);
  }
  received.mRequest.base() = std::move(parser.get().base());
  co_return received;
}

auto caller_session::ReadBody(request_parser& aParser) -> boost::asio::awaitable<received_body>
{
  auto body = received_body(mState.mMemory);
  const auto length = aParser.content_length();
  auto filled = std::size_t{ 0 };
  while (!aParser.is_done()) {
    if (filled == body.mBytes.size()) {
      auto larger = std::max(kFirstBodyBytes, 2 * filled);
      if (length) {
        larger = std::min(larger, static_cast<std::size_t>(*length));
      }
      const auto hasMemory = co_await Reserve(body.mMemory, larger);
      if (!hasMemory) {
        body.mIsMemoryShort = true;
        co_return body;
      }
      body.mBytes.resize(larger);
    }
    auto& target = aParser.get().body();
    target.data = body.mBytes.data() + filled;
    target.size = body.mBytes.size() - filled;
    target.more = true;
    const auto [error, count] = co_await http::async_read_some(mSocket, mInput, aParser, kUseTuple);
    filled = body.mBytes.size() - target.size;
    if (error && error != http::error::need_buffer) {
      body.mError = error;
      co_return body;
    }
  }
  body.mBytes.resize(filled);
  co_return body;
}

auto caller_session::Reserve(memory_reservation& aHeld, std::size_t aBytes)
  -> boost::asio::awaitable<bool>
{
  if (aHeld.TryResize(aBytes)) {
    co_return true;
  }
  auto timer = boost::asio::steady_timer(mState.mContext);
  for (auto waited = duration::zero(); waited < kMemoryWait; waited += kMemoryRecheck) {
    timer.expires_after(kMemoryRecheck);
    co_await timer.async_wait(kUseTuple);
    if (aHeld.TryResize(aBytes)) {
      co_return true;
    }
  }
  co_return false;
}

auto caller_session::ServeRequest(received_request aRequest) -> boost::asio::awaitable<bool>
{
  using namespace boost::asio::experimental::awaitable_operators;
  const auto& request = aRequest.mRequest;
  const auto keepsAlive = request.keep_alive() && !mState.mShutdown.IsStopping();
  auto writer = response_writer(mSocket, keepsAlive, request.version() < 11);
  {
    // Resets mExchange also if the coroutine is destroyed.
    struct exchange_guard
    {
      caller_session& mSession;
      ~exchange_guard() { mSession.mExchange = nullptr; }
    } guard{ *this };
    auto exchange = bronzering::exchange(
      mState, std::move(aRequest.mRequest), std::move(aRequest.mBodyMemory), writer);
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
  while (mInput.size() < kMaxPipelineBytes &&
         mInputMemory.TryResize(mInput.size() + kPipelineReadBytes)) {
    auto [error, count] =
      co_await mSocket.async_read_some(mInput.prepare(kPipelineReadBytes), kUseTuple);
    if (error) {
      co_return;
    }
    mInput.commit(count);
  }
  // No more pipelined requests are buffered. A disconnect is no longer detected by reading; it
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
  co_await Reject(status, "malformed or too large");
}

auto caller_session::Reject(unsigned aStatus, std::string_view aReason)
  -> boost::asio::awaitable<void>
{
  LogRejection(aStatus, aReason);
  auto writer = response_writer(mSocket, false, false);
  auto fields = http_fields();
  if (aStatus == 503) {
    fields.set(http::field::retry_after, kMemoryReturn);
  }
  if (co_await writer.WriteComplete(aStatus, fields, std::string_view())) {
    co_await WithTimeout(Discard(), kDiscardTimeout);
    Close();
  }
}

auto caller_session::LogRejection(unsigned aStatus, std::string_view aReason) -> void
{
  mState.mMetrics
    .Counter("bronzering_requests_rejected_total", fmt::format("status=\"{}\"", aStatus))
    .Add();
  const auto now = ReadBootClock();
  auto& last = mState.mLastRejectionLog[aStatus];
  if (now - last < kRejectionLogInterval) {
    return;
  }
  last = now;
  auto error = boost::system::error_code();
  const auto client = mSocket.remote_endpoint(error);
  mState.mLog.Write(log_priority::Notable,
                    "request_rejected",
                    { { "status", aStatus },
                      { "reason", aReason },
                      { "client", error ? std::string() : client.address().to_string() },
                      { "held_bytes", mState.mMemory.Held() } },
                    now);
}

auto caller_session::Discard() -> boost::asio::awaitable<std::size_t>
{
  auto ignored = boost::system::error_code();
  mSocket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  mInput.clear();
  auto discarded = std::size_t{ 0 };
  while (discarded < kMaxDiscardedBytes) {
    const auto [error, count] =
      co_await mSocket.async_read_some(mInput.prepare(kPipelineReadBytes), kUseTuple);
    if (error) {
      break;
    }
    discarded += count;
  }
  co_return discarded;
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

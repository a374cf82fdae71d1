#include "endpoint_call.h"

#include "socket_options.h"
#include "with_timeout.h"

#include <bronzering/base/boot_clock.h>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <cassert>
#include <charconv>
#include <limits>
#include <utility>

namespace bronzering {

namespace http = boost::beast::http;

namespace {

/// Completion token with which an awaited operation returns its error code instead of throwing.
constexpr auto kUseTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
/// Maximum size of a response header.
constexpr auto kMaxHeaderBytes = 32U * 1024;
/// Redirections and errors, after which an endpoint need not read the rest of the request.
constexpr auto kFirstRefusingStatus = 300U;
/// Maximum number of responses that are skipped: interim (1xx) responses, and those that do not
/// carry the id of this request, such as a late response to the connection's previous request.
constexpr auto kMaxSkippedResponses = 3;
/// Maximum size of a skipped body. Endpoints in trouble may send bytes without end.
constexpr auto kMaxSkippedBytes = std::size_t{ 1 } * 1024 * 1024;
/// Time between the expiry of the stall timer and its action. Far longer than the event loop takes
/// to read what has arrived.
constexpr auto kReadMargin = duration(std::chrono::milliseconds(10));
/// Time for which an endpoint is assumed to keep an idle connection open when its response has no
/// Keep-Alive timeout.
constexpr auto kDefaultIdleLimit = duration(std::chrono::seconds(2));

/// How long the endpoint keeps an idle connection open: the timeout parameter of the response's
/// Keep-Alive header, in seconds. Not the caller's own limit, which is aMaxIdle of Open.
auto IdleLimit(const http_fields& aFields) -> duration
{
  constexpr auto kTimeoutParameter = std::string_view("timeout=");
  const auto text = std::string_view(aFields[http::field::keep_alive]);
  const auto at = text.find(kTimeoutParameter);
  if (at == std::string_view::npos) {
    return kDefaultIdleLimit;
  }
  const auto digits = text.substr(at + kTimeoutParameter.size());
  auto seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::chrono::seconds(seconds);
}

} // namespace

endpoint_call::endpoint_call(endpoint_connection_pool& aConnections,
                             std::string aEndpoint,
                             std::string aRequestId,
                             std::size_t aMaxPooled)
  : mConnections(aConnections)
  , mEndpoint(std::move(aEndpoint))
  , mRequestId(std::move(aRequestId))
  , mMaxPooled(aMaxPooled)
{
}

endpoint_call::~endpoint_call()
{
  Abort();
}

auto endpoint_call::Open(const std::string& aAddress, duration aMaxIdle, duration aTimeout)
  -> boost::asio::awaitable<bool>
{
  auto taken = co_await mConnections.Acquire(mEndpoint, aAddress, aMaxIdle, aTimeout);
  if (!taken) {
    co_return false;
  }
  mSocket = std::move(*taken);
  co_return true;
}

auto endpoint_call::Send(const forwarded_request& aRequest) -> boost::asio::awaitable<bool>
{
  using namespace boost::asio::experimental::awaitable_operators;
  assert(mSocket);
  // An endpoint may respond before it has read the whole request body.
  auto hasHead = false;
  const auto respond = [&]() -> boost::asio::awaitable<void> {
    hasHead = co_await ReadHead(aRequest);
    // No one may read the rest of a request that is answered with a refusal or a broken response.
    if (mIsWriting && (!hasHead || co_await HasWholeRefusal())) {
      auto ignored = boost::system::error_code();
      mSocket->cancel(ignored);
    }
  };
  co_await (Write(aRequest) && respond());
  co_return hasHead;
}

auto endpoint_call::Write(const forwarded_request& aRequest) -> boost::asio::awaitable<void>
{
  mIsWriting = true;
  auto [error, written] = co_await http::async_write(*mSocket, aRequest, kUseTuple);
  mIsWriting = false;
  mIsRequestWritten = !error;
}

auto endpoint_call::HasWholeRefusal() -> boost::asio::awaitable<bool>
{
  const auto length = mParser->is_done() ? std::optional(std::uint64_t{ 0 }) : ContentLength();
  if (Status() < kFirstRefusingStatus || !length || *length > kMaxInputBytes) {
    co_return false;
  }
  while (mIsWriting && mInput.size() < *length) {
    const auto space = mInput.prepare(*length - mInput.size());
    auto [error, count] = co_await mSocket->async_read_some(space, kUseTuple);
    mInput.commit(count);
    if (error) {
      // ReadSome meets it again, as an error or as an early end.
      co_return false;
    }
  }
  co_return mIsWriting;
}

auto endpoint_call::ReadHead(const forwarded_request& aRequest) -> boost::asio::awaitable<bool>
{
  const auto expected = aRequest[mRequestId];
  for (auto skipped = 0; skipped <= kMaxSkippedResponses; ++skipped) {
    mParser.emplace();
    mParser->header_limit(kMaxHeaderBytes);
    mParser->body_limit(std::numeric_limits<std::uint64_t>::max());
    mParser->skip(aRequest.method() == http::verb::head);
    auto [error] = co_await AsyncReadHead(*mSocket, mInput, *mParser, kUseTuple);
    if (error) {
      mReadError = error;
      co_return false;
    }
    mHead = std::move(mParser->get().base());
    if (IsInterim(mHead)) {
      continue;
    }
    if (Fields()[mRequestId] == expected) {
      co_return true;
    }
    if (!co_await SkipBody()) {
      co_return false;
    }
  }
  co_return false;
}

auto endpoint_call::SkipBody() -> boost::asio::awaitable<bool>
{
  auto skipped = std::size_t{ 0 };
  while (!mParser->is_done()) {
    // No value means that the response broke off.
    const auto part = co_await ReadSome();
    if (!part) {
      co_return false;
    }
    skipped += part->size();
    if (skipped > kMaxSkippedBytes) {
      MarkIncomplete();
      co_return false;
    }
  }
  co_return mParser->keep_alive();
}

auto endpoint_call::ReadSome() -> boost::asio::awaitable<std::optional<std::string>>
{
  while (mSocket && !mParser->is_done()) {
    auto& body = mParser->get().body();
    body.data = mPart.data();
    body.size = mPart.size();
    body.more = true;
    auto [error, read] = co_await http::async_read_some(*mSocket, mInput, *mParser, kUseTuple);
    if (error && error != http::error::need_buffer) {
      mReadError = error;
      co_return std::nullopt;
    }
    const auto count = mPart.size() - body.size;
    if (count > 0) {
      co_return std::string(mPart.data(), count);
    }
  }
  if (!mSocket) {
    co_return std::nullopt;
  }
  // A reset is reported to one operation only. If that was the write of the request, the end of the
  // connection looks like that of a complete response.
  if (EndsWithConnection() && !mIsRequestWritten) {
    MarkIncomplete();
    co_return std::nullopt;
  }
  // The response is complete. The connection can be reused only if the request was also written
  // completely.
  if (mIsRequestWritten) {
    Release();
  }
  co_return std::string();
}

auto endpoint_call::ArmStallTimer(duration aTimeout, std::function<void()> aAction) -> void
{
  if (!mSocket) {
    return;
  }
  if (!mStallTimer) {
    mStallTimer.emplace(mSocket->get_executor());
  }
  mStallTimer->expires_after(aTimeout);
  // Cancelling a timer that has expired does not stop its handler, which is in the queue already.
  const auto arming = ++*mStallArmings;
  mStallTimer->async_wait([this, armings = mStallArmings, arming, action = std::move(aAction)](
                            boost::system::error_code aError) mutable {
    if (aError || *armings != arming) {
      return;
    }
    // If this thread stood still, what the endpoint has sent meanwhile is read first.
    mStallTimer->expires_after(kReadMargin);
    mStallTimer->async_wait([armings = std::move(armings), arming, action = std::move(action)](
                              boost::system::error_code aReadError) {
      if (!aReadError && *armings == arming) {
        action();
      }
    });
  });
}

auto endpoint_call::DisarmStallTimer() -> void
{
  ++*mStallArmings;
  mStallTimer.reset();
}

auto endpoint_call::Abort() -> void
{
  DisarmStallTimer();
  if (mSocket) {
    AbortSocket(*mSocket);
  }
}

auto endpoint_call::Release() -> void
{
  DisarmStallTimer();
  // A connection with bytes after the response cannot be reused: they would be taken for the next
  // response.
  if (mParser->keep_alive() && mInput.size() == 0 && IsOpenAndIdle(*mSocket)) {
    mConnections.Release(
      mEndpoint, std::move(*mSocket), IdleLimit(Fields()), mMaxPooled, ReadBootClock());
  } else {
    AbortSocket(*mSocket);
  }
  mSocket.reset();
}

} // namespace bronzering

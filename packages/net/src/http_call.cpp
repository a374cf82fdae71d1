#include "http_call.h"

#include "http_text.h"

#include <bronzering/http.h>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/read.hpp>

namespace bronzering {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

auto FormatAddress(const tcp::endpoint& aEndpoint) -> std::string
{
  const auto address = aEndpoint.address().to_string();
  const auto host = aEndpoint.address().is_v6() ? "[" + address + "]" : address;
  return host + ":" + std::to_string(aEndpoint.port());
}

/// Whether an idle connection has neither unread input nor been closed by the peer.
auto HasNoInput(tcp::socket& aSocket) -> bool
{
  std::array<char, 1> byte = {};
  boost::system::error_code error;
  aSocket.non_blocking(true, error);
  aSocket.receive(asio::buffer(byte), tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

} // namespace

connection_pool::connection_pool(asio::io_context& aContext,
                                 std::size_t aMaxIdle,
                                 duration aIdleTimeout)
  : mContext(aContext)
  , mMaxIdle(aMaxIdle)
  , mIdleTimeout(aIdleTimeout)
{
}

auto connection_pool::Acquire() -> std::optional<tcp::socket>
{
  const auto now = std::chrono::steady_clock::now();
  while (!mIdle.empty()) {
    auto last = std::move(mIdle.back());
    mIdle.pop_back();
    if (now - last.mIdleSince < mIdleTimeout && HasNoInput(last.mSocket)) {
      return std::move(last.mSocket);
    }
  }
  return std::nullopt;
}

auto connection_pool::Release(tcp::socket aSocket) -> void
{
  if (mIdle.size() < mMaxIdle) {
    mIdle.push_back({ std::move(aSocket), std::chrono::steady_clock::now() });
  }
}

http_call::http_call(connection_pool& aPool,
                     tcp::endpoint aEndpoint,
                     http_call_limits aLimits,
                     http_call_events aEvents)
  : mPool(aPool)
  , mEndpoint(std::move(aEndpoint))
  , mLimits(aLimits)
  , mEvents(std::move(aEvents))
  , mSocket(aPool.Context())
  , mTimer(aPool.Context())
  , mInputBuffer(aLimits.mMaxHeaderBytes + 64UL * 1024)
{
}

auto http_call::Start(const http_call_request& aRequest) -> void
{
  SerializeRequest(aRequest);
  if (auto socket = mPool.Acquire()) {
    mSocket = std::move(*socket);
    Write();
  } else {
    Connect();
  }
}

auto http_call::SerializeRequest(const http_call_request& aRequest) -> void
{
  mIsHeadRequest = aRequest.mMethod == "HEAD";
  mOutput.reserve(aRequest.mBody.size() + 1024);
  mOutput.append(aRequest.mMethod).append(" ").append(aRequest.mTarget).append(" HTTP/1.1\r\n");
  mOutput.append("Host: ").append(FormatAddress(mEndpoint)).append("\r\n");
  for (const auto& field : aRequest.mHeaders) {
    const auto isOwn = boost::beast::iequals(field.mName, "host") ||
                       boost::beast::iequals(field.mName, "content-length");
    if (!isOwn && !IsHopByHop(field.mName) && IsSafeField(field)) {
      mOutput.append(field.mName).append(": ").append(field.mValue).append("\r\n");
    }
  }
  if (!aRequest.mBody.empty() || aRequest.mMethod == "POST" || aRequest.mMethod == "PUT" ||
      aRequest.mMethod == "PATCH") {
    mOutput.append("Content-Length: ").append(std::to_string(aRequest.mBody.size()));
    mOutput.append("\r\n");
  }
  mOutput.append("\r\n").append(aRequest.mBody);
}

auto http_call::Connect() -> void
{
  ArmTimer(mLimits.mConnectTimeout, "connecting took too long");
  mSocket.async_connect(mEndpoint, [self = shared_from_this()](const error_code& aError) {
    if (self->mIsFinished) {
      return;
    }
    if (aError) {
      self->Fail("connecting failed: " + aError.message());
      return;
    }
    error_code ignored;
    self->mSocket.set_option(tcp::no_delay(true), ignored);
    self->Write();
  });
}

auto http_call::Write() -> void
{
  ArmTimer(mLimits.mHeadTimeout, "writing the request took too long");
  mSocket.async_write_some(
    asio::buffer(mOutput.data() + mWritten, mOutput.size() - mWritten),
    [self = shared_from_this()](const error_code& aError, std::size_t aCount) {
      self->mWritten += aCount;
      if (self->mIsFinished) {
        return;
      }
      if (aError) {
        self->Fail("writing the request failed: " + aError.message());
      } else if (self->mWritten < self->mOutput.size()) {
        self->Write();
      } else {
        self->mOutput = std::string();
        self->ReadHead(self->mIsHeadRequest);
      }
    });
}

auto http_call::ReadHead(bool aIsHeadRequest) -> void
{
  ArmTimer(mLimits.mHeadTimeout, "no response head arrived in time");
  mParser.emplace();
  mParser->header_limit(static_cast<std::uint32_t>(mLimits.mMaxHeaderBytes));
  mParser->body_limit(boost::none);
  mParser->skip(aIsHeadRequest);
  AsyncReadHead(
    mSocket, mInputBuffer, *mParser, [self = shared_from_this()](const error_code& aError) {
      if (self->mIsFinished) {
        return;
      }
      if (aError) {
        self->Fail("reading the response failed: " + aError.message());
      } else {
        self->OnHead();
      }
    });
}

auto http_call::OnHead() -> void
{
  const auto& head = mParser->get();
  if (IsInterim(head)) {
    ReadHead(mIsHeadRequest);
    return;
  }
  if (mParser->need_eof() && !mParser->is_done()) {
    Fail("the response has neither Content-Length nor chunked encoding");
    return;
  }

  std::vector<header_field> headers;
  for (const auto& field : head) {
    const std::string_view name = field.name_string();
    const std::string_view connection = head[http::field::connection];
    if (!IsHopByHop(name) && !ListContains(connection, name)) {
      headers.push_back({ std::string(name), std::string(field.value()) });
    }
  }
  mEvents.mHead(head.result_int(), std::move(headers));
  if (mIsFinished) {
    return;
  }
  if (mParser->is_done()) {
    End();
  } else {
    ReadBody();
  }
}

auto http_call::ReadBody() -> void
{
  if (mIsPaused) {
    DisarmTimer();
    return;
  }
  ArmReadTimer();
  mIsReading = true;
  auto& body = mParser->get().body();
  body.data = mReadBuffer.data();
  body.size = mReadBuffer.size();
  http::async_read_some(mSocket,
                        mInputBuffer,
                        *mParser,
                        [self = shared_from_this()](const error_code& aError, std::size_t) {
                          self->mIsReading = false;
                          if (!self->mIsFinished) {
                            self->OnBody(aError);
                          }
                        });
}

auto http_call::OnBody(error_code aError) -> void
{
  const auto count = mReadBuffer.size() - mParser->get().body().size;
  if (count > 0) {
    mHasBody = true;
    mEvents.mBody(std::string(mReadBuffer.data(), count));
    if (mIsFinished) {
      return;
    }
  }
  if (aError && aError != http::error::need_buffer) {
    Fail("reading the response failed: " + aError.message());
  } else if (mParser->is_done()) {
    End();
  } else {
    ReadBody();
  }
}

auto http_call::Pause(bool aPaused) -> void
{
  const auto wasPaused = std::exchange(mIsPaused, aPaused);
  if (mIsFinished || !mParser || !mParser->is_header_done() || wasPaused == aPaused) {
    return;
  }
  if (aPaused) {
    DisarmTimer();
  } else if (mIsReading) {
    ArmReadTimer();
  } else {
    ReadBody();
  }
}

auto http_call::End() -> void
{
  mIsFinished = true;
  mTimer.cancel();
  if (mParser->get().keep_alive() && mInputBuffer.size() == 0) {
    mPool.Release(std::move(mSocket));
  }
  const auto end = std::move(mEvents.mEnd);
  end();
}

auto http_call::Fail(std::string aWhat) -> void
{
  const auto failure = std::move(mEvents.mFailure);
  Abandon();
  failure(mWritten > 0, std::move(aWhat));
}

auto http_call::Abandon() -> void
{
  mIsFinished = true;
  mTimer.cancel();
  error_code ignored;
  mSocket.close(ignored);
}

auto http_call::ArmTimer(duration aTimeout, const char* aWhat) -> void
{
  mTimer.expires_after(aTimeout);
  mTimer.async_wait([weak = weak_from_this(), aWhat](const error_code& aError) {
    const auto self = weak.lock();
    // The handler may already have been queued when the timer was rearmed.
    if (self && !aError && !self->mIsFinished &&
        self->mTimer.expiry() <= std::chrono::steady_clock::now()) {
      self->Fail(aWhat);
    }
  });
}

auto http_call::ArmReadTimer() -> void
{
  // Engines may send the head immediately and the first token only after processing the prompt.
  ArmTimer(mHasBody ? mLimits.mSilenceTimeout : mLimits.mHeadTimeout,
           "the response body stopped arriving");
}

auto http_call::DisarmTimer() -> void
{
  // A handler that is already queued sees the new expiry and does nothing.
  mTimer.expires_at(std::chrono::steady_clock::time_point::max());
}

} // namespace bronzering

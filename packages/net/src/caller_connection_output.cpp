#include "caller_connection.h"

#include "caller_worker.h"
#include "http_text.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>

namespace bronzering {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Output buffers whose total capacity exceeds this are freed after a response.
constexpr std::size_t kMaxRetainedOutputBytes = 4096;

/// Responses to HEAD and with some status codes have no body, regardless of their header fields.
auto HasNoBody(std::uint32_t aStatus, bool aIsHeadRequest) -> bool
{
  return aIsHeadRequest || aStatus == 204 || aStatus == 304 || aStatus / 100 == 1;
}

} // namespace

// Responses

auto caller_connection::Execute(start_answer& aAction) -> void
{
  if (mHeadSent || mIsEnded) {
    return;
  }
  mHeadSent = true;
  AppendStatusLine(aAction.mStatus);

  // Forward the end-to-end fields. Content-Length determines the framing.
  std::string connection;
  for (const auto& field : aAction.mHeaders) {
    if (boost::beast::iequals(field.mName, "connection")) {
      connection += field.mValue + ",";
    }
  }
  std::optional<std::uint64_t> length;
  for (const auto& field : aAction.mHeaders) {
    if (IsHopByHop(field.mName) || ListContains(connection, field.mName) || !IsSafeField(field)) {
      continue;
    }
    if (boost::beast::iequals(field.mName, "content-length")) {
      std::uint64_t value = 0;
      const auto* end = field.mValue.data() + field.mValue.size();
      const auto parsed = std::from_chars(field.mValue.data(), end, value);
      if (parsed.ec == std::errc() && parsed.ptr == end) {
        length = value;
      }
      continue;
    }
    mPending.append(field.mName).append(": ").append(field.mValue).append("\r\n");
  }

  // Select a framing that the caller's HTTP version supports.
  if (length) {
    mPending.append("Content-Length: ").append(std::to_string(*length)).append("\r\n");
  }
  if (HasNoBody(aAction.mStatus, mIsHeadRequest)) {
    mFraming = framing::None;
  } else if (length) {
    mFraming = framing::Length;
    mRemainingBodyBytes = *length;
  } else if (mIsBeforeHttp11) {
    mFraming = framing::UntilClose;
  } else {
    mFraming = framing::Chunked;
    mPending.append("Transfer-Encoding: chunked\r\n");
  }
  mPending.append(mKeepAlive ? "\r\n" : "Connection: close\r\n\r\n");
  Flush();
}

auto caller_connection::Execute(continue_answer& aAction) -> void
{
  if (!mHeadSent || mIsEnded || aAction.mBytes.empty()) {
    return;
  }
  const auto& bytes = aAction.mBytes;
  switch (mFraming) {
    case framing::None:
      // Reported as sent, so that flow control lets the rest of the response through.
      mSentBodyBytes += bytes.size();
      mWorker.Shared().mEvents.Push(caller_progress{ mExchange, mSentBodyBytes });
      return;
    case framing::Length:
      if (bytes.size() > mRemainingBodyBytes) {
        AbortConnection();
        return;
      }
      mRemainingBodyBytes -= bytes.size();
      mPending.append(bytes);
      break;
    case framing::Chunked: {
      std::array<char, 16> size = {};
      const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
      mPending.append(size.data(), end).append("\r\n").append(bytes).append("\r\n");
      break;
    }
    case framing::UntilClose:
      mPending.append(bytes);
      break;
  }
  mPendingBodyBytes += bytes.size();
  Flush();
}

auto caller_connection::Execute(finish_answer&) -> void
{
  if (mIsEnded) {
    return;
  }
  if (!mHeadSent || (mFraming == framing::Length && mRemainingBodyBytes > 0)) {
    AbortConnection();
    return;
  }
  if (mFraming == framing::Chunked) {
    mPending.append("0\r\n\r\n");
  }
  EndAnswer();
}

auto caller_connection::Execute(abort_answer&) -> void
{
  if (mIsEnded) {
    return;
  }
  // A TCP reset signals the truncation even if the body is delimited by the end of the connection.
  mWorker.CloseExchange(std::exchange(mExchange, {}));
  error_code ignored;
  mSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  CloseSocket();
}

auto caller_connection::Execute(refuse_request& aAction) -> void
{
  if (mIsEnded) {
    return;
  }
  if (mHeadSent) {
    abort_answer abort;
    Execute(abort);
    return;
  }
  WriteProblem(aAction);
}

auto caller_connection::WriteProblem(const refuse_request& aRefusal) -> void
{
  std::string fields = "Content-Type: application/problem+json\r\n";
  if (aRefusal.mRetryAfter) {
    const auto seconds = std::max(1.0, std::ceil(ToSeconds(*aRefusal.mRetryAfter)));
    fields += "Retry-After: " + std::to_string(static_cast<std::uint64_t>(seconds)) + "\r\n";
  }
  if (aRefusal.mHttpStatus == 401) {
    fields += "WWW-Authenticate: Bearer\r\n";
  }
  if (aRefusal.mHttpStatus == 405) {
    fields += "Allow: GET, HEAD, POST\r\n";
  }
  WriteResponse(aRefusal.mHttpStatus, fields, ProblemDocument(aRefusal));
}

auto caller_connection::WriteResponse(std::uint32_t aStatus,
                                      std::string_view aFields,
                                      std::string_view aBody) -> void
{
  mHeadSent = true;
  AppendStatusLine(aStatus);
  mPending.append(aFields).append("Content-Length: ").append(std::to_string(aBody.size()));
  mPending.append(mKeepAlive ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n");
  if (!mIsHeadRequest) {
    mPending.append(aBody);
  }
  EndAnswer();
}

auto caller_connection::AppendStatusLine(std::uint32_t aStatus) -> void
{
  if (mWorker.IsDraining()) {
    mKeepAlive = false;
  }
  const auto reason = http::obsolete_reason(http::int_to_status(aStatus));
  mPending.append("HTTP/1.1 ").append(std::to_string(aStatus)).append(" ");
  mPending.append(std::string_view(reason)).append("\r\n");
}

auto caller_connection::EndAnswer() -> void
{
  mIsEnded = true;
  Flush();
}

// Writing

auto caller_connection::Flush() -> void
{
  if (!mWriting.empty() || mPhase != phase::Answering) {
    return;
  }
  if (mPending.empty()) {
    if (mIsEnded) {
      OnAnswerWritten();
    }
    return;
  }
  mWriting.swap(mPending);
  mWritingBodyBytes = std::exchange(mPendingBodyBytes, 0);
  mWritten = 0;
  SetDeadline(mWorker.Shared().mSettings.mWriteTimeout);
  OnWritten({}, 0);
}

auto caller_connection::OnWritten(error_code aError, std::size_t aBytes) -> void
{
  if (mPhase != phase::Answering) {
    return;
  }
  if (aError) {
    AbortConnection();
    return;
  }
  mWritten += aBytes;

  // Each partial write restarts the timeout, so that a slow caller is not treated as disconnected.
  if (mWritten < mWriting.size()) {
    if (aBytes > 0) {
      SetDeadline(mWorker.Shared().mSettings.mWriteTimeout);
    }
    mSocket.async_write_some(
      asio::buffer(mWriting.data() + mWritten, mWriting.size() - mWritten),
      [self = shared_from_this()](const error_code& aWriteError, std::size_t aCount) {
        self->OnWritten(aWriteError, aCount);
      });
    return;
  }

  mWriting.clear();
  SetDeadline(duration::max());
  if (mWritingBodyBytes > 0) {
    mSentBodyBytes += std::exchange(mWritingBodyBytes, 0);
    if (!mIsEnded) {
      mWorker.Shared().mEvents.Push(caller_progress{ mExchange, mSentBodyBytes });
    }
  }
  Flush();
}

auto caller_connection::OnAnswerWritten() -> void
{
  mWorker.CloseExchange(std::exchange(mExchange, {}));
  mParser.reset();
  mPendingBodyBytes = 0;
  if (mWriting.capacity() + mPending.capacity() > kMaxRetainedOutputBytes) {
    mWriting = std::string();
    mPending = std::string();
  }
  if (mKeepAlive && !mWorker.IsDraining()) {
    AwaitRequest();
  } else {
    Linger();
  }
}

} // namespace bronzering

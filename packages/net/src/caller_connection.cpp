#include "caller_connection.h"

#include "caller_worker.h"
#include "http_text.h"

#include <bronzering/net/prompt_blocks.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <array>

namespace bronzering {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Read size for request heads and short bodies. The buffer is freed while the connection is idle.
constexpr std::size_t kReadBytes = 4096;
/// Read size for bodies longer than kReadBytes.
constexpr std::size_t kBodyReadBytes = 64UL * 1024;
/// Limit on pipelined input that is buffered during a response. Above it reading stops, so that a
/// disconnect of the caller is no longer detected.
constexpr std::size_t kMaxPipelinedBytes = 16UL * 1024;
/// How long a connection that is being closed stays open for the caller to read the response.
constexpr duration kLingerTimeout = std::chrono::seconds(2);
constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
/// Headers that are not forwarded. The request to the endpoint has its own Host and
/// Content-Length, and never contains the bearer token.
constexpr std::array<std::string_view, 4> kConsumedNames = { "authorization",
                                                             "content-length",
                                                             "expect",
                                                             "host" };

auto IsConsumed(std::string_view aName) -> bool
{
  return std::any_of(kConsumedNames.begin(), kConsumedNames.end(), [&](std::string_view aItem) {
    return boost::beast::iequals(aName, aItem);
  });
}

auto PathOf(std::string_view aTarget) -> std::string_view
{
  return aTarget.substr(0, aTarget.find('?'));
}

auto IsCompletionPath(std::string_view aPath) -> bool
{
  return aPath == "/v1/chat/completions" || aPath == "/v1/completions";
}

} // namespace

caller_connection::caller_connection(caller_worker& aWorker, asio::ip::tcp::socket aSocket)
  : mWorker(aWorker)
  , mSocket(std::move(aSocket))
  , mInputBuffer(aWorker.Shared().mSettings.mMaxHeaderBytes + kBodyReadBytes + kMaxPipelinedBytes)
{
}

auto caller_connection::Start() -> void
{
  error_code ignored;
  mSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  mSocket.non_blocking(true, ignored);
  AwaitRequest();
}

// Reading

auto caller_connection::AwaitRequest() -> void
{
  mPhase = phase::Idle;
  SetDeadline(mWorker.Shared().mSettings.mIdleTimeout);
  if (mInputBuffer.size() > 0) {
    // Posted, so that a caller that pipelines many requests doesn't starve other connections.
    asio::post(mSocket.get_executor(), [self = shared_from_this()] {
      if (self->mPhase == phase::Idle) {
        self->ReadHead();
      }
    });
    return;
  }
  mInputBuffer.shrink_to_fit();
  AwaitInput();
}

auto caller_connection::AwaitInput() -> void
{
  if (std::exchange(mIsAwaitingInput, true)) {
    return;
  }
  mSocket.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& aError) {
                       self->mIsAwaitingInput = false;
                       if (!aError) {
                         self->OnInput();
                       }
                     });
}

auto caller_connection::OnInput() -> void
{
  if (mPhase == phase::Idle) {
    ReadHead();
    return;
  }
  if (mPhase != phase::Answering) {
    return;
  }

  // Input during a response is a pipelined request or the end of the connection.
  error_code error;
  const auto count = mSocket.read_some(mInputBuffer.prepare(kReadBytes), error);
  if (error == asio::error::would_block) {
    AwaitInput();
  } else if (error) {
    AbortConnection();
  } else {
    mInputBuffer.commit(count);
    if (mInputBuffer.size() < kMaxPipelinedBytes) {
      AwaitInput();
    }
  }
}

auto caller_connection::ReadHead() -> void
{
  const auto& settings = mWorker.Shared().mSettings;
  mPhase = phase::Reading;
  SetDeadline(settings.mReadTimeout);
  mInputBuffer.reserve(kReadBytes);
  mParser = std::make_unique<request_parser>();
  mParser->header_limit(static_cast<std::uint32_t>(settings.mMaxHeaderBytes));
  mParser->body_limit(settings.mMaxBodyBytes);
  http::async_read_header(
    mSocket,
    mInputBuffer,
    *mParser,
    [self = shared_from_this()](const error_code& aError, std::size_t) { self->OnHead(aError); });
}

auto caller_connection::OnHead(error_code aError) -> void
{
  if (mPhase != phase::Reading) {
    return;
  }
  if (aError) {
    OnReadError(aError);
    return;
  }

  const auto& head = mParser->get();
  mIsHeadRequest = head.method() == http::verb::head;
  mIsBeforeHttp11 = head.version() < 11;
  mKeepAlive = head.keep_alive() && !mIsBeforeHttp11;
  if (mParser->is_done()) {
    OnRequest();
    return;
  }
  if (mParser->content_length().value_or(0) > kReadBytes) {
    mInputBuffer.reserve(kBodyReadBytes);
  }
  if (!boost::beast::iequals(head[http::field::expect], "100-continue")) {
    ReadBody();
    return;
  }
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  asio::async_write(mSocket,
                    asio::buffer(kContinue),
                    [self = shared_from_this()](const error_code& aWriteError, std::size_t) {
                      if (self->mPhase != phase::Reading) {
                        return;
                      }
                      if (aWriteError) {
                        self->OnReadError(aWriteError);
                      } else {
                        self->ReadBody();
                      }
                    });
}

auto caller_connection::ReadBody() -> void
{
  http::async_read(mSocket,
                   mInputBuffer,
                   *mParser,
                   [self = shared_from_this()](const error_code& aError, std::size_t) {
                     if (self->mPhase != phase::Reading) {
                       return;
                     }
                     if (aError) {
                       self->OnReadError(aError);
                     } else {
                       self->OnRequest();
                     }
                   });
}

auto caller_connection::OnReadError(error_code aError) -> void
{
  if (mIsTimedOut) {
    RefuseLocally(refusal::InvalidRequest, 408, "the request took too long to arrive", true);
  } else if (aError == http::error::header_limit || aError == http::error::buffer_overflow) {
    RefuseLocally(refusal::TooLarge, 431, "the request's header fields are too large", true);
  } else if (aError == http::error::body_limit) {
    RefuseLocally(refusal::TooLarge, 413, "the request's body is too large", true);
  } else if (aError == http::error::end_of_stream || aError == http::error::partial_message ||
             aError.category() != make_error_code(http::error::end_of_stream).category()) {
    CloseSocket();
  } else {
    mWorker.Shared().mMalformedCounter.Add();
    RefuseLocally(refusal::InvalidRequest, 400, "malformed HTTP: " + aError.message(), true);
  }
}

// Requests

auto caller_connection::OnRequest() -> void
{
  auto& shared = mWorker.Shared();
  shared.mRequestCounter.Add();
  mPhase = phase::Answering;
  mHeadSent = false;
  mIsEnded = false;
  mSentBodyBytes = 0;
  SetDeadline(duration::max());
  AwaitInput();

  caller_request request;
  const auto error = boost::leaf::try_handle_all(
    [&]() -> outcome<std::string> {
      BOOST_LEAF_CHECK(CheckRequest(request));
      return std::string();
    },
    [](malformed_input& aError) { return std::move(aError.mWhat); },
    [] { return std::string("malformed request"); });
  const auto path = PathOf(request.mTarget);
  if (!error.empty()) {
    shared.mMalformedCounter.Add();
    RefuseLocally(refusal::InvalidRequest, 400, error, false);
  } else if (path == "/v1/models") {
    AnswerModels(request.mTokenDigest);
  } else if (IsCompletionPath(path) && request.mMethod != "POST") {
    RefuseLocally(refusal::InvalidRequest, 405, "completions are requested with POST", false);
  } else {
    mParser.reset();
    mExchange = mWorker.OpenExchange(*this);
    request.mExchange = mExchange;
    shared.mEvents.Push(std::move(request));
  }
}

auto caller_connection::CheckRequest(caller_request& aRequest) -> outcome<void>
{
  auto& message = mParser->get();
  const auto malformed = [](const char* aWhat) {
    return boost::leaf::new_error(malformed_input{ aWhat });
  };
  if (!mIsBeforeHttp11 && message.count(http::field::host) != 1) {
    return malformed("exactly one Host field is required");
  }
  aRequest.mTarget = std::string(message.target());
  if (aRequest.mTarget.empty() || aRequest.mTarget.front() != '/') {
    return malformed("the request target must be a path");
  }
  aRequest.mMethod = std::string(message.method_string());
  BOOST_LEAF_CHECK(CollectHeaders(aRequest));

  const auto& settings = mWorker.Shared().mSettings;
  if (IsCompletionPath(PathOf(aRequest.mTarget)) && aRequest.mMethod == "POST") {
    BOOST_LEAF_AUTO(completion,
                    ParseCompletionRequest(message.body(), settings.mDefaultOutputTokens));
    aRequest.mPrefix = HashPromptBlocks(completion.mModel, completion.mPrompt);
    aRequest.mModel = std::move(completion.mModel);
    aRequest.mPromptTokens = completion.mPromptTokens;
    aRequest.mOutputTokens = completion.mOutputTokens;
  }
  aRequest.mBody = std::move(message.body());
  return {};
}

auto caller_connection::CollectHeaders(caller_request& aRequest) -> outcome<void>
{
  const auto& message = mParser->get();
  const auto malformed = [](const char* aWhat) {
    return boost::leaf::new_error(malformed_input{ aWhat });
  };
  if (message.count(http::field::authorization) > 1 || message.count("Idempotency-Key") > 1 ||
      message.count("Request-Timeout") > 1) {
    return malformed("Authorization, Idempotency-Key or Request-Timeout is repeated");
  }

  // Fields that are parsed here
  static constexpr std::string_view kBearer = "bearer ";
  const std::string_view authorization = message[http::field::authorization];
  if (boost::beast::iequals(authorization.substr(0, kBearer.size()), kBearer)) {
    aRequest.mTokenDigest = Sha256Hex(authorization.substr(kBearer.size()));
  }
  if (const std::string_view timeout = message["Request-Timeout"]; !timeout.empty()) {
    BOOST_LEAF_ASSIGN(aRequest.mTimeout, ParseTimeout(timeout));
  }
  aRequest.mIdempotencyKey = std::string(Unquote(std::string_view(message["Idempotency-Key"])));
  if (aRequest.mIdempotencyKey.size() > kMaxIdempotencyKeyBytes) {
    return malformed("Idempotency-Key is longer than 255 bytes");
  }
  if (message.count("Idempotency-Key") > 0 && aRequest.mIdempotencyKey.empty()) {
    return malformed("Idempotency-Key is empty");
  }

  // Fields that are forwarded to the endpoint
  std::string connection;
  for (const auto& field : message) {
    if (field.name() == http::field::connection) {
      connection += std::string(field.value()) + ",";
    }
  }
  for (const auto& field : message) {
    const std::string_view name = field.name_string();
    if (!IsHopByHop(name) && !IsConsumed(name) && !ListContains(connection, name)) {
      aRequest.mHeaders.push_back({ std::string(name), std::string(field.value()) });
    }
  }
  return {};
}

auto caller_connection::AnswerModels(std::string_view aTokenDigest) -> void
{
  const auto method = mParser->get().method();
  const auto config = mWorker.Shared().Config();
  if (method != http::verb::get && method != http::verb::head) {
    RefuseLocally(refusal::InvalidRequest, 405, "models are listed with GET", false);
    return;
  }
  if (config == nullptr) {
    RefuseLocally(refusal::NoEndpoint, 503, "no configuration has been received yet", false);
    return;
  }
  const auto models = ModelList(*config, aTokenDigest);
  if (!models) {
    RefuseLocally(refusal::Unauthenticated, 401, "the bearer token is unknown", false);
    return;
  }
  WriteResponse(200, "Content-Type: application/json\r\n", *models);
}

auto caller_connection::RefuseLocally(refusal aReason,
                                      std::uint32_t aStatus,
                                      std::string aDetail,
                                      bool aClose) -> void
{
  mPhase = phase::Answering;
  mIsEnded = false;
  mKeepAlive = mKeepAlive && !aClose;
  refuse_request refusalDetails;
  refusalDetails.mReason = aReason;
  refusalDetails.mHttpStatus = aStatus;
  refusalDetails.mDetail = std::move(aDetail);
  WriteProblem(refusalDetails);
}

// Closing

auto caller_connection::Linger() -> void
{
  // Closing a socket with unread input resets the connection, and the caller could lose the
  // response.
  mPhase = phase::Lingering;
  SetDeadline(kLingerTimeout);
  error_code error;
  mSocket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  if (error) {
    CloseSocket();
    return;
  }
  mInputBuffer.clear();
  ReadAndDiscard();
}

auto caller_connection::ReadAndDiscard() -> void
{
  mSocket.async_read_some(mInputBuffer.prepare(kReadBytes),
                          [self = shared_from_this()](const error_code& aError, std::size_t) {
                            if (self->mPhase != phase::Lingering) {
                              return;
                            }
                            if (aError) {
                              self->CloseSocket();
                            } else {
                              self->ReadAndDiscard();
                            }
                          });
}

auto caller_connection::AbortConnection() -> void
{
  if (mExchange.mValue != 0) {
    mWorker.CloseExchange(mExchange);
    if (!mIsEnded) {
      mWorker.Shared().mDisconnectCounter.Add();
      mWorker.Shared().mEvents.Push(caller_disconnect{ mExchange });
    }
    mExchange = {};
  }
  CloseSocket();
}

auto caller_connection::CloseSocket() -> void
{
  if (mPhase == phase::Closed) {
    return;
  }
  mPhase = phase::Closed;
  error_code ignored;
  mSocket.close(ignored);
  mWorker.Remove(shared_from_this());
}

auto caller_connection::CloseIfIdle() -> void
{
  if (mPhase == phase::Idle && mInputBuffer.size() == 0) {
    CloseSocket();
  }
}

auto caller_connection::CloseWithoutEvent() -> void
{
  mWorker.CloseExchange(std::exchange(mExchange, {}));
  CloseSocket();
}

auto caller_connection::SetDeadline(duration aTimeout) -> void
{
  mDeadline = aTimeout == duration::max() ? std::chrono::steady_clock::time_point::max()
                                          : std::chrono::steady_clock::now() + aTimeout;
}

auto caller_connection::IsExpired(std::chrono::steady_clock::time_point aNow) const -> bool
{
  return aNow >= mDeadline;
}

auto caller_connection::OnExpired() -> void
{
  mWorker.Shared().mTimeoutCounter.Add();
  switch (mPhase) {
    case phase::Reading:
      // The handler of the cancelled read sends the 408 response.
      mIsTimedOut = true;
      SetDeadline(kLingerTimeout);
      mSocket.cancel();
      break;
    case phase::Answering:
      AbortConnection();
      break;
    case phase::Idle:
    case phase::Lingering:
    case phase::Closed:
      CloseSocket();
      break;
  }
}

} // namespace bronzering

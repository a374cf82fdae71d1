#pragma once

#include <bronzering/net/caller_server.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace bronzering {

class caller_worker;

/// One connection of a caller: reads a request, passes it to the control thread, writes the
/// response, and repeats. Input that arrives during a response is buffered, up to a limit, for the
/// next request; end of input during a response means that the caller has disconnected. "Answer" in
/// names means the HTTP response. Owned by its caller_worker and pending operations; runs on the
/// worker's thread.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
  caller_connection(caller_worker& aWorker, boost::asio::ip::tcp::socket aSocket);

  auto Start() -> void;
  /// Execute the actions of the control thread for the current exchange.
  auto Execute(start_answer& aAction) -> void;
  auto Execute(continue_answer& aAction) -> void;
  auto Execute(finish_answer& aAction) -> void;
  auto Execute(abort_answer& aAction) -> void;
  auto Execute(refuse_request& aAction) -> void;

  auto CloseIfIdle() -> void;
  /// Closes without sending an event; used when the worker stops.
  auto CloseWithoutEvent() -> void;
  /// Whether the timeout of the current phase has expired.
  [[nodiscard]] auto IsExpired(std::chrono::steady_clock::time_point aNow) const -> bool;
  /// Handles the timeout: responds with 408 while a request is read, otherwise closes the
  /// connection.
  auto OnExpired() -> void;

private:
  using error_code = boost::system::error_code;
  using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  enum class phase
  {
    /// Waits for a request.
    Idle,
    /// Reads the head and body of a request.
    Reading,
    /// Waits for the response or writes it.
    Answering,
    /// The response is written and the sending side is shut down; input is discarded until the
    /// caller closes, since closing with unread input would reset the connection.
    Lingering,
    Closed
  };
  /// How the end of a response body is marked.
  enum class framing
  {
    /// The response has no body, as for HEAD.
    None,
    Chunked,
    Length,
    UntilClose
  };

  auto AwaitRequest() -> void;
  auto AwaitInput() -> void;
  auto OnInput() -> void;
  auto ReadHead() -> void;
  auto OnHead(error_code aError) -> void;
  auto ReadBody() -> void;
  auto OnReadError(error_code aError) -> void;
  auto OnRequest() -> void;
  /// Responds to /v1/models. aTokenDigest is the SHA-256 digest of the caller's bearer token in
  /// hexadecimal.
  auto AnswerModels(std::string_view aTokenDigest) -> void;
  auto CheckRequest(caller_request& aRequest) -> outcome<void>;
  auto CollectHeaders(caller_request& aRequest) -> outcome<void>;

  /// Writes an error response that the control thread did not request. aClose closes the connection
  /// after it.
  auto RefuseLocally(refusal aReason, std::uint32_t aStatus, std::string aDetail, bool aClose)
    -> void;
  auto WriteProblem(const refuse_request& aRefusal) -> void;
  auto WriteResponse(std::uint32_t aStatus, std::string_view aFields, std::string_view aBody)
    -> void;
  auto AppendStatusLine(std::uint32_t aStatus) -> void;
  /// Marks the response as complete and writes the rest of it.
  auto EndAnswer() -> void;

  auto Flush() -> void;
  auto OnWritten(error_code aError, std::size_t aBytes) -> void;
  auto OnAnswerWritten() -> void;
  /// Shuts down the sending side and enters phase::Lingering.
  auto Linger() -> void;
  auto ReadAndDiscard() -> void;
  /// Closes immediately and notifies the control thread if an exchange is open.
  auto AbortConnection() -> void;
  auto CloseSocket() -> void;
  auto SetDeadline(duration aTimeout) -> void;

  caller_worker& mWorker;
  boost::asio::ip::tcp::socket mSocket;
  /// Expiry of the timeout of the current phase; the maximum while there is none.
  std::chrono::steady_clock::time_point mDeadline;
  phase mPhase = phase::Idle;

  // Input
  boost::beast::flat_buffer mInputBuffer;
  std::unique_ptr<request_parser> mParser;
  bool mIsAwaitingInput = false;
  /// The request took longer than mReadTimeout to arrive.
  bool mIsTimedOut = false;

  // The current exchange; the id is zero when the control thread has none for this connection.
  exchange_id mExchange;
  framing mFraming = framing::None;
  bool mKeepAlive = false;
  bool mIsHeadRequest = false;
  bool mIsBeforeHttp11 = false;
  /// The head of the response has been appended to mPending.
  bool mHeadSent = false;
  /// The whole response has been appended to mPending.
  bool mIsEnded = false;
  /// Bytes that are missing from the announced Content-Length of the response.
  std::uint64_t mRemainingBodyBytes = 0;

  // Output: mWriting is being written to the socket while mPending collects further bytes.
  std::string mPending;
  std::string mWriting;
  std::size_t mWritten = 0;
  std::uint64_t mPendingBodyBytes = 0;
  std::uint64_t mWritingBodyBytes = 0;
  std::uint64_t mSentBodyBytes = 0;
};

} // namespace bronzering

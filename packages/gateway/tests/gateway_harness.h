#pragma once

#include "engine_call.h"

#include <bronzering/gateway.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bronzering {

/// The header names of these tests.
[[nodiscard]] auto TestDialect() -> header_names;

/// An endpoint on loopback whose answers are scripted.
class scripted_endpoint
{
public:
  /// What the endpoint does after a request: it writes the text, then closes in order, resets, or
  /// keeps the connection.
  enum class ending
  {
    Keep,
    Close,
    Reset,
    /// Writes nothing more and waits for the caller to close.
    Hang
  };
  struct reaction
  {
    std::string mText;
    ending mEnding = ending::Keep;
  };
  using script = std::function<reaction(const http_request& aRequest)>;

  scripted_endpoint(boost::asio::io_context& aContext, std::string aId, script aScript);
  [[nodiscard]] auto Listed() const -> listed_endpoint;
  [[nodiscard]] auto Requests() const -> const std::vector<http_request>& { return *mRequests; }
  /// Connections that the other side closed while the endpoint hung.
  [[nodiscard]] auto Departures() const -> int { return *mDepartures; }

private:
  std::string mId;
  std::shared_ptr<std::vector<http_request>> mRequests;
  std::shared_ptr<int> mDepartures;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> mAcceptor;
};

/// A caller's connection, which reads answers byte by byte as they come.
class test_caller
{
public:
  struct answer
  {
    unsigned mStatus = 0;
    http_fields mFields;
    std::string mBody;
  };

  explicit test_caller(boost::asio::io_context& aContext);
  auto Connect(std::uint16_t aPort) -> boost::asio::awaitable<void>;
  auto Send(std::string aText) -> boost::asio::awaitable<void>;
  /// The next answer; empty when it did not end as complete.
  auto Read() -> boost::asio::awaitable<std::optional<answer>>;
  /// Whether the other side closed the connection without sending anything more.
  auto ReadsEnd() -> boost::asio::awaitable<bool>;
  auto Close() -> void { mSocket.close(); }

private:
  boost::asio::ip::tcp::socket mSocket;
  boost::beast::flat_buffer mInput;
};

/// A gateway on loopback with its context. Items are handed over as decoded documents.
class gateway_fixture
{
public:
  explicit gateway_fixture(std::string aAddress = "127.0.0.1",
                           std::vector<std::string> aSeeds = {});

  /// Publishes a document and the endpoints under a new revision.
  auto Publish(routing_document aDocument, std::vector<listed_endpoint> aEndpoints) -> void;
  /// Runs the context until the test coroutine has ended.
  auto Run(std::function<boost::asio::awaitable<void>()> aTest) -> void;
  /// Sends one request on a connection of its own.
  auto Ask(std::string aText) -> boost::asio::awaitable<std::optional<test_caller::answer>>;

  [[nodiscard]] auto Context() -> boost::asio::io_context& { return *mContext; }
  [[nodiscard]] auto Gateway() -> entry_gateway& { return *mGateway; }
  [[nodiscard]] auto Metrics() -> metrics_registry& { return mMetrics; }
  [[nodiscard]] auto CallerPort() const -> std::uint16_t { return mCallerPort; }
  [[nodiscard]] auto ReadyAddress() const -> std::string;

private:
  struct published
  {
    routing_document mDocument;
    std::vector<listed_endpoint> mEndpoints;
  };
  auto TryStart(const std::vector<std::string>& aSeeds) -> bool;
  [[nodiscard]] auto Decoder() const -> item_decoder;

  std::unique_ptr<boost::asio::io_context> mContext = std::make_unique<boost::asio::io_context>(1);
  metrics_registry mMetrics;
  std::unique_ptr<event_log> mLog;
  std::string mAddress;
  std::uint16_t mCallerPort = 0;
  std::uint16_t mReadyPort = 0;
  std::shared_ptr<published> mPublished = std::make_shared<published>();
  std::uint64_t mRevision = 0;
  std::unique_ptr<entry_gateway> mGateway;
};

/// A document with the routes /once/, /again/ (repeatable), /stream/ (once) and /resume/ of one
/// service "engines", and the organisation "lamps" with the key "secret".
[[nodiscard]] auto TestDocument(std::uint64_t aVersion = 1) -> routing_document;

/// A request of that organisation on a path. The id is r1 unless given.
[[nodiscard]] auto RequestText(const std::string& aPath,
                               const std::string& aHeaders = {},
                               const std::string& aId = "r1") -> std::string;

/// A complete answer with a seal to a request.
[[nodiscard]] auto SealedAnswer(const http_request& aRequest, const std::string& aBody)
  -> std::string;

} // namespace bronzering

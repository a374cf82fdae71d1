#pragma once

#include "endpoint_call.h"

#include <bronzering/gateway.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bronzering {

/// Header names for the tests.
[[nodiscard]] auto TestHeaderNames() -> header_names;

/// An endpoint on loopback with scripted responses.
class scripted_endpoint
{
public:
  /// What the endpoint does with the connection after it has written its text: keep it open, close
  /// it gracefully, or reset it.
  enum class ending
  {
    Keep,
    Close,
    Reset,
    /// Writes nothing more and waits for the other side to close.
    Hang,
    /// Repeats the text's last bytes until the other side closes.
    Endless,
    /// Resets all connections and accepts no more, like a process that has crashed.
    Crash
  };
  struct reaction
  {
    std::string mText;
    ending mEnding = ending::Keep;
    /// Written after mText and a pause of mSilence.
    std::string mLater = {};
    std::chrono::milliseconds mSilence{};
  };
  using script = std::function<reaction(const http_request& aRequest)>;
  using connections = std::vector<std::weak_ptr<boost::asio::ip::tcp::socket>>;

  scripted_endpoint(boost::asio::io_context& aContext, std::string aId, script aScript);
  [[nodiscard]] auto Listed() const -> listed_endpoint;
  [[nodiscard]] auto Requests() const -> const std::vector<http_request>& { return *mRequests; }
  /// Number of connections that the other side closed while the endpoint hung or wrote endlessly.
  [[nodiscard]] auto Disconnects() const -> int { return *mDisconnects; }

private:
  std::string mId;
  std::shared_ptr<std::vector<http_request>> mRequests;
  std::shared_ptr<int> mDisconnects;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> mAcceptor;
};

/// An endpoint of the service "engines" on loopback, as it is listed.
[[nodiscard]] auto ListedAs(const std::string& aId, const boost::asio::ip::tcp::acceptor& aAcceptor)
  -> listed_endpoint;

/// A caller's connection.
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
  auto Connect(std::uint16_t aPort, const std::string& aAddress = "127.0.0.1")
    -> boost::asio::awaitable<void>;
  auto Send(std::string aText) -> boost::asio::awaitable<void>;
  /// Reads the next response; empty when it is incomplete. That to a HEAD request has no body.
  auto Read(bool aIsToHead = false) -> boost::asio::awaitable<std::optional<answer>>;
  /// Whether the other side closed the connection without sending anything more.
  auto ReadsEof() -> boost::asio::awaitable<bool>;
  auto Close() -> void { mSocket.close(); }

private:
  boost::asio::ip::tcp::socket mSocket;
  boost::beast::flat_buffer mInput;
};

/// A gateway on loopback with its io_context. Documents and endpoints are passed to it directly;
/// the published item holds only the document's version.
class gateway_fixture
{
public:
  /// aDecoder replaces the decoder of the items that Publish passes in.
  explicit gateway_fixture(std::string aAddress = "127.0.0.1",
                           std::vector<std::string> aSeeds = {},
                           std::optional<item_decoder> aDecoder = {},
                           duration aStopGrace = std::chrono::seconds(30),
                           double aHedgePercent = 0);

  /// Publishes a document and endpoints with a new revision.
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
  /// Where the gateway receives the digests of its peers.
  [[nodiscard]] auto PeerAddress() const -> boost::asio::ip::udp::endpoint;

private:
  struct published
  {
    routing_document mDocument;
    std::vector<listed_endpoint> mEndpoints;
  };
  auto TryStart(const std::vector<std::string>& aSeeds) -> bool;
  [[nodiscard]] auto PublishedDecoder() const -> item_decoder;

  /// Outlive the context: a request that is cut off when the context is destroyed still writes its
  /// final log line.
  metrics_registry mMetrics;
  std::unique_ptr<event_log> mLog;
  std::unique_ptr<boost::asio::io_context> mContext = std::make_unique<boost::asio::io_context>(1);
  std::string mAddress;
  std::optional<item_decoder> mDecoder;
  duration mStopGrace;
  double mHedgePercent;
  std::uint16_t mCallerPort = 0;
  std::uint16_t mReadyPort = 0;
  std::uint16_t mPeerPort = 0;
  std::shared_ptr<published> mPublished = std::make_shared<published>();
  std::uint64_t mRevision = 0;
  std::unique_ptr<entry_gateway> mGateway;
};

/// A document with the routes /once/, /again/ (repeatable), /stream/ (once) and /resume/
/// (resumable) of one service "engines", and the organisation "lamps" with the key "secret".
[[nodiscard]] auto TestDocument(std::uint64_t aVersion = 1) -> routing_document;

/// A GET request of the organisation of TestDocument.
[[nodiscard]] auto RequestText(const std::string& aPath,
                               const std::string& aHeaders = {},
                               const std::string& aId = "r1") -> std::string;

/// Starts an exchange and stores its answer once it is there.
auto StartAsk(gateway_fixture& aFixture,
              std::string aText,
              std::optional<test_caller::answer>& aAnswer) -> void;

/// Waits for aTime on the executor of the caller.
[[nodiscard]] auto Pause(std::chrono::milliseconds aTime) -> boost::asio::awaitable<void>;

/// A complete response to a request, with a seal.
[[nodiscard]] auto SealedAnswer(const http_request& aRequest, const std::string& aBody)
  -> std::string;

/// SealedAnswer with a body, on a connection that stays open.
[[nodiscard]] auto CompleteAnswer(const http_request& aRequest) -> scripted_endpoint::reaction;

/// The header of a streamed response and the events from aFirst to aLast, as one chunk.
[[nodiscard]] auto Events(const http_request& aRequest, int aFirst, int aLast) -> std::string;

} // namespace bronzering

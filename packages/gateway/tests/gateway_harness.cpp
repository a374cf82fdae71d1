#include "gateway_harness.h"

#include "socket_options.h"
#include "with_timeout.h"

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <spdlog/fmt/fmt.h>

#include <array>
#include <random>

namespace bronzering {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr auto kUseTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
/// Ends a test that hangs; far longer than any passing test takes.
constexpr auto kHangTimeout = std::chrono::seconds(60);

/// Distinct ports that are currently free.
template<std::size_t Count>
auto FreePorts() -> std::array<std::uint16_t, Count>
{
  auto context = boost::asio::io_context();
  auto acceptors = std::vector<tcp::acceptor>();
  auto ports = std::array<std::uint16_t, Count>();
  for (auto& port : ports) {
    acceptors.emplace_back(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    port = acceptors.back().local_endpoint().port();
  }
  return ports;
}

/// A port that is free at all addresses which gateways of the tests use. It is below the range from
/// which the system gives ports to outgoing connections, any of which may take it meanwhile.
auto FreePeerPort() -> std::uint16_t
{
  constexpr auto kFirst = 20'000;
  constexpr auto kLast = 32'000;
  static auto sRandom = std::minstd_rand(std::random_device()());
  auto choose = std::uniform_int_distribution<int>(kFirst, kLast);
  for (;;) {
    const auto port = static_cast<std::uint16_t>(choose(sRandom));
    auto context = boost::asio::io_context();
    auto errors = std::array<boost::system::error_code, 2>();
    for (auto index = 0U; index < errors.size(); ++index) {
      const auto address = boost::asio::ip::make_address_v4(0x7f000001U + index);
      auto acceptor = tcp::acceptor(context, tcp::v4());
      acceptor.bind({ address, port }, errors.at(index));
    }
    if (!errors[0] && !errors[1]) {
      return port;
    }
  }
}

auto ServeScript(std::shared_ptr<tcp::socket> aConnection,
                 std::weak_ptr<tcp::acceptor> aAcceptor,
                 std::shared_ptr<scripted_endpoint::connections> aConnections,
                 scripted_endpoint::script aScript,
                 std::shared_ptr<std::vector<http_request>> aRequests,
                 std::shared_ptr<int> aDisconnects) -> boost::asio::awaitable<void>
{
  auto& socket = *aConnection;
  auto buffer = boost::beast::flat_buffer();
  for (;;) {
    auto request = http_request();
    auto [error, count] = co_await http::async_read(socket, buffer, request, kUseTuple);
    if (error) {
      co_return;
    }
    aRequests->push_back(request);
    const auto reaction = aScript(request);
    co_await boost::asio::async_write(socket, boost::asio::buffer(reaction.mText), kUseTuple);
    if (!reaction.mLater.empty()) {
      co_await Pause(reaction.mSilence);
      co_await boost::asio::async_write(socket, boost::asio::buffer(reaction.mLater), kUseTuple);
    }
    if (reaction.mEnding == scripted_endpoint::ending::Crash) {
      if (const auto acceptor = aAcceptor.lock()) {
        acceptor->close();
      }
      for (const auto& connection : *aConnections) {
        if (const auto open = connection.lock()) {
          AbortSocket(*open);
        }
      }
      co_return;
    }
    if (reaction.mEnding == scripted_endpoint::ending::Endless) {
      const auto filler = std::string(64UL * 1024, reaction.mText.back());
      for (auto failure = boost::system::error_code(); !failure;) {
        auto [writeError, written] =
          co_await boost::asio::async_write(socket, boost::asio::buffer(filler), kUseTuple);
        failure = writeError;
      }
      ++*aDisconnects;
      co_return;
    }
    if (reaction.mEnding == scripted_endpoint::ending::Reset) {
      AbortSocket(socket);
      co_return;
    }
    if (reaction.mEnding == scripted_endpoint::ending::Close) {
      co_return;
    }
    if (reaction.mEnding == scripted_endpoint::ending::Hang) {
      auto byte = char();
      co_await socket.async_read_some(boost::asio::buffer(&byte, 1), kUseTuple);
      ++*aDisconnects;
      co_return;
    }
  }
}

auto AcceptAll(std::shared_ptr<tcp::acceptor> aAcceptor,
               std::shared_ptr<scripted_endpoint::connections> aConnections,
               scripted_endpoint::script aScript,
               std::shared_ptr<std::vector<http_request>> aRequests,
               std::shared_ptr<int> aDisconnects) -> boost::asio::awaitable<void>
{
  for (;;) {
    auto [error, socket] = co_await aAcceptor->async_accept(kUseTuple);
    if (error) {
      co_return;
    }
    const auto connection = std::make_shared<tcp::socket>(std::move(socket));
    aConnections->push_back(connection);
    boost::asio::co_spawn(
      aAcceptor->get_executor(),
      ServeScript(connection, aAcceptor, aConnections, aScript, aRequests, aDisconnects),
      boost::asio::detached);
  }
}

} // namespace

auto TestHeaderNames() -> header_names
{
  auto names = header_names();
  names.mRequestId = "Request-Id";
  names.mDeadline = "Deadline-Ms";
  names.mTokenCounts = "Tokens";
  names.mOutputHint = "Output-Hint";
  names.mPromptParts = "Prompt-Parts";
  names.mOrganisation = "Organisation";
  names.mExpectedEndpoint = "Expected-Endpoint";
  names.mResponseSeal = "Seal";
  names.mNotRun = "Not-Run";
  names.mRateLimit = "Rate-Limit";
  names.mLeaving = "Leaving";
  names.mLastEventId = "Last-Event-Id";
  names.mReserved = { "Organisation", "Expected-Endpoint", "Engine-Hold" };
  return names;
}

scripted_endpoint::scripted_endpoint(boost::asio::io_context& aContext,
                                     std::string aId,
                                     script aScript)
  : mId(std::move(aId))
  , mRequests(std::make_shared<std::vector<http_request>>())
  , mDisconnects(std::make_shared<int>(0))
  , mAcceptor(
      std::make_shared<tcp::acceptor>(aContext,
                                      tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)))
{
  boost::asio::co_spawn(
    aContext,
    AcceptAll(
      mAcceptor, std::make_shared<connections>(), std::move(aScript), mRequests, mDisconnects),
    boost::asio::detached);
}

auto scripted_endpoint::Listed() const -> listed_endpoint
{
  return ListedAs(mId, *mAcceptor);
}

auto ListedAs(const std::string& aId, const tcp::acceptor& aAcceptor) -> listed_endpoint
{
  auto listed = listed_endpoint();
  listed.mId = aId;
  listed.mService = "engines";
  listed.mAddress = "127.0.0.1:" + std::to_string(aAcceptor.local_endpoint().port());
  listed.mAvailabilityZone = "a";
  listed.mSlots = 8;
  return listed;
}

test_caller::test_caller(boost::asio::io_context& aContext)
  : mSocket(aContext)
{
}

auto test_caller::Connect(std::uint16_t aPort, const std::string& aAddress)
  -> boost::asio::awaitable<void>
{
  const auto endpoint = tcp::endpoint(boost::asio::ip::make_address(aAddress), aPort);
  co_await mSocket.async_connect(endpoint, kUseTuple);
}

auto test_caller::Send(std::string aText) -> boost::asio::awaitable<void>
{
  co_await boost::asio::async_write(mSocket, boost::asio::buffer(aText), kUseTuple);
}

auto test_caller::Read(bool aIsToHead) -> boost::asio::awaitable<std::optional<answer>>
{
  auto parser = http::response_parser<http::string_body>();
  parser.skip(aIsToHead);
  auto [error, count] = co_await http::async_read(mSocket, mInput, parser, kUseTuple);
  if (error) {
    co_return std::nullopt;
  }
  auto response = parser.release();
  co_return answer{ response.result_int(), response.base(), response.body() };
}

auto test_caller::ReadsEof() -> boost::asio::awaitable<bool>
{
  auto byte = char();
  auto [error, count] = co_await mSocket.async_read_some(boost::asio::buffer(&byte, 1), kUseTuple);
  co_return error&& count == 0;
}

gateway_fixture::gateway_fixture(std::string aAddress,
                                 std::vector<std::string> aSeeds,
                                 std::optional<item_decoder> aDecoder,
                                 duration aStopGrace,
                                 double aHedgePercent)
  : mAddress(std::move(aAddress))
  , mDecoder(std::move(aDecoder))
  , mStopGrace(aStopGrace)
  , mHedgePercent(aHedgePercent)
{
  mLog = std::make_unique<event_log>("test", mMetrics);
  // Another process may take a port before it is bound here.
  constexpr auto kAttempts = 20;
  for (auto attempt = 0; attempt < kAttempts; ++attempt) {
    if (TryStart(aSeeds)) {
      return;
    }
  }
  FAIL("no free ports");
}

auto gateway_fixture::TryStart(const std::vector<std::string>& aSeeds) -> bool
{
  const auto ports = FreePorts<2>();
  mCallerPort = ports[0];
  mReadyPort = ports[1];
  auto settings = gateway_settings();
  settings.mVm = "vm-" + mAddress;
  settings.mAvailabilityZone = "a";
  settings.mAddress = mAddress;
  settings.mCallerListen = "127.0.0.1:" + std::to_string(mCallerPort);
  settings.mReadinessListen = ReadyAddress();
  // Peers use the same port at other addresses of the loopback network.
  static auto sPeerPort = FreePeerPort();
  if (aSeeds.empty()) {
    sPeerPort = FreePeerPort();
  }
  mPeerPort = sPeerPort;
  settings.mPeerPort = sPeerPort;
  settings.mOperatorPort = sPeerPort;
  settings.mSeeds = aSeeds;
  settings.mStopGrace = mStopGrace;
  settings.mHedgePercent = mHedgePercent;
  settings.mSourceBounds = { std::chrono::milliseconds(1'200), std::chrono::milliseconds(2'000) };
  mGateway = std::make_unique<entry_gateway>(*mContext,
                                             std::move(settings),
                                             TestHeaderNames(),
                                             mDecoder ? *mDecoder : PublishedDecoder(),
                                             *mLog,
                                             mMetrics);
  return boost::leaf::try_handle_all(
    [&]() -> outcome<bool> {
      BOOST_LEAF_CHECK(mGateway->Start());
      return true;
    },
    [](const io_failure& aFailure) {
      UNSCOPED_INFO(aFailure.mWhat);
      return false;
    },
    [] { return false; });
}

auto gateway_fixture::PublishedDecoder() const -> item_decoder
{
  auto decoder = item_decoder();
  decoder.mDocument =
    [held = mPublished](const published_items& aItems) -> outcome<std::optional<routing_document>> {
    const auto* item = aItems.Find("document");
    if (item == nullptr) {
      return std::optional<routing_document>();
    }
    if (item->mValue == "malformed") {
      return boost::leaf::new_error(malformed_input{ "not a document" });
    }
    // The value is the version. An entry that got it from a peer has no document of its own.
    auto document = held->mDocument.mVersion > 0 ? held->mDocument : TestDocument();
    document.mVersion = std::stoull(item->mValue);
    return std::optional(std::move(document));
  };
  decoder.mEndpoints = [held = mPublished](const published_items&, std::vector<rejected_item>&) {
    return held->mEndpoints;
  };
  return decoder;
}

auto gateway_fixture::Publish(routing_document aDocument, std::vector<listed_endpoint> aEndpoints)
  -> void
{
  mPublished->mDocument = std::move(aDocument);
  mPublished->mEndpoints = std::move(aEndpoints);
  ++mRevision;
  auto version = std::to_string(mPublished->mDocument.mVersion);
  mGateway->OnSourceAnswer();
  mGateway->OnSnapshot({ mRevision, { { "document", std::move(version), mRevision } } });
}

auto gateway_fixture::Run(std::function<boost::asio::awaitable<void>()> aTest) -> void
{
  auto isDone = false;
  boost::asio::co_spawn(*mContext, std::move(aTest), [&](std::exception_ptr aFailure) {
    isDone = true;
    mContext->stop();
    if (aFailure) {
      std::rethrow_exception(aFailure);
    }
  });
  mContext->run_for(kHangTimeout);
  REQUIRE(isDone);
}

auto gateway_fixture::Ask(std::string aText)
  -> boost::asio::awaitable<std::optional<test_caller::answer>>
{
  auto caller = test_caller(*mContext);
  co_await caller.Connect(mCallerPort);
  co_await caller.Send(std::move(aText));
  auto answer = co_await caller.Read();
  co_return answer;
}

auto gateway_fixture::ReadyAddress() const -> std::string
{
  return "127.0.0.1:" + std::to_string(mReadyPort);
}

auto gateway_fixture::PeerAddress() const -> boost::asio::ip::udp::endpoint
{
  return { boost::asio::ip::make_address(mAddress), mPeerPort };
}

auto TestDocument(std::uint64_t aVersion) -> routing_document
{
  auto document = routing_document();
  document.mVersion = aVersion;
  const auto add = [&document](std::string aName, retry_policy aRule, bool aIsStream) {
    auto route = route_spec();
    route.mName = aName;
    route.mHost = "shop.example";
    route.mPrefix = "/" + aName + "/";
    route.mServices = { { "engines", 1 } };
    route.mRetryPolicy = aRule;
    route.mIsStream = aIsStream;
    route.mTimeout = std::chrono::seconds(10);
    route.mMaxAttempts = aRule == retry_policy::Once ? 1 : 2;
    document.mRoutes.push_back(std::move(route));
  };
  add("once", retry_policy::Once, false);
  add("again", retry_policy::Repeatable, false);
  add("stream", retry_policy::Once, true);
  add("resume", retry_policy::Resumable, true);
  document.mServices = { { "engines", 100, true, 1 } };
  document.mOrganisations = { { "lamps", { "secret" } } };
  return document;
}

auto RequestText(const std::string& aPath, const std::string& aHeaders, const std::string& aId)
  -> std::string
{
  return fmt::format("GET {} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {}\r\n"
                     "Authorization: Bearer secret\r\n{}\r\n",
                     aPath,
                     aId,
                     aHeaders);
}

auto StartAsk(gateway_fixture& aFixture,
              std::string aText,
              std::optional<test_caller::answer>& aAnswer) -> void
{
  boost::asio::co_spawn(
    aFixture.Context(),
    [&aFixture, &aAnswer, text = std::move(aText)]() -> boost::asio::awaitable<void> {
      auto copy = text;
      aAnswer = co_await aFixture.Ask(std::move(copy));
    },
    boost::asio::detached);
}

auto Pause(std::chrono::milliseconds aTime) -> boost::asio::awaitable<void>
{
  auto timer = boost::asio::steady_timer(co_await boost::asio::this_coro::executor);
  timer.expires_after(aTime);
  co_await timer.async_wait(kUseTuple);
}

auto SealedAnswer(const http_request& aRequest, const std::string& aBody) -> std::string
{
  const auto id = aRequest["Request-Id"];
  return fmt::format(
    "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nSeal: s-{}\r\nContent-Length: {}\r\n\r\n{}",
    std::string_view(id.data(), id.size()),
    std::string_view(id.data(), id.size()),
    aBody.size(),
    aBody);
}

auto CompleteAnswer(const http_request& aRequest) -> scripted_endpoint::reaction
{
  return { SealedAnswer(aRequest, "whole"), scripted_endpoint::ending::Keep };
}

auto Events(const http_request& aRequest, int aFirst, int aLast) -> std::string
{
  auto body = std::string();
  for (auto event = aFirst; event <= aLast; ++event) {
    body += fmt::format("id: {}\ndata: e{}\n\n", event, event);
  }
  const auto id = aRequest["Request-Id"];
  return fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nSeal: s\r\nContent-Type: "
                     "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n",
                     std::string_view(id.data(), id.size()),
                     body.size(),
                     body);
}

} // namespace bronzering

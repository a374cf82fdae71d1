#include <bronzering/net/operator_server.h>

#include "tcp_address.h"

#include <bronzering/base/metrics.h>
#include <bronzering/http.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/beast/version.hpp>

#include <atomic>
#include <optional>
#include <thread>
#include <utility>

namespace bronzering {

using boost::asio::ip::tcp;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using error_code = boost::system::error_code;

// Limit on responses that FetchFromOperator accepts. Protects against a faulty peer only: /state
// responses are large, but fetched rarely and by one process at a time.
constexpr auto kMaxFetchedResponseBytes = std::size_t{ 64 } * 1024 * 1024;

struct operator_server::state : std::enable_shared_from_this<state>
{
  state(operator_server_settings aSettings,
        boost::asio::io_context& aControl,
        operator_callbacks aCallbacks,
        const metrics_registry& aMetrics)
    : mSettings(std::move(aSettings))
    , mControl(aControl)
    , mCallbacks(std::move(aCallbacks))
    , mMetrics(aMetrics)
    , mAcceptor(mContext)
    , mRetryTimer(mContext)
  {
  }

  auto Listen() -> outcome<void>;
  auto Accept() -> void;

  operator_server_settings mSettings;
  boost::asio::io_context& mControl;
  operator_callbacks mCallbacks;
  const metrics_registry& mMetrics;
  boost::asio::io_context mContext{ 1 };
  tcp::acceptor mAcceptor;
  boost::asio::steady_timer mRetryTimer;
  std::size_t mConnections = 0;
  std::uint16_t mPort = 0;
  std::thread mThread;
  /// Read and written on the control thread only.
  bool mIsStopped = false;
};

namespace {

/// One operator's connection. Owned by its pending operations; runs on the server's thread.
template<class State>
class operator_connection : public std::enable_shared_from_this<operator_connection<State>>
{
public:
  operator_connection(std::shared_ptr<State> aServer, tcp::socket aSocket)
    : mServer(std::move(aServer))
    , mStream(std::move(aSocket))
    , mControlTimer(mServer->mContext)
  {
    ++mServer->mConnections;
  }
  ~operator_connection() { --mServer->mConnections; }
  operator_connection(const operator_connection&) = delete;
  auto operator=(const operator_connection&) -> operator_connection& = delete;

  auto Read() -> void
  {
    mParser.emplace();
    mParser->header_limit(static_cast<std::uint32_t>(mServer->mSettings.mMaxHeaderBytes));
    mParser->body_limit(0);
    mStream.expires_after(mServer->mSettings.mTimeout);
    http::async_read(mStream,
                     mBuffer,
                     *mParser,
                     [self = this->shared_from_this()](error_code aError, std::size_t) {
                       if (!aError) {
                         self->Handle();
                       }
                     });
  }

private:
  auto Handle() -> void
  {
    const auto& request = mParser->get();
    const auto target = request.target().substr(0, request.target().find('?'));
    if (request.method() != http::verb::get && request.method() != http::verb::head) {
      Reply(http::status::method_not_allowed, "text/plain", "only GET and HEAD\n");
    } else if (target == "/healthz") {
      QueryControl([] { return std::string("ok\n"); }, "text/plain");
    } else if (target == "/readyz") {
      QueryControl(
        [server = mServer] { return std::string(server->mCallbacks.mIsReady() ? "ready\n" : ""); },
        "text/plain");
    } else if (target == "/state") {
      QueryControl([server = mServer] { return server->mCallbacks.mState(); }, "application/json");
    } else if (target == "/metrics") {
      Reply(http::status::ok, "text/plain; version=0.0.4", mServer->mMetrics.Render());
    } else {
      Reply(http::status::not_found, "text/plain", "unknown path\n");
    }
  }

  /// Computes the response body on the control thread; an empty body means "not ready".
  template<class Function>
  auto QueryControl(Function aFunction, const char* aContentType) -> void
  {
    const auto queryId = ++mQueryId;
    mStream.expires_never();
    mControlTimer.expires_after(mServer->mSettings.mControlTimeout);
    mControlTimer.async_wait([self = this->shared_from_this(), queryId](error_code aError) {
      if (!aError && self->mQueryId == queryId) {
        ++self->mQueryId;
        self->Reply(
          http::status::service_unavailable, "text/plain", "the control thread does not respond\n");
      }
    });
    boost::asio::post(
      mServer->mControl,
      [self = this->shared_from_this(), queryId, aContentType, function = std::move(aFunction)] {
        if (self->mServer->mIsStopped) {
          return;
        }
        boost::asio::post(
          self->mServer->mContext, [self, queryId, aContentType, text = function()] {
            if (self->mQueryId == queryId) {
              ++self->mQueryId;
              self->mControlTimer.cancel();
              self->Reply(text.empty() ? http::status::service_unavailable : http::status::ok,
                          aContentType,
                          text.empty() ? "not ready\n" : text);
            }
          });
      });
  }

  auto Reply(http::status aStatus, const char* aContentType, std::string aBody) -> void
  {
    const auto& request = mParser->get();
    mResponse = {};
    mResponse.result(aStatus);
    mResponse.version(request.version());
    mResponse.keep_alive(request.keep_alive());
    mResponse.set(http::field::content_type, aContentType);
    mResponse.set(http::field::cache_control, "no-store");
    mResponse.body() = std::move(aBody);
    mResponse.prepare_payload();
    if (request.method() == http::verb::head) {
      mResponse.body().clear();
    }
    mStream.expires_after(mServer->mSettings.mTimeout);
    http::async_write(
      mStream, mResponse, [self = this->shared_from_this()](error_code aError, std::size_t) {
        if (!aError && self->mResponse.keep_alive()) {
          self->Read();
        } else {
          // A pending query to a blocked control thread may keep this object alive much longer.
          self->mStream.close();
        }
      });
  }

  std::shared_ptr<State> mServer;
  beast::tcp_stream mStream;
  boost::asio::steady_timer mControlTimer;
  beast::flat_buffer mBuffer;
  std::optional<http::request_parser<http::empty_body>> mParser;
  http::response<http::string_body> mResponse;
  /// Id of the current control thread query; results of queries with other ids are dropped.
  std::uint64_t mQueryId = 0;
};

} // namespace

auto operator_server::state::Listen() -> outcome<void>
{
  BOOST_LEAF_AUTO(endpoint, ParseTcpAddress(mSettings.mListen));
  auto error = error_code();
  mAcceptor.open(endpoint.protocol(), error);
  if (!error) {
    mAcceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    mAcceptor.bind(endpoint, error);
  }
  if (!error) {
    mAcceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return boost::leaf::new_error(
      io_failure{ "cannot listen on " + mSettings.mListen + ": " + error.message() });
  }
  mPort = mAcceptor.local_endpoint(error).port();
  return {};
}

auto operator_server::state::Accept() -> void
{
  mAcceptor.async_accept([self = shared_from_this()](error_code aError, tcp::socket aSocket) {
    if (aError == boost::asio::error::operation_aborted) {
      return;
    }
    if (!aError && self->mConnections < self->mSettings.mMaxConnections) {
      std::make_shared<operator_connection<state>>(self, std::move(aSocket))->Read();
    }
    if (!aError) {
      self->Accept();
      return;
    }
    // Without a delay, accepting would fail again immediately while descriptors are exhausted.
    self->mRetryTimer.expires_after(std::chrono::milliseconds(100));
    self->mRetryTimer.async_wait([self](error_code aTimerError) {
      if (!aTimerError) {
        self->Accept();
      }
    });
  });
}

operator_server::operator_server(operator_server_settings aSettings,
                                 boost::asio::io_context& aControl,
                                 operator_callbacks aCallbacks,
                                 const metrics_registry& aMetrics)
  : mState(std::make_shared<state>(std::move(aSettings), aControl, std::move(aCallbacks), aMetrics))
{
}

operator_server::~operator_server()
{
  Stop();
}

auto operator_server::Start() -> outcome<void>
{
  BOOST_LEAF_CHECK(mState->Listen());
  mState->Accept();
  // The thread needs no shared pointer to the state: Stop joins it before the state is destroyed.
  mState->mThread = std::thread([state = mState.get()] { state->mContext.run(); });
  return {};
}

auto operator_server::Port() const -> std::uint16_t
{
  return mState->mPort;
}

auto operator_server::Stop() -> void
{
  mState->mIsStopped = true;
  if (!mState->mThread.joinable()) {
    return;
  }
  mState->mContext.stop();
  mState->mThread.join();
  auto ignored = error_code();
  mState->mAcceptor.close(ignored);
}

auto FetchFromOperator(const std::string& aAddress, const std::string& aPath, duration aTimeout)
  -> outcome<std::string>
{
  BOOST_LEAF_AUTO(endpoint, ParseTcpAddress(aAddress));
  auto context = boost::asio::io_context();
  auto stream = beast::tcp_stream(context);
  auto error = error_code();
  const auto wait = [&](auto aStart) {
    stream.expires_after(aTimeout);
    aStart([&](error_code aError, auto&&...) { error = aError; });
    context.restart();
    context.run();
    return !error;
  };

  auto request = http::request<http::empty_body>(http::verb::get, aPath, 11);
  request.set(http::field::host, aAddress);
  request.keep_alive(false);
  auto buffer = beast::flat_buffer();
  auto parser = http::response_parser<http::string_body>();
  parser.body_limit(kMaxFetchedResponseBytes);
  const auto isDone = wait([&](auto aDone) { stream.async_connect(endpoint, aDone); }) &&
                      wait([&](auto aDone) { http::async_write(stream, request, aDone); }) &&
                      wait([&](auto aDone) { AsyncReadHead(stream, buffer, parser, aDone); }) &&
                      wait([&](auto aDone) { http::async_read(stream, buffer, parser, aDone); });
  if (!isDone) {
    return boost::leaf::new_error(io_failure{ aAddress + ": " + error.message() });
  }
  if (parser.get().result() != http::status::ok) {
    return boost::leaf::new_error(malformed_input{ aAddress + aPath + ": status " +
                                                   std::to_string(parser.get().result_int()) });
  }
  return std::move(parser.get().body());
}

} // namespace bronzering

#include "http_get_server.h"

#include "socket_options.h"
#include "with_timeout.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <deque>

namespace bronzering {

namespace http = boost::beast::http;

namespace {

constexpr auto kUseTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr auto kIdleTimeout = duration(std::chrono::seconds(30));
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(100);
constexpr auto kBacklog = 1024;
/// Connections at a time. Metrics are read by a few programs, and a peer closes its connection
/// after each fetch. Beyond it the oldest is closed, so that silent clients cannot shut out the
/// others.
constexpr auto kMaxConnections = std::size_t{ 64 };

auto ServeConnection(std::shared_ptr<boost::asio::ip::tcp::socket> aSocket,
                     std::shared_ptr<http_get_server::handler> aHandler)
  -> boost::asio::awaitable<void>
{
  auto buffer = boost::beast::flat_buffer();
  for (;;) {
    auto request = http::request<http::empty_body>();
    auto read =
      co_await WithTimeout(http::async_read(*aSocket, buffer, request, kUseTuple), kIdleTimeout);
    if (!read || std::get<0>(*read)) {
      co_return;
    }
    auto answer = (*aHandler)(std::string_view(request.target().data(), request.target().size()));
    auto response = http::response<http::string_body>(
      static_cast<http::status>(answer.mStatus), request.version(), std::move(answer.mBody));
    response.set(http::field::content_type, answer.mContentType);
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    auto written =
      co_await WithTimeout(http::async_write(*aSocket, response, kUseTuple), kIdleTimeout);
    if (!written || std::get<0>(*written) || !response.keep_alive()) {
      co_return;
    }
  }
}

auto AcceptConnections(boost::asio::ip::tcp::acceptor& aAcceptor,
                       std::shared_ptr<http_get_server::handler> aHandler)
  -> boost::asio::awaitable<void>
{
  const auto executor = co_await boost::asio::this_coro::executor;
  auto open = std::deque<std::weak_ptr<boost::asio::ip::tcp::socket>>();
  while (aAcceptor.is_open()) {
    auto [error, socket] = co_await aAcceptor.async_accept(kUseTuple);
    if (!error) {
      ConfigureSocket(socket);
      std::erase_if(open, [](const auto& aOpen) { return aOpen.expired(); });
      if (open.size() >= kMaxConnections) {
        if (const auto oldest = open.front().lock()) {
          AbortSocket(*oldest);
        }
        open.pop_front();
      }
      auto accepted = std::make_shared<boost::asio::ip::tcp::socket>(std::move(socket));
      open.push_back(accepted);
      boost::asio::co_spawn(
        executor, ServeConnection(std::move(accepted), aHandler), boost::asio::detached);
    } else if (aAcceptor.is_open()) {
      auto pause = boost::asio::steady_timer(executor);
      pause.expires_after(kAcceptRetryDelay);
      co_await pause.async_wait(kUseTuple);
    }
  }
}

} // namespace

auto Listen(boost::asio::ip::tcp::acceptor& aAcceptor, const std::string& aListen) -> outcome<void>
{
  const auto endpoint = ParseEndpoint(aListen);
  if (!endpoint) {
    return boost::leaf::new_error(
      io_failure{ "listen address is not a numeric address:port: " + aListen });
  }
  auto error = boost::system::error_code();
  aAcceptor.open(endpoint->protocol(), error);
  if (!error) {
    aAcceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    aAcceptor.bind(*endpoint, error);
  }
  if (!error) {
    aAcceptor.listen(kBacklog, error);
  }
  if (!error) {
    aAcceptor.non_blocking(true, error);
  }
  if (error) {
    return boost::leaf::new_error(
      io_failure{ "cannot listen on " + aListen + ": " + error.message() });
  }
  return {};
}

http_get_server::http_get_server(boost::asio::io_context& aContext, handler aHandler)
  : mContext(aContext)
  , mHandler(std::make_shared<handler>(std::move(aHandler)))
  , mAcceptor(aContext)
{
}

auto http_get_server::Start(const std::string& aListen) -> outcome<void>
{
  BOOST_LEAF_CHECK(Listen(mAcceptor, aListen));
  boost::asio::co_spawn(mContext, AcceptConnections(mAcceptor, mHandler), boost::asio::detached);
  return {};
}

auto http_get_server::Stop() -> void
{
  auto ignored = boost::system::error_code();
  mAcceptor.close(ignored);
}

} // namespace bronzering

#include <bronzering/gateway/http_get.h>

#include "socket_options.h"
#include "with_timeout.h"

#include <bronzering/http.h>

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace bronzering {

namespace http = boost::beast::http;
constexpr auto kUseTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

http_get_client::http_get_client(const boost::asio::any_io_executor& aExecutor,
                                 std::string aAddress,
                                 std::size_t aMaxBodyBytes)
  : mAddress(std::move(aAddress))
  , mMaxBodyBytes(aMaxBodyBytes)
  , mSocket(aExecutor)
{
}

auto http_get_client::Get(std::string aTarget, duration aTimeout)
  -> boost::asio::awaitable<std::optional<http_answer>>
{
  auto answer = co_await WithTimeout(Call(std::move(aTarget)), aTimeout);
  mHasTimedOut = !answer;
  if (!answer || !*answer) {
    // The response to this request may still arrive on the connection.
    auto ignored = boost::system::error_code();
    mSocket.close(ignored);
    co_return std::nullopt;
  }
  co_return std::move(*answer);
}

auto http_get_client::Call(std::string aTarget)
  -> boost::asio::awaitable<std::optional<http_answer>>
{
  if (mSocket.is_open() && !IsOpenAndIdle(mSocket)) {
    auto ignored = boost::system::error_code();
    mSocket.close(ignored);
  }
  if (!mSocket.is_open() && !co_await Connect()) {
    co_return std::nullopt;
  }

  auto request = http::request<http::empty_body>(http::verb::get, aTarget, 11);
  request.set(http::field::host, mAddress);
  auto [writeError, written] = co_await http::async_write(mSocket, request, kUseTuple);
  if (writeError) {
    co_return std::nullopt;
  }
  auto parser = std::optional<http::response_parser<http::string_body>>();
  do {
    parser.emplace();
    parser->body_limit(mMaxBodyBytes);
    auto [headError] = co_await AsyncReadHead(mSocket, mBuffer, *parser, kUseTuple);
    if (headError) {
      co_return std::nullopt;
    }
  } while (IsInterim(parser->get().base()));
  // The parser adds the fields that follow a chunked body to its own.
  auto head = std::move(parser->get().base());
  auto [readError, read] = co_await http::async_read(mSocket, mBuffer, *parser, kUseTuple);
  if (readError) {
    co_return std::nullopt;
  }
  // Bytes behind the answer would be taken for that to the next request.
  if (!parser->keep_alive() || mBuffer.size() > 0) {
    auto ignored = boost::system::error_code();
    mSocket.close(ignored);
  }
  co_return http_answer{ head.result_int(), std::move(parser->get().body()), std::move(head) };
}

auto http_get_client::Connect() -> boost::asio::awaitable<bool>
{
  const auto endpoint = ParseEndpoint(mAddress);
  if (!endpoint) {
    co_return false;
  }
  mBuffer.clear();
  auto [error] = co_await mSocket.async_connect(*endpoint, kUseTuple);
  if (error) {
    co_return false;
  }
  ConfigureSocket(mSocket);
  co_return true;
}

} // namespace bronzering

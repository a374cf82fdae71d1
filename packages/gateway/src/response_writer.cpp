#include "response_writer.h"

#include "socket_options.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>

#include <spdlog/fmt/fmt.h>

#include <array>

namespace bronzering {

namespace http = boost::beast::http;

namespace {

/// Hop-by-hop headers, and headers that the reply sets itself.
auto IsConnectionField(const http::fields::value_type& aField) -> bool
{
  switch (aField.name()) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::transfer_encoding:
    case http::field::content_length:
    case http::field::upgrade:
    case http::field::trailer:
    case http::field::te:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
      return true;
    default:
      return false;
  }
}

} // namespace

response_writer::response_writer(boost::asio::ip::tcp::socket& aSocket,
                                 bool aKeepsAlive,
                                 bool aIsHttp10)
  : mSocket(aSocket)
  , mKeepsAlive(aKeepsAlive)
  , mIsHttp10(aIsHttp10)
{
}

auto response_writer::WriteComplete(unsigned aStatus,
                                    const http::fields& aFields,
                                    std::string_view aBody) -> boost::asio::awaitable<bool>
{
  auto text = FormatHeader(aStatus, aFields);
  text += fmt::format("Content-Length: {}\r\n\r\n", aBody.size());
  mHasStarted = true;
  const auto isWritten = co_await Write(std::move(text), aBody);
  mIsComplete = isWritten;
  co_return isWritten;
}

auto response_writer::StartStream(unsigned aStatus,
                                  const http::fields& aFields,
                                  std::string_view aBytes) -> boost::asio::awaitable<bool>
{
  if (mIsHttp10) {
    mKeepsAlive = false;
  }
  auto text = FormatHeader(aStatus, aFields);
  text += mIsHttp10 ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n";
  text += EncodeBodyPart(aBytes);
  mHasStarted = true;
  co_return co_await Write(std::move(text));
}

auto response_writer::ContinueStream(std::string_view aBytes) -> boost::asio::awaitable<bool>
{
  co_return co_await Write(EncodeBodyPart(aBytes));
}

auto response_writer::FinishStream() -> boost::asio::awaitable<bool>
{
  const auto isWritten = mIsHttp10 || co_await Write("0\r\n\r\n");
  mIsComplete = isWritten;
  co_return isWritten;
}

auto response_writer::IsCallerGone() -> bool
{
  return IsClosedByPeer(mSocket);
}

auto response_writer::FormatHeader(unsigned aStatus, const http::fields& aFields) const
  -> std::string
{
  const auto reason = http::obsolete_reason(static_cast<http::status>(aStatus));
  auto text =
    fmt::format("HTTP/1.1 {} {}\r\n", aStatus, std::string_view(reason.data(), reason.size()));
  for (const auto& field : aFields) {
    if (!IsConnectionField(field)) {
      text += std::string_view(field.name_string().data(), field.name_string().size());
      text += ": ";
      text += std::string_view(field.value().data(), field.value().size());
      text += "\r\n";
    }
  }
  text += mKeepsAlive ? "" : "Connection: close\r\n";
  return text;
}

auto response_writer::Write(std::string aBytes, std::string_view aBody)
  -> boost::asio::awaitable<bool>
{
  const auto buffers = std::array{ boost::asio::const_buffer(aBytes.data(), aBytes.size()),
                                   boost::asio::const_buffer(aBody.data(), aBody.size()) };
  auto [error, written] = co_await boost::asio::async_write(
    mSocket, buffers, boost::asio::as_tuple(boost::asio::use_awaitable));
  co_return !error;
}

auto response_writer::EncodeBodyPart(std::string_view aBytes) const -> std::string
{
  if (mIsHttp10 || aBytes.empty()) {
    return std::string(aBytes);
  }
  auto text = fmt::format("{:x}\r\n", aBytes.size());
  text += aBytes;
  text += "\r\n";
  return text;
}

} // namespace bronzering

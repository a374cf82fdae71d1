#include <bronzering/fakes/fake_http_client.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace bronzering {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using boost::system::error_code;

struct fake_http_client::state
{
  auto Connect() -> error_code;
  auto ReadBody(http::response_parser<http::buffer_body>& aParser,
                fake_response& aResponse,
                const on_body& aOnBody) -> error_code;

  std::uint16_t mPort = 0;
  asio::io_context mContext;
  std::optional<tcp::socket> mSocket;
  boost::beast::flat_buffer mInput;
};

auto fake_http_client::state::Connect() -> error_code
{
  // An idle connection that the server has closed is readable, so that the peek does not block.
  error_code error;
  if (mSocket) {
    std::array<char, 1> byte = {};
    mSocket->non_blocking(true, error);
    mSocket->receive(asio::buffer(byte), tcp::socket::message_peek, error);
    const auto isOpen = error == asio::error::would_block;
    mSocket->non_blocking(false, error);
    if (isOpen) {
      return {};
    }
  }
  mInput.clear();
  mSocket.emplace(mContext);
  mSocket->connect({ asio::ip::address_v4::loopback(), mPort }, error);
  if (!error) {
    mSocket->set_option(tcp::no_delay(true));
  }
  return error;
}

auto fake_http_client::state::ReadBody(http::response_parser<http::buffer_body>& aParser,
                                       fake_response& aResponse,
                                       const on_body& aOnBody) -> error_code
{
  std::array<char, 16UL * 1024> part = {};
  error_code error;
  while (!error && !aParser.is_done()) {
    auto& body = aParser.get().body();
    body.data = part.data();
    body.size = part.size();
    http::read_some(*mSocket, mInput, aParser, error);
    if (error == http::error::need_buffer) {
      error = {};
    }
    const auto bytes = std::string_view(part.data(), part.size() - body.size);
    aResponse.mBody += bytes;
    if (aOnBody && !bytes.empty()) {
      aOnBody(bytes);
    }
  }
  return error;
}

fake_http_client::fake_http_client(std::uint16_t aPort)
  : mState(std::make_unique<state>())
{
  mState->mPort = aPort;
}

fake_http_client::~fake_http_client() = default;

auto fake_http_client::Call(std::string_view aMethod,
                            std::string_view aTarget,
                            const std::vector<header_field>& aHeaders,
                            std::string_view aBody,
                            const on_body& aOnBody) -> fake_response
{
  fake_response response;
  auto error = mState->Connect();
  if (error) {
    mState->mSocket.reset();
    return response;
  }
  std::string text(aMethod);
  text.append(" ").append(aTarget).append(" HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: ");
  text.append(std::to_string(aBody.size())).append("\r\n");
  for (const auto& field : aHeaders) {
    text += field.mName + ": " + field.mValue + "\r\n";
  }
  text.append("\r\n").append(aBody);
  asio::write(*mState->mSocket, asio::buffer(text), error);

  // Reads the response even if writing failed: the server may have rejected the request early.
  http::response_parser<http::buffer_body> parser;
  parser.body_limit(boost::none);
  parser.skip(aMethod == "HEAD");
  http::read_header(*mState->mSocket, mState->mInput, parser, error);
  if (!error) {
    response.mStatus = parser.get().result_int();
    for (const auto& field : parser.get()) {
      response.mHeaders.push_back({ std::string(field.name_string()), std::string(field.value()) });
    }
    error = mState->ReadBody(parser, response, aOnBody);
  }
  response.mIsWhole = !error && parser.is_done();
  if (!response.mIsWhole || !parser.get().keep_alive()) {
    mState->mSocket.reset();
  }
  return response;
}

auto StreamedText(std::string_view aBody) -> std::string
{
  static constexpr std::string_view kData = "data: ";
  std::string text;
  while (!aBody.empty()) {
    auto line = aBody.substr(0, aBody.find('\n'));
    aBody.remove_prefix(std::min(line.size() + 1, aBody.size()));
    if (!line.starts_with(kData) || line == "data: [DONE]") {
      continue;
    }
    line.remove_prefix(kData.size());
    error_code error;
    const auto value = json::parse({ line.data(), line.size() }, error);
    if (error) {
      return "(malformed event)";
    }
    for (const auto& choice : value.at("choices").as_array()) {
      const auto& object = choice.as_object();
      const auto* part = object.if_contains("text");
      if (const auto* delta = object.if_contains("delta")) {
        part = delta->as_object().if_contains("content");
      }
      if (part != nullptr && part->is_string()) {
        text += std::string_view(part->get_string());
      }
    }
  }
  return text;
}

} // namespace bronzering

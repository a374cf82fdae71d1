#include "platform_call.h"

#include <bronzering/http.h>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <charconv>
#include <optional>
#include <utility>

namespace bronzering {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr auto kRevisionHeader = "Document-Revision";
constexpr std::uint32_t kMaxHeaderBytes = 16 * 1024;

auto ParseRevision(boost::beast::string_view aText) -> std::optional<revision>
{
  auto value = std::uint64_t{ 0 };
  const auto* last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, value);
  if (aText.empty() || error != std::errc() || end != last) {
    return std::nullopt;
  }
  return revision{ value };
}

} // namespace

/// Connection and state of one call. Runs on its own strand.
class platform_call::operation : public std::enable_shared_from_this<operation>
{
public:
  operation(boost::asio::io_context& aContext, std::size_t aMaxBodyBytes, handler aHandler)
    : mStream(boost::asio::make_strand(aContext))
    , mMaxBodyBytes(aMaxBodyBytes)
    , mHandler(std::move(aHandler))
  {
  }

  auto Run(const boost::asio::ip::tcp::endpoint& aEndpoint,
           const std::string& aTarget,
           duration aTimeout) -> void
  {
    mRequest = { http::verb::get, aTarget, 11 };
    mRequest.set(http::field::host,
                 aEndpoint.address().to_string() + ":" + std::to_string(aEndpoint.port()));
    mRequest.set(http::field::connection, "close");
    mStream.expires_after(aTimeout);
    mStream.async_connect(aEndpoint, [self = shared_from_this()](error_code aError) {
      aError ? self->Finish(aError) : self->Write();
    });
  }

  auto Cancel() -> void
  {
    boost::asio::dispatch(mStream.get_executor(), [self = shared_from_this()] {
      self->mHandler = nullptr;
      self->mStream.close();
    });
  }

private:
  auto Write() -> void
  {
    http::async_write(
      mStream, mRequest, [self = shared_from_this()](error_code aError, std::size_t) {
        aError ? self->Finish(aError) : self->ReadHead();
      });
  }

  auto ReadHead() -> void
  {
    mParser.emplace();
    mParser->header_limit(kMaxHeaderBytes);
    mParser->body_limit(mMaxBodyBytes);
    AsyncReadHead(mStream, mBuffer, *mParser, [self = shared_from_this()](error_code aError) {
      aError ? self->Finish(aError) : self->OnHead();
    });
  }

  auto OnHead() -> void
  {
    // The parser adds the fields that follow a chunked body to its own.
    mHead = std::move(mParser->get().base());
    if (IsInterim(mHead)) {
      ReadHead();
      return;
    }
    http::async_read(
      mStream, mBuffer, *mParser, [self = shared_from_this()](error_code aError, std::size_t) {
        self->Finish(aError);
      });
  }

  auto Finish(error_code aError) -> void
  {
    auto response = platform_response();
    if (!aError) {
      response.mStatus = mHead.result_int();
      response.mRevision = ParseRevision(mHead[kRevisionHeader]);
      response.mBody = std::move(mParser->get().body());
    }
    mStream.close();
    if (const auto handle = std::exchange(mHandler, nullptr)) {
      handle(std::move(response));
    }
  }

  boost::beast::tcp_stream mStream;
  http::request<http::empty_body> mRequest;
  std::size_t mMaxBodyBytes;
  std::optional<http::response_parser<http::string_body>> mParser;
  response_head mHead;
  boost::beast::flat_buffer mBuffer;
  handler mHandler;
};

auto platform_call::Start(boost::asio::io_context& aContext,
                          const boost::asio::ip::tcp::endpoint& aEndpoint,
                          const std::string& aTarget,
                          duration aTimeout,
                          std::size_t aMaxBodyBytes,
                          handler aHandler) -> std::shared_ptr<platform_call>
{
  auto call = std::make_shared<platform_call>();
  call->mOperation = std::make_shared<operation>(aContext, aMaxBodyBytes, std::move(aHandler));
  call->mOperation->Run(aEndpoint, aTarget, aTimeout);
  return call;
}

auto platform_call::Cancel() -> void
{
  mOperation->Cancel();
}

} // namespace bronzering

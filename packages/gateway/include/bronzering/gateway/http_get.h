#pragma once

#include <bronzering/base/errors.h>
#include <bronzering/base/time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace bronzering {

struct http_answer
{
  std::uint32_t mStatus = 0;
  std::string mBody;
  boost::beast::http::fields mFields;
};

/// HTTP client for GET requests to one server. The connection is opened on demand and kept alive
/// between requests; a request that fails or times out closes it. Runs on the thread of its
/// executor; one request at a time.
class http_get_client
{
public:
  /// aAddress is numeric, "address:port".
  http_get_client(const boost::asio::any_io_executor& aExecutor,
                  std::string aAddress,
                  std::size_t aMaxBodyBytes);

  /// Empty when no complete response was received within aTimeout.
  auto Get(std::string aTarget, duration aTimeout)
    -> boost::asio::awaitable<std::optional<http_answer>>;
  /// Whether the last request ended because its timeout expired.
  [[nodiscard]] auto HasTimedOut() const -> bool { return mHasTimedOut; }
  [[nodiscard]] auto Address() const -> const std::string& { return mAddress; }

private:
  auto Call(std::string aTarget) -> boost::asio::awaitable<std::optional<http_answer>>;
  auto Connect() -> boost::asio::awaitable<bool>;

  std::string mAddress;
  std::size_t mMaxBodyBytes;
  boost::asio::ip::tcp::socket mSocket;
  boost::beast::flat_buffer mBuffer;
  bool mHasTimedOut = false;
};

} // namespace bronzering

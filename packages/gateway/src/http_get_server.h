#pragma once

#include <bronzering/base/errors.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bronzering {

/// A response of an http_get_server.
struct http_server_response
{
  unsigned mStatus = 200;
  std::string mContentType = "text/plain";
  std::string mBody;
};

/// A minimal HTTP server for GET requests from operators, peers and the load balancer. Control
/// thread only.
class http_get_server
{
public:
  using handler = std::function<http_server_response(std::string_view aTarget)>;

  http_get_server(boost::asio::io_context& aContext, handler aHandler);
  /// Binds a numeric "address:port" and starts serving.
  [[nodiscard]] auto Start(const std::string& aListen) -> outcome<void>;
  auto Stop() -> void;

private:
  boost::asio::io_context& mContext;
  std::shared_ptr<handler> mHandler;
  boost::asio::ip::tcp::acceptor mAcceptor;
};

/// Opens the acceptor, binds it to a numeric "address:port" and listens. Fails with io_failure.
[[nodiscard]] auto Listen(boost::asio::ip::tcp::acceptor& aAcceptor, const std::string& aListen)
  -> outcome<void>;

} // namespace bronzering

#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bronzering {

/// Response of the platform; a status of zero means that the call failed.
struct platform_response
{
  unsigned mStatus = 0;
  std::optional<revision> mRevision;
  std::string mBody;
};

/// One HTTP GET request on its own connection. Shared by its owner and its pending operations;
/// thread-safe.
class platform_call
{
public:
  using handler = std::function<void(platform_response)>;

  /// Starts the call. aHandler runs once, on a thread of aContext, unless the call is cancelled.
  static auto Start(boost::asio::io_context& aContext,
                    const boost::asio::ip::tcp::endpoint& aEndpoint,
                    const std::string& aTarget,
                    duration aTimeout,
                    std::size_t aMaxBodyBytes,
                    handler aHandler) -> std::shared_ptr<platform_call>;
  /// Cancels the call. The handler is not started afterwards, but may still be running.
  auto Cancel() -> void;

private:
  class operation;
  std::shared_ptr<operation> mOperation;
};

} // namespace bronzering

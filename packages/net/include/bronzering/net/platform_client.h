#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>
#include <bronzering/coordination/messages.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace bronzering {

class metrics_registry;

struct platform_client_settings
{
  /// Addresses of the configuration service and of the VM list, "address:port". An empty address
  /// disables that service.
  std::string mConfigurationAddress;
  std::string mVmListAddress;
  /// Time for which the configuration service may delay the response to a long poll.
  duration mWatchWait = std::chrono::seconds(30);
  /// Interval between reads of the VM list, before jitter.
  duration mVmListInterval = std::chrono::seconds(2);
  /// Timeout of a call; a long poll may take mWatchWait in addition.
  duration mCallTimeout = std::chrono::seconds(2);
  /// Range of the exponential backoff after failures, before jitter.
  duration mMinBackoff = std::chrono::milliseconds(200);
  duration mMaxBackoff = std::chrono::seconds(5);
  /// Maximum size of a response body.
  std::size_t mMaxBodyBytes = std::size_t{ 1024 } * 1024;
  std::uint64_t mSeed = 0;
};

struct platform_handlers
{
  /// Receives the current document. It may be stale, and its revision may be lower than an earlier
  /// one.
  std::function<void(revision, std::string)> mOnDocument;
  /// Receives the VM list, which may be stale.
  std::function<void(std::vector<vm_entry>)> mOnVmList;
};

/// HTTP client of the platform's services: `GET /v1/document` and its long poll
/// `GET /v1/document?after=<revision>&wait=<seconds>` (200 with the header `Document-Revision`, or
/// 304 when nothing changed), and `GET /v1/vms`. Read-only. Owned by the daemon; connections
/// run on the threads that run aTraffic. All methods are called, and all handlers run, on the
/// control thread.
class platform_client
{
public:
  platform_client(boost::asio::io_context& aControl,
                  boost::asio::io_context& aTraffic,
                  platform_client_settings aSettings,
                  metrics_registry& aMetrics,
                  platform_handlers aHandlers);
  /// Cancels calls in progress. No handler runs afterwards.
  ~platform_client();
  platform_client(const platform_client&) = delete;
  auto operator=(const platform_client&) -> platform_client& = delete;

  /// Starts polling the VM list.
  auto Start() -> void;
  /// Starts or stops watching the configuration service.
  auto WatchConfiguration(bool aEnabled) -> void;
  /// Stops polling and cancels all calls.
  auto Stop() -> void;

private:
  class state;
  std::shared_ptr<state> mState;
};

} // namespace bronzering

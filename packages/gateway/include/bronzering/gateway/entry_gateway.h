#pragma once

#include <bronzering/base/errors.h>
#include <bronzering/base/metrics.h>
#include <bronzering/dispatch/published_items.h>
#include <bronzering/dispatch/routing_document.h>
#include <bronzering/gateway/gateway_settings.h>
#include <bronzering/gateway/header_names.h>
#include <bronzering/gateway/source_failure.h>
#include <bronzering/log/event_log.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// A published item that could not be decoded, and why.
struct rejected_item
{
  std::string mKey;
  std::string mWhat;
};

/// Decodes the items that a platform publishes. The functions are called on the control thread.
struct item_decoder
{
  /// The current routing document; empty when the platform has published none.
  std::function<outcome<std::optional<routing_document>>(const published_items&)> mDocument;
  /// The listed endpoints. Items that cannot be decoded are skipped and added to aRejected.
  std::function<std::vector<listed_endpoint>(const published_items&,
                                             std::vector<rejected_item>& aRejected)>
    mEndpoints;
  /// Versions that survive a restore of the platform's source; may be left out if it never is.
  owner_version_reader mVersion = {};
  /// The availability zones that the operator has evacuated; may be left out if none ever is.
  std::function<std::set<std::string>(const published_items&)> mEvacuatedZones = {};
};

/// An HTTP gateway that forwards requests directly to endpoints. It routes requests, applies
/// quotas, selects endpoints, retries where the route allows it, and exchanges load and quota state
/// with the other entries. Everything runs on the thread that runs aContext, and the public methods
/// must be called there.
class entry_gateway
{
public:
  /// The references must outlive the gateway.
  entry_gateway(boost::asio::io_context& aContext,
                gateway_settings aSettings,
                header_names aHeaderNames,
                item_decoder aDecoder,
                event_log& aLog,
                metrics_registry& aMetrics);
  ~entry_gateway();
  entry_gateway(const entry_gateway&) = delete;
  auto operator=(const entry_gateway&) -> entry_gateway& = delete;

  /// Binds all addresses and starts serving. Requests get 503 until a routing document is known.
  [[nodiscard]] auto Start() -> outcome<void>;

  /// Applies a complete snapshot of the items, as read from the platform's source.
  auto OnSnapshot(published_snapshot aSnapshot) -> void;
  /// One change from the source. Of a removed item only the key and the revision are used.
  struct item_change
  {
    published_item mItem;
    bool mIsRemoval = false;
  };
  /// Applies changes from the source, which include all changes up to aPosition, in its history.
  auto OnChanges(std::vector<item_change> aChanges, source_position aPosition) -> void;
  /// Records that the source answered a call out of the history with this number (0 if the source
  /// numbers none), or why a call to it failed.
  auto OnSourceAnswer(std::uint64_t aHistory = 0) -> void;
  auto OnSourceFailure(source_failure aFailure) -> void;

  /// Replaces the seed addresses after a settings change.
  auto SetSeeds(std::vector<std::string> aSeeds) -> void;

  /// Reports not ready, completes requests in flight, and stops the context within the shutdown
  /// grace period.
  auto Stop() -> void;

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace bronzering

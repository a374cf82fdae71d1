#pragma once

#include <bronzering/base/errors.h>
#include <bronzering/base/metrics.h>
#include <bronzering/dispatch/published_items.h>
#include <bronzering/dispatch/routing_document.h>
#include <bronzering/gateway/gateway_settings.h>
#include <bronzering/gateway/header_names.h>
#include <bronzering/log/event_log.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace bronzering {

/// An item that the platform published cannot be used.
struct rejected_item
{
  std::string mKey;
  std::string mWhat;
};

/// How a platform's published items are read. The functions are called on the control thread.
struct item_decoder
{
  /// The current routing document; empty when the platform has published none.
  std::function<outcome<std::optional<routing_document>>(const published_items&)> mDocument;
  /// The listed endpoints. Entries that cannot be read are left out and reported.
  std::function<std::vector<listed_endpoint>(const published_items&,
                                             std::vector<rejected_item>& aRejected)>
    mEndpoints;
};

/// An entry that forwards HTTP requests directly to endpoints: it routes, admits, chooses, repeats
/// what may be repeated, and shares its view with the other entries. Everything runs on the thread
/// that runs aContext; the public methods are called there.
class entry_gateway
{
public:
  /// The references outlive the gateway.
  entry_gateway(boost::asio::io_context& aContext,
                gateway_settings aSettings,
                header_names aDialect,
                item_decoder aDecoder,
                event_log& aLog,
                metrics_registry& aMetrics);
  ~entry_gateway();
  entry_gateway(const entry_gateway&) = delete;
  auto operator=(const entry_gateway&) -> entry_gateway& = delete;

  /// Binds all addresses and begins to serve. Callers get 503 until a routing document is known.
  [[nodiscard]] auto Start() -> outcome<void>;

  /// The platform's items as read from its source.
  auto OnSnapshot(published_snapshot aSnapshot) -> void;
  /// Changes from the source, up to a revision. An empty optional is a removal at mRevision.
  struct item_change
  {
    published_item mItem;
    bool mIsRemoval = false;
  };
  auto OnChanges(std::vector<item_change> aChanges, std::uint64_t aRevision) -> void;
  auto OnSourceReachable(bool aIsReachable) -> void;

  /// Replaces the seeds after a change of the settings.
  auto SetSeeds(std::vector<std::string> aSeeds) -> void;

  /// Stops being ready, serves what is under way, and stops the context within the grace time.
  auto Stop() -> void;

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace bronzering

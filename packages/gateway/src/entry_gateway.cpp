#include <bronzering/gateway/entry_gateway.h>

#include "caller_session.h"
#include "gateway_state.h"
#include "http_get_server.h"
#include "peer_channel.h"
#include "peer_codec.h"
#include "socket_options.h"
#include "with_timeout.h"

#include <bronzering/base/boot_clock.h>
#include <bronzering/base/name_table.h>
#include <bronzering/gateway/http_get.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace bronzering {

namespace {

constexpr auto kUseTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
/// Interval at which pooled connections and expired items are removed and gauges are updated.
constexpr auto kMaintenanceInterval = std::chrono::milliseconds(250);
/// Abandoned connections that are closed in a row. Bounds how long they hold up everything else.
constexpr auto kMaxAbandonedInRow = 256;
/// Delay after a failed accept, for example when the process is out of file descriptors.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);
/// Delay before items are fetched from a peer. Most often the entry's own source delivers them
/// within it.
constexpr auto kPeerFetchDelay = duration(std::chrono::milliseconds(300));
/// Time between two fetches of outdated writes. They are not worth more, since they expire.
constexpr auto kLateWritesInterval = std::chrono::seconds(1);
constexpr auto kPeerFetchTimeout = duration(std::chrono::milliseconds(500));
/// The same for a fetch of all items. A megabyte takes 0.8 s on a link of 10 Mbit/s.
constexpr auto kPeerFullFetchTimeout = duration(std::chrono::milliseconds(2'000));
constexpr auto kMaxSnapshotBytes = std::size_t{ 64 } * 1024 * 1024;
/// Idle connections are closed this long after the stop request, when the load balancer has had
/// time to notice that the entry is not ready.
constexpr auto kCloseIdleAfterStop = duration(std::chrono::milliseconds(2'500));
constexpr auto kStopPollInterval = std::chrono::milliseconds(50);

/// Why items are taken from a peer.
enum class fetch_reason
{
  /// The peer has a configuration that the source may have lost.
  Configuration,
  /// The source is unreachable, or has not been read yet.
  Source,
  /// The peer may know that writes which the source lists are outdated.
  LateWrites
};
constexpr auto kFetchReasonNames =
  name_table<fetch_reason, 3>{ { { { fetch_reason::Configuration, "configuration" },
                                   { fetch_reason::Source, "source" },
                                   { fetch_reason::LateWrites, "late_writes" } } } };

} // namespace

struct entry_gateway::state : std::enable_shared_from_this<entry_gateway::state>
{
  state(boost::asio::io_context& aContext,
        gateway_settings aSettings,
        header_names aHeaderNames,
        item_decoder aDecoder,
        event_log& aLog,
        metrics_registry& aMetrics)
    : mShared(aContext,
              std::move(aSettings),
              std::move(aHeaderNames),
              aDecoder.mVersion,
              aLog,
              aMetrics)
    , mDecoder(std::move(aDecoder))
    , mPeerChannel(mShared, [this] { OnNewerPeerItems(); })
    , mRemovalTimer(aContext)
    , mCallerAcceptor(aContext)
    , mReadinessServer(aContext,
                       [this](std::string_view aTarget) { return HandleReadinessRequest(aTarget); })
    , mOperatorServer(aContext,
                      [this](std::string_view aTarget) { return HandleOperatorRequest(aTarget); })
  {
  }

  auto Start() -> outcome<void>;
  auto AcceptCallers() -> boost::asio::awaitable<void>;
  auto StartSession(boost::asio::ip::tcp::socket aSocket) -> void;
  auto RunMaintenance() -> boost::asio::awaitable<void>;
  /// Ends the process when all callers have been answered, or at the end of the shutdown.
  auto DrainAndStop() -> boost::asio::awaitable<void>;
  auto FetchFromPeer() -> boost::asio::awaitable<void>;
  struct peer_fetch
  {
    std::string mPeer;
    fetch_reason mReason = fetch_reason::Source;
  };
  /// The peer whose items this entry should take, if its own source does not give it the latest.
  [[nodiscard]] auto NextFetch() const -> std::optional<peer_fetch>;
  auto OnNewerPeerItems() -> void;
  /// Applies the deferred changes of items that are due, and calls itself when the next one is.
  auto ApplyDeferredChanges() -> void;
  auto AdoptDocument() -> void;
  /// Gives all services a budget, and keeps what the budgets have counted.
  auto AdoptRetryBudgets(const std::vector<service_spec>& aServices) -> void;
  auto AdoptEndpoints() -> void;
  auto AdoptEvacuatedZones(time_point aNow) -> void;
  /// Logs which writes are withheld since they are older than what has taken effect.
  auto LogWithheldWrites(time_point aNow) -> void;
  /// Logs that items of the source were ignored because the copy has later ones.
  auto LogOutdatedItems(source_position aPosition,
                        std::string_view aWhat,
                        std::size_t aCount,
                        time_point aNow) -> void;
  [[nodiscard]] auto HandleReadinessRequest(std::string_view aTarget) const -> http_server_response;
  [[nodiscard]] auto HandleOperatorRequest(std::string_view aTarget) const -> http_server_response;

  gateway_state mShared;
  item_decoder mDecoder;
  peer_channel mPeerChannel;
  boost::asio::steady_timer mRemovalTimer;
  boost::asio::ip::tcp::acceptor mCallerAcceptor;
  http_get_server mReadinessServer;
  http_get_server mOperatorServer;
  std::set<std::shared_ptr<caller_session>> mSessions;
  /// Connections that were abandoned since the last line about them.
  std::size_t mAbandonedUnlogged = 0;
  bool mIsFetching = false;
  /// The next fetch asks for all items, since an answer with only what has changed could not be
  /// used, or may take longer, since the last one was not there in time.
  bool mNeedsAllItems = false;
  bool mNeedsMoreTime = false;
  /// When this entry last asked a peer for outdated writes.
  time_point mLateWritesFetched;
  std::set<std::string> mRejectedItems;
};

auto entry_gateway::state::Start() -> outcome<void>
{
  const auto& settings = mShared.mSettings;
  BOOST_LEAF_CHECK(mPeerChannel.Open());
  BOOST_LEAF_CHECK(Listen(mCallerAcceptor, settings.mCallerListen));
  BOOST_LEAF_CHECK(mReadinessServer.Start(settings.mReadinessListen));
  BOOST_LEAF_CHECK(
    mOperatorServer.Start(settings.mAddress + ":" + std::to_string(settings.mOperatorPort)));
  mShared.mPeers.SetSeeds(settings.mSeeds);

  // The coroutines share ownership of the state, so that it outlives their last resumption.
  const auto spawn = [this](auto aTask) {
    boost::asio::co_spawn(
      mShared.mContext,
      [self = shared_from_this(), aTask]() -> boost::asio::awaitable<void> {
        co_await aTask(*self);
      },
      boost::asio::detached);
  };
  spawn([](state& aSelf) { return aSelf.AcceptCallers(); });
  spawn([](state& aSelf) { return aSelf.mPeerChannel.Receive(); });
  spawn([](state& aSelf) { return aSelf.mPeerChannel.Send(); });
  spawn([](state& aSelf) { return aSelf.RunMaintenance(); });
  mShared.mLog.Write(log_priority::Notable,
                     "started",
                     { { "vm", settings.mVm },
                       { "availability_zone", settings.mAvailabilityZone },
                       { "callers", settings.mCallerListen } },
                     ReadBootClock());
  return {};
}

auto entry_gateway::state::AcceptCallers() -> boost::asio::awaitable<void>
{
  while (mCallerAcceptor.is_open()) {
    auto [error, socket] = co_await mCallerAcceptor.async_accept(kUseTuple);
    // After a flood, most of the connections that wait have been abandoned. They are closed at
    // once, so that those behind them don't wait for a round of the event loop for each.
    for (auto count = 0; !error && count < kMaxAbandonedInRow && IsHungUp(socket); ++count) {
      mShared.mMetrics.Counter("bronzering_connections_abandoned_total").Add();
      ++mAbandonedUnlogged;
      socket = mCallerAcceptor.accept(error);
    }
    if (error == boost::asio::error::would_block) {
      continue;
    }
    if (error) {
      auto pause = boost::asio::steady_timer(mShared.mContext);
      pause.expires_after(kAcceptRetryDelay);
      co_await pause.async_wait(kUseTuple);
      continue;
    }
    StartSession(std::move(socket));
  }
}

auto entry_gateway::state::StartSession(boost::asio::ip::tcp::socket aSocket) -> void
{
  if (mSessions.size() >= mShared.mSettings.mMaxConnections) {
    mShared.mMetrics.Counter("bronzering_connections_turned_away_total").Add();
    return;
  }
  auto session = std::make_shared<caller_session>(mShared, std::move(aSocket));
  mSessions.insert(session);
  boost::asio::co_spawn(
    mShared.mContext,
    [session]() { return session->Run(); },
    [self = shared_from_this(), session](std::exception_ptr /*aFailure*/) {
      self->mSessions.erase(session);
    });
}

auto entry_gateway::state::RunMaintenance() -> boost::asio::awaitable<void>
{
  auto timer = boost::asio::steady_timer(mShared.mContext);
  for (;;) {
    timer.expires_after(kMaintenanceInterval);
    co_await timer.async_wait(kUseTuple);
    const auto now = ReadBootClock();
    ApplyDeferredChanges();
    if (const auto count = std::exchange(mAbandonedUnlogged, 0); count > 0) {
      mShared.mLog.Write(log_priority::Notable,
                         "connections_abandoned",
                         { { "count", count }, { "sessions", mSessions.size() } },
                         now);
    }
    auto endpoints = std::vector<std::string>();
    for (const auto& endpoint : mShared.mEndpoints.Endpoints()) {
      endpoints.push_back(endpoint.mId);
    }
    mShared.mConnections.Prune(endpoints, now);
    mShared.mQuarantine.RemoveExpired(now);
    mShared.mEndpoints.RateLimits().RemoveExpired(now);
    mShared.mEndpoints.ColdLimits().RemoveExpired(now);
    auto& metrics = mShared.mMetrics;
    metrics.Gauge("bronzering_rate_limited_endpoints")
      .Set(static_cast<std::int64_t>(mShared.mEndpoints.RateLimits().LimitedCount()));
    metrics.Gauge("bronzering_evacuated_zones")
      .Set(static_cast<std::int64_t>(mShared.mEndpoints.EvacuatedZones().size()));
    metrics.Gauge("bronzering_cold_endpoints")
      .Set(static_cast<std::int64_t>(mShared.mEndpoints.ColdLimits().ColdCount(now)));
    metrics.Gauge("bronzering_suspected_prompt_parts")
      .Set(static_cast<std::int64_t>(mShared.mQuarantine.SuspectCount(now)));
    metrics.Gauge("bronzering_held_bytes").Set(static_cast<std::int64_t>(mShared.mMemory.Held()));
    metrics.Gauge("bronzering_caller_connections").Set(static_cast<std::int64_t>(mSessions.size()));
    metrics.Gauge("bronzering_requests_waiting")
      .Set(static_cast<std::int64_t>(mShared.mDispatchWaiter.WaitingCount()));
    metrics.Gauge("bronzering_live_peers")
      .Set(static_cast<std::int64_t>(mShared.mPeers.LiveCount()));
    metrics.Gauge("bronzering_items_revision")
      .Set(static_cast<std::int64_t>(mShared.mItems.Position().mRevision));
    metrics.Gauge("bronzering_configuration_version")
      .Set(static_cast<std::int64_t>(mShared.ConfigurationVersion()));
    metrics.Gauge("bronzering_source_answer_age_ms")
      .Set(std::chrono::floor<std::chrono::milliseconds>(mShared.SinceSourceAnswer(now)).count());
  }
}

auto entry_gateway::state::ApplyDeferredChanges() -> void
{
  auto& items = mShared.mItems;
  const auto now = ReadBootClock();
  items.SetConfirmedByPeer(mShared.mPeers.IsConfirmedByPeer(items.Position()));
  if (items.ApplyDeferredChanges(now)) {
    LogWithheldWrites(now);
    AdoptEndpoints();
  }
  mShared.mMetrics.Gauge("bronzering_withheld_writes")
    .Set(static_cast<std::int64_t>(items.WithheldCount()));
  mShared.mMetrics.Gauge("bronzering_deferred_removals")
    .Set(static_cast<std::int64_t>(items.DeferredCount()));
  if (const auto next = items.NextRemoval()) {
    mRemovalTimer.expires_after(std::max(duration::zero(), duration(*next - now)));
    mRemovalTimer.async_wait([self = shared_from_this()](boost::system::error_code aError) {
      if (!aError) {
        self->ApplyDeferredChanges();
      }
    });
  }
}

auto entry_gateway::state::DrainAndStop() -> boost::asio::awaitable<void>
{
  auto timer = boost::asio::steady_timer(mShared.mContext);
  const auto& shutdown = mShared.mShutdown;
  auto now = ReadBootClock();
  while (now < shutdown.ProcessEnd()) {
    if (shutdown.SinceRequest(now) >= kCloseIdleAfterStop) {
      for (const auto& session : mSessions) {
        session->CloseIfIdle();
      }
      if (mSessions.empty()) {
        break;
      }
    }
    timer.expires_after(kStopPollInterval);
    co_await timer.async_wait(kUseTuple);
    now = ReadBootClock();
  }
  mShared.mLog.Write(
    log_priority::Notable, "stopped", { { "connections_cut", mSessions.size() } }, now);
  mPeerChannel.AnnounceEnd();
  mShared.mContext.stop();
}

auto entry_gateway::state::OnNewerPeerItems() -> void
{
  if (mIsFetching) {
    return;
  }
  mIsFetching = true;
  boost::asio::co_spawn(
    mShared.mContext,
    [self = shared_from_this()]() { return self->FetchFromPeer(); },
    boost::asio::detached);
}

auto entry_gateway::state::NextFetch() const -> std::optional<peer_fetch>
{
  const auto now = ReadBootClock();
  const auto& peers = mShared.mPeers;
  const auto& items = mShared.mItems;
  const auto fetchFrom = [](const std::optional<std::string>& aPeer, fetch_reason aReason) {
    return aPeer ? std::optional(peer_fetch{ *aPeer, aReason }) : std::nullopt;
  };
  // A peer may have a configuration that the source has lost, if the source was restored from an
  // older copy.
  if (mShared.mConfigurationLag.IsLate(now)) {
    return fetchFrom(peers.FindPeerWithConfigurationAbove(mShared.ConfigurationVersion()),
                     fetch_reason::Configuration);
  }
  if (!items.IsSourceReachable() || !mShared.mRoutes) {
    return fetchFrom(peers.FindNewerPeer(items.Position()), fetch_reason::Source);
  }
  if (items.MayHaveLateWrites(now) && now - mLateWritesFetched >= kLateWritesInterval) {
    return fetchFrom(peers.FindPeerWithholdingMoreThan(items.WithheldCount()),
                     fetch_reason::LateWrites);
  }
  return std::nullopt;
}

auto entry_gateway::state::FetchFromPeer() -> boost::asio::awaitable<void>
{
  auto timer = boost::asio::steady_timer(mShared.mContext);
  timer.expires_after(kPeerFetchDelay);
  co_await timer.async_wait(kUseTuple);
  if (const auto fetch = NextFetch(); fetch) {
    auto address = fetch->mPeer + ":" + std::to_string(mShared.mSettings.mOperatorPort);
    auto client =
      http_get_client(mShared.mContext.get_executor(), std::move(address), kMaxSnapshotBytes);
    // All items may take longer than the bounds allow on a slow link, so an entry that has items
    // asks only for what has changed since. Its position does not show that it lacks a
    // configuration which the source has lost and peers still have, or an item of which the source
    // lists an outdated write.
    const auto asksForAll =
      mNeedsAllItems || mShared.mItems.Items().empty() || fetch->mReason != fetch_reason::Source;
    const auto timeout = asksForAll || mNeedsMoreTime ? kPeerFullFetchTimeout : kPeerFetchTimeout;
    auto target = ItemsTarget(asksForAll ? std::nullopt : std::optional(mShared.mItems.Position()));
    const auto answer = co_await client.Get(std::move(target), timeout);
    auto snapshot = answer && answer->mStatus == 200 ? DecodeSnapshot(answer->mBody, mShared.mItems)
                                                     : std::nullopt;
    mNeedsMoreTime = !answer;
    mNeedsAllItems = !snapshot && (asksForAll || answer);
    const auto now = ReadBootClock();
    const auto fetched = snapshot ? snapshot->Position() : source_position();
    if (fetch->mReason == fetch_reason::Configuration || snapshot) {
      mShared.mConfigurationLag.Restart(now);
    }
    auto isApplied = false;
    if (fetch->mReason == fetch_reason::LateWrites) {
      mLateWritesFetched = now;
      isApplied = snapshot && mShared.mItems.MergeLaterWrites(std::move(*snapshot), now);
    } else {
      isApplied =
        snapshot && mShared.mItems.ApplySnapshot(std::move(*snapshot), item_origin::Peer, now);
    }
    mShared.mLog.Write(log_priority::Notable,
                       "items_from_peer",
                       { { "peer", fetch->mPeer },
                         { "reason", kFetchReasonNames.NameOf(fetch->mReason) },
                         { "revision", fetched.mRevision },
                         { "history", fetched.mHistory },
                         { "all", asksForAll },
                         { "bytes", answer ? answer->mBody.size() : 0 },
                         { "applied", isApplied } },
                       now);
    LogWithheldWrites(now);
    if (isApplied) {
      AdoptDocument();
      AdoptEndpoints();
    }
  }
  mIsFetching = false;
}

auto entry_gateway::state::AdoptDocument() -> void
{
  const auto now = ReadBootClock();
  auto document = boost::leaf::try_handle_all(
    [this]() -> outcome<std::optional<routing_document>> {
      return mDecoder.mDocument(mShared.mItems);
    },
    [this, now](const malformed_input& aError) -> std::optional<routing_document> {
      mShared.mLog.Write(
        log_priority::Notable, "configuration_rejected", { { "reason", aError.mWhat } }, now);
      return std::nullopt;
    },
    [] { return std::optional<routing_document>(); });
  const auto current = mShared.ConfigurationVersion();
  if (!document || document->mVersion <= current) {
    return;
  }

  auto table = std::make_shared<const route_table>(std::move(*document));
  mShared.mEndpoints.Configure(table->Document().mServices);
  mShared.mRateLimiter.Configure(table->Document().mOrganisations, now);
  AdoptRetryBudgets(table->Document().mServices);
  mShared.mRoutes = table;
  mShared.mFirstDocumentAdopted.cancel();
  mShared.mDispatchWaiter.Wake();
  mShared.mLog.Write(log_priority::Notable,
                     "configuration_adopted",
                     { { "version", table->Document().mVersion },
                       { "previous", current },
                       { "revision", mShared.mItems.Position().mRevision },
                       { "history", mShared.mItems.Position().mHistory },
                       { "routes", table->Document().mRoutes.size() },
                       { "organisations", table->Document().mOrganisations.size() },
                       { "requires_key", table->Document().mRequiresKey } },
                     now);
}

auto entry_gateway::state::AdoptRetryBudgets(const std::vector<service_spec>& aServices) -> void
{
  auto& budgets = mShared.mRetryBudgets;
  // A service that is dropped by mistake comes back with the next document.
  const auto now = ReadBootClock();
  std::erase_if(budgets, [now](const auto& aBudget) { return aBudget.second.IsIdle(now); });
  for (const auto& service : aServices) {
    budgets[service.mName].Configure(mShared.mSettings.mRetryLimits);
  }
  mShared.mHedges.RetainServices(aServices);
}

auto entry_gateway::state::AdoptEvacuatedZones(time_point aNow) -> void
{
  if (!mDecoder.mEvacuatedZones) {
    return;
  }
  auto zones = mDecoder.mEvacuatedZones(mShared.mItems);
  const auto& current = mShared.mEndpoints.EvacuatedZones();
  if (zones == current) {
    return;
  }
  const auto log = [this, aNow](std::string_view aEvent, const std::string& aZone) {
    mShared.mLog.Write(log_priority::Notable,
                       aEvent,
                       { { "zone", aZone },
                         { "revision", mShared.mItems.Position().mRevision },
                         { "history", mShared.mItems.Position().mHistory },
                         { "source_reachable", mShared.mItems.IsSourceReachable() } },
                       aNow);
  };
  for (const auto& zone : zones) {
    if (!current.contains(zone)) {
      log("zone_evacuated", zone);
    }
  }
  for (const auto& zone : current) {
    if (!zones.contains(zone)) {
      log("zone_returned", zone);
    }
  }
  mShared.mEndpoints.SetEvacuatedZones(std::move(zones), aNow);
}

auto entry_gateway::state::AdoptEndpoints() -> void
{
  const auto now = ReadBootClock();
  auto rejected = std::vector<rejected_item>();
  auto endpoints = mDecoder.mEndpoints(mShared.mItems, rejected);
  auto rejectedNow = std::set<std::string>();
  for (const auto& item : rejected) {
    rejectedNow.insert(item.mKey);
    if (!mRejectedItems.contains(item.mKey)) {
      mShared.mLog.Write(log_priority::Notable,
                         "endpoint_rejected",
                         { { "item", item.mKey }, { "reason", item.mWhat } },
                         now);
    }
  }
  mRejectedItems = std::move(rejectedNow);

  // Log the endpoints whose state has changed for this entry.
  auto previous = std::map<std::string, listed_endpoint>();
  for (auto& endpoint : mShared.mEndpoints.Endpoints()) {
    auto id = endpoint.mId;
    previous.emplace(std::move(id), std::move(endpoint));
  }
  const auto log = [this, now](const listed_endpoint& aEndpoint, std::string_view aState) {
    const auto& number = aEndpoint.mWriteNumber;
    mShared.mLog.Write(log_priority::Notable,
                       "endpoint_state",
                       { { "endpoint", aEndpoint.mId },
                         { "state", aState },
                         { "incarnation", aEndpoint.mIncarnation },
                         { "write", number ? boost::json::value(*number) : nullptr },
                         { "written", aEndpoint.mWritten.mRevision },
                         { "revision", mShared.mItems.Position().mRevision },
                         { "history", mShared.mItems.Position().mHistory } },
                       now);
  };
  for (const auto& endpoint : endpoints) {
    const auto found = previous.find(endpoint.mId);
    if (found == previous.end() || found->second.mIsLeaving != endpoint.mIsLeaving) {
      log(endpoint, endpoint.mIsLeaving ? "leaving" : "ready");
    }
    const auto isNewWrite = found == previous.end() || found->second.mWritten != endpoint.mWritten;
    const auto* service = mShared.mEndpoints.ServiceOf(endpoint.mService);
    if (isNewWrite && endpoint.mColdLeft > duration::zero() && service != nullptr &&
        service->mColdRate > 0) {
      log(endpoint, "cold");
    }
    previous.erase(endpoint.mId);
  }
  for (const auto& [id, last] : previous) {
    log(last, "gone");
  }
  mShared.mEndpoints.Apply(std::move(endpoints), now);
  AdoptEvacuatedZones(now);
  mShared.mDispatchWaiter.Wake();
}

auto entry_gateway::state::LogWithheldWrites(time_point aNow) -> void
{
  for (const auto& event : mShared.mItems.TakeWithheldEvents()) {
    mShared.mLog.Write(log_priority::Notable,
                       "outdated_write",
                       { { "item", event.mKey },
                         { "change", kWithheldChangeNames.NameOf(event.mChange) },
                         { "incarnation", event.mVersion.mIncarnation },
                         { "write", event.mVersion.mNumber },
                         { "later_incarnation", event.mLater.mIncarnation },
                         { "later_write", event.mLater.mNumber },
                         { "source_reachable", mShared.mItems.IsSourceReachable() } },
                       aNow);
  }
}

auto entry_gateway::state::LogOutdatedItems(source_position aPosition,
                                            std::string_view aWhat,
                                            std::size_t aCount,
                                            time_point aNow) -> void
{
  mShared.mLog.Write(log_priority::Notable,
                     "items_outdated",
                     { { "kind", aWhat },
                       { "ignored", aCount },
                       { "revision", aPosition.mRevision },
                       { "history", aPosition.mHistory },
                       { "held", mShared.mItems.Position().mRevision },
                       { "held_history", mShared.mItems.Position().mHistory } },
                     aNow);
}

auto entry_gateway::state::HandleReadinessRequest(std::string_view /*aTarget*/) const
  -> http_server_response
{
  const auto isReady = mShared.mRoutes && !mShared.mShutdown.IsStopping();
  return { isReady ? 200U : 503U, "text/plain", isReady ? "ready\n" : "not ready\n" };
}

auto entry_gateway::state::HandleOperatorRequest(std::string_view aTarget) const
  -> http_server_response
{
  if (aTarget == "/metrics") {
    return { 200, "text/plain; version=0.0.4", mShared.mMetrics.Render() };
  }
  if (const auto items = ParseItemsTarget(aTarget); items && mShared.mRoutes) {
    return { 200,
             "application/octet-stream",
             EncodeSnapshot(mShared.mItems.Snapshot(ReadBootClock()), items->mKnown) };
  }
  return { 404, "text/plain", "not found\n" };
}

entry_gateway::entry_gateway(boost::asio::io_context& aContext,
                             gateway_settings aSettings,
                             header_names aHeaderNames,
                             item_decoder aDecoder,
                             event_log& aLog,
                             metrics_registry& aMetrics)
  : mState(std::make_shared<state>(aContext,
                                   std::move(aSettings),
                                   std::move(aHeaderNames),
                                   std::move(aDecoder),
                                   aLog,
                                   aMetrics))
{
}

entry_gateway::~entry_gateway() = default;

auto entry_gateway::Start() -> outcome<void>
{
  return mState->Start();
}

auto entry_gateway::OnSnapshot(published_snapshot aSnapshot) -> void
{
  const auto now = ReadBootClock();
  const auto position = aSnapshot.Position();
  if (!mState->mShared.mItems.ApplySnapshot(std::move(aSnapshot), item_origin::Source, now)) {
    mState->LogOutdatedItems(position, "snapshot", 1, now);
    return;
  }
  mState->LogWithheldWrites(now);
  mState->AdoptDocument();
  mState->AdoptEndpoints();
}

auto entry_gateway::OnChanges(std::vector<item_change> aChanges, source_position aPosition) -> void
{
  auto& items = mState->mShared.mItems;
  const auto now = ReadBootClock();
  auto outdated = std::size_t{ 0 };
  for (auto& change : aChanges) {
    auto& item = change.mItem;
    item.mHistory = aPosition.mHistory;
    const auto isApplied = change.mIsRemoval ? items.ApplyRemoval(item.mKey, item.Position(), now)
                                             : items.ApplyWrite(std::move(item), now);
    outdated += isApplied ? 0 : 1;
  }
  if (outdated > 0) {
    mState->LogOutdatedItems(aPosition, "changes", outdated, now);
    mState->LogWithheldWrites(now);
  }
  items.AdvanceTo(aPosition);
  if (!aChanges.empty()) {
    mState->AdoptDocument();
    mState->AdoptEndpoints();
  }
}

auto entry_gateway::OnSourceAnswer(std::uint64_t aHistory) -> void
{
  auto& shared = mState->mShared;
  const auto now = ReadBootClock();
  if (shared.mSourceHistory != aHistory) {
    shared.mLog.Write(log_priority::Notable,
                      "source_history",
                      { { "history", aHistory },
                        { "previous", shared.mSourceHistory },
                        { "held", shared.mItems.Position().mRevision },
                        { "held_history", shared.mItems.Position().mHistory },
                        { "items", shared.mItems.Items().size() },
                        { "version", shared.ConfigurationVersion() } },
                      now);
    shared.mSourceHistory = aHistory;
    shared.mMetrics.Gauge("bronzering_source_history").Set(static_cast<std::int64_t>(aHistory));
  }
  const auto sinceAnswer = shared.SinceSourceAnswer(now);
  shared.mLastSourceAnswer = now;
  const auto interruption = shared.mItems.OnSourceAnswer(now);
  if (interruption) {
    shared.mLog.Write(log_priority::Notable,
                      "platform_regained",
                      { { "revision", shared.mItems.Position().mRevision },
                        { "interruption", kSourceInterruptionNames.NameOf(*interruption) },
                        { "removals_deferred", shared.mItems.DeferredCount() },
                        { "since_answer_us", sinceAnswer.count() } },
                      now);
  }
  if (shared.mItems.DeferredCount() > 0) {
    mState->ApplyDeferredChanges();
  }
}

auto entry_gateway::OnSourceFailure(source_failure aFailure) -> void
{
  auto& shared = mState->mShared;
  const auto name = kSourceFailureNames.NameOf(aFailure);
  shared.mMetrics
    .Counter("bronzering_source_failures_total", "reason=\"" + std::string(name) + "\"")
    .Add();
  const auto now = ReadBootClock();
  const auto wasReachable = shared.mItems.IsSourceReachable();
  shared.mItems.OnSourceFailure(now);
  if (!wasReachable) {
    return;
  }
  shared.mLog.Write(log_priority::Notable,
                    "platform_lost",
                    { { "revision", shared.mItems.Position().mRevision },
                      { "reason", name },
                      { "since_answer_us", shared.SinceSourceAnswer(now).count() } },
                    now);
}

auto entry_gateway::SetSeeds(std::vector<std::string> aSeeds) -> void
{
  mState->mShared.mPeers.SetSeeds(aSeeds);
}

auto entry_gateway::Stop() -> void
{
  auto& shared = mState->mShared;
  if (shared.mShutdown.IsStopping()) {
    return;
  }
  const auto now = ReadBootClock();
  shared.mShutdown.Begin(now, shared.mSettings.mStopGrace);
  mState->mPeerChannel.AnnounceShutdown();
  shared.mLog.Write(
    log_priority::Notable, "stopping", { { "sessions", mState->mSessions.size() } }, now);
  for (const auto& session : mState->mSessions) {
    session->OnStopRequested();
  }
  boost::asio::co_spawn(
    shared.mContext, [self = mState]() { return self->DrainAndStop(); }, boost::asio::detached);
}

} // namespace bronzering

#include "entry_daemon.h"

#include <bronzering/base/errors.h>
#include <bronzering/base/metrics.h>
#include <bronzering/base/overloaded.h>
#include <bronzering/coordination/entry_node.h>
#include <bronzering/daemon/daemon_event_loop.h>
#include <bronzering/daemon/node_log.h>
#include <bronzering/daemon/process_start.h>
#include <bronzering/net/caller_server.h>
#include <bronzering/net/operator_server.h>
#include <bronzering/net/peer_network.h>
#include <bronzering/net/platform_client.h>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <utility>

namespace bronzering {

namespace {

// How long a stopping process waits for the acknowledgements of its peers.
constexpr auto kPeerShutdownTimeout = duration(std::chrono::seconds(2));

auto NodeSettings(const entry_process_settings& aSettings) -> entry_settings
{
  auto settings = entry_settings();
  settings.mIdentity = { process_role::Entry,
                         aSettings.mProcess.mVm,
                         aSettings.mProcess.mAvailabilityZone,
                         "",
                         NewIncarnation() };
  settings.mSeed = NewSeed();
  settings.mMaxWaiting = aSettings.mMaxWaiting;
  settings.mMaxWaitingPerOrganisation = aSettings.mMaxWaitingPerOrganisation;
  return settings;
}

auto ServerSettings(const entry_process_settings& aSettings) -> caller_server_settings
{
  auto settings = caller_server_settings();
  settings.mListen = aSettings.mCallerListen;
  settings.mThreads = aSettings.mProcess.mTrafficThreads;
  settings.mMaxConnections = aSettings.mProcess.mMaxConnections;
  settings.mMaxHeaderBytes = aSettings.mMaxHeaderBytes;
  settings.mMaxBodyBytes = aSettings.mMaxBodyBytes;
  return settings;
}

auto PeerNetworkSettings(const process_settings& aSettings, const process_identity& aIdentity)
  -> peer_network_settings
{
  auto settings = peer_network_settings();
  const auto address = ParseSocketAddress(aSettings.mPeerListen).value_or(socket_address());
  settings.mIdentity = aIdentity;
  settings.mListenAddress = address.mAddress;
  settings.mListenPort = address.mPort;
  settings.mPresharedKey = aSettings.mPresharedKey;
  settings.mSeed = NewSeed();
  return settings;
}

auto PlatformSettings(const process_settings& aSettings) -> platform_client_settings
{
  auto settings = platform_client_settings();
  settings.mConfigurationAddress = aSettings.mConfigurationService;
  settings.mVmListAddress = aSettings.mVmList;
  settings.mSeed = NewSeed();
  return settings;
}

auto OperatorSettings(const process_settings& aSettings) -> operator_server_settings
{
  auto settings = operator_server_settings();
  settings.mListen = aSettings.mOperatorListen;
  return settings;
}

/// Connects one entry_node to its network adapters. Exists for the lifetime of the process.
/// Everything except the internal work of the adapters runs on the control thread.
class entry_daemon
{
public:
  explicit entry_daemon(const entry_process_settings& aSettings)
    : mNodeSettings(NodeSettings(aSettings))
    , mLog(mNodeSettings.mIdentity.mVm, mMetrics)
    , mLoop(std::max<std::size_t>(1, aSettings.mProcess.mTrafficThreads / 2))
    , mNode(mNodeSettings, mMetrics)
    , mCallerServer(ServerSettings(aSettings), mLoop.Control(), CallerHandlers(), mMetrics)
    , mPeers(mLoop.Control(),
             mLoop.Traffic(),
             PeerNetworkSettings(aSettings.mProcess, mNodeSettings.mIdentity),
             mMetrics,
             [this](peer_event aEvent) { OnPeerEvent(std::move(aEvent)); })
    , mPlatform(mLoop.Control(),
                mLoop.Traffic(),
                PlatformSettings(aSettings.mProcess),
                mMetrics,
                PlatformHandlers())
    , mOperatorServer(OperatorSettings(aSettings.mProcess),
                      mLoop.Control(),
                      { [this] { return mNode.IsReady(); },
                        [this] { return boost::json::serialize(mNode.Dump(ReadClocks())); } },
                      mMetrics)
  {
  }

  auto Run() -> outcome<int>
  {
    BOOST_LEAF_CHECK(mPeers.Start());
    BOOST_LEAF_CHECK(mOperatorServer.Start());
    BOOST_LEAF_CHECK(mCallerServer.Start());
    mPlatform.Start();
    mLog.Write("started",
               { { "role", "entry" },
                 { "availability_zone", mNodeSettings.mIdentity.mAvailabilityZone },
                 { "caller_port", mCallerServer.Port() },
                 { "peer_port", mPeers.Port() },
                 { "operator_port", mOperatorServer.Port() } });
    Handle([](entry_node& aNode, instant aNow) { aNode.OnTimer(aNow); });
    mLoop.Run({ [this] { Handle([](entry_node& aNode, instant aNow) { aNode.OnTimer(aNow); }); },
                [this] { Drain(); },
                [this] {
                  mLog.Close("stopped_at_once", { { "cut_off", mCallerServer.OpenExchanges() } });
                } });
    mOperatorServer.Stop();
    mPlatform.Stop();
    mCallerServer.Stop();
    mLog.Close("stopped", {});
    return EXIT_SUCCESS;
  }

private:
  /// Passes an event to the node and performs the resulting actions.
  template<class Event>
  auto Handle(Event aEvent) -> void
  {
    aEvent(mNode, ReadClocks());
    for (auto actions = mNode.TakeActions(); !actions.empty(); actions = mNode.TakeActions()) {
      for (auto& action : actions) {
        Perform(std::move(action));
      }
    }
    mLog.WriteDecisions(mNode.TakeDecisions());
    if (auto config = mNode.Configuration(); config != mConfig) {
      mConfig = std::move(config);
      mLog.Write("configuration_adopted", { { "revision", mConfig->mRevision.mValue } });
      mCallerServer.SetConfiguration(mConfig);
    }
    mLoop.SetTimer(mNode.NextTimer());
    if (mIsDraining && !mIsStopping && mNode.IsDrained() && mCallerServer.OpenExchanges() == 0) {
      mIsStopping = true;
      mPeers.Stop(kPeerShutdownTimeout, [this] { mLoop.Stop(); });
    }
  }

  auto Perform(entry_action aAction) -> void
  {
    std::visit(
      overloaded{
        [this](send_message& aSend) { mPeers.Send(aSend.mPeer, std::move(aSend.mMessage)); },
        [this](connect_peer& aConnect) { mPeers.Open(std::move(aConnect.mAddress)); },
        [this](disconnect_peer& aDisconnect) { mPeers.Close(std::move(aDisconnect.mAddress)); },
        [this](watch_configuration& aWatch) { mPlatform.WatchConfiguration(aWatch.mEnabled); },
        [this](auto& aCallerAction) { mCallerServer.Apply(std::move(aCallerAction)); } },
      aAction);
  }

  auto Drain() -> void
  {
    mLog.Write("stopping", { { "open", mCallerServer.OpenExchanges() } });
    mIsDraining = true;
    mCallerServer.StopAccepting();
    Handle([](entry_node& aNode, instant aNow) { aNode.BeginDrain(aNow); });
  }

  auto CallerHandlers() -> caller_events
  {
    return { [this](caller_request aRequest) {
              Handle([&](entry_node& aNode, instant aNow) {
                aNode.OnRequest(std::move(aRequest), aNow);
              });
            },
             [this](exchange_id aExchange, std::uint64_t aBytes) {
               Handle([&](entry_node& aNode, instant aNow) {
                 aNode.OnAnswerBytesDelivered(aExchange, aBytes, aNow);
               });
             },
             [this](exchange_id aExchange) {
               Handle([&](entry_node& aNode, instant aNow) {
                 aNode.OnCallerDisconnected(aExchange, aNow);
               });
             } };
  }

  auto PlatformHandlers() -> platform_handlers
  {
    return { [this](revision aRevision, const std::string& aDocument) {
              Handle([&](entry_node& aNode, instant aNow) {
                aNode.OnDocument(aRevision, aDocument, aNow);
              });
            },
             [this](std::vector<vm_entry> aList) {
               Handle(
                 [&](entry_node& aNode, instant aNow) { aNode.OnVmList(std::move(aList), aNow); });
             } };
  }

  auto OnPeerEvent(peer_event aEvent) -> void
  {
    Handle([&](entry_node& aNode, instant aNow) {
      std::visit(
        overloaded{
          [&](peer_up& aConnected) {
            aNode.OnPeerUp(aConnected.mPeer,
                           std::move(aConnected.mIdentity),
                           std::move(aConnected.mListed),
                           aNow);
          },
          [&](const peer_silent& aSilent) {
            aNode.OnPeerSilent(aSilent.mPeer, aSilent.mSilent, aNow);
          },
          [&](const peer_down& aDisconnected) { aNode.OnPeerDown(aDisconnected.mPeer, aNow); },
          [&](peer_received& aReceived) {
            aNode.OnMessage(aReceived.mPeer, std::move(aReceived.mMessage), aNow);
          } },
        aEvent);
    });
  }

  metrics_registry mMetrics;
  entry_settings mNodeSettings;
  node_log mLog;
  daemon_event_loop mLoop;
  entry_node mNode;
  caller_server mCallerServer;
  peer_network mPeers;
  platform_client mPlatform;
  operator_server mOperatorServer;
  std::shared_ptr<const fleet_config> mConfig;
  bool mIsDraining = false;
  bool mIsStopping = false;
};

auto Fail(const std::string& aWhat) -> int
{
  std::cerr << "entry: cannot start: " << aWhat << '\n';
  return EXIT_FAILURE;
}

} // namespace

auto RunEntry(const entry_process_settings& aSettings) -> int
{
  auto daemon = entry_daemon(aSettings);
  return boost::leaf::try_handle_all(
    [&]() -> outcome<int> { return daemon.Run(); },
    [](const io_failure& aError) { return Fail(aError.mWhat); },
    [](const malformed_input& aError) { return Fail(aError.mWhat); },
    [] { return Fail("unknown error"); });
}

} // namespace bronzering

#include "agent_daemon.h"

#include <bronzering/base/errors.h>
#include <bronzering/base/metrics.h>
#include <bronzering/base/overloaded.h>
#include <bronzering/coordination/agent_node.h>
#include <bronzering/daemon/daemon_event_loop.h>
#include <bronzering/daemon/node_log.h>
#include <bronzering/daemon/process_start.h>
#include <bronzering/net/engine_client.h>
#include <bronzering/net/operator_server.h>
#include <bronzering/net/peer_network.h>
#include <bronzering/net/platform_client.h>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace bronzering {

namespace {

// How long a stopping process waits for the acknowledgements of its peers.
constexpr auto kPeerShutdownTimeout = duration(std::chrono::seconds(2));

auto NodeSettings(const agent_process_settings& aSettings) -> agent_settings
{
  auto settings = agent_settings();
  settings.mIdentity = { process_role::Agent,
                         aSettings.mProcess.mVm,
                         aSettings.mProcess.mAvailabilityZone,
                         aSettings.mEndpoint,
                         NewIncarnation() };
  settings.mSeed = NewSeed();
  settings.mMaxTickets = aSettings.mMaxTickets;
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
  settings.mMaxConnections = aSettings.mMaxConnections;
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

/// Connects one agent_node to its network adapters. Exists for the lifetime of the process.
/// Everything except the internal work of the adapters runs on the control thread.
class agent_daemon
{
public:
  explicit agent_daemon(const agent_process_settings& aSettings)
    : mEngineAddress(aSettings.mEngineAddress)
    , mNodeSettings(NodeSettings(aSettings))
    , mLog(mNodeSettings.mIdentity.mVm, mMetrics)
    , mLoop(aSettings.mProcess.mTrafficThreads)
    , mNode(mNodeSettings, mMetrics)
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
    mPlatform.Start();
    mLog.Write("started",
               { { "role", "agent" },
                 { "availability_zone", mNodeSettings.mIdentity.mAvailabilityZone },
                 { "endpoint", mNodeSettings.mIdentity.mEndpoint },
                 { "peer_port", mPeers.Port() },
                 { "operator_port", mOperatorServer.Port() } });
    Handle([](agent_node& aNode, instant aNow) { aNode.OnTimer(aNow); });
    mLoop.Run({ [this] { Handle([](agent_node& aNode, instant aNow) { aNode.OnTimer(aNow); }); },
                [this] { Drain(); },
                [this] {
                  mLog.Close("stopped_at_once", { { "cut_off", mInFlight.size() } });
                } });
    mOperatorServer.Stop();
    mPlatform.Stop();
    if (mEngine != nullptr) {
      mEngine->Stop();
    }
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
      StartEngineClient();
    }
    mLoop.SetTimer(mNode.NextTimer());
    if (mIsDraining && !mIsStopping && mNode.IsDrained()) {
      mIsStopping = true;
      mPeers.Stop(kPeerShutdownTimeout, [this] { mLoop.Stop(); });
    }
  }

  auto Perform(agent_action aAction) -> void
  {
    std::visit(
      overloaded{
        [this](send_message& aSend) { mPeers.Send(aSend.mPeer, std::move(aSend.mMessage)); },
        [this](watch_configuration& aWatch) { mPlatform.WatchConfiguration(aWatch.mEnabled); },
        [this](auto& aEngineAction) { ApplyToEngine(std::move(aEngineAction)); } },
      aAction);
  }

  auto Drain() -> void
  {
    mLog.Write("stopping", { { "open", mInFlight.size() } });
    mIsDraining = true;
    Handle([](agent_node& aNode, instant aNow) { aNode.BeginDrain(aNow); });
  }

  /// Starts the engine client with the first configuration that contains the endpoint, because the
  /// endpoint's kind is read from there.
  auto StartEngineClient() -> void
  {
    const auto endpoint = mConfig->mEndpoints.find(mNodeSettings.mIdentity.mEndpoint);
    if (mEngine != nullptr || endpoint == mConfig->mEndpoints.end()) {
      return;
    }
    auto settings = engine_client_settings();
    settings.mAddress = mEngineAddress;
    settings.mKind = endpoint->second.mKind;
    mEngine = std::make_unique<engine_client>(
      std::move(settings),
      mLoop.Control(),
      [this](engine_event aEvent) { OnEngineEvent(std::move(aEvent)); },
      mMetrics);
    const auto isStarted = boost::leaf::try_handle_all(
      [this]() -> outcome<bool> {
        BOOST_LEAF_CHECK(mEngine->Start());
        return true;
      },
      [] { return false; });
    if (!isStarted) {
      mLog.Write("engine_client_failed", { { "address", mEngineAddress } });
    }
  }

  auto ApplyToEngine(engine_action aAction) -> void
  {
    if (const auto* submit = std::get_if<submit_to_engine>(&aAction)) {
      mInFlight.insert(submit->mRequest);
    } else if (const auto* cancelled = std::get_if<cancel_on_engine>(&aAction)) {
      mInFlight.erase(cancelled->mRequest);
    }
    if (mEngine != nullptr) {
      mEngine->Apply(std::move(aAction));
    }
  }

  auto OnEngineEvent(engine_event aEvent) -> void
  {
    std::visit(
      overloaded{ [this](const engine_answer_end& aEnd) { mInFlight.erase(aEnd.mRequest); },
                  [this](const engine_failure& aFailure) { mInFlight.erase(aFailure.mRequest); },
                  [](const auto&) {} },
      aEvent);
    Handle([&](agent_node& aNode, instant aNow) { aNode.OnEngineEvent(std::move(aEvent), aNow); });
  }

  auto PlatformHandlers() -> platform_handlers
  {
    return { [this](revision aRevision, const std::string& aDocument) {
              Handle([&](agent_node& aNode, instant aNow) {
                aNode.OnDocument(aRevision, aDocument, aNow);
              });
            },
             [this](std::vector<vm_entry> aList) {
               Handle(
                 [&](agent_node& aNode, instant aNow) { aNode.OnVmList(std::move(aList), aNow); });
             } };
  }

  auto OnPeerEvent(peer_event aEvent) -> void
  {
    Handle([&](agent_node& aNode, instant aNow) {
      std::visit(
        overloaded{
          [&](peer_up& aConnected) {
            aNode.OnPeerUp(aConnected.mPeer, std::move(aConnected.mIdentity), aNow);
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

  std::string mEngineAddress;
  metrics_registry mMetrics;
  agent_settings mNodeSettings;
  node_log mLog;
  daemon_event_loop mLoop;
  agent_node mNode;
  peer_network mPeers;
  platform_client mPlatform;
  operator_server mOperatorServer;
  std::unique_ptr<engine_client> mEngine;
  /// Requests in progress on the engine; only used for logging.
  std::set<request_id> mInFlight;
  std::shared_ptr<const fleet_config> mConfig;
  bool mIsDraining = false;
  bool mIsStopping = false;
};

auto Fail(const std::string& aWhat) -> int
{
  std::cerr << "agent: cannot start: " << aWhat << '\n';
  return EXIT_FAILURE;
}

} // namespace

auto RunAgent(const agent_process_settings& aSettings) -> int
{
  return boost::leaf::try_handle_all(
    [&]() -> outcome<int> {
      // Held until the process ends. A paused older agent of this endpoint still holds the port,
      // which prevents two agents from controlling one engine.
      BOOST_LEAF_AUTO(port, exclusive_port::Acquire(aSettings.mExclusivePort));
      auto daemon = agent_daemon(aSettings);
      return daemon.Run();
    },
    [](const io_failure& aError) { return Fail(aError.mWhat); },
    [](const malformed_input& aError) { return Fail(aError.mWhat); },
    [] { return Fail("unknown error"); });
}

} // namespace bronzering

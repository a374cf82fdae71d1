#include <bronzering/net/peer_network.h>

#include "link_metrics.h"
#include "net_address.h"
#include "peer_connection.h"
#include "peer_link.h"
#include "psk_context.h"

#include <bronzering/base/hash.h>
#include <bronzering/base/metrics.h>
#include <bronzering/base/random_source.h>
#include <bronzering/wire/frame.h>
#include <bronzering/wire/link_session.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/leaf/result.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <unordered_map>
#include <utility>

namespace bronzering {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kMinKeyBytes = 16;
/// Maximum answer bytes per message. Longer parts are split, so that the receiver can forward each
/// message as it arrives.
constexpr std::size_t kMaxAnswerBytes = kMaxFragmentBytes - 512;
/// Delay before a lost session is reopened, scaled by a random factor from 0.5 to 1.5.
constexpr auto kReopenDelay = std::chrono::milliseconds(200);

} // namespace

/// The part of a peer_network that pending operations share. The mutex guards the link maps and is
/// not held while calling links or handlers.
class peer_network::state : public std::enable_shared_from_this<peer_network::state>
{
public:
  state(boost::asio::io_context& aControl,
        boost::asio::io_context& aTraffic,
        peer_network_settings aSettings,
        metrics_registry& aMetrics,
        event_handler aHandler)
    : mControl(aControl)
    , mTraffic(aTraffic)
    , mSettings(std::move(aSettings))
    , mMetrics(aMetrics)
    , mHandler(std::move(aHandler))
    , mAcceptor(boost::asio::make_strand(aTraffic))
    , mAcceptRetryTimer(mAcceptor.get_executor())
    , mRandom(mSettings.mSeed ^ mSettings.mIdentity.mIncarnation.mValue)
  {
  }

  auto Start() -> outcome<void>;
  auto Port() const -> std::uint16_t { return mPort; }
  auto Open(std::string aAddress) -> void;
  auto Close(const std::string& aAddress) -> void;
  auto Send(peer_id aPeer, peer_message aMessage) -> void;
  auto Stop(duration aGrace, std::function<void()> aDone) -> void;
  auto Abort() -> void;

private:
  /// Identity of a process that connected, without its incarnation.
  using process_key = std::tuple<process_role, std::string, std::string>;
  /// Incarnation of the process that connected, and its session id.
  using session_key = std::pair<std::uint64_t, std::uint64_t>;
  struct accepted_link
  {
    std::shared_ptr<peer_link> mLink;
    process_key mProcess;
  };
  /// Scope guard that counts a connection in an atomic and, if given, a gauge.
  class connection_count;

  auto AcceptNext() -> void;
  auto OnConnection(tcp::socket aSocket) -> void;
  auto ReadHello(std::shared_ptr<peer_connection> aConnection, std::shared_ptr<void> aHandshake)
    -> void;
  auto OnHello(const std::shared_ptr<peer_connection>& aConnection, const hello& aHello) -> void;
  auto OpenLink(const std::string& aAddress) -> void;
  auto ScheduleReopen(const std::string& aAddress) -> void;
  auto MakeLink(boost::asio::any_io_executor aStrand) -> std::shared_ptr<peer_link>;
  auto MakeCallbacks() -> link_callbacks;
  auto Deliver(const std::shared_ptr<peer_link>& aLink,
               std::vector<peer_event> aEvents,
               std::size_t aBytes) -> void;
  auto OnFinished(const std::shared_ptr<peer_link>& aLink) -> void;
  auto ReportStopped() -> void;

  boost::asio::io_context& mControl;
  boost::asio::io_context& mTraffic;
  const peer_network_settings mSettings;
  link_metrics mMetrics;
  event_handler mHandler;
  std::shared_ptr<boost::asio::ssl::context> mTls;
  tcp::acceptor mAcceptor;
  boost::asio::steady_timer mAcceptRetryTimer;
  std::uint16_t mPort = 0;
  std::atomic<std::uint64_t> mNextPeer = 1;
  std::atomic<std::size_t> mConnections = 0;
  std::atomic<std::size_t> mHandshakes = 0;
  /// Set when no more events may be delivered. Accessed on the control thread only.
  bool mAreEventsDisabled = false;

  std::mutex mMutex;
  random_source mRandom;
  std::map<std::string, std::shared_ptr<peer_link>> mOpened;
  std::map<session_key, accepted_link> mAccepted;
  std::unordered_map<peer_id, std::shared_ptr<peer_link>> mPeers;
  /// All links that are not finished, including those being closed.
  std::set<std::shared_ptr<peer_link>> mLinks;
  bool mIsStopping = false;
  std::function<void()> mOnStopped;
};

class peer_network::state::connection_count
{
public:
  connection_count(std::shared_ptr<state> aState, std::atomic<std::size_t>& aCount, gauge* aGauge)
    : mState(std::move(aState))
    , mCount(aCount)
    , mGauge(aGauge)
  {
    ++mCount;
    if (mGauge != nullptr) {
      mGauge->Add(1);
    }
  }
  ~connection_count()
  {
    --mCount;
    if (mGauge != nullptr) {
      mGauge->Add(-1);
    }
  }
  connection_count(const connection_count&) = delete;
  auto operator=(const connection_count&) -> connection_count& = delete;

private:
  std::shared_ptr<state> mState;
  std::atomic<std::size_t>& mCount;
  gauge* mGauge;
};

auto peer_network::state::Start() -> outcome<void>
{
  if (mSettings.mPresharedKey.size() < kMinKeyBytes) {
    return boost::leaf::new_error(malformed_input{ "the pre-shared key is shorter than 16 bytes" });
  }
  mTls = MakePskContext(mSettings.mPresharedKey);

  const auto endpoint = ParseEndpoint(mSettings.mListenAddress, mSettings.mListenPort);
  if (!endpoint) {
    return boost::leaf::new_error(
      malformed_input{ "listen address " + mSettings.mListenAddress + " is not an IP address" });
  }
  auto error = error_code();
  mAcceptor.open(endpoint->protocol(), error);
  if (!error) {
    mAcceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    mAcceptor.bind(*endpoint, error);
  }
  if (!error) {
    mAcceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return boost::leaf::new_error(io_failure{ "cannot listen for peers: " + error.message() });
  }
  mPort = mAcceptor.local_endpoint().port();
  boost::asio::post(mAcceptor.get_executor(), [self = shared_from_this()] { self->AcceptNext(); });
  return {};
}

auto peer_network::state::AcceptNext() -> void
{
  if (!mAcceptor.is_open()) {
    return;
  }
  mAcceptor.async_accept(boost::asio::make_strand(mTraffic),
                         [self = shared_from_this()](error_code aError, tcp::socket aSocket) {
                           if (aError == boost::asio::error::operation_aborted) {
                             return;
                           }
                           if (!aError) {
                             self->OnConnection(std::move(aSocket));
                             self->AcceptNext();
                             return;
                           }
                           // Usually the process is out of file descriptors. An immediate retry
                           // would spin.
                           self->mAcceptRetryTimer.expires_after(std::chrono::milliseconds(100));
                           self->mAcceptRetryTimer.async_wait(
                             [self](error_code) { self->AcceptNext(); });
                         });
}

auto peer_network::state::OnConnection(tcp::socket aSocket) -> void
{
  if (mConnections >= mSettings.mMaxConnections || mHandshakes >= mSettings.mMaxHandshakes) {
    mMetrics.mRefusedConnections.Add();
    auto ignored = error_code();
    aSocket.close(ignored);
    return;
  }
  // The guards decrement the counts when the connection or the handshake ends, on every path.
  auto connectionGuard =
    std::make_shared<connection_count>(shared_from_this(), mConnections, &mMetrics.mConnections);
  auto handshake = std::make_shared<connection_count>(shared_from_this(), mHandshakes, nullptr);
  auto connection = std::make_shared<peer_connection>(std::move(aSocket), mTls);
  connection->KeepAlive(std::move(connectionGuard));

  boost::asio::dispatch(connection->Executor(), [self = shared_from_this(), connection, handshake] {
    connection->SetDeadline(self->mSettings.mHandshakeTimeout);
    connection->Accept([self, connection, handshake](bool aOk) {
      if (aOk) {
        self->ReadHello(connection, handshake);
      } else {
        self->mMetrics.mFailedHandshakes.Add();
        connection->Close();
      }
    });
  });
}

auto peer_network::state::ReadHello(std::shared_ptr<peer_connection> aConnection,
                                    std::shared_ptr<void> aHandshake) -> void
{
  auto& connection = *aConnection;
  connection.Read([self = shared_from_this(),
                   owned = std::move(aConnection),
                   handshake = std::move(aHandshake)](std::string_view aBytes) {
    auto& decoder = owned->Decoder();
    decoder.Feed(aBytes);
    const auto next = decoder.Next();
    const auto isMalformed = !next || (*next && !std::holds_alternative<hello>(**next));
    if (aBytes.empty() || isMalformed) {
      self->mMetrics.mFailedHandshakes.Add();
      if (isMalformed) {
        self->mMetrics.mMalformedInput.Add();
      }
      owned->Close();
      return;
    }
    self->mMetrics.mBytesReceived.Add(aBytes.size());
    if (!*next) {
      self->ReadHello(owned, handshake);
      return;
    }
    owned->CancelDeadline();
    self->OnHello(owned, std::get<hello>(**next));
  });
}

auto peer_network::state::OnHello(const std::shared_ptr<peer_connection>& aConnection,
                                  const hello& aHello) -> void
{
  auto link = std::shared_ptr<peer_link>();
  auto superseded = std::vector<std::shared_ptr<peer_link>>();
  const auto key = session_key{ aHello.mIdentity.mIncarnation.mValue, aHello.mSession };
  {
    const auto lock = std::lock_guard(mMutex);
    const auto known = mAccepted.find(key);
    if (known != mAccepted.end()) {
      link = known->second.mLink;
    } else if (link_session::CanBegin(aHello) && !mIsStopping) {
      link = MakeLink(aConnection->Executor());
      const auto& peer = aHello.mIdentity;
      auto process = process_key(peer.mRole, peer.mVm, peer.mEndpoint);
      for (const auto& [other, record] : mAccepted) {
        if (record.mProcess == process && other.first < key.first) {
          superseded.push_back(record.mLink);
        }
      }
      mAccepted.emplace(key, accepted_link{ link, std::move(process) });
    }
  }
  for (const auto& older : superseded) {
    older->OnSuperseded();
  }
  if (link) {
    link->Accept(aConnection, aHello);
    return;
  }

  // Tells the peer that its session no longer exists, so that it starts a new one.
  auto reply = std::string();
  AppendFrame(link_session::RefusalOf(mSettings.mIdentity, aHello), reply);
  mMetrics.mBytesSent.Add(reply.size());
  aConnection->Write(std::move(reply), [aConnection](bool) { aConnection->CloseGracefully(); });
}

auto peer_network::state::MakeLink(boost::asio::any_io_executor aStrand)
  -> std::shared_ptr<peer_link>
{
  auto settings = peer_link_settings();
  settings.mIdentity = mSettings.mIdentity;
  settings.mLink.mMaxResendBytes = mSettings.mMaxResendBytes;
  settings.mLink.mMaxMessageBytes = mSettings.mMaxMessageBytes;
  settings.mLink.mMaxPartialBytes = 2 * mSettings.mMaxResendBytes;
  settings.mMaxUnhandledBytes = mSettings.mMaxUnhandledBytes;
  settings.mSeed = mRandom.Bits();
  auto link =
    std::make_shared<peer_link>(std::move(aStrand), std::move(settings), MakeCallbacks(), mMetrics);
  mLinks.insert(link);
  return link;
}

auto peer_network::state::MakeCallbacks() -> link_callbacks
{
  auto callbacks = link_callbacks();
  callbacks.mTlsContext = [self = shared_from_this()] { return self->mTls; };
  callbacks.mRegister = [self = shared_from_this()](const std::shared_ptr<peer_link>& aLink) {
    const auto id = peer_id{ self->mNextPeer++ };
    const auto lock = std::lock_guard(self->mMutex);
    self->mPeers.emplace(id, aLink);
    return id;
  };
  callbacks.mDeliver = [self = shared_from_this()](const std::shared_ptr<peer_link>& aLink,
                                                   std::vector<peer_event> aEvents,
                                                   std::size_t aBytes) {
    self->Deliver(aLink, std::move(aEvents), aBytes);
  };
  callbacks.mOnFinished = [self = shared_from_this()](const std::shared_ptr<peer_link>& aLink) {
    self->OnFinished(aLink);
  };
  return callbacks;
}

auto peer_network::state::Deliver(const std::shared_ptr<peer_link>& aLink,
                                  std::vector<peer_event> aEvents,
                                  std::size_t aBytes) -> void
{
  for (const auto& event : aEvents) {
    if (const auto* down = std::get_if<peer_down>(&event)) {
      const auto lock = std::lock_guard(mMutex);
      mPeers.erase(down->mPeer);
    }
  }
  boost::asio::post(
    mControl,
    [self = shared_from_this(), link = aLink, events = std::move(aEvents), aBytes]() mutable {
      for (auto& event : events) {
        if (!self->mAreEventsDisabled) {
          self->mHandler(std::move(event));
        }
      }
      link->OnHandled(aBytes);
    });
}

auto peer_network::state::Open(std::string aAddress) -> void
{
  {
    const auto lock = std::lock_guard(mMutex);
    if (mIsStopping || !mOpened.try_emplace(aAddress).second) {
      return;
    }
  }
  OpenLink(aAddress);
}

auto peer_network::state::OpenLink(const std::string& aAddress) -> void
{
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    mMetrics.mMalformedInput.Add();
    return;
  }
  auto link = std::shared_ptr<peer_link>();
  auto session = std::uint64_t{ 0 };
  {
    const auto lock = std::lock_guard(mMutex);
    const auto position = mOpened.find(aAddress);
    if (mIsStopping || position == mOpened.end() || position->second) {
      return;
    }
    link = MakeLink(boost::asio::make_strand(mTraffic));
    session = mRandom.Bits();
    position->second = link;
  }
  link->Open(*endpoint, aAddress, session);
}

auto peer_network::state::ScheduleReopen(const std::string& aAddress) -> void
{
  auto factor = 1.0;
  {
    const auto lock = std::lock_guard(mMutex);
    factor = 0.5 + mRandom.Uniform01();
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(mTraffic);
  timer->expires_after(FromSeconds(ToSeconds(kReopenDelay) * factor));
  timer->async_wait([self = shared_from_this(), timer, aAddress](error_code aError) {
    if (!aError) {
      self->OpenLink(aAddress);
    }
  });
}

auto peer_network::state::Close(const std::string& aAddress) -> void
{
  auto link = std::shared_ptr<peer_link>();
  {
    const auto lock = std::lock_guard(mMutex);
    const auto position = mOpened.find(aAddress);
    if (position == mOpened.end()) {
      return;
    }
    link = std::move(position->second);
    mOpened.erase(position);
  }
  if (link) {
    link->Close(duration());
  }
}

auto peer_network::state::Send(peer_id aPeer, peer_message aMessage) -> void
{
  auto link = std::shared_ptr<peer_link>();
  {
    const auto lock = std::lock_guard(mMutex);
    const auto position = mPeers.find(aPeer);
    if (position == mPeers.end()) {
      return;
    }
    link = position->second;
  }

  // Split a long part of an answer into several messages.
  const auto* data = std::get_if<answer_data>(&aMessage);
  if (data != nullptr && data->mBytes.size() > kMaxAnswerBytes) {
    for (auto at = std::size_t{ 0 }; at < data->mBytes.size(); at += kMaxAnswerBytes) {
      link->Send(answer_data{ data->mRequest,
                              data->mOffset + at,
                              data->mBytes.substr(at, kMaxAnswerBytes),
                              data->mGeneratedTokens });
    }
    return;
  }
  link->Send(std::move(aMessage));
}

auto peer_network::state::OnFinished(const std::shared_ptr<peer_link>& aLink) -> void
{
  auto address = std::string();
  auto isLast = false;
  {
    const auto lock = std::lock_guard(mMutex);
    mLinks.erase(aLink);
    std::erase_if(mAccepted, [&](const auto& aEntry) { return aEntry.second.mLink == aLink; });
    for (auto& [opened, link] : mOpened) {
      if (link == aLink) {
        link.reset();
        address = opened;
      }
    }
    isLast = mIsStopping && mLinks.empty();
  }
  if (!address.empty()) {
    ScheduleReopen(address);
  }
  if (isLast) {
    ReportStopped();
  }
}

auto peer_network::state::Stop(duration aGrace, std::function<void()> aDone) -> void
{
  auto links = std::set<std::shared_ptr<peer_link>>();
  {
    const auto lock = std::lock_guard(mMutex);
    mIsStopping = true;
    mOnStopped = std::move(aDone);
    mOpened.clear();
    links = mLinks;
  }
  boost::asio::post(mAcceptor.get_executor(), [self = shared_from_this()] {
    auto ignored = error_code();
    self->mAcceptor.close(ignored);
  });
  for (const auto& link : links) {
    link->Close(aGrace);
  }
  if (links.empty()) {
    ReportStopped();
  }
}

auto peer_network::state::ReportStopped() -> void
{
  auto done = std::function<void()>();
  {
    const auto lock = std::lock_guard(mMutex);
    done = std::exchange(mOnStopped, nullptr);
  }
  if (done) {
    boost::asio::post(mControl, [self = shared_from_this(), done = std::move(done)] {
      if (!self->mAreEventsDisabled) {
        done();
      }
    });
  }
}

auto peer_network::state::Abort() -> void
{
  mAreEventsDisabled = true;
  auto links = std::set<std::shared_ptr<peer_link>>();
  {
    const auto lock = std::lock_guard(mMutex);
    mIsStopping = true;
    mOnStopped = nullptr;
    mOpened.clear();
    mAccepted.clear();
    mPeers.clear();
    links = std::exchange(mLinks, {});
  }
  for (const auto& link : links) {
    link->Abort();
  }
  boost::asio::post(mAcceptor.get_executor(), [self = shared_from_this()] {
    auto ignored = error_code();
    self->mAcceptor.close(ignored);
    self->mAcceptRetryTimer.cancel();
  });
}

peer_network::peer_network(boost::asio::io_context& aControl,
                           boost::asio::io_context& aTraffic,
                           peer_network_settings aSettings,
                           metrics_registry& aMetrics,
                           event_handler aHandler)
  : mState(std::make_shared<state>(aControl,
                                   aTraffic,
                                   std::move(aSettings),
                                   aMetrics,
                                   std::move(aHandler)))
{
}

peer_network::~peer_network()
{
  mState->Abort();
}

auto peer_network::Start() -> outcome<void>
{
  return mState->Start();
}

auto peer_network::Port() const -> std::uint16_t
{
  return mState->Port();
}

auto peer_network::Open(std::string aAddress) -> void
{
  mState->Open(std::move(aAddress));
}

auto peer_network::Close(std::string aAddress) -> void
{
  mState->Close(aAddress);
}

auto peer_network::Send(peer_id aPeer, peer_message aMessage) -> void
{
  mState->Send(aPeer, std::move(aMessage));
}

auto peer_network::Stop(duration aGrace, std::function<void()> aDone) -> void
{
  mState->Stop(aGrace, std::move(aDone));
}

} // namespace bronzering

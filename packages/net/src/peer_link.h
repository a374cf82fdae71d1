#pragma once

#include "link_metrics.h"
#include "peer_connection.h"

#include <bronzering/net/peer_network.h>
#include <bronzering/wire/link_session.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bronzering {

class peer_link;

/// Callbacks of a link into its peer_network. Thread-safe.
struct link_callbacks
{
  std::function<std::shared_ptr<boost::asio::ssl::context>()> mTlsContext;
  /// Assigns a peer_id to an established session.
  std::function<peer_id(const std::shared_ptr<peer_link>&)> mRegister;
  /// Passes events and the number of message bytes in them to the control thread. When the control
  /// thread has handled the events, it calls peer_link::OnHandled with that number.
  std::function<void(const std::shared_ptr<peer_link>&, std::vector<peer_event>, std::size_t)>
    mDeliver;
  /// Called when the session has ended and all its connections are closed.
  std::function<void(const std::shared_ptr<peer_link>&)> mOnFinished;
};

struct peer_link_settings
{
  process_identity mIdentity;
  link_settings mLink;
  /// Reading pauses while more received bytes than this wait for the control thread, and resumes at
  /// half of it. Zero is a limit of zero bytes, not unlimited.
  std::size_t mMaxUnhandledBytes = 0;
  std::uint64_t mSeed = 0;
};

/// Drives one link_session: opens and closes connections, transfers bytes, runs the timer and
/// decodes messages. The session outlives its connections, which are identified by their attempt
/// numbers. When the session has ended, the link closes the connections and is finished. Shared by
/// the network and its pending operations. Public methods may be called from any thread; private
/// methods run on the link's strand.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
  peer_link(boost::asio::any_io_executor aStrand,
            peer_link_settings aSettings,
            link_callbacks aCallbacks,
            link_metrics& aMetrics);

  /// Starts a session with the process at an address. aListed is the address as passed to
  /// peer_network::Open; peer_up reports it.
  auto Open(boost::asio::ip::tcp::endpoint aEndpoint, std::string aListed, std::uint64_t aSession)
    -> void;
  /// Adds an accepted connection whose hello names this link's session. The first one starts the
  /// session.
  auto Accept(std::shared_ptr<peer_connection> aConnection, hello aHello) -> void;
  auto Send(peer_message aMessage) -> void;
  /// Ends the session once its messages are acknowledged, or after aGrace.
  auto Close(duration aGrace) -> void;
  /// Reports that a newer incarnation of the peer process has connected: the session is lost as
  /// soon as it has no working connection.
  auto OnSuperseded() -> void;
  /// Ends the session immediately, without events.
  auto Abort() -> void;
  /// Reports that the control thread has handled received bytes; may resume reading.
  auto OnHandled(std::size_t aBytes) -> void;

private:
  /// A connection of the session and the state of its reads and writes.
  struct transport
  {
    std::shared_ptr<peer_connection> mConnection;
    bool mIsWriting = false;
    /// Reading is paused because mMaxUnhandledBytes is exceeded.
    bool mIsPaused = false;
  };

  template<class Function>
  auto OnStrand(Function aFunction) -> void;
  auto ProcessSession() -> void;
  auto Execute(link_action aAction) -> void;
  auto HandlePayload(const std::string& aBytes) -> void;
  auto OpenConnection(std::uint64_t aAttempt) -> void;
  auto CloseConnection(std::uint64_t aAttempt) -> void;
  auto Read(std::uint64_t aAttempt) -> void;
  auto OnBytes(std::uint64_t aAttempt, std::string_view aBytes) -> void;
  auto HandleFrames(std::uint64_t aAttempt) -> void;
  auto Write(std::uint64_t aAttempt) -> void;
  auto OnWritten(std::uint64_t aAttempt, bool aOk) -> void;
  auto ArmTimer() -> void;
  auto UpdateMetrics() -> void;
  auto FlushEvents() -> void;
  auto FinishWhenDone() -> void;

  boost::asio::any_io_executor mStrand;
  boost::asio::steady_timer mTimer;
  std::optional<time_point> mTimerExpiry;
  peer_link_settings mSettings;
  link_callbacks mCallbacks;
  link_metrics& mMetrics;

  boost::asio::ip::tcp::endpoint mEndpoint;
  /// Empty if the peer opened the session.
  std::string mListed;
  std::optional<link_session> mSession;
  /// Open connections by attempt number.
  std::map<std::uint64_t, transport> mTransports;
  /// Assigned when the session is established.
  std::optional<peer_id> mPeer;
  /// Abort was called.
  bool mIsAborted = false;
  /// The session has ended, all connections are closed and mOnFinished was called.
  bool mIsFinished = false;
  /// Counts that are already included in mMetrics.
  link_counts mReportedCounts;

  /// Events not yet passed to mDeliver, and the message bytes in them.
  std::vector<peer_event> mEvents;
  std::size_t mEventBytes = 0;
  /// Message bytes passed to mDeliver for which OnHandled has not been called yet.
  std::atomic<std::size_t> mUnhandledBytes = 0;
};

} // namespace bronzering

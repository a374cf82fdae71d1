#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/name_table.h>
#include <bronzering/base/random_source.h>
#include <bronzering/base/time.h>
#include <bronzering/coordination/messages.h>
#include <bronzering/wire/frame.h>
#include <bronzering/wire/send_queue.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace bronzering {

enum class link_role
{
  /// Opens the connections of the session, the first and all later ones.
  Opener,
  Acceptor
};

/// Timing and bounds of a session; the defaults are those of the design.
struct link_settings
{
  /// An ack is sent this long after a fragment at the latest; the peer expects it within 500 ms.
  duration mAckDelay = std::chrono::milliseconds(40);
  /// Received bytes that are acknowledged at once.
  std::size_t mAckBytes = std::size_t{ 256 } * 1024;
  /// A connection without an expected answer for this long is replaced.
  duration mResponseTimeout = std::chrono::seconds(1);
  /// A session without a working connection for this long is reported silent, then lost.
  duration mSilentAfter = std::chrono::seconds(2);
  duration mLostAfter = std::chrono::seconds(30);
  /// A quiet link is probed after the first interval; the interval doubles with each answered probe
  /// up to the second, so that a connection that goes silent in the midst of traffic is noticed
  /// soon and an idle link stays cheap.
  duration mMinProbeInterval = std::chrono::milliseconds(500);
  duration mMaxProbeInterval = std::chrono::seconds(10);
  /// Time for one connection attempt; doubles with each failure up to the second.
  duration mMinAttemptTimeout = std::chrono::seconds(1);
  duration mMaxAttemptTimeout = std::chrono::seconds(4);
  /// Jittered backoff between failed attempts.
  duration mMinBackoff = std::chrono::milliseconds(20);
  duration mMaxBackoff = std::chrono::seconds(2);
  /// Bytes of messages kept until acknowledged.
  std::size_t mMaxResendBytes = std::size_t{ 32 } * 1024 * 1024;
  /// Bytes of one message, and of all messages received in part.
  std::size_t mMaxMessageBytes = std::size_t{ 16 } * 1024 * 1024;
  std::size_t mMaxPartialBytes = std::size_t{ 64 } * 1024 * 1024;
};

enum class loss_reason
{
  Closed,
  PeerClosed,
  PeerReplaced,
  Silence,
  Overflow,
  ProtocolViolation
};
inline constexpr auto kLossReasonNames =
  name_table<loss_reason, 6>{ { { { loss_reason::Closed, "closed" },
                                  { loss_reason::PeerClosed, "peer_closed" },
                                  { loss_reason::PeerReplaced, "peer_replaced" },
                                  { loss_reason::Silence, "silence" },
                                  { loss_reason::Overflow, "overflow" },
                                  { loss_reason::ProtocolViolation, "protocol_violation" } } } };

/// Actions of a link_session. Connections are named by the attempt that opened them.
struct open_connection
{
  std::uint64_t mAttempt = 0;
};
struct close_connection
{
  std::uint64_t mAttempt = 0;
};
/// Both directions work for the first time.
struct link_up
{
  process_identity mPeer;
};
struct link_silent
{
  bool mSilent = false;
};
/// The last action of a session. Output already produced may still be written.
struct link_lost
{
  loss_reason mReason = loss_reason::Closed;
};
/// A whole message.
struct link_payload
{
  std::string mBytes;
};
using link_action =
  std::variant<open_connection, close_connection, link_up, link_silent, link_lost, link_payload>;

struct link_counts
{
  std::uint64_t mConnections = 0;
  std::uint64_t mMessagesSent = 0;
  std::uint64_t mMessagesReceived = 0;
  std::uint64_t mResentFragments = 0;
  std::uint64_t mDuplicates = 0;
};

/// One session with a peer process over a sequence of connections, free of I/O. Messages are cut
/// into numbered fragments, kept until acknowledged, and sent again on a new connection after the
/// last one received; each message is delivered exactly once, or the session is reported lost. The
/// order of delivery is that of message_class. The adapter delivers events with the current time,
/// carries out the actions of TakeActions in order, writes what Produce returns, and calls OnTimer
/// at NextTimer. Not thread-safe: owned by the adapter's link, which serialises calls.
class link_session
{
public:
  /// An opener; opens its first connection at once.
  link_session(process_identity aSelf,
               std::uint64_t aSession,
               std::uint64_t aSeed,
               link_settings aSettings,
               time_point aNow);
  /// An acceptor, created by a hello for which no session exists. The hello's connection is
  /// current. Precondition: CanBegin(aHello).
  link_session(process_identity aSelf,
               const hello& aHello,
               std::uint64_t aSeed,
               link_settings aSettings,
               time_point aNow);

  /// Whether a hello may begin a session: one that resumes a session which this process does not
  /// have may not, and is answered with RefusalOf.
  [[nodiscard]] static auto CanBegin(const hello& aHello) -> bool;
  [[nodiscard]] static auto RefusalOf(const process_identity& aSelf, const hello& aHello) -> hello;

  /// The transport of an attempt is ready. Opener only.
  auto OnConnected(std::uint64_t aAttempt, time_point aNow) -> void;
  /// The connection ended, or could not be opened.
  auto OnDisconnected(std::uint64_t aAttempt, time_point aNow) -> void;
  /// A further connection of this session; false when a newer one was seen or the hello belongs to
  /// another session, and the connection is to be closed. Acceptor only.
  [[nodiscard]] auto OnAccepted(const hello& aHello, time_point aNow) -> bool;
  /// A frame; for an acceptor, other than the hello that OnAccepted took.
  auto OnFrame(std::uint64_t aAttempt, const frame& aFrame, time_point aNow) -> void;
  auto OnTimer(time_point aNow) -> void;
  [[nodiscard]] auto NextTimer() const -> std::optional<time_point>;

  /// Queues an encoded message. A message over the bounds loses the session.
  auto Send(std::string aPayload, message_class aClass, time_point aNow) -> void;
  /// Ends the session when all messages are acknowledged, or at aDeadline.
  auto Close(time_point aDeadline, time_point aNow) -> void;
  /// The peer process was replaced by a newer one: the session is lost as soon as it has no working
  /// connection.
  auto OnSuperseded(time_point aNow) -> void;

  /// Appends frames for the connection until about aMaxBytes are reached. The caller calls again
  /// when it has written them, since later messages may be more urgent.
  auto Produce(std::uint64_t aAttempt, std::size_t aMaxBytes, std::string& aOut, time_point aNow)
    -> void;
  [[nodiscard]] auto HasOutput(std::uint64_t aAttempt) const -> bool;

  [[nodiscard]] auto TakeActions() -> std::vector<link_action>;
  [[nodiscard]] auto Counts() const -> const link_counts& { return mCounts; }
  [[nodiscard]] auto Session() const -> std::uint64_t { return mSession; }
  [[nodiscard]] auto Peer() const -> const process_identity& { return mPeer; }
  [[nodiscard]] auto IsLost() const -> bool { return mLost; }
  /// Bytes kept for sending, and received in part.
  [[nodiscard]] auto BufferedBytes() const -> std::size_t { return mSendBytes + mPartialBytes; }

private:
  enum class connection_state
  {
    None,
    /// Opener: waiting for the transport, then for the peer's hello.
    Connecting,
    AwaitingHello,
    /// Acceptor: the hello was taken, but nothing shows yet that the peer received the reply.
    Unconfirmed,
    Working
  };
  struct sequenced_fragment
  {
    std::uint64_t mSequence = 0;
    queued_fragment mFragment;
  };

  auto StartAttempt(time_point aNow) -> void;
  auto DropConnection(time_point aOutageStart, time_point aNow, bool aIsFailure) -> void;
  auto Resume(std::uint64_t aReceived, time_point aNow) -> bool;
  auto ConfirmWorking(time_point aNow) -> void;
  auto OnHello(const hello& aHello, time_point aNow) -> void;
  auto OnFragment(const fragment& aFragment, time_point aNow) -> void;
  auto OnAcknowledged(std::uint64_t aReceived, time_point aNow) -> void;
  auto OnFrameReceived(time_point aNow) -> void;
  auto Reassemble(const fragment& aFragment) -> void;
  auto AppendSequenced(const sequenced_fragment& aSequenced, std::string& aOut, time_point aNow)
    -> void;
  auto EndOutage() -> void;
  auto EndSession(loss_reason aReason) -> void;
  auto FinishClosing(time_point aNow) -> void;
  auto CloseTimedOutConnection(time_point aNow) -> void;
  auto ReportOutage(time_point aNow) -> void;
  [[nodiscard]] auto IsOpen() const -> bool;
  [[nodiscard]] auto CanTimeOut() const -> bool;
  [[nodiscard]] auto ProbeInterval() const -> duration;
  [[nodiscard]] auto HelloToSend() const -> hello;

  link_role mRole;
  link_settings mSettings;
  process_identity mSelf;
  process_identity mPeer;
  std::uint64_t mSession;
  random_source mRandom;

  // Connection.
  connection_state mState = connection_state::None;
  std::uint64_t mAttempt = 0;
  bool mHelloPending = false;
  bool mGoodbyePending = false;
  unsigned mFailures = 0;
  std::optional<time_point> mAttemptDeadline;
  std::optional<time_point> mRetryAt;

  // Sending.
  send_queue mQueue;
  std::deque<sequenced_fragment> mUnacknowledged;
  /// Index into mUnacknowledged of the first fragment not yet sent on this connection.
  std::size_t mNextToResend = 0;
  std::uint64_t mNextSequence = 1;
  std::uint64_t mAcknowledged = 0;
  std::size_t mSendBytes = 0;

  // Receiving.
  std::uint64_t mReceived = 0;
  std::unordered_map<std::uint32_t, std::string> mPartial;
  std::size_t mPartialBytes = 0;
  std::size_t mBytesSinceAck = 0;
  std::optional<time_point> mAckDue;
  bool mAckPending = false;

  // Liveness.
  time_point mLastFrameTime;
  duration mProbeInterval;
  bool mProbePending = false;
  std::optional<time_point> mProbeSentAt;
  std::optional<time_point> mAckAwaitedSince;
  /// Since when no connection has worked; empty while one does.
  std::optional<time_point> mOutageStart;
  bool mReportedUp = false;
  bool mReportedSilent = false;
  bool mSuperseded = false;
  bool mLost = false;
  std::optional<time_point> mCloseDeadline;

  std::vector<link_action> mActions;
  link_counts mCounts;
};

} // namespace bronzering

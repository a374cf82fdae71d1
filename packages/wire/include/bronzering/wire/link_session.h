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
  /// Opens all connections of the session, including those after a disconnect.
  Opener,
  Acceptor
};

/// Timeouts and size limits of a session. The defaults are those of docs/protocol.md.
struct link_settings
{
  /// Maximum delay between a received fragment and its ack. Must be well below the peer's
  /// mResponseTimeout, after which the peer replaces the connection. docs/protocol.md expects the
  /// ack within 500 ms, but no code enforces that limit.
  duration mAckDelay = std::chrono::milliseconds(40);
  /// Received bytes after which an ack is sent without waiting for mAckDelay.
  std::size_t mAckBytes = std::size_t{ 256 } * 1024;
  /// A connection is replaced when an expected ack or reply to a probe does not arrive in this
  /// time.
  duration mResponseTimeout = std::chrono::seconds(1);
  /// A session without a working connection is reported silent after the first duration and lost
  /// after the second.
  duration mSilentAfter = std::chrono::seconds(2);
  duration mLostAfter = std::chrono::seconds(30);
  /// An idle link is probed after the minimum interval; the interval doubles with each answered
  /// probe up to the maximum. A connection that fails during traffic is thus detected early, while
  /// a link that stays idle needs few probes.
  duration mMinProbeInterval = std::chrono::milliseconds(500);
  duration mMaxProbeInterval = std::chrono::seconds(10);
  /// Timeout of one connection attempt; doubles with each failure from the minimum to the maximum.
  duration mMinAttemptTimeout = std::chrono::seconds(1);
  duration mMaxAttemptTimeout = std::chrono::seconds(4);
  /// Exponential backoff with jitter between failed connection attempts.
  duration mMinBackoff = std::chrono::milliseconds(20);
  duration mMaxBackoff = std::chrono::seconds(2);
  /// Maximum bytes of messages that are buffered until they are acknowledged.
  std::size_t mMaxResendBytes = std::size_t{ 32 } * 1024 * 1024;
  /// Maximum bytes of one message, and of all partially received messages together.
  std::size_t mMaxMessageBytes = std::size_t{ 16 } * 1024 * 1024;
  std::size_t mMaxPartialBytes = std::size_t{ 64 } * 1024 * 1024;
};

enum class loss_reason
{
  /// This process called Close.
  Closed,
  /// The peer sent a goodbye frame.
  PeerClosed,
  /// The peer no longer knows the session, or another incarnation has replaced the peer process.
  PeerReplaced,
  /// No connection worked for link_settings::mLostAfter.
  Silence,
  /// A message to send exceeded mMaxMessageBytes, or the unacknowledged messages would have
  /// exceeded mMaxResendBytes.
  Overflow,
  /// The peer sent an impossible acknowledgement, or messages that exceed mMaxMessageBytes or
  /// mMaxPartialBytes.
  ProtocolViolation
};
inline constexpr auto kLossReasonNames =
  name_table<loss_reason, 6>{ { { { loss_reason::Closed, "closed" },
                                  { loss_reason::PeerClosed, "peer_closed" },
                                  { loss_reason::PeerReplaced, "peer_replaced" },
                                  { loss_reason::Silence, "silence" },
                                  { loss_reason::Overflow, "overflow" },
                                  { loss_reason::ProtocolViolation, "protocol_violation" } } } };

/// Actions of a link_session. Connections are identified by the attempt number that opened them.
struct open_connection
{
  std::uint64_t mAttempt = 0;
};
struct close_connection
{
  std::uint64_t mAttempt = 0;
};
/// Both directions of the link work for the first time.
struct link_up
{
  process_identity mPeer;
};
/// The session has had no working connection for mSilentAfter (mSilent true), or has one again
/// (false).
struct link_silent
{
  bool mSilent = false;
};
/// The last action of a session. Output that was produced before may still be written.
struct link_lost
{
  loss_reason mReason = loss_reason::Closed;
};
/// A complete received message.
struct link_payload
{
  std::string mBytes;
};
using link_action =
  std::variant<open_connection, close_connection, link_up, link_silent, link_lost, link_payload>;

/// Totals since the start of a session.
struct link_counts
{
  /// Connections on which the session was established or resumed. The acceptor does not count its
  /// first one.
  std::uint64_t mConnections = 0;
  /// Messages that Send has queued.
  std::uint64_t mMessagesSent = 0;
  /// Messages received completely.
  std::uint64_t mMessagesReceived = 0;
  /// Fragments sent again on a later connection.
  std::uint64_t mResentFragments = 0;
  /// Received fragments dropped because they had been received before.
  std::uint64_t mDuplicates = 0;
};

/// Protocol state of one session with a peer process over a sequence of connections, without I/O.
/// Messages are split into fragments with sequence numbers and buffered until acknowledged; a new
/// connection resends those that the peer has not received. Each message is delivered exactly once,
/// or the session is reported lost. message_class defines the order of delivery. The caller reports
/// events with the current time, executes the actions of TakeActions in order, writes the output of
/// Produce, and calls OnTimer at NextTimer. Not thread-safe: the owner serialises calls.
class link_session
{
public:
  /// Creates the opener of a session, which requests its first connection immediately.
  link_session(process_identity aSelf,
               std::uint64_t aSession,
               std::uint64_t aSeed,
               link_settings aSettings,
               time_point aNow);
  /// Creates the acceptor for a hello that matches no existing session. The connection that carried
  /// the hello becomes the current one. Precondition: CanBegin(aHello).
  link_session(process_identity aSelf,
               const hello& aHello,
               std::uint64_t aSeed,
               link_settings aSettings,
               time_point aNow);

  /// Whether a hello may begin a new session. A hello that resumes a session unknown to this
  /// process may not, and is answered with RefusalOf.
  [[nodiscard]] static auto CanBegin(const hello& aHello) -> bool;
  [[nodiscard]] static auto RefusalOf(const process_identity& aSelf, const hello& aHello) -> hello;

  /// Reports that the transport of an attempt is connected. Opener only.
  auto OnConnected(std::uint64_t aAttempt, time_point aNow) -> void;
  /// Reports that a connection was closed or could not be opened.
  auto OnDisconnected(std::uint64_t aAttempt, time_point aNow) -> void;
  /// Reports another connection for this session. Returns false, and the caller closes the
  /// connection, when a newer one was accepted before, the hello belongs to another session, or the
  /// session cannot be resumed. Acceptor only.
  [[nodiscard]] auto OnAccepted(const hello& aHello, time_point aNow) -> bool;
  /// Handles a received frame. For an acceptor, the hello goes to OnAccepted instead.
  auto OnFrame(std::uint64_t aAttempt, const frame& aFrame, time_point aNow) -> void;
  auto OnTimer(time_point aNow) -> void;
  [[nodiscard]] auto NextTimer() const -> std::optional<time_point>;

  /// Queues an encoded message. A message that exceeds the size limits ends the session with
  /// loss_reason::Overflow.
  auto Send(std::string aPayload, message_class aClass, time_point aNow) -> void;
  /// Ends the session when all messages are acknowledged, at aDeadline at the latest.
  auto Close(time_point aDeadline, time_point aNow) -> void;
  /// Reports that a newer incarnation replaced the peer process: the session is lost as soon as it
  /// has no working connection.
  auto OnSuperseded(time_point aNow) -> void;

  /// Appends frames for the connection to aOut until about aMaxBytes are reached. The caller calls
  /// this again only when these are written, because messages queued later may be more urgent.
  auto Produce(std::uint64_t aAttempt, std::size_t aMaxBytes, std::string& aOut, time_point aNow)
    -> void;
  [[nodiscard]] auto HasOutput(std::uint64_t aAttempt) const -> bool;

  [[nodiscard]] auto TakeActions() -> std::vector<link_action>;
  [[nodiscard]] auto Counts() const -> const link_counts& { return mCounts; }
  [[nodiscard]] auto Session() const -> std::uint64_t { return mSession; }
  [[nodiscard]] auto Peer() const -> const process_identity& { return mPeer; }
  [[nodiscard]] auto IsLost() const -> bool { return mLost; }
  /// Bytes of unacknowledged outgoing messages and of partially received messages.
  [[nodiscard]] auto BufferedBytes() const -> std::size_t { return mSendBytes + mPartialBytes; }

private:
  enum class connection_state
  {
    None,
    /// Opener: waits for the transport (Connecting), then for the peer's hello (AwaitingHello).
    Connecting,
    AwaitingHello,
    /// Acceptor: this process accepted the hello, but has no evidence yet that the peer received
    /// the reply.
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
  /// The session has ended here and its goodbye frame has not been written yet.
  bool mGoodbyePending = false;
  /// Opener: connections that failed or were lost since the last frame other than a hello.
  unsigned mFailures = 0;
  /// Opener: time at which the current connection attempt fails.
  std::optional<time_point> mAttemptDeadline;
  /// Opener: start of the next connection attempt after a backoff.
  std::optional<time_point> mRetryAt;

  // Sending.
  send_queue mQueue;
  std::deque<sequenced_fragment> mUnacknowledged;
  /// Index into mUnacknowledged of the first fragment not yet sent on this connection.
  std::size_t mNextToResend = 0;
  std::uint64_t mNextSequence = 1;
  /// Highest sequence number that the peer has acknowledged.
  std::uint64_t mAcknowledged = 0;
  std::size_t mSendBytes = 0;

  // Receiving.
  /// Highest sequence number received; all lower ones have been received as well.
  std::uint64_t mReceived = 0;
  /// Partially received messages by stream number.
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
  /// Start of the time without a working connection; empty while a connection works.
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

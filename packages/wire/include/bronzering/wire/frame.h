#pragma once

#include <bronzering/base/errors.h>
#include <bronzering/base/ids.h>
#include <bronzering/base/name_table.h>
#include <bronzering/coordination/messages.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace bronzering {

/// Peers with different major versions are incompatible; a newer minor version only adds to the
/// protocol.
inline constexpr std::uint8_t kProtocolMajor = 1;
inline constexpr std::uint16_t kProtocolMinor = 0;

/// Frame header: body length (4 bytes, little-endian), major version (1 byte), frame kind (1 byte),
/// and 2 reserved bytes.
inline constexpr std::size_t kFrameHeaderBytes = 8;
inline constexpr std::size_t kMaxFrameBodyBytes = std::size_t{ 64 } * 1024;
/// Messages are split into fragments of at most this size, so that an urgent message waits for at
/// most one fragment of a bulk message.
inline constexpr std::size_t kMaxFragmentBytes = std::size_t{ 16 } * 1024;

enum class hello_status
{
  Accepted,
  UnknownSession
};
inline constexpr auto kHelloStatusNames =
  name_table<hello_status, 2>{ { { { hello_status::Accepted, "accepted" },
                                   { hello_status::UnknownSession, "unknown_session" } } } };

/// First frame that each side sends on a connection; the process that connected sends it first.
struct hello
{
  std::uint16_t mMinor = kProtocolMinor;
  /// Used only in the reply.
  hello_status mStatus = hello_status::Accepted;
  process_identity mIdentity;
  /// Session identifier, chosen at random by the connecting process; unique together with that
  /// process's incarnation.
  std::uint64_t mSession = 0;
  /// Number of the connection attempt within this session, starting at 1.
  std::uint64_t mAttempt = 0;
  /// Incarnation of the peer with which the session was established; zero until it is established.
  incarnation mPeerIncarnation;
  /// Highest fragment sequence number received.
  std::uint64_t mReceived = 0;
  auto operator==(const hello&) const -> bool = default;
};

/// Acknowledges all fragments with sequence numbers up to mReceived.
struct ack
{
  std::uint64_t mReceived = 0;
  /// Asks the receiver to reply with an ack immediately.
  bool mReplyWanted = false;
  auto operator==(const ack&) const -> bool = default;
};

/// A part of a message, with a sequence number.
struct fragment
{
  std::uint64_t mSequence = 0;
  /// Acknowledges fragments of the opposite direction, as in ack.
  std::uint64_t mReceived = 0;
  /// Identifies the message that the fragment belongs to; fragments of several messages may be
  /// interleaved.
  std::uint32_t mStream = 0;
  bool mLast = true;
  std::string_view mBytes;
  auto operator==(const fragment&) const -> bool = default;
};

/// Tells the peer that the sender has ended the session.
struct goodbye
{
  auto operator==(const goodbye&) const -> bool = default;
};

/// A frame kind introduced by a newer minor version; the receiver ignores it.
struct unknown_frame
{
  auto operator==(const unknown_frame&) const -> bool = default;
};

using frame = std::variant<hello, ack, fragment, goodbye, unknown_frame>;

/// Appends an encoded frame to aOut. Precondition: the body does not exceed kMaxFrameBodyBytes.
auto AppendFrame(const frame& aFrame, std::string& aOut) -> void;

/// Splits a byte stream into frames and decodes them. Not thread-safe.
class frame_decoder
{
public:
  /// Appends received bytes to the buffer. Invalidates frames that Next returned before.
  auto Feed(std::string_view aBytes) -> void;
  /// Returns the next complete frame, or empty when more bytes are needed. A fragment refers to
  /// bytes that stay valid until the next call of Feed. Fails with malformed_input, after which the
  /// connection must be closed.
  [[nodiscard]] auto Next() -> outcome<std::optional<frame>>;

private:
  std::string mBuffer;
  std::size_t mConsumed = 0;
};

} // namespace bronzering

#include <bronzering/wire/frame.h>

#include <bronzering/base/overloaded.h>

#include "messages_generated.h"

#include <boost/leaf/result.hpp>

#include <array>
#include <cassert>
#include <utility>

namespace bronzering {

namespace {

enum class frame_kind : std::uint8_t
{
  Hello = 1,
  Ack = 2,
  Fragment = 3,
  Goodbye = 4
};

// Offsets in the frame header, which frame.h describes: body length 0, major version 4, kind 5.
// Offsets in the header of a fragment, at the start of the body: sequence number 0, highest
// sequence number received 8, stream 16 (identifies the message), flags 20.
constexpr std::size_t kFragmentHeaderBytes = 8 + 8 + 4 + 4;
// Set in the flags of the last fragment of a message.
constexpr std::uint32_t kLastFlag = 1;

static_assert(kFragmentHeaderBytes + kMaxFragmentBytes <= kMaxFrameBodyBytes);

template<class Integer>
auto AppendInteger(Integer aValue, std::string& aOut) -> void
{
  auto bytes = std::array<char, sizeof(Integer)>{};
  flatbuffers::WriteScalar(bytes.data(), aValue);
  aOut.append(bytes.data(), bytes.size());
}

template<class Integer>
auto ReadInteger(std::string_view aBytes, std::size_t aOffset) -> Integer
{
  return flatbuffers::ReadScalar<Integer>(aBytes.data() + aOffset);
}

auto AppendHeader(frame_kind aKind, std::size_t aBodyBytes, std::string& aOut) -> void
{
  assert(aBodyBytes <= kMaxFrameBodyBytes);
  AppendInteger(static_cast<std::uint32_t>(aBodyBytes), aOut);
  AppendInteger(kProtocolMajor, aOut);
  AppendInteger(static_cast<std::uint8_t>(aKind), aOut);
  // Reserved.
  AppendInteger(std::uint16_t{ 0 }, aOut);
}

auto AppendFlatBuffer(frame_kind aKind,
                      const flatbuffers::FlatBufferBuilder& aBuilder,
                      std::string& aOut) -> void
{
  AppendHeader(aKind, aBuilder.GetSize(), aOut);
  aOut.append(reinterpret_cast<const char*>(aBuilder.GetBufferPointer()), aBuilder.GetSize());
}

auto AppendHello(const hello& aHello, std::string& aOut) -> void
{
  auto builder = flatbuffers::FlatBufferBuilder(256);
  const auto vm = builder.CreateString(aHello.mIdentity.mVm);
  const auto availabilityZone = builder.CreateString(aHello.mIdentity.mAvailabilityZone);
  const auto endpoint = builder.CreateString(aHello.mIdentity.mEndpoint);
  builder.Finish(wire::CreateHello(builder,
                                   aHello.mMinor,
                                   static_cast<std::uint8_t>(aHello.mStatus),
                                   static_cast<std::uint8_t>(aHello.mIdentity.mRole),
                                   vm,
                                   availabilityZone,
                                   endpoint,
                                   aHello.mIdentity.mIncarnation.mValue,
                                   aHello.mSession,
                                   aHello.mAttempt,
                                   aHello.mPeerIncarnation.mValue,
                                   aHello.mReceived));
  AppendFlatBuffer(frame_kind::Hello, builder, aOut);
}

auto AppendAck(const ack& aAck, std::string& aOut) -> void
{
  auto builder = flatbuffers::FlatBufferBuilder(64);
  // An ack with mReplyWanted is what link_session calls a probe.
  builder.Finish(wire::CreateAck(builder, aAck.mReceived, aAck.mReplyWanted));
  AppendFlatBuffer(frame_kind::Ack, builder, aOut);
}

auto AppendFragment(const fragment& aFragment, std::string& aOut) -> void
{
  AppendHeader(frame_kind::Fragment, kFragmentHeaderBytes + aFragment.mBytes.size(), aOut);
  AppendInteger(aFragment.mSequence, aOut);
  AppendInteger(aFragment.mReceived, aOut);
  AppendInteger(aFragment.mStream, aOut);
  AppendInteger(aFragment.mLast ? kLastFlag : 0U, aOut);
  aOut.append(aFragment.mBytes);
}

auto MalformedInput(std::string aDescription) -> boost::leaf::error_id
{
  return boost::leaf::new_error(malformed_input{ std::move(aDescription) });
}

/// Verifies a FlatBuffers table. FlatBuffers requires aligned buffers, so the bytes are copied to a
/// vector of 8-byte words first.
template<class Table>
class verified_table
{
public:
  explicit verified_table(std::string_view aBytes)
    : mWords((aBytes.size() + 7) / 8)
  {
    std::memcpy(mWords.data(), aBytes.data(), aBytes.size());
    const auto* data = reinterpret_cast<const std::uint8_t*>(mWords.data());
    auto verifier = flatbuffers::Verifier(data, aBytes.size());
    if (!aBytes.empty() && verifier.VerifyBuffer<Table>()) {
      mTable = flatbuffers::GetRoot<Table>(data);
    }
  }
  [[nodiscard]] auto Get() const -> const Table* { return mTable; }

private:
  std::vector<std::uint64_t> mWords;
  const Table* mTable = nullptr;
};

auto ToText(const flatbuffers::String* aText) -> std::string
{
  return aText == nullptr ? std::string() : aText->str();
}

auto DecodeHello(std::string_view aBody) -> outcome<frame>
{
  const auto verified = verified_table<wire::Hello>(aBody);
  const auto* table = verified.Get();
  if (table == nullptr) {
    return MalformedInput("hello frame fails FlatBuffers verification");
  }
  if (table->role() >= kProcessRoleNames.mEntries.size()) {
    return MalformedInput("hello frame has an unknown process role");
  }
  auto result = hello();
  result.mMinor = table->minor();
  // A status that this version does not know is treated as a refusal. UnknownSession is the only
  // refusal of this version.
  result.mStatus = table->status() == 0 ? hello_status::Accepted : hello_status::UnknownSession;
  result.mIdentity.mRole = static_cast<process_role>(table->role());
  result.mIdentity.mVm = ToText(table->vm());
  result.mIdentity.mAvailabilityZone = ToText(table->zone());
  result.mIdentity.mEndpoint = ToText(table->endpoint());
  result.mIdentity.mIncarnation = incarnation{ table->incarnation() };
  result.mSession = table->session();
  result.mAttempt = table->attempt();
  result.mPeerIncarnation = incarnation{ table->peer_incarnation() };
  result.mReceived = table->received();
  return frame(std::move(result));
}

auto DecodeAck(std::string_view aBody) -> outcome<frame>
{
  const auto verified = verified_table<wire::Ack>(aBody);
  const auto* table = verified.Get();
  if (table == nullptr) {
    return MalformedInput("ack frame fails FlatBuffers verification");
  }
  return frame(ack{ table->received(), table->reply_wanted() });
}

auto DecodeFragment(std::string_view aBody) -> outcome<frame>
{
  if (aBody.size() < kFragmentHeaderBytes) {
    return MalformedInput("fragment frame is shorter than its header");
  }
  auto result = fragment();
  result.mSequence = ReadInteger<std::uint64_t>(aBody, 0);
  result.mReceived = ReadInteger<std::uint64_t>(aBody, 8);
  result.mStream = ReadInteger<std::uint32_t>(aBody, 16);
  result.mLast = (ReadInteger<std::uint32_t>(aBody, 20) & kLastFlag) != 0;
  result.mBytes = aBody.substr(kFragmentHeaderBytes);
  return frame(result);
}

auto DecodeBody(std::uint8_t aKind, std::string_view aBody) -> outcome<frame>
{
  switch (static_cast<frame_kind>(aKind)) {
    case frame_kind::Hello:
      return DecodeHello(aBody);
    case frame_kind::Ack:
      return DecodeAck(aBody);
    case frame_kind::Fragment:
      return DecodeFragment(aBody);
    case frame_kind::Goodbye:
      return frame(goodbye());
  }
  return frame(unknown_frame());
}

} // namespace

auto AppendFrame(const frame& aFrame, std::string& aOut) -> void
{
  std::visit(overloaded{ [&](const hello& aHello) { AppendHello(aHello, aOut); },
                         [&](const ack& aAck) { AppendAck(aAck, aOut); },
                         [&](const fragment& aFragment) { AppendFragment(aFragment, aOut); },
                         [&](const goodbye&) { AppendHeader(frame_kind::Goodbye, 0, aOut); },
                         [&](const unknown_frame&) { assert(false); } },
             aFrame);
}

auto frame_decoder::Feed(std::string_view aBytes) -> void
{
  mBuffer.erase(0, mConsumed);
  mConsumed = 0;
  mBuffer.append(aBytes);
}

auto frame_decoder::Next() -> outcome<std::optional<frame>>
{
  const auto available = std::string_view(mBuffer).substr(mConsumed);
  if (available.size() < kFrameHeaderBytes) {
    return std::optional<frame>();
  }

  // Check the header before waiting for the body, so that invalid input is detected early.
  const auto bodyBytes = std::size_t{ ReadInteger<std::uint32_t>(available, 0) };
  const auto major = ReadInteger<std::uint8_t>(available, 4);
  if (major != kProtocolMajor) {
    return MalformedInput("protocol major version " + std::to_string(major) + " is not supported");
  }
  if (bodyBytes > kMaxFrameBodyBytes) {
    return MalformedInput("frame body of " + std::to_string(bodyBytes) + " bytes is too long");
  }
  if (available.size() < kFrameHeaderBytes + bodyBytes) {
    return std::optional<frame>();
  }

  const auto kind = ReadInteger<std::uint8_t>(available, 5);
  BOOST_LEAF_AUTO(result, DecodeBody(kind, available.substr(kFrameHeaderBytes, bodyBytes)));
  mConsumed += kFrameHeaderBytes + bodyBytes;
  return std::optional<frame>(std::move(result));
}

} // namespace bronzering

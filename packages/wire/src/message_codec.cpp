#include <bronzering/wire/message_codec.h>

#include "messages_generated.h"

#include <boost/leaf/result.hpp>

#include <cstring>
#include <utility>
#include <vector>

namespace bronzering {

namespace {

using builder = flatbuffers::FlatBufferBuilder;

auto ToWire(request_id aId) -> wire::RequestId
{
  return wire::RequestId(aId.mEntry, aId.mSequence);
}

auto ToBytes(builder& aBuilder, std::string_view aBytes)
{
  return aBuilder.CreateVector(reinterpret_cast<const std::uint8_t*>(aBytes.data()), aBytes.size());
}

template<class Tag>
auto ToNumbers(builder& aBuilder, const std::vector<strong_id<Tag>>& aIds)
{
  return aBuilder.CreateVector<std::uint64_t>(
    aIds.size(), [&](std::size_t aIndex) { return aIds[aIndex].mValue; });
}

auto ToHeaders(builder& aBuilder, const std::vector<header_field>& aHeaders)
{
  auto offsets = std::vector<flatbuffers::Offset<wire::Header>>();
  offsets.reserve(aHeaders.size());
  for (const auto& header : aHeaders) {
    const auto name = aBuilder.CreateString(header.mName);
    const auto value = aBuilder.CreateString(header.mValue);
    offsets.push_back(wire::CreateHeader(aBuilder, name, value));
  }
  return aBuilder.CreateVector(offsets);
}

auto Encode(builder& aBuilder, const ticket& aTicket) -> flatbuffers::Offset<wire::Ticket>
{
  const auto request = ToWire(aTicket.mRequest);
  const auto service = aBuilder.CreateString(aTicket.mService);
  const auto organisation = aBuilder.CreateString(aTicket.mOrganisation);
  const auto tier = aBuilder.CreateString(aTicket.mTier);
  const auto prefix = ToNumbers(aBuilder, aTicket.mPrefix);
  auto key = flatbuffers::Optional<std::uint64_t>();
  if (aTicket.mKey) {
    key = aTicket.mKey->mValue;
  }
  auto created = flatbuffers::Optional<std::int64_t>();
  if (aTicket.mKeyCreated) {
    created = aTicket.mKeyCreated->time_since_epoch().count();
  }
  return wire::CreateTicket(aBuilder,
                            &request,
                            service,
                            organisation,
                            tier,
                            aTicket.mPromptTokens,
                            aTicket.mOutputTokens,
                            prefix,
                            aTicket.mTimeLeft.count(),
                            key,
                            created);
}

auto Encode(builder& aBuilder, const withdraw& aMessage)
{
  const auto request = ToWire(aMessage.mRequest);
  return wire::CreateWithdraw(aBuilder, &request);
}

auto Encode(builder& aBuilder, const dispatch& aMessage)
{
  const auto inner = Encode(aBuilder, aMessage.mTicket);
  const auto method = aBuilder.CreateString(aMessage.mMethod);
  const auto target = aBuilder.CreateString(aMessage.mTarget);
  const auto headers = ToHeaders(aBuilder, aMessage.mHeaders);
  const auto body = ToBytes(aBuilder, aMessage.mBody);
  return wire::CreateDispatch(
    aBuilder, aMessage.mGrant.mValue, inner, method, target, headers, body);
}

auto Encode(builder& aBuilder, const cancel& aMessage)
{
  const auto request = ToWire(aMessage.mRequest);
  return wire::CreateCancel(aBuilder, &request);
}

auto Encode(builder& aBuilder, const window& aMessage)
{
  const auto request = ToWire(aMessage.mRequest);
  return wire::CreateWindow(aBuilder, &request, aMessage.mBytes);
}

auto Encode(builder& aBuilder, const grant& aMessage)
{
  const auto request = ToWire(aMessage.mRequest);
  return wire::CreateGrant(
    aBuilder, &request, aMessage.mGrant.mValue, aMessage.mLifetime.count(), aMessage.mCachedTokens);
}

auto Encode(builder& aBuilder, const credit& aMessage)
{
  const auto service = aBuilder.CreateString(aMessage.mService);
  const auto grants = ToNumbers(aBuilder, aMessage.mGrants);
  return wire::CreateCredit(aBuilder, service, grants, aMessage.mLifetime.count());
}

auto Encode(builder& aBuilder, const decline& aMessage)
{
  const auto request = ToWire(aMessage.mRequest);
  return wire::CreateDecline(aBuilder,
                             &request,
                             static_cast<std::uint8_t>(aMessage.mReason),
                             aMessage.mRetryAfter.count(),
                             aMessage.mEarlierStatus);
}

auto Encode(builder& aBuilder, const answer_head& aMessage)
{
  const auto request = ToWire(aMessage.mRequest);
  const auto headers = ToHeaders(aBuilder, aMessage.mHeaders);
  return wire::CreateAnswerHead(aBuilder, &request, aMessage.mStatus, headers);
}

auto Encode(builder& aBuilder, const answer_data& aMessage)
{
  const auto request = ToWire(aMessage.mRequest);
  const auto bytes = ToBytes(aBuilder, aMessage.mBytes);
  return wire::CreateAnswerData(
    aBuilder, &request, aMessage.mOffset, bytes, aMessage.mGeneratedTokens);
}

auto Encode(builder& aBuilder, const answer_end& aMessage)
{
  const auto request = ToWire(aMessage.mRequest);
  return wire::CreateAnswerEnd(aBuilder,
                               &request,
                               static_cast<std::uint8_t>(aMessage.mOutcome),
                               aMessage.mTotalBytes,
                               aMessage.mPromptTokens,
                               aMessage.mCachedTokens,
                               aMessage.mGeneratedTokens);
}

auto Encode(builder& aBuilder, const agent_status& aMessage)
{
  const auto waiting = aBuilder.CreateVector(aMessage.mWaitingByRank);
  return wire::CreateAgentStatus(aBuilder,
                                 static_cast<std::uint8_t>(aMessage.mState),
                                 waiting,
                                 aMessage.mRunning,
                                 aMessage.mFreeSlots,
                                 aMessage.mFreeKvTokens,
                                 aMessage.mPrefillTokensPerSecond,
                                 aMessage.mStepTime.count());
}

auto Encode(builder& aBuilder, const lease_request& aMessage)
{
  const auto budget = aBuilder.CreateString(aMessage.mBudget);
  return wire::CreateLeaseRequest(aBuilder, budget, aMessage.mAmount);
}

auto Encode(builder& aBuilder, const lease_grant& aMessage)
{
  const auto budget = aBuilder.CreateString(aMessage.mBudget);
  return wire::CreateLeaseGrant(aBuilder, budget, aMessage.mAmount, aMessage.mLifetime.count());
}

auto Encode(builder& aBuilder, const lease_return& aMessage)
{
  const auto budget = aBuilder.CreateString(aMessage.mBudget);
  return wire::CreateLeaseReturn(aBuilder, budget, aMessage.mAmount);
}

auto Encode(builder& aBuilder, const config_digest& aMessage)
{
  auto offsets = std::vector<flatbuffers::Offset<wire::SectionDigest>>();
  offsets.reserve(aMessage.mSections.size());
  for (const auto& section : aMessage.mSections) {
    const auto name = aBuilder.CreateString(section.mName);
    offsets.push_back(
      wire::CreateSectionDigest(aBuilder, name, section.mRevision.mValue, section.mHash));
  }
  const auto sections = aBuilder.CreateVector(offsets);
  return wire::CreateConfigDigest(
    aBuilder, aMessage.mRevision.mValue, sections, aMessage.mConfirmedAgo.count());
}

auto Encode(builder& aBuilder, const config_sections& aMessage)
{
  auto offsets = std::vector<flatbuffers::Offset<wire::Section>>();
  offsets.reserve(aMessage.mSections.size());
  for (const auto& section : aMessage.mSections) {
    const auto name = aBuilder.CreateString(section.mName);
    const auto text = aBuilder.CreateString(section.mText);
    offsets.push_back(wire::CreateSection(aBuilder, name, section.mRevision.mValue, text));
  }
  const auto sections = aBuilder.CreateVector(offsets);
  const auto names = aBuilder.CreateVectorOfStrings(aMessage.mAllNames);
  return wire::CreateConfigSections(
    aBuilder, aMessage.mRevision.mValue, sections, names, aMessage.mConfirmedAgo.count());
}

/// Union tag of the first alternative of peer_message; the others follow in the order of the
/// variant.
constexpr auto kFirstBody = static_cast<std::size_t>(wire::Body::Ticket);
static_assert(std::variant_size_v<peer_message> ==
              static_cast<std::size_t>(wire::Body::MAX) - kFirstBody + 1);

} // namespace

auto EncodeMessage(const peer_message& aMessage) -> std::string
{
  auto buffer = builder(512);
  const auto body =
    std::visit([&](const auto& aBody) { return Encode(buffer, aBody).Union(); }, aMessage);
  const auto kind = static_cast<wire::Body>(aMessage.index() + kFirstBody);
  buffer.Finish(wire::CreateMessage(buffer, kind, body));
  return std::string(reinterpret_cast<const char*>(buffer.GetBufferPointer()), buffer.GetSize());
}

} // namespace bronzering

#include <bronzering/wire/message_codec.h>

#include "messages_generated.h"

#include <boost/leaf/result.hpp>

#include <cstring>
#include <utility>
#include <vector>

namespace bronzering {

namespace {

auto ToText(const flatbuffers::String* aText) -> std::string
{
  return aText == nullptr ? std::string() : aText->str();
}

auto ToText(const flatbuffers::Vector<std::uint8_t>* aBytes) -> std::string
{
  return aBytes == nullptr
           ? std::string()
           : std::string(reinterpret_cast<const char*>(aBytes->data()), aBytes->size());
}

auto ToRequest(const wire::RequestId* aId) -> request_id
{
  return aId == nullptr ? request_id() : request_id{ aId->entry(), aId->sequence() };
}

template<class Id>
auto ToIds(const flatbuffers::Vector<std::uint64_t>* aNumbers) -> std::vector<Id>
{
  auto ids = std::vector<Id>();
  if (aNumbers != nullptr) {
    ids.reserve(aNumbers->size());
    for (const auto number : *aNumbers) {
      ids.push_back(Id{ number });
    }
  }
  return ids;
}

auto ToHeaders(const flatbuffers::Vector<flatbuffers::Offset<wire::Header>>* aHeaders)
  -> std::vector<header_field>
{
  auto headers = std::vector<header_field>();
  if (aHeaders != nullptr) {
    headers.reserve(aHeaders->size());
    for (const auto* header : *aHeaders) {
      headers.push_back({ ToText(header->name()), ToText(header->value()) });
    }
  }
  return headers;
}

/// Converts a value to an enumerator. A value from a newer minor version becomes aFallback, which
/// the caller chooses so that the receiver stays safe.
template<class Enum, std::size_t Count>
auto ToEnum(std::uint8_t aValue, const name_table<Enum, Count>&, Enum aFallback) -> Enum
{
  return aValue < Count ? static_cast<Enum>(aValue) : aFallback;
}

auto Decode(const wire::Ticket& aTable) -> ticket
{
  auto result = ticket();
  result.mRequest = ToRequest(aTable.request());
  result.mService = ToText(aTable.service());
  result.mOrganisation = ToText(aTable.organisation());
  result.mTier = ToText(aTable.tier());
  result.mPromptTokens = aTable.prompt_tokens();
  result.mOutputTokens = aTable.output_tokens();
  result.mPrefix = ToIds<prefix_hash>(aTable.prefix());
  result.mTimeLeft = duration(aTable.time_left_us());
  if (aTable.key().has_value()) {
    result.mKey = key_digest{ *aTable.key() };
  }
  if (aTable.key_created_us().has_value()) {
    result.mKeyCreated = wall_time(duration(*aTable.key_created_us()));
  }
  return result;
}

auto Decode(const wire::Withdraw& aTable) -> withdraw
{
  return { ToRequest(aTable.request()) };
}

auto Decode(const wire::Dispatch& aTable) -> dispatch
{
  auto result = dispatch();
  result.mGrant = grant_id{ aTable.grant() };
  if (aTable.ticket() != nullptr) {
    result.mTicket = Decode(*aTable.ticket());
  }
  result.mMethod = ToText(aTable.method());
  result.mTarget = ToText(aTable.target());
  result.mHeaders = ToHeaders(aTable.headers());
  result.mBody = ToText(aTable.body());
  return result;
}

auto Decode(const wire::Cancel& aTable) -> cancel
{
  return { ToRequest(aTable.request()) };
}

auto Decode(const wire::Window& aTable) -> window
{
  return { ToRequest(aTable.request()), aTable.bytes() };
}

auto Decode(const wire::Grant& aTable) -> grant
{
  return { ToRequest(aTable.request()),
           grant_id{ aTable.grant() },
           duration(aTable.lifetime_us()),
           aTable.cached_tokens() };
}

auto Decode(const wire::Credit& aTable) -> credit
{
  return { ToText(aTable.service()),
           ToIds<grant_id>(aTable.grants()),
           duration(aTable.lifetime_us()) };
}

auto Decode(const wire::Decline& aTable) -> decline
{
  // Every reason means that the request did not run; QueueFull requires nothing else of the entry.
  return { ToRequest(aTable.request()),
           ToEnum(aTable.reason(), kDeclineReasonNames, decline_reason::QueueFull),
           duration(aTable.retry_after_us()),
           aTable.earlier_status() };
}

auto Decode(const wire::AnswerHead& aTable) -> answer_head
{
  return { ToRequest(aTable.request()), aTable.status(), ToHeaders(aTable.headers()) };
}

auto Decode(const wire::AnswerData& aTable) -> answer_data
{
  return {
    ToRequest(aTable.request()), aTable.offset(), ToText(aTable.bytes()), aTable.generated_tokens()
  };
}

auto Decode(const wire::AnswerEnd& aTable) -> answer_end
{
  // Only Completed may be treated as a complete answer.
  return { ToRequest(aTable.request()),
           ToEnum(aTable.outcome(), kAnswerOutcomeNames, answer_outcome::Failed),
           aTable.total_bytes(),
           aTable.prompt_tokens(),
           aTable.cached_tokens(),
           aTable.generated_tokens() };
}

auto Decode(const wire::AgentStatus& aTable) -> agent_status
{
  auto result = agent_status();
  // An agent in an unknown state receives no new requests.
  result.mState = ToEnum(aTable.state(), kAgentStateNames, agent_state::Draining);
  if (const auto* waiting = aTable.waiting_by_rank()) {
    result.mWaitingByRank.assign(waiting->begin(), waiting->end());
  }
  result.mRunning = aTable.running();
  result.mFreeSlots = aTable.free_slots();
  result.mFreeKvTokens = aTable.free_kv_tokens();
  result.mPrefillTokensPerSecond = aTable.prefill_tokens_per_second();
  result.mStepTime = duration(aTable.step_time_us());
  return result;
}

auto Decode(const wire::LeaseRequest& aTable) -> lease_request
{
  return { ToText(aTable.budget()), aTable.amount() };
}

auto Decode(const wire::LeaseGrant& aTable) -> lease_grant
{
  return { ToText(aTable.budget()), aTable.amount(), duration(aTable.lifetime_us()) };
}

auto Decode(const wire::LeaseReturn& aTable) -> lease_return
{
  return { ToText(aTable.budget()), aTable.amount() };
}

auto Decode(const wire::ConfigDigest& aTable) -> config_digest
{
  auto result = config_digest();
  result.mRevision = revision{ aTable.revision() };
  if (const auto* sections = aTable.sections()) {
    result.mSections.reserve(sections->size());
    for (const auto* section : *sections) {
      result.mSections.push_back(
        { ToText(section->name()), revision{ section->revision() }, section->hash() });
    }
  }
  result.mConfirmedAgo = duration(aTable.confirmed_ago_us());
  return result;
}

auto Decode(const wire::ConfigSections& aTable) -> config_sections
{
  auto result = config_sections();
  result.mRevision = revision{ aTable.revision() };
  if (const auto* sections = aTable.sections()) {
    result.mSections.reserve(sections->size());
    for (const auto* section : *sections) {
      result.mSections.push_back(
        { ToText(section->name()), revision{ section->revision() }, ToText(section->text()) });
    }
  }
  if (const auto* names = aTable.all_names()) {
    result.mAllNames.reserve(names->size());
    for (const auto* name : *names) {
      result.mAllNames.push_back(ToText(name));
    }
  }
  result.mConfirmedAgo = duration(aTable.confirmed_ago_us());
  return result;
}

auto DecodeBody(const wire::Message& aMessage) -> std::optional<peer_message>
{
  switch (aMessage.body_type()) {
    case wire::Body::Ticket:
      return Decode(*aMessage.body_as_Ticket());
    case wire::Body::Withdraw:
      return Decode(*aMessage.body_as_Withdraw());
    case wire::Body::Dispatch:
      return Decode(*aMessage.body_as_Dispatch());
    case wire::Body::Cancel:
      return Decode(*aMessage.body_as_Cancel());
    case wire::Body::Window:
      return Decode(*aMessage.body_as_Window());
    case wire::Body::Grant:
      return Decode(*aMessage.body_as_Grant());
    case wire::Body::Credit:
      return Decode(*aMessage.body_as_Credit());
    case wire::Body::Decline:
      return Decode(*aMessage.body_as_Decline());
    case wire::Body::AnswerHead:
      return Decode(*aMessage.body_as_AnswerHead());
    case wire::Body::AnswerData:
      return Decode(*aMessage.body_as_AnswerData());
    case wire::Body::AnswerEnd:
      return Decode(*aMessage.body_as_AnswerEnd());
    case wire::Body::AgentStatus:
      return Decode(*aMessage.body_as_AgentStatus());
    case wire::Body::LeaseRequest:
      return Decode(*aMessage.body_as_LeaseRequest());
    case wire::Body::LeaseGrant:
      return Decode(*aMessage.body_as_LeaseGrant());
    case wire::Body::LeaseReturn:
      return Decode(*aMessage.body_as_LeaseReturn());
    case wire::Body::ConfigDigest:
      return Decode(*aMessage.body_as_ConfigDigest());
    case wire::Body::ConfigSections:
      return Decode(*aMessage.body_as_ConfigSections());
    case wire::Body::NONE:
      break;
  }
  return std::nullopt;
}

} // namespace

auto DecodeMessage(std::string_view aBytes) -> outcome<std::optional<peer_message>>
{
  if (aBytes.empty()) {
    return boost::leaf::new_error(malformed_input{ "message is empty" });
  }

  // FlatBuffers requires aligned buffers; an unaligned one is copied to a vector of 8-byte words.
  auto words = std::vector<std::uint64_t>();
  const auto* data = reinterpret_cast<const std::uint8_t*>(aBytes.data());
  if (reinterpret_cast<std::uintptr_t>(data) % sizeof(std::uint64_t) != 0) {
    words.resize((aBytes.size() + 7) / 8);
    std::memcpy(words.data(), aBytes.data(), aBytes.size());
    data = reinterpret_cast<const std::uint8_t*>(words.data());
  }

  auto verifier = flatbuffers::Verifier(data, aBytes.size());
  if (!verifier.VerifyBuffer<wire::Message>()) {
    return boost::leaf::new_error(malformed_input{ "message fails FlatBuffers verification" });
  }
  const auto* message = flatbuffers::GetRoot<wire::Message>(data);
  if (message->body_type() != wire::Body::NONE && message->body() == nullptr) {
    return boost::leaf::new_error(malformed_input{ "message has no body" });
  }
  return DecodeBody(*message);
}

} // namespace bronzering

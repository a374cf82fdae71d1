#include "peer_codec.h"

#include <peer_messages_generated.h>

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace bronzering {

namespace {

template<class Narrow, class Wide>
auto Clamp(Wide aValue) -> Narrow
{
  return static_cast<Narrow>(std::min<std::uint64_t>(
    static_cast<std::uint64_t>(std::max<Wide>(aValue, 0)), std::numeric_limits<Narrow>::max()));
}

auto ToNumber(const std::string& aAddress) -> std::uint32_t
{
  auto error = boost::system::error_code();
  const auto address = boost::asio::ip::make_address_v4(aAddress, error);
  return error ? 0 : address.to_uint();
}

auto ToAddress(std::uint32_t aNumber) -> std::string
{
  return boost::asio::ip::address_v4(aNumber).to_string();
}

auto Finished(const flatbuffers::FlatBufferBuilder& aBuilder) -> std::string
{
  return { reinterpret_cast<const char*>(aBuilder.GetBufferPointer()), aBuilder.GetSize() };
}

/// The root table of a message; null when the bytes are malformed.
template<class Table>
auto Verified(std::string_view aBytes) -> const Table*
{
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aBytes.data());
  auto verifier = flatbuffers::Verifier(bytes, aBytes.size());
  return verifier.VerifyBuffer<Table>() ? flatbuffers::GetRoot<Table>(bytes) : nullptr;
}

} // namespace

auto EncodeDigest(const peer_digest& aDigest) -> std::string
{
  auto loads = std::vector<peer::EndpointLoad>();
  for (const auto& load : aDigest.mLoads) {
    loads.emplace_back(load.mKey,
                       Clamp<std::uint32_t>(load.mPromptTokens),
                       Clamp<std::uint32_t>(load.mOutputTokens),
                       Clamp<std::uint16_t>(load.mRequests));
  }
  auto speeds = std::vector<peer::EndpointSpeed>();
  for (const auto& speed : aDigest.mSpeeds) {
    speeds.emplace_back(
      speed.mKey,
      Clamp<std::uint32_t>(speed.mTokenTime.count()),
      Clamp<std::uint32_t>(static_cast<std::int64_t>(speed.mPromptTokenMicros * 1000)));
  }
  auto spending = std::vector<peer::Spending>();
  for (const auto& total : aDigest.mOrganisationUsage) {
    spending.emplace_back(total.mKey, total.mTotal);
  }
  auto peers = std::vector<std::uint32_t>();
  for (const auto& address : aDigest.mPeers) {
    peers.push_back(ToNumber(address));
  }

  auto crashEvidence = std::vector<peer::CrashEvidence>();
  for (const auto& evidence : aDigest.mCrashEvidence) {
    const auto age = std::chrono::floor<std::chrono::milliseconds>(evidence.mAge).count();
    crashEvidence.emplace_back(
      evidence.mPart, evidence.mCrash, Clamp<std::uint32_t>(age), evidence.mIsRefuted);
  }

  auto rateLimits = std::vector<peer::EndpointRateLimit>();
  for (const auto& statement : aDigest.mRateLimits) {
    const auto age = std::chrono::floor<std::chrono::milliseconds>(statement.mAge).count();
    rateLimits.emplace_back(statement.mEndpoint,
                            statement.mLimit.value_or(0),
                            Clamp<std::uint32_t>(age),
                            statement.mLimit.has_value());
  }

  // Empty vectors are omitted to keep digests small.
  const auto orNull = [](const auto& aList) { return aList.empty() ? nullptr : &aList; };
  auto builder = flatbuffers::FlatBufferBuilder();
  builder.Finish(peer::CreateDigestDirect(builder,
                                          ToNumber(aDigest.mSender),
                                          aDigest.mIncarnation,
                                          aDigest.mSequence,
                                          aDigest.mIsLeaving,
                                          aDigest.mPosition.mRevision,
                                          orNull(loads),
                                          orNull(spending),
                                          orNull(peers),
                                          orNull(speeds),
                                          aDigest.mIsSourceStable,
                                          orNull(crashEvidence),
                                          orNull(rateLimits),
                                          static_cast<float>(aDigest.mDemand),
                                          aDigest.mIsFull,
                                          aDigest.mConfigurationVersion,
                                          aDigest.mPosition.mHistory));
  return Finished(builder);
}

auto DecodeDigest(std::string_view aBytes) -> std::optional<peer_digest>
{
  const auto* message = Verified<peer::Digest>(aBytes);
  if (message == nullptr || message->sender() == 0) {
    return std::nullopt;
  }
  auto digest = peer_digest();
  digest.mSender = ToAddress(message->sender());
  digest.mIncarnation = message->incarnation();
  digest.mSequence = message->sequence();
  digest.mIsLeaving = message->is_leaving();
  digest.mPosition = { message->history(), message->revision() };
  digest.mIsSourceStable = message->is_settled();
  digest.mIsFull = message->is_full();
  digest.mConfigurationVersion = message->configuration_version();
  if (message->loads() != nullptr) {
    for (const auto* load : *message->loads()) {
      digest.mLoads.push_back(
        { load->key(), load->requests(), load->prompt_tokens(), load->output_tokens() });
    }
  }
  if (message->speeds() != nullptr) {
    for (const auto* speed : *message->speeds()) {
      digest.mSpeeds.push_back({ speed->key(),
                                 duration(speed->token_time_us()),
                                 static_cast<double>(speed->prompt_token_ns()) / 1000 });
    }
  }
  if (message->spending() != nullptr) {
    for (const auto* total : *message->spending()) {
      digest.mOrganisationUsage.push_back({ total->key(), total->total() });
    }
  }
  if (message->peers() != nullptr) {
    for (const auto address : *message->peers()) {
      digest.mPeers.push_back(ToAddress(address));
    }
  }
  if (message->crash_evidence() != nullptr) {
    for (const auto* evidence : *message->crash_evidence()) {
      digest.mCrashEvidence.push_back({ evidence->part(),
                                        evidence->crash(),
                                        std::chrono::milliseconds(evidence->age_ms()),
                                        evidence->is_refuted() });
    }
  }
  // The numbers come from the network, so those that cannot be a rate are dropped.
  const auto isRate = [](double aNumber) { return std::isfinite(aNumber) && aNumber >= 0; };
  digest.mDemand = isRate(message->demand_per_s()) ? message->demand_per_s() : 0;
  if (message->rate_limits() != nullptr) {
    for (const auto* statement : *message->rate_limits()) {
      if (isRate(statement->limit_per_s())) {
        digest.mRateLimits.push_back(
          { statement->endpoint(),
            statement->is_limited() ? std::optional(statement->limit_per_s()) : std::nullopt,
            std::chrono::milliseconds(statement->age_ms()) });
      }
    }
  }
  return digest;
}

auto EncodeSnapshot(const published_snapshot& aSnapshot) -> std::string
{
  auto builder = flatbuffers::FlatBufferBuilder();
  auto items = std::vector<flatbuffers::Offset<peer::Item>>();
  for (const auto& item : aSnapshot.mItems) {
    const auto key = builder.CreateString(item.mKey);
    const auto value = builder.CreateString(item.mValue);
    items.push_back(
      peer::CreateItem(builder, key, value, item.mRevision, item.mHistory, item.mIsExpired));
  }
  builder.Finish(
    peer::CreateSnapshotDirect(builder, aSnapshot.mRevision, &items, aSnapshot.mHistory));
  return Finished(builder);
}

auto DecodeSnapshot(std::string_view aBytes) -> std::optional<published_snapshot>
{
  const auto* message = Verified<peer::Snapshot>(aBytes);
  if (message == nullptr) {
    return std::nullopt;
  }
  auto snapshot = published_snapshot{ message->revision(), {}, message->history() };
  if (message->items() != nullptr) {
    for (const auto* item : *message->items()) {
      if (item->key() != nullptr && item->value() != nullptr) {
        snapshot.mItems.push_back({ item->key()->str(),
                                    item->value()->str(),
                                    item->revision(),
                                    item->history(),
                                    item->is_expired() });
      }
    }
  }
  return snapshot;
}

} // namespace bronzering

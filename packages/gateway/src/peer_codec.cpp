#include "peer_codec.h"

#include "text_number.h"

#include <peer_messages_generated.h>

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace bronzering {

namespace {

template<class Narrow, class Wide>
auto Clamp(Wide aValue) -> Narrow
{
  return static_cast<Narrow>(std::min<std::uint64_t>(
    static_cast<std::uint64_t>(std::max<Wide>(aValue, 0)), std::numeric_limits<Narrow>::max()));
}

/// Marks the bytes of a peer::Relay.
constexpr auto kRelayIdentifier = "BZRL";
/// Largest datagram that carries several digests: what a path between zones takes in one piece.
constexpr auto kMaxDatagramBytes = std::size_t{ 1'400 };
/// Path under which an entry serves its items to peers.
constexpr auto kItemsPath = std::string_view("/items");

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

/// The root table of a message; null when the bytes are malformed or lack the identifier.
template<class Table>
auto Verified(std::string_view aBytes, const char* aIdentifier = nullptr) -> const Table*
{
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aBytes.data());
  auto verifier = flatbuffers::Verifier(bytes, aBytes.size());
  return verifier.VerifyBuffer<Table>(aIdentifier) ? flatbuffers::GetRoot<Table>(bytes) : nullptr;
}

auto Write(flatbuffers::FlatBufferBuilder& aBuilder, const peer_digest& aDigest)
  -> flatbuffers::Offset<peer::Digest>
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
  return peer::CreateDigestDirect(aBuilder,
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
                                  aDigest.mPosition.mHistory,
                                  aDigest.mZone,
                                  aDigest.mWithheldWrites,
                                  aDigest.mHasEnded);
}

auto Read(const peer::Digest& aMessage) -> std::optional<peer_digest>
{
  if (aMessage.sender() == 0) {
    return std::nullopt;
  }
  auto digest = peer_digest();
  digest.mSender = ToAddress(aMessage.sender());
  digest.mZone = aMessage.zone();
  digest.mIncarnation = aMessage.incarnation();
  digest.mSequence = aMessage.sequence();
  digest.mIsLeaving = aMessage.is_leaving();
  digest.mHasEnded = aMessage.has_ended();
  digest.mPosition = { aMessage.history(), aMessage.revision() };
  digest.mIsSourceStable = aMessage.is_settled();
  digest.mIsFull = aMessage.is_full();
  digest.mWithheldWrites = aMessage.withheld_writes();
  digest.mConfigurationVersion = aMessage.configuration_version();
  if (aMessage.loads() != nullptr) {
    for (const auto* load : *aMessage.loads()) {
      digest.mLoads.push_back(
        { load->key(), load->requests(), load->prompt_tokens(), load->output_tokens() });
    }
  }
  if (aMessage.speeds() != nullptr) {
    for (const auto* speed : *aMessage.speeds()) {
      digest.mSpeeds.push_back({ speed->key(),
                                 duration(speed->token_time_us()),
                                 static_cast<double>(speed->prompt_token_ns()) / 1000 });
    }
  }
  if (aMessage.spending() != nullptr) {
    for (const auto* total : *aMessage.spending()) {
      digest.mOrganisationUsage.push_back({ total->key(), total->total() });
    }
  }
  if (aMessage.peers() != nullptr) {
    for (const auto address : *aMessage.peers()) {
      digest.mPeers.push_back(ToAddress(address));
    }
  }
  if (aMessage.crash_evidence() != nullptr) {
    for (const auto* evidence : *aMessage.crash_evidence()) {
      digest.mCrashEvidence.push_back({ evidence->part(),
                                        evidence->crash(),
                                        std::chrono::milliseconds(evidence->age_ms()),
                                        evidence->is_refuted() });
    }
  }
  // The numbers come from the network, so those that cannot be a rate are dropped.
  const auto isRate = [](double aNumber) { return std::isfinite(aNumber) && aNumber >= 0; };
  digest.mDemand = isRate(aMessage.demand_per_s()) ? aMessage.demand_per_s() : 0;
  if (aMessage.rate_limits() != nullptr) {
    for (const auto* statement : *aMessage.rate_limits()) {
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

/// About the number of bytes that a digest takes in a datagram.
auto EstimatedSize(const peer_digest& aDigest) -> std::size_t
{
  constexpr auto kFixedBytes = std::size_t{ 144 };
  return kFixedBytes + aDigest.mLoads.size() * sizeof(peer::EndpointLoad) +
         aDigest.mSpeeds.size() * sizeof(peer::EndpointSpeed) +
         aDigest.mOrganisationUsage.size() * sizeof(peer::Spending) +
         aDigest.mCrashEvidence.size() * sizeof(peer::CrashEvidence) +
         aDigest.mRateLimits.size() * sizeof(peer::EndpointRateLimit) +
         aDigest.mPeers.size() * sizeof(std::uint32_t);
}

auto EncodeRelay(bool aIsBetweenZones, std::span<const peer_digest> aDigests) -> std::string
{
  auto builder = flatbuffers::FlatBufferBuilder();
  auto digests = std::vector<flatbuffers::Offset<peer::Digest>>();
  for (const auto& digest : aDigests) {
    digests.push_back(Write(builder, digest));
  }
  builder.Finish(peer::CreateRelayDirect(builder, aIsBetweenZones, &digests), kRelayIdentifier);
  return Finished(builder);
}

} // namespace

auto EncodeDigests(digest_hop aHop, std::span<const peer_digest> aDigests)
  -> std::vector<std::string>
{
  auto datagrams = std::vector<std::string>();
  if (aHop == digest_hop::Direct) {
    for (const auto& digest : aDigests) {
      auto builder = flatbuffers::FlatBufferBuilder();
      builder.Finish(Write(builder, digest));
      datagrams.push_back(Finished(builder));
    }
    return datagrams;
  }
  const auto isBetweenZones = aHop == digest_hop::BetweenZones;
  auto first = std::size_t{ 0 };
  auto bytes = std::size_t{ 0 };
  for (auto next = std::size_t{ 0 }; next < aDigests.size(); ++next) {
    const auto size = EstimatedSize(aDigests[next]);
    if (next > first && bytes + size > kMaxDatagramBytes) {
      datagrams.push_back(EncodeRelay(isBetweenZones, aDigests.subspan(first, next - first)));
      first = next;
      bytes = 0;
    }
    bytes += size;
  }
  if (first < aDigests.size()) {
    datagrams.push_back(EncodeRelay(isBetweenZones, aDigests.subspan(first)));
  }
  return datagrams;
}

auto DecodeDigests(std::string_view aBytes) -> std::optional<digest_message>
{
  auto message = digest_message();
  if (const auto* relay = Verified<peer::Relay>(aBytes, kRelayIdentifier); relay != nullptr) {
    message.mHop = relay->is_between_zones() ? digest_hop::BetweenZones : digest_hop::WithinZone;
    if (relay->digests() != nullptr) {
      for (const auto* digest : *relay->digests()) {
        auto decoded = Read(*digest);
        if (!decoded) {
          return std::nullopt;
        }
        message.mDigests.push_back(std::move(*decoded));
      }
    }
    return message;
  }
  const auto* single = Verified<peer::Digest>(aBytes);
  auto decoded = single == nullptr ? std::nullopt : Read(*single);
  if (!decoded) {
    return std::nullopt;
  }
  message.mDigests.push_back(std::move(*decoded));
  return message;
}

auto EncodeSnapshot(const published_snapshot& aSnapshot, std::optional<source_position> aKnown)
  -> std::string
{
  // Revisions can only be compared within one history.
  const auto isKnown = [&aKnown](const published_item& aItem) {
    return aKnown && aItem.mHistory == aKnown->mHistory && aItem.mRevision <= aKnown->mRevision;
  };
  auto builder = flatbuffers::FlatBufferBuilder();
  const auto write = [&builder](const published_item& aItem, bool aHasValue) {
    const auto key = builder.CreateString(aItem.mKey);
    const auto value =
      aHasValue ? builder.CreateString(aItem.mValue) : flatbuffers::Offset<flatbuffers::String>();
    return peer::CreateItem(builder, key, value, aItem.mRevision, aItem.mHistory, aItem.mIsExpired);
  };
  auto items = std::vector<flatbuffers::Offset<peer::Item>>();
  for (const auto& item : aSnapshot.mItems) {
    items.push_back(write(item, !isKnown(item)));
  }
  auto withheld = std::vector<flatbuffers::Offset<peer::WithheldWrite>>();
  for (const auto& report : aSnapshot.mWithheld) {
    const auto age = std::chrono::floor<std::chrono::milliseconds>(report.mAge).count();
    const auto item = write(report.mItem, true);
    withheld.push_back(peer::CreateWithheldWrite(builder, item, Clamp<std::uint32_t>(age)));
  }
  builder.Finish(peer::CreateSnapshotDirect(
    builder, aSnapshot.mRevision, &items, aSnapshot.mHistory, &withheld));
  return Finished(builder);
}

auto DecodeSnapshot(std::string_view aBytes, const published_items& aHeld)
  -> std::optional<published_snapshot>
{
  const auto* message = Verified<peer::Snapshot>(aBytes);
  if (message == nullptr) {
    return std::nullopt;
  }
  auto snapshot = published_snapshot{ message->revision(), {}, message->history() };
  const auto read = [&aHeld](const peer::Item& aItem) -> std::optional<published_item> {
    auto item = published_item{
      aItem.key()->str(), {}, aItem.revision(), aItem.history(), aItem.is_expired()
    };
    if (aItem.value() != nullptr) {
      item.mValue = aItem.value()->str();
    } else {
      const auto* held = aHeld.Find(item.mKey);
      if (held == nullptr || held->Position() != item.Position()) {
        return std::nullopt;
      }
      item.mValue = held->mValue;
    }
    return item;
  };
  if (message->items() != nullptr) {
    for (const auto* encoded : *message->items()) {
      if (encoded->key() == nullptr) {
        continue;
      }
      auto item = read(*encoded);
      if (!item) {
        return std::nullopt;
      }
      snapshot.mItems.push_back(std::move(*item));
    }
  }
  if (message->withheld() != nullptr) {
    for (const auto* report : *message->withheld()) {
      const auto* encoded = report->item();
      if (encoded == nullptr || encoded->key() == nullptr || encoded->value() == nullptr) {
        continue;
      }
      snapshot.mWithheld.push_back(
        { *read(*encoded), std::chrono::milliseconds(report->age_ms()) });
    }
  }
  return snapshot;
}

auto ItemsTarget(std::optional<source_position> aKnown) -> std::string
{
  auto target = std::string(kItemsPath);
  if (aKnown) {
    target += "/" + std::to_string(aKnown->mHistory) + "/" + std::to_string(aKnown->mRevision);
  }
  return target;
}

auto ParseItemsTarget(std::string_view aTarget) -> std::optional<items_request>
{
  if (aTarget == kItemsPath) {
    return items_request();
  }
  if (!aTarget.starts_with(kItemsPath) || aTarget[kItemsPath.size()] != '/') {
    return std::nullopt;
  }
  aTarget.remove_prefix(kItemsPath.size() + 1);
  const auto slash = aTarget.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  auto known = source_position();
  for (const auto& [text, number] : { std::pair(aTarget.substr(0, slash), &known.mHistory),
                                      std::pair(aTarget.substr(slash + 1), &known.mRevision) }) {
    const auto parsed = ParseUnsigned(text);
    if (!parsed) {
      return std::nullopt;
    }
    *number = *parsed;
  }
  return items_request{ known };
}

} // namespace bronzering

#pragma once

#include "gateway_state.h"

#include <bronzering/base/errors.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

namespace bronzering {

/// Exchanges digests with the other entries over UDP several times a second. A digest carries the
/// outstanding work, the quota usage of the organisations, the revision of the published items, and
/// from time to time what endpoints have shown: evidence of crashes, rate limits and speeds.
/// A lost datagram only delays this until a later one. Control thread only.
class peer_channel
{
public:
  /// aOnNewerItems is called for each digest from a peer that holds newer items, and for each
  /// digest while this entry lacks a configuration that a peer has.
  peer_channel(gateway_state& aState, std::function<void()> aOnNewerItems);

  [[nodiscard]] auto Open() -> outcome<void>;
  auto Receive() -> boost::asio::awaitable<void>;
  auto Send() -> boost::asio::awaitable<void>;
  /// Sends a digest at once, which tells the peers that this entry is shutting down.
  auto AnnounceShutdown() -> void;

private:
  auto SendDigest() -> void;
  /// Returns the totals that differ from those sent last.
  auto ChangedUsage(std::vector<organisation_usage> aTotals) -> std::vector<organisation_usage>;
  auto ReportPeerChanges(time_point aNow) -> void;
  /// Compares the configuration with the peer's, and logs once for each version that this entry
  /// lacks for long although a peer has it.
  auto UpdateConfigurationLag(const peer_digest& aDigest, time_point aNow) -> void;
  auto ReportRateLimits(const std::string& aPeer,
                        const std::vector<rate_limit_statement>& aChanged,
                        time_point aNow) -> void;
  /// Sets how many of the next digests carry crash evidence and statements on rate limits.
  auto UpdateRepeats() -> void;
  auto RepeatRateLimits() -> void;

  gateway_state& mState;
  std::function<void()> mOnNewerItems;
  boost::asio::ip::udp::socket mSocket;
  std::uint64_t mIncarnation;
  std::uint64_t mSequence = 0;
  /// The totals sent last, by the organisation's key.
  std::unordered_map<std::uint64_t, double> mSentTotals;
  /// How many of the next digests are full whatever their sequence.
  std::uint32_t mFullRepeats = 0;
  /// prompt_quarantine::Changes at the last digest, and how many more digests repeat the evidence.
  std::uint64_t mSentEvidenceChanges = 0;
  std::uint32_t mEvidenceRepeats = 0;
  /// The same for endpoint_rate_limiter::Changes and the statements on rate limits.
  std::uint64_t mSentRateLimitChanges = 0;
  std::uint32_t mRateLimitRepeats = 0;
  /// The last version that was logged as late.
  std::uint64_t mReportedVersion = 0;
  /// Receive buffer, large enough for any UDP datagram.
  std::array<char, 64UL * 1024> mInput = {};
};

} // namespace bronzering

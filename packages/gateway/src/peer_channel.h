#pragma once

#include "gateway_state.h"

#include <bronzering/base/errors.h>
#include <bronzering/dispatch/digest_exchange.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace bronzering {

/// Exchanges digests with the other entries over UDP several times a second, as a digest_exchange
/// decides. Control thread only.
class peer_channel
{
public:
  /// aOnNewerItems is called for each digest from a peer that holds newer items, or that withholds
  /// writes which this entry may have, and for each digest while this entry lacks a configuration
  /// that a peer has.
  peer_channel(gateway_state& aState, std::function<void()> aOnNewerItems);

  [[nodiscard]] auto Open() -> outcome<void>;
  auto Receive() -> boost::asio::awaitable<void>;
  auto Send() -> boost::asio::awaitable<void>;
  /// Sends a digest at once, which tells the peers that this entry is shutting down.
  auto AnnounceShutdown() -> void;
  /// Sends the last digest, which tells the peers that this entry has ended. Precondition: no
  /// request is admitted any more.
  auto AnnounceEnd() -> void;

private:
  /// Whether the seeds name other entries, but none was heard yet.
  [[nodiscard]] auto IsIsolated() const -> bool;
  /// Reads one datagram without waiting; false if there is none.
  [[nodiscard]] auto ReadDatagram() -> bool;
  auto OnReceived(const digest_exchange::received& aReceived, time_point aNow) -> void;
  auto SendDigests(bool aHasEnded = false) -> void;
  auto SendTo(const std::vector<std::string>& aTargets,
              digest_hop aHop,
              const std::vector<peer_digest>& aDigests) -> void;
  auto ReportPeerChanges(time_point aNow) -> void;
  /// Compares the configuration with the peer's, and logs once for each version that this entry
  /// lacks for long although a peer has it.
  auto UpdateConfigurationLag(const peer_digest& aDigest, time_point aNow) -> void;
  auto ReportRateLimit(const digest_exchange::changed_rate_limit& aChanged, time_point aNow)
    -> void;

  gateway_state& mState;
  std::function<void()> mOnNewerItems;
  boost::asio::ip::udp::socket mSocket;
  digest_exchange mExchange;
  /// The last version that was logged as late.
  std::uint64_t mReportedVersion = 0;
  /// Receive buffer, large enough for any UDP datagram.
  std::array<char, 64UL * 1024> mInput = {};
};

} // namespace bronzering

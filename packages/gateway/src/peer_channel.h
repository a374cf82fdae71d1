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

/// Exchanges digests with the other entries over UDP, several times a second: outstanding work,
/// spending of the organisations, and the revision of the published items. Lost datagrams only
/// delay what the next one carries. Control thread only.
class peer_channel
{
public:
  /// aOnRevision is called after a digest of a peer that holds newer items.
  peer_channel(gateway_state& aState, std::function<void()> aOnRevision);

  [[nodiscard]] auto Open() -> outcome<void>;
  auto Receive() -> boost::asio::awaitable<void>;
  auto Send() -> boost::asio::awaitable<void>;
  /// Tells the peers at once that this entry is leaving.
  auto SayGoodbye() -> void;

private:
  auto SendDigest() -> void;
  /// Totals that differ from those sent last.
  auto ChangedSpending(std::vector<organisation_usage> aTotals) -> std::vector<organisation_usage>;
  auto ApplyChanges(time_point aNow) -> void;

  gateway_state& mState;
  std::function<void()> mOnRevision;
  boost::asio::ip::udp::socket mSocket;
  std::uint64_t mIncarnation;
  std::uint64_t mSequence = 0;
  /// Totals by organisation, as sent last.
  std::unordered_map<std::uint64_t, double> mSentTotals;
  /// The largest datagram.
  std::array<char, 64UL * 1024> mInput = {};
};

} // namespace bronzering

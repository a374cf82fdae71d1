#pragma once

#include <bronzering/base/time.h>

#include <string>
#include <string_view>

namespace bronzering {

/// How much an entry prefers some endpoints to others that are as good by their load.
///
/// Entries learn of each other's requests with a delay. If all of them compared endpoints by load
/// alone, they would see the same idle endpoint and send to it together, and the requests would
/// then wait there although others are idle. Therefore each entry has an order of its own, and one
/// that comes before load: endpoints of its availability zone, about which it learns first and to
/// which requests travel without charge. Not thread-safe: owned by the control thread.
class endpoint_preference
{
public:
  /// Largest handicap of an endpoint by the entry's own order: small against the time that one more
  /// prompt in front of a request takes.
  static constexpr auto kOwnOrder = duration(std::chrono::milliseconds(15));
  /// Handicap of a model in another zone: its requests carry long prompts, whose transport between
  /// zones is charged.
  static constexpr auto kPromptTransport = duration(std::chrono::milliseconds(30));

  /// aSelf identifies this entry among the others. If it is empty, there are none, and endpoints
  /// are compared by load alone.
  endpoint_preference(std::string aSelf, std::string aAvailabilityZone);

  [[nodiscard]] auto IsOwnZone(std::string_view aZone) const -> bool
  {
    return aZone == mAvailabilityZone;
  }
  /// The handicap of an endpoint, the same at each call.
  [[nodiscard]] auto Handicap(std::string_view aEndpoint,
                              std::string_view aZone,
                              bool aIsModel) const -> duration;

private:
  std::string mSelf;
  std::string mAvailabilityZone;
};

} // namespace bronzering

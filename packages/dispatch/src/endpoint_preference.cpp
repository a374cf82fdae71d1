#include <bronzering/dispatch/endpoint_preference.h>

#include <bronzering/base/hash.h>

namespace bronzering {

endpoint_preference::endpoint_preference(std::string aSelf, std::string aAvailabilityZone)
  : mSelf(std::move(aSelf))
  , mAvailabilityZone(std::move(aAvailabilityZone))
{
}

auto endpoint_preference::Handicap(std::string_view aEndpoint,
                                   std::string_view aZone,
                                   bool aIsModel) const -> duration
{
  if (mSelf.empty()) {
    return duration::zero();
  }
  const auto weight = RendezvousWeight(HashText(aEndpoint), mSelf);
  const auto order =
    duration(static_cast<duration::rep>(weight % static_cast<std::uint64_t>(kOwnOrder.count())));
  return aIsModel && !IsOwnZone(aZone) ? order + kPromptTransport : order;
}

} // namespace bronzering

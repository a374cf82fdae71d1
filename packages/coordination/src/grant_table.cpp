#include "grant_table.h"

#include <cassert>

namespace bronzering {

grant_table::grant_table(incarnation aIncarnation, duration aLifetime)
  : mLifetime(aLifetime)
  , mLast{ aIncarnation.mValue }
{
}

auto grant_table::IssueGrant(peer_id aPeer, request_id aRequest, time_point aNow) -> grant_id
{
  assert(!mGrantOf.contains(aRequest));
  ++mLast.mValue;
  mIssued.emplace_hint(mIssued.end(), mLast, issued{ aPeer, aRequest, {}, aNow + mLifetime });
  mGrantOf.emplace(aRequest, mLast);
  return mLast;
}

auto grant_table::IssueCredits(peer_id aPeer,
                               std::string_view aService,
                               std::size_t aCount,
                               time_point aNow) -> std::vector<grant_id>
{
  auto ids = std::vector<grant_id>{};
  for (auto count = std::size_t{ 0 }; count < aCount; ++count) {
    ++mLast.mValue;
    mIssued.emplace_hint(
      mIssued.end(), mLast, issued{ aPeer, std::nullopt, std::string(aService), aNow + mLifetime });
    ids.push_back(mLast);
  }
  if (aCount > 0) {
    mCredits[{ aPeer, std::string(aService) }] += aCount;
  }
  return ids;
}

auto grant_table::Redeem(grant_id aGrant,
                         peer_id aPeer,
                         request_id aRequest,
                         std::string_view aService,
                         time_point aNow) -> redemption
{
  const auto found = mIssued.find(aGrant);
  if (found == mIssued.end() || found->second.mPeer != aPeer || found->second.mExpiry <= aNow) {
    return redemption::Invalid;
  }
  const auto isGrant = found->second.mRequest.has_value();
  const auto matches =
    isGrant ? *found->second.mRequest == aRequest : found->second.mService == aService;
  if (!matches) {
    return redemption::Invalid;
  }
  Erase(found);
  return isGrant ? redemption::Grant : redemption::Credit;
}

auto grant_table::Erase(table::iterator aEntry) -> table::iterator
{
  const auto& entry = aEntry->second;
  if (entry.mRequest) {
    mGrantOf.erase(*entry.mRequest);
  } else {
    const auto count = mCredits.find(std::pair(entry.mPeer, entry.mService));
    assert(count != mCredits.end());
    if (--count->second == 0) {
      mCredits.erase(count);
    }
  }
  return mIssued.erase(aEntry);
}

auto grant_table::Revoke(request_id aRequest) -> void
{
  const auto found = mGrantOf.find(aRequest);
  if (found != mGrantOf.end()) {
    Erase(mIssued.find(found->second));
  }
}

auto grant_table::RevokeCredits() -> void
{
  for (auto entry = mIssued.begin(); entry != mIssued.end();) {
    entry = entry->second.mRequest ? std::next(entry) : Erase(entry);
  }
}

auto grant_table::RevokePeer(peer_id aPeer) -> void
{
  for (auto entry = mIssued.begin(); entry != mIssued.end();) {
    entry = entry->second.mPeer == aPeer ? Erase(entry) : std::next(entry);
  }
}

auto grant_table::Expire(time_point aNow) -> std::vector<request_id>
{
  auto expired = std::vector<request_id>{};
  while (!mIssued.empty() && mIssued.begin()->second.mExpiry <= aNow) {
    if (mIssued.begin()->second.mRequest) {
      expired.push_back(*mIssued.begin()->second.mRequest);
    }
    Erase(mIssued.begin());
  }
  return expired;
}

auto grant_table::NextExpiry() const -> std::optional<time_point>
{
  return mIssued.empty() ? std::nullopt : std::optional(mIssued.begin()->second.mExpiry);
}

auto grant_table::Credits(peer_id aPeer, std::string_view aService) const -> std::size_t
{
  const auto found = mCredits.find(std::pair(aPeer, std::string(aService)));
  return found == mCredits.end() ? 0 : found->second;
}

} // namespace bronzering

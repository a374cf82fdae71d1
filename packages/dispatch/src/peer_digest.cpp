#include <bronzering/dispatch/peer_digest.h>

#include <bronzering/base/hash.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace bronzering {

namespace {

/// Replaces the rows of aKept that aNewer has too, by the key that aKeyOf returns, and adds the
/// others.
template<class Row, class KeyOf>
auto MergeRows(std::vector<Row>& aKept, const std::vector<Row>& aNewer, KeyOf aKeyOf) -> void
{
  if (aNewer.empty()) {
    return;
  }
  auto rows = aNewer;
  std::copy_if(aKept.begin(), aKept.end(), std::back_inserter(rows), [&](const Row& aRow) {
    return std::none_of(aNewer.begin(), aNewer.end(), [&](const Row& aOther) {
      return aKeyOf(aOther) == aKeyOf(aRow);
    });
  });
  aKept = std::move(rows);
}

} // namespace

auto HashZone(std::string_view aAvailabilityZone) -> zone_key
{
  return std::max<zone_key>(HashText(aAvailabilityZone), kUnknownZone + 1);
}

auto MergeDigest(peer_digest& aKept, const peer_digest& aNewer) -> void
{
  if (aKept.mIncarnation != aNewer.mIncarnation) {
    aKept = aNewer;
    return;
  }
  // Rows that a digest carries only now and then are kept; everything else is replaced.
  auto merged = aNewer;
  merged.mIsFull = aKept.mIsFull || aNewer.mIsFull;
  std::swap(merged.mOrganisationUsage, aKept.mOrganisationUsage);
  std::swap(merged.mCrashEvidence, aKept.mCrashEvidence);
  std::swap(merged.mRateLimits, aKept.mRateLimits);
  MergeRows(merged.mOrganisationUsage, aNewer.mOrganisationUsage, [](const auto& aRow) {
    return aRow.mKey;
  });
  MergeRows(merged.mCrashEvidence, aNewer.mCrashEvidence, [](const auto& aRow) {
    return std::pair(aRow.mPart, aRow.mCrash);
  });
  MergeRows(
    merged.mRateLimits, aNewer.mRateLimits, [](const auto& aRow) { return aRow.mEndpoint; });
  if (!aNewer.mIsFull) {
    std::swap(merged.mSpeeds, aKept.mSpeeds);
    std::swap(merged.mPeers, aKept.mPeers);
  }
  aKept = std::move(merged);
}

auto RemoveRepeatedEvidence(std::vector<peer_digest>& aDigests) -> void
{
  auto evidenceSeen = std::set<std::tuple<suspect_key, crash_id, bool>>();
  auto newestStatements = std::map<endpoint_incarnation_key, duration>();
  for (const auto& digest : aDigests) {
    for (const auto& statement : digest.mRateLimits) {
      const auto newest = newestStatements.try_emplace(statement.mEndpoint, statement.mAge).first;
      newest->second = std::min(newest->second, statement.mAge);
    }
  }
  for (auto& digest : aDigests) {
    std::erase_if(digest.mCrashEvidence, [&](const crash_evidence& aRow) {
      return !evidenceSeen.emplace(aRow.mPart, aRow.mCrash, aRow.mIsRefuted).second;
    });
    std::erase_if(digest.mRateLimits, [&](const rate_limit_statement& aRow) {
      return newestStatements.at(aRow.mEndpoint) < aRow.mAge;
    });
  }
}

auto AddAge(peer_digest& aDigest, duration aAge) -> void
{
  for (auto& evidence : aDigest.mCrashEvidence) {
    evidence.mAge += aAge;
  }
  for (auto& statement : aDigest.mRateLimits) {
    statement.mAge += aAge;
  }
}

} // namespace bronzering

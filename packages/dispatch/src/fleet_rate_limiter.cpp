#include <bronzering/dispatch/fleet_rate_limiter.h>

#include <bronzering/base/hash.h>

#include <algorithm>

namespace bronzering {

namespace {

/// Time over which the admission rate of a peer is averaged.
constexpr auto kRateWindow = duration(std::chrono::seconds(2));
/// Fraction of the burst in a new bucket. All entries may restart at once just after the burst was
/// used up, so a full bucket would grant it a second time.
constexpr auto kInitialBurstFraction = 0.5;
/// Time after the start within which an entry is new: it learns by then of peers that have been
/// running for longer.
constexpr auto kStartupTime = duration(std::chrono::seconds(2));
/// Time without a report after which the last known rate of a peer is charged.
constexpr auto kReportTimeout = duration(std::chrono::milliseconds(300));

} // namespace

fleet_rate_limiter::fleet_rate_limiter(quota_tolerance aTolerance)
  : mTolerance(aTolerance)
{
}

auto fleet_rate_limiter::Configure(const std::vector<organisation_spec>& aOrganisations,
                                   time_point aNow) -> void
{
  mStarted = mStarted.value_or(aNow);
  auto previous = std::move(mBuckets);
  mBuckets.clear();
  for (const auto& organisation : aOrganisations) {
    const auto key = HashText(organisation.mName);
    const auto factor = 1 + mTolerance.mOvershoot;
    const auto slack = organisation.mRate > 0 ? mTolerance.mSlack : 0;
    auto next =
      bucket{ organisation.mRate * factor, organisation.mBurst * factor + slack, 0, 0, aNow };
    next.mLevel = mIsEstablished ? 0 : next.mBurst * kInitialBurstFraction;
    if (const auto found = previous.find(key); found != previous.end()) {
      Refill(key, found->second, aNow);
      next.mOwnTotal = found->second.mOwnTotal;
      if (found->second.mRate > 0) {
        next.mLevel = std::min(found->second.mLevel, next.mBurst);
      }
    }
    mBuckets.emplace(key, next);
  }
}

auto fleet_rate_limiter::Spend(std::string_view aOrganisation, double aUnits, time_point aNow)
  -> duration
{
  const auto key = HashText(aOrganisation);
  const auto found = mBuckets.find(key);
  if (found == mBuckets.end()) {
    return {};
  }
  auto& own = found->second;
  if (own.mRate > 0) {
    Refill(key, own, aNow);
    // A request of any size is admitted unless the bucket is in debt. If the units had to be
    // available, small requests would keep the level too low for large ones. The debt delays later
    // requests.
    if (own.mLevel < 0) {
      return FromSeconds(-own.mLevel / own.mRate) + duration(std::chrono::milliseconds(1));
    }
    own.mLevel -= aUnits;
  }
  own.mOwnTotal += aUnits;
  return {};
}

auto fleet_rate_limiter::Refund(std::string_view aOrganisation, double aUnits, time_point aNow)
  -> void
{
  const auto key = HashText(aOrganisation);
  const auto found = mBuckets.find(key);
  if (found == mBuckets.end()) {
    return;
  }
  Refill(key, found->second, aNow);
  found->second.mLevel = std::min(found->second.mBurst, found->second.mLevel + aUnits);
  found->second.mOwnTotal -= aUnits;
}

auto fleet_rate_limiter::OnPeerUsage(const usage_report& aReport, time_point aNow) -> void
{
  auto& peer = mPeers.try_emplace(aReport.mSender).first->second;
  if (peer.mIncarnation != aReport.mIncarnation) {
    peer = peer_state{ aReport.mIncarnation, false, aNow, {} };
  }
  peer.mLastDigest = aNow;
  for (const auto& total : aReport.mTotals) {
    const auto [entry, isFirst] = peer.mOrganisationUsage.try_emplace(total.mKey);
    auto& usage = entry->second;
    const auto isUnknown = isFirst && !peer.mHasBaseline;
    const auto previous = isUnknown && aReport.mIsEstablished ? total.mTotal : usage.mTotal;
    const auto admitted = total.mTotal - previous;

    // Replace the units assumed since the last report by those that the peer really admitted.
    if (const auto found = mBuckets.find(total.mKey); found != mBuckets.end()) {
      auto& own = found->second;
      Refill(total.mKey, own, aNow);
      auto level = own.mLevel - admitted + usage.mAssumedUnits;
      if (isUnknown) {
        // Units from before the first report leave no debt, since part of them has been refilled.
        level = std::max(level, std::min(own.mLevel, 0.0));
      }
      own.mLevel = std::min(own.mBurst, level);
    }
    const auto elapsed =
      isFirst ? kRateWindow : std::max<duration>(aNow - usage.mLastReported, duration(1));
    // Until a full window has passed, the average covers the time since the first report.
    if (isFirst) {
      usage.mFirstReported = aNow;
    }
    const auto known =
      std::max(elapsed, std::min<duration>(aNow - usage.mFirstReported, kRateWindow));
    const auto weight = std::min(1.0, ToSeconds(elapsed) / ToSeconds(known));
    usage.mRate += weight * (std::max(0.0, admitted) / ToSeconds(elapsed) - usage.mRate);
    usage.mTotal = total.mTotal;
    usage.mLastReported = aNow;
    usage.mAssumedUnits = 0;
  }
  peer.mHasBaseline = peer.mHasBaseline || aReport.mIsComplete;
}

auto fleet_rate_limiter::OnEstablishedPeer(time_point aNow) -> void
{
  if (mIsEstablished) {
    return;
  }
  mIsEstablished = true;
  if (mStarted && aNow - *mStarted > kStartupTime) {
    return;
  }
  for (auto& [key, own] : mBuckets) {
    Refill(key, own, aNow);
    own.mLevel = std::min(own.mLevel, 0.0);
  }
}

auto fleet_rate_limiter::OnPeerEnd(std::string_view aPeer) -> void
{
  if (const auto found = mPeers.find(aPeer); found != mPeers.end()) {
    mPeers.erase(found);
  }
}

auto fleet_rate_limiter::Totals() const -> std::vector<organisation_usage>
{
  auto totals = std::vector<organisation_usage>();
  totals.reserve(mBuckets.size());
  for (const auto& [key, own] : mBuckets) {
    if (own.mOwnTotal != 0) {
      totals.push_back({ key, own.mOwnTotal });
    }
  }
  std::sort(totals.begin(), totals.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mKey < aRight.mKey;
  });
  return totals;
}

auto fleet_rate_limiter::Level(std::string_view aOrganisation, time_point aNow) -> double
{
  const auto key = HashText(aOrganisation);
  const auto found = mBuckets.find(key);
  if (found == mBuckets.end()) {
    return 0;
  }
  Refill(key, found->second, aNow);
  return found->second.mLevel;
}

auto fleet_rate_limiter::Refill(std::uint64_t aKey, bucket& aBucket, time_point aNow) -> void
{
  if (aNow > aBucket.mRefilled) {
    aBucket.mLevel = std::min(aBucket.mBurst,
                              aBucket.mLevel + aBucket.mRate * ToSeconds(aNow - aBucket.mRefilled));
    aBucket.mRefilled = aNow;
  }
  ChargeUnresponsivePeers(aKey, aBucket, aNow);
}

auto fleet_rate_limiter::ChargeUnresponsivePeers(std::uint64_t aKey,
                                                 bucket& aBucket,
                                                 time_point aNow) -> void
{
  for (auto& [name, peer] : mPeers) {
    const auto assumedTime = std::min<duration>(aNow - peer.mLastDigest, kMaxAssumedTime);
    if (assumedTime < kReportTimeout) {
      continue;
    }
    const auto found = peer.mOrganisationUsage.find(aKey);
    if (found == peer.mOrganisationUsage.end()) {
      continue;
    }
    const auto assumed = found->second.mRate * ToSeconds(assumedTime);
    if (assumed > found->second.mAssumedUnits) {
      aBucket.mLevel -= assumed - found->second.mAssumedUnits;
      found->second.mAssumedUnits = assumed;
    }
  }
}

} // namespace bronzering

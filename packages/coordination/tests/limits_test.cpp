#include "entry_harness.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <deque>
#include <vector>

using namespace bronzering;

namespace {

constexpr auto kRate = 100.0;
constexpr auto kBurst = 50.0;

auto OneLimit() -> fleet_config
{
  auto config = fleet_config{};
  config.mLimits["l"] = { "l", limit_scope::Service, "stock", limit_unit::Requests, kRate, kBurst };
  return config;
}

/// Simulates entries that share one budget, in steps of a millisecond, over links with a delay.
/// Entries detect a partition two seconds after it begins.
class entry_cluster
{
public:
  static constexpr std::size_t kCount = 4;

  entry_cluster()
  {
    for (auto node = std::size_t{ 0 }; node < kCount; ++node) {
      mOwners[node].Configure(OneLimit(), mNow);
      mLeases[node].Configure(OneLimit());
      mSide[node] = mDetectedSide[node] = 0;
    }
    UpdateOwners();
  }

  auto Partition(std::array<int, kCount> aSide) -> void
  {
    mSide = aSide;
    mDetectionTime = mNow.mMonotonic + std::chrono::seconds(2);
  }

  /// Runs the simulation with demand at the entries for which aDemands is true.
  auto Run(duration aTime, std::array<bool, kCount> aDemands) -> void
  {
    const auto end = mNow.mMonotonic + aTime;
    while (mNow.mMonotonic < end) {
      mNow.mMonotonic += std::chrono::milliseconds(1);
      if (mDetectionTime && mNow.mMonotonic >= *mDetectionTime) {
        mDetectionTime.reset();
        mDetectedSide = mSide;
        UpdateOwners();
      }
      for (auto node = std::size_t{ 0 }; node < kCount; ++node) {
        Step(node, aDemands[node]);
      }
      mSpentByMillisecond.push_back(mTotalSpent);
    }
  }

  /// Amount spent between two times in milliseconds since the start.
  auto SpentBetween(std::size_t aFrom, std::size_t aTo) const -> double
  {
    return mSpentByMillisecond.at(aTo) - mSpentByMillisecond.at(aFrom);
  }
  /// The largest amount by which the spending of any interval exceeded the rate and one burst.
  auto MaxOvershoot() const -> double
  {
    auto worst = 0.0;
    auto lowest = 0.0;
    for (auto ms = std::size_t{ 0 }; ms < mSpentByMillisecond.size(); ++ms) {
      const auto ahead = mSpentByMillisecond[ms] - kRate * static_cast<double>(ms) / 1000;
      lowest = std::min(lowest, ahead);
      worst = std::max(worst, ahead - lowest - kBurst);
    }
    return worst;
  }

private:
  struct delayed_message
  {
    std::size_t mFrom;
    time_point mDue;
    peer_message mMessage;
  };

  auto UpdateOwners() -> void
  {
    for (auto node = std::size_t{ 0 }; node < kCount; ++node) {
      auto reachable = std::vector<std::string>{};
      for (auto other = std::size_t{ 0 }; other < kCount; ++other) {
        if (mDetectedSide[other] == mDetectedSide[node]) {
          reachable.push_back("entry-" + std::to_string(other));
        }
      }
      mOwners[node].SetShare(static_cast<double>(reachable.size()) / kCount, mNow);
      const auto owner = RendezvousOwner("l", reachable);
      const auto number = std::stoul(owner.substr(6));
      mOwners[node].SetOwned("l", number == node, mNow);
      mLeases[node].SetOwner("l", peer_id{ number == node ? 0 : number + 1 }, mNow);
    }
  }

  auto Step(std::size_t aNode, bool aDemand) -> void
  {
    // Delivers due messages, unless the partition separates sender and receiver.
    auto& inbox = mInboxes[aNode];
    while (!inbox.empty() && inbox.front().mDue <= mNow.mMonotonic) {
      const auto item = std::move(inbox.front());
      inbox.pop_front();
      if (mSide[item.mFrom] == mSide[aNode]) {
        Receive(aNode, { item.mFrom + 1 }, item.mMessage);
      }
    }
    mOwners[aNode].OnTimer(mNow);
    mLeases[aNode].OnTimer(mNow);
    if (aDemand && mWaiting[aNode] < 20) {
      ++mWaiting[aNode];
      if (mLeases[aNode].Spend({ aNode + 1, ++mSequence }, 0, { { "l", 1, {} } }, mNow)) {
        --mWaiting[aNode];
        ++mTotalSpent;
      }
    }
    Exchange(aNode);
  }

  auto Receive(std::size_t aNode, peer_id aFrom, const peer_message& aMessage) -> void
  {
    if (const auto* request = std::get_if<lease_request>(&aMessage)) {
      mOwners[aNode].Request(aFrom, *request, mNow);
    } else if (const auto* unused = std::get_if<lease_return>(&aMessage)) {
      mOwners[aNode].Return(*unused, mNow);
    } else if (const auto* granted = std::get_if<lease_grant>(&aMessage)) {
      mLeases[aNode].OnGrant(aFrom, *granted, mNow);
    }
  }

  auto Exchange(std::size_t aNode) -> void
  {
    for (auto isBusy = true; isBusy;) {
      isBusy = false;
      for (auto& [peer, message] : mLeases[aNode].TakeMessages()) {
        isBusy = true;
        Send(aNode, peer, std::move(message));
      }
      for (auto& [peer, message] : mOwners[aNode].TakeGrants()) {
        isBusy = true;
        Send(aNode, peer, std::move(message));
      }
      for (const auto& resolution : mLeases[aNode].TakeResolutions()) {
        --mWaiting[aNode];
        mTotalSpent += resolution.mSpent ? 1 : 0;
      }
    }
  }

  auto Send(std::size_t aFrom, peer_id aTo, peer_message aMessage) -> void
  {
    if (aTo == peer_id{ 0 }) {
      Receive(aFrom, aTo, aMessage);
      return;
    }
    mInboxes[aTo.mValue - 1].push_back(
      { aFrom, mNow.mMonotonic + std::chrono::milliseconds(3), std::move(aMessage) });
  }

  instant mNow{ time_point(std::chrono::hours(1)), {} };
  std::array<limit_owner, kCount> mOwners;
  std::array<limit_leases, kCount> mLeases;
  std::array<std::deque<delayed_message>, kCount> mInboxes;
  std::array<int, kCount> mSide{};
  std::array<int, kCount> mDetectedSide{};
  std::array<int, kCount> mWaiting{};
  std::optional<time_point> mDetectionTime;
  std::uint64_t mSequence = 0;
  double mTotalSpent = 0;
  std::vector<double> mSpentByMillisecond;
};

constexpr auto kDemandEverywhere = std::array{ true, true, true, true };

} // namespace

TEST_CASE("several budgets are spent all or none, and refunds are usable again", "[limits]")
{
  auto config = OneLimit();
  config.mLimits["m"] = { "m", limit_scope::Service, "stock", limit_unit::Tokens, 1, 10 };
  auto leases = limit_leases{};
  leases.Configure(config);
  auto now = instant{ time_point(std::chrono::hours(1)), {} };
  leases.SetOwner("l", peer_id{ 1 }, now);
  leases.SetOwner("m", peer_id{ 2 }, now);

  CHECK_FALSE(leases.Spend({ 1, 1 }, 0, { { "l", 1, {} }, { "m", 5, {} } }, now));
  leases.OnGrant({ 1 }, { "l", 1, kLeaseLifetime }, now);
  CHECK(leases.TakeResolutions().empty());
  leases.OnGrant({ 2 }, { "m", 0, std::chrono::seconds(3) }, now);
  const auto refused = leases.TakeResolutions();
  REQUIRE(refused.size() == 1);
  CHECK_FALSE(refused[0].mSpent);
  CHECK(refused[0].mRetryAfter == std::chrono::seconds(3));

  // The amount granted for the refused request is available for the next one.
  const auto spent = leases.Spend({ 1, 2 }, 0, { { "l", 1, {} } }, now);
  REQUIRE(spent);
  leases.Refund(*spent, now);
  CHECK(leases.Spend({ 1, 3 }, 0, { { "l", 1, {} } }, now));
}

TEST_CASE("an amount above the burst is refused at once", "[limits]")
{
  auto leases = limit_leases{};
  leases.Configure(OneLimit());
  CHECK_FALSE(leases.Spend({ 1, 1 }, 0, { { "l", kBurst + 1, {} } }, {}));
  CHECK(leases.TakeResolutions().size() == 1);
}

// Guards against overspending after a change of owner: the leases of the previous owner must have
// expired before the new owner grants any.
TEST_CASE("a new owner waits one lease lifetime and starts empty", "[limits]")
{
  auto owner = limit_owner{};
  auto now = instant{ time_point(std::chrono::hours(1)), {} };
  owner.Configure(OneLimit(), now);
  owner.SetOwned("l", true, now);
  owner.Request({ 1 }, { "l", 10 }, now);
  now.mMonotonic += kLeaseLifetime;
  owner.OnTimer(now);
  CHECK(owner.TakeGrants().empty());

  // An amount of 10 accrues within 100 ms at a rate of 100 per second.
  now.mMonotonic += std::chrono::milliseconds(101);
  owner.OnTimer(now);
  const auto grants = owner.TakeGrants();
  REQUIRE(grants.size() == 1);
  CHECK(grants[0].second.mAmount == 10);
}

// Guards against overspending: a delayed grant must not be usable after the owner considers the
// lease expired.
TEST_CASE("a lease expires one lifetime after it was asked for", "[limits]")
{
  auto leases = limit_leases{};
  auto now = instant{ time_point(std::chrono::hours(1)), {} };
  leases.Configure(OneLimit());
  leases.SetOwner("l", peer_id{ 1 }, now);
  CHECK_FALSE(leases.Spend({ 1, 1 }, 0, { { "l", 1, {} } }, now));
  now.mMonotonic += std::chrono::milliseconds(2500);
  leases.OnGrant({ 1 }, { "l", 1, kLeaseLifetime }, now);
  CHECK(leases.TakeResolutions().empty());
}

// Guards against overspending during a partition. The design bounds the overshoot to what the rate
// gives in one lease lifetime and one burst. The burst is part of what any interval may spend.
TEST_CASE("a partition overshoots by less than one lifetime's worth", "[limits][partition]")
{
  auto entries = entry_cluster{};
  entries.Run(std::chrono::seconds(10), kDemandEverywhere);
  entries.Partition({ 0, 0, 1, 1 });
  entries.Run(std::chrono::seconds(20), kDemandEverywhere);
  entries.Partition({ 0, 0, 0, 0 });
  entries.Run(std::chrono::seconds(10), kDemandEverywhere);
  const auto during = entries.SpentBetween(15'000, 29'000) / 14;
  WARN("overshoot " << entries.MaxOvershoot() << " of 250 allowed; rate during the partition "
                    << during << " of " << kRate);
  CHECK(entries.MaxOvershoot() <= kRate * ToSeconds(kLeaseLifetime) + kBurst);
  CHECK(during <= kRate * 1.001);
  CHECK(during >= kRate * 0.9);
}

// Guards against a side of a partition that gets less than its fraction of the rate. The worst case
// is all demand on one side.
TEST_CASE("the side of a partition gets its share of the rate", "[limits][partition]")
{
  auto entries = entry_cluster{};
  entries.Run(std::chrono::seconds(10), kDemandEverywhere);
  entries.Partition({ 0, 1, 1, 1 });
  entries.Run(std::chrono::seconds(20), { true, false, false, false });
  const auto during = entries.SpentBetween(15'000, 29'000) / 14;
  WARN("one of four entries alone spent " << during << " of " << kRate);
  CHECK(during <= kRate / 4 * 1.001);
  CHECK(during >= kRate / 4 * 0.9);
}

TEST_CASE("random partitions stay within the stated overshoot", "[limits][property]")
{
  const auto holds = rc::check([] {
    const auto choices = *rc::gen::container<std::vector<int>>(8, rc::gen::inRange<int>(0, 4096));
    auto entries = entry_cluster{};
    for (const auto choice : choices) {
      entries.Partition({ choice & 1, (choice >> 1) & 1, (choice >> 2) & 1, (choice >> 3) & 1 });
      entries.Run(std::chrono::milliseconds(4000 + (choice >> 4) * 8), kDemandEverywhere);
    }
    RC_ASSERT(entries.MaxOvershoot() <= kRate * ToSeconds(kLeaseLifetime) + kBurst);
  });
  CHECK(holds);
}

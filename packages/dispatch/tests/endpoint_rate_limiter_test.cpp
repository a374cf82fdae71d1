#include <bronzering/dispatch/endpoint_rate_limiter.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

using namespace bronzering;
using namespace std::chrono_literals;

namespace {

const auto kStart = time_point(1h);
constexpr auto kStep = 5ms;
const auto kEndpoint = HashEndpointIncarnation("e0", 1);

auto Listed(std::size_t aCount) -> std::vector<listed_endpoint>
{
  auto endpoints = std::vector<listed_endpoint>(aCount);
  for (auto at = std::size_t{ 0 }; at < aCount; ++at) {
    endpoints[at].mId = "e" + std::to_string(at);
    endpoints[at].mIncarnation = 1;
    endpoints[at].mService = "model";
  }
  return endpoints;
}

/// Entries that all try to send to each endpoint at every step, if they have demand.
class busy_fleet
{
public:
  busy_fleet(std::size_t aEntries, std::size_t aEndpoints, double aLimit)
    : mListed(Listed(aEndpoints))
    , mSent(aEndpoints)
  {
    for (auto at = std::size_t{ 0 }; at < aEntries; ++at) {
      mDemands.push_back({ "10.0.0." + std::to_string(at), 10 });
    }
    for (const auto& member : mDemands) {
      mEntries.push_back(Started(member.mAddress));
      for (const auto& endpoint : mListed) {
        mEntries.back().OnAnswer(HashEndpointIncarnation(endpoint.mId, 1), aLimit, mNow, mNow);
      }
    }
  }

  auto SetDemand(std::size_t aEntry, double aRequestsPerSecond) -> void
  {
    mDemands[aEntry].mRequestsPerSecond = aRequestsPerSecond;
    for (auto& entry : mEntries) {
      entry.SetMembers(mDemands, mNow);
    }
  }
  /// Replaces an entry by one that knows only what the first entry tells it.
  auto Restart(std::size_t aEntry) -> void
  {
    mEntries[aEntry] = Started(mDemands[aEntry].mAddress);
    mEntries[aEntry].Merge(mEntries[0].TakeStatements(mListed.size(), mNow), mNow);
  }
  auto Idle(duration aTime) -> void { mNow += aTime; }
  auto Send(duration aTime) -> void
  {
    for (const auto end = mNow + aTime; mNow < end; mNow += kStep) {
      for (auto entry = std::size_t{ 0 }; entry < mEntries.size(); ++entry) {
        if (mDemands[entry].mRequestsPerSecond > 0) {
          SendFrom(mEntries[entry]);
        }
      }
    }
  }
  /// The most requests that an endpoint got in aWindow.
  [[nodiscard]] auto MostIn(duration aWindow) const -> std::size_t
  {
    auto most = std::size_t{ 0 };
    for (const auto& times : mSent) {
      auto window = std::deque<time_point>();
      for (const auto time : times) {
        window.push_back(time);
        while (time - window.front() > aWindow) {
          window.pop_front();
        }
        most = std::max(most, window.size());
      }
    }
    return most;
  }
  [[nodiscard]] auto SentTotal() const -> std::size_t
  {
    auto total = std::size_t{ 0 };
    for (const auto& times : mSent) {
      total += times.size();
    }
    return total;
  }
  /// Number of endpoints to which an entry may send sooner or later.
  [[nodiscard]] auto OwnedBy(std::size_t aEntry) const -> std::size_t
  {
    return static_cast<std::size_t>(
      std::count_if(mListed.begin(), mListed.end(), [&](const auto& aEndpoint) {
        return mEntries[aEntry]
          .TimeToAdmission(HashEndpointIncarnation(aEndpoint.mId, 1), rate_share::Whole, mNow)
          .has_value();
      }));
  }

private:
  auto Started(const std::string& aAddress) const -> endpoint_rate_limiter
  {
    auto entry = endpoint_rate_limiter(aAddress);
    entry.SetEndpoints(mListed, mNow);
    entry.SetMembers(mDemands, mNow);
    return entry;
  }
  auto SendFrom(endpoint_rate_limiter& aEntry) -> void
  {
    for (auto at = std::size_t{ 0 }; at < mListed.size(); ++at) {
      const auto key = HashEndpointIncarnation(mListed[at].mId, 1);
      if (aEntry.TimeToAdmission(key, rate_share::Whole, mNow) == duration::zero()) {
        aEntry.OnSent(key, mNow);
        mSent[at].push_back(mNow);
      }
    }
  }

  time_point mNow = kStart;
  std::vector<listed_endpoint> mListed;
  std::vector<entry_demand> mDemands;
  std::vector<endpoint_rate_limiter> mEntries;
  std::vector<std::vector<time_point>> mSent;
};

} // namespace

TEST_CASE("all entries together keep to a named limit, after idle times and restarts too",
          "[endpoint_rate_limiter]")
{
  const auto entries = GENERATE(1UL, 5UL, 26UL, 420UL);
  const auto limit = GENERATE(0.3, 1.6, 5.0, 40.0);
  auto fleet = busy_fleet(entries, 9, limit);
  fleet.Send(6s);
  fleet.Idle(10s);
  fleet.Send(6s);
  // A single entry has no peer that could tell it; it learns the limit again from an answer.
  if (entries > 1) {
    fleet.Restart(entries - 1);
  }
  fleet.Send(6s);
  CHECK(static_cast<double>(fleet.MostIn(4s)) <= 1.5 * 4 * limit + 5);
  CHECK(static_cast<double>(fleet.SentTotal()) >= 0.9 * 9 * limit * 18 - 9.0 * 4);
}

TEST_CASE("a limit is shared out by demand", "[endpoint_rate_limiter]")
{
  auto fleet = busy_fleet(5, 9, 5.0);
  for (auto entry = std::size_t{ 1 }; entry < 5; ++entry) {
    fleet.SetDemand(entry, 0);
  }
  fleet.Send(20s);
  CHECK(static_cast<double>(fleet.SentTotal()) >= 0.8 * 9 * 5.0 * 20);
  CHECK(static_cast<double>(fleet.MostIn(4s)) <= 1.5 * 4 * 5.0 + 5);
}

TEST_CASE("in a large fleet each entry owns endpoints with low limits", "[endpoint_rate_limiter]")
{
  auto fleet = busy_fleet(60, 30, 1.0);
  for (auto entry = std::size_t{ 0 }; entry < 60; ++entry) {
    CHECK(fleet.OwnedBy(entry) >= 2);
  }
}

TEST_CASE("an answer to a request from before the limit does not end it", "[endpoint_rate_limiter]")
{
  auto limiter = endpoint_rate_limiter("10.0.0.1");
  CHECK(limiter.OnAnswer(kEndpoint, 5.0, kStart, kStart + 1s));
  CHECK_FALSE(limiter.OnAnswer(kEndpoint, std::nullopt, kStart, kStart + 2s));
  CHECK(limiter.LimitedCount() == 1);
  CHECK(limiter.OnAnswer(kEndpoint, std::nullopt, kStart + 2s, kStart + 3s));
  CHECK(limiter.LimitedCount() == 0);
  CHECK(limiter.TimeToAdmission(kEndpoint, rate_share::Whole, kStart + 3s) == duration::zero());
}

TEST_CASE("of two statements the newer one counts, whoever passes it on", "[endpoint_rate_limiter]")
{
  auto limiter = endpoint_rate_limiter("10.0.0.1");
  limiter.OnAnswer(kEndpoint, 5.0, kStart, kStart + 10s);
  CHECK(limiter.Merge({ { kEndpoint, std::nullopt, 2s } }, kStart + 11s).empty());
  CHECK(limiter.LimitedCount() == 1);
  CHECK(limiter.Merge({ { kEndpoint, std::nullopt, 0s } }, kStart + 11s).size() == 1);
  CHECK(limiter.LimitedCount() == 0);
}

// Less urgent requests took every request of a limit, so that urgent ones were refused.
TEST_CASE("urgent requests get a request of a limit before others", "[endpoint_rate_limiter]")
{
  auto limiter = endpoint_rate_limiter("10.0.0.1");
  limiter.OnAnswer(kEndpoint, 1.0, kStart, kStart);
  auto now = kStart + 10s;
  limiter.OnSent(kEndpoint, now);
  now += 600ms;
  CHECK(limiter.TimeToAdmission(kEndpoint, rate_share::Whole, now) == duration::zero());
  CHECK(limiter.TimeToAdmission(kEndpoint, rate_share::Unreserved, now) == 400ms);
}

TEST_CASE("a limit of zero is tried again now and then", "[endpoint_rate_limiter]")
{
  auto fleet = busy_fleet(5, 1, 0.0);
  fleet.Send(60s);
  CHECK(fleet.SentTotal() >= 6);
  CHECK(fleet.MostIn(4s) <= 5);
}

TEST_CASE("statements to peers go through all endpoints in turn", "[endpoint_rate_limiter]")
{
  auto limiter = endpoint_rate_limiter("10.0.0.1");
  for (auto key = endpoint_incarnation_key{ 1 }; key <= 10; ++key) {
    limiter.OnAnswer(key, 5.0, kStart, kStart);
  }
  auto other = endpoint_rate_limiter("10.0.0.2");
  for (auto digest = 0; digest < 4; ++digest) {
    const auto statements = limiter.TakeStatements(3, kStart + 1s);
    CHECK(statements.size() == 3);
    other.Merge(statements, kStart + 1s);
  }
  CHECK(other.LimitedCount() == 10);
}

TEST_CASE("the statements of unlisted endpoints are forgotten", "[endpoint_rate_limiter]")
{
  auto limiter = endpoint_rate_limiter("10.0.0.1");
  limiter.SetEndpoints(Listed(1), kStart);
  limiter.OnAnswer(kEndpoint, 5.0, kStart, kStart);
  limiter.OnAnswer(HashEndpointIncarnation("gone", 1), 5.0, kStart, kStart);
  limiter.RemoveExpired(kStart + endpoint_rate_limiter::kUnlistedTime);
  CHECK(limiter.LimitedCount() == 1);
}

#include <bronzering/dispatch/cold_endpoint_limiter.h>

#include <bronzering/base/random_source.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <deque>
#include <string>

using namespace bronzering;
using namespace std::chrono_literals;

namespace {

const auto kStart = time_point(1h);
constexpr auto kStep = duration(5ms);
constexpr auto kColdTime = duration(3s);
const auto kEndpoint = HashEndpointIncarnation("e0", 1);

/// Number of seeded loads; COLD_LIMIT_SEEDS=N runs more seeds.
auto SeedCount() -> std::uint64_t
{
  const auto* text = std::getenv("COLD_LIMIT_SEEDS"); // NOLINT(concurrency-mt-unsafe)
  return text == nullptr ? 150 : std::strtoull(text, nullptr, 10);
}

/// Entries that learn of each other's start and end with a delay, and of the endpoint's coldness at
/// different times. Each tries to send at every step once it knows that the endpoint is cold; what
/// it sends before is not limited and does not count here.
class drifting_fleet
{
public:
  drifting_fleet(std::size_t aEntries, double aRate, std::uint64_t aSeed)
    : mRandom(aSeed)
    , mRate(aRate)
  {
    for (auto at = std::size_t{ 0 }; at < aEntries; ++at) {
      mEntries.push_back(fleet_entry{ "10.0.0." + std::to_string(at) });
    }
    for (auto& entry : mEntries) {
      entry.mLimiter.SetMembers(MembersFor(entry), kStart - 5s);
      entry.mLimiter.SetMembers(MembersFor(entry), mNow);
    }
  }

  /// Cuts the fleet into parts that hear nothing of each other, for longer than peers are kept.
  auto Split(std::size_t aParts) -> void
  {
    for (auto at = std::size_t{ 0 }; at < mEntries.size(); ++at) {
      mEntries[at].mPart = at % aParts;
    }
    mNow += 40s;
  }

  /// Makes the endpoint cold; entries learn it within 0.3 s, as digests and watches take.
  auto BecomeCold() -> void
  {
    mColdSince = mNow;
    for (auto& entry : mEntries) {
      entry.mLearns = mNow + FromSeconds(0.3 * mRandom.Uniform01());
      entry.mKnowsCold = false;
    }
  }
  /// Kills an entry and starts it again. Its peers notice that only later, if at all; it starts
  /// alone and hears of them within half a second.
  auto Restart(std::size_t aEntry) -> void
  {
    auto& entry = mEntries[aEntry];
    entry.mLimiter = cold_endpoint_limiter(entry.mAddress);
    entry.mLimiter.SetMembers({ { entry.mAddress, 0 } }, mNow);
    entry.mNextNews = mNow + FromSeconds(0.5 * mRandom.Uniform01());
    entry.mLearns = mNow;
    entry.mKnowsCold = false;
  }
  /// Adds an entry that the others hear of within half a second.
  auto Start() -> void
  {
    mEntries.push_back(fleet_entry{ "10.0.1." + std::to_string(mEntries.size()) });
    Restart(mEntries.size() - 1);
    for (auto& entry : mEntries) {
      entry.mNextNews = std::min(entry.mNextNews, mNow + FromSeconds(0.5 * mRandom.Uniform01()));
    }
  }
  auto Play(duration aTime) -> void
  {
    for (const auto end = mNow + aTime; mNow < end; mNow += kStep) {
      for (auto& entry : mEntries) {
        Step(entry);
      }
    }
  }
  /// The most requests that the endpoint got in any second.
  [[nodiscard]] auto MostInASecond() const -> std::size_t
  {
    auto most = std::size_t{ 0 };
    auto window = std::deque<time_point>();
    for (const auto time : mSent) {
      window.push_back(time);
      while (time - window.front() > 1s) {
        window.pop_front();
      }
      most = std::max(most, window.size());
    }
    return most;
  }
  [[nodiscard]] auto Sent() const -> std::size_t { return mSent.size(); }

private:
  struct fleet_entry
  {
    explicit fleet_entry(std::string aAddress)
      : mAddress(std::move(aAddress))
      , mLimiter(mAddress)
    {
    }
    std::string mAddress;
    cold_endpoint_limiter mLimiter;
    std::size_t mPart = 0;
    /// When it next hears of its peers.
    time_point mNextNews = kStart;
    time_point mLearns = kStart;
    bool mKnowsCold = true;
  };

  auto MembersFor(const fleet_entry& aEntry) const -> std::vector<entry_demand>
  {
    auto members = std::vector<entry_demand>();
    for (const auto& entry : mEntries) {
      if (entry.mPart == aEntry.mPart) {
        members.push_back({ entry.mAddress, 0 });
      }
    }
    return members;
  }
  auto Step(fleet_entry& aEntry) -> void
  {
    if (mNow >= aEntry.mNextNews) {
      aEntry.mNextNews = mNow + FromSeconds(0.1 + 0.4 * mRandom.Uniform01());
      aEntry.mLimiter.SetMembers(MembersFor(aEntry), mNow);
    }
    if (!aEntry.mKnowsCold && mNow >= aEntry.mLearns) {
      aEntry.mKnowsCold = true;
      aEntry.mLimiter.SetCold(kEndpoint, mRate, mNow + kColdTime, mNow);
    }
    const auto isCold = aEntry.mKnowsCold && mNow < mColdSince + kColdTime;
    if (isCold && aEntry.mLimiter.TimeToAdmission(kEndpoint, mNow) == duration::zero()) {
      aEntry.mLimiter.OnSent(kEndpoint, mNow);
      mSent.push_back(mNow);
    }
  }

  random_source mRandom;
  double mRate;
  time_point mNow = kStart;
  time_point mColdSince = kStart - 1h;
  std::vector<fleet_entry> mEntries;
  std::vector<time_point> mSent;
};

/// What a cold endpoint may get in a second before it counts as overloaded.
auto Bound(double aRate) -> double
{
  return 1.5 * aRate + 5;
}

} // namespace

// Every entry saw the endpoints of a returning zone idle and sent to all of them at once.
TEST_CASE("all entries together keep to what a cold endpoint tolerates", "[cold_endpoint_limiter]")
{
  for (auto seed = std::uint64_t{ 1 }; seed <= SeedCount(); ++seed) {
    auto random = random_source(seed);
    constexpr auto kSizes = std::array<std::size_t, 4>{ 1, 5, 22, 68 };
    const auto entries = kSizes[static_cast<std::size_t>(random.Uniform01() * kSizes.size())];
    const auto rate = 0.5 + 15 * random.Uniform01();
    INFO("seed " << seed << ", " << entries << " entries, " << rate << " a second");
    auto fleet = drifting_fleet(entries, rate, seed);
    if (random.Uniform01() < 0.5) {
      fleet.Split(2 + random.UniformBelow(2));
    }
    fleet.BecomeCold();
    fleet.Play(700ms);
    fleet.Restart(static_cast<std::size_t>(random.Uniform01() * static_cast<double>(entries)));
    fleet.Play(FromSeconds(0.5 * random.Uniform01()));
    fleet.Start();
    fleet.Play(1500ms);
    // It becomes cold again.
    fleet.BecomeCold();
    fleet.Play(3500ms);
    REQUIRE(static_cast<double>(fleet.MostInASecond()) <= Bound(rate));
  }
}

TEST_CASE("most of what a cold endpoint tolerates is used", "[cold_endpoint_limiter]")
{
  const auto entries = GENERATE(5UL, 22UL, 68UL);
  auto fleet = drifting_fleet(entries, 8, 1);
  fleet.BecomeCold();
  fleet.Play(kColdTime);
  CHECK(fleet.Sent() >= 16);
}

// A fleet that restarts at one moment would start with as many sole owners as it has entries.
TEST_CASE("an entry that has just started sends nothing to a cold endpoint",
          "[cold_endpoint_limiter]")
{
  auto limiter = cold_endpoint_limiter("10.0.0.1");
  limiter.SetMembers({ { "10.0.0.1", 1 } }, kStart);
  limiter.SetCold(kEndpoint, 8, kStart + 10s, kStart);
  CHECK(limiter.TimeToAdmission(kEndpoint, kStart + 900ms) == 9100ms);
  limiter.SetMembers({ { "10.0.0.1", 1 } }, kStart + 1s);
  CHECK(limiter.TimeToAdmission(kEndpoint, kStart + 2s) == duration::zero());
}

TEST_CASE("an endpoint is limited only while it is cold", "[cold_endpoint_limiter]")
{
  auto limiter = cold_endpoint_limiter("10.0.0.1");
  CHECK(limiter.TimeToAdmission(kEndpoint, kStart) == duration::zero());
  CHECK(!limiter.OwnRate(kEndpoint, kStart));
  limiter.SetCold(kEndpoint, 8, kStart + 1s, kStart);
  CHECK(limiter.IsCold(kEndpoint, kStart));
  CHECK(limiter.OwnRate(kEndpoint, kStart) == 0.0);
  CHECK(!limiter.IsCold(kEndpoint, kStart + 1s));
  CHECK(limiter.TimeToAdmission(kEndpoint, kStart + 1s) == duration::zero());
  limiter.RemoveExpired(kStart + 1s);
  CHECK(limiter.ColdCount(kStart) == 0);
}

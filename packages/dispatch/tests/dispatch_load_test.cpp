#include <bronzering/base/random_source.h>
#include <bronzering/dispatch.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <memory>

using namespace bronzering;
using namespace std::chrono_literals;

namespace {

/// Requests that callers send, and what became of them.
struct request_kind
{
  std::uint32_t mPriority = 0;
  token_work mWork;
  duration mEventGap{};
  duration mTimeout{};
  /// Of the capacity of all endpoints.
  double mLoad = 0;

  std::uint32_t mAsked = 0;
  std::uint32_t mInTime = 0;
  std::uint32_t mLate = 0;
  std::uint32_t mRefused = 0;
  /// Refused attempts after the warm-up, and those of them that had waited.
  std::uint32_t mRefusals = 0;
  std::uint32_t mRefusalsAfterWait = 0;

  [[nodiscard]] auto Served() const -> double { return mAsked == 0 ? 1 : double(mInTime) / mAsked; }
};

/// Several entries before engines that admit in order of arrival, under a seeded load. Entries know
/// of each other's requests through digests; callers whose requests are refused return once.
class load_run
{
public:
  static constexpr auto kEntries = std::size_t{ 4 };
  static constexpr auto kEndpoints = std::size_t{ 6 };
  static constexpr auto kSlots = 4U;
  static constexpr auto kStep = duration(10ms);
  static constexpr auto kDigestInterval = 10;
  /// The rates of arrivals are known and the queues are filled by then.
  static constexpr auto kWarmUp = duration(6s);

  load_run(std::vector<request_kind> aKinds, std::uint64_t aSeed)
    : mKinds(std::move(aKinds))
    , mRandom(aSeed)
    , mEngines(kEndpoints)
  {
    auto listed = std::vector<listed_endpoint>();
    for (auto index = std::size_t{ 0 }; index < kEndpoints; ++index) {
      listed.push_back({ std::to_string(index), 1, "model", "10.1.0.1:80", "a", kSlots, false });
    }
    for (auto index = std::size_t{ 0 }; index < kEntries; ++index) {
      auto& entry = *mEntries.emplace_back(std::make_unique<entry_state>(AddressOf(index)));
      entry.mTable.Configure({ { "model", 0, true, 1 } });
      entry.mTable.Apply(listed, mNow);
    }
  }

  /// Callers send requests for the given time; then all are answered.
  auto Run(duration aTime) -> void
  {
    mWarm = mNow + kWarmUp;
    mLoadEnd = mNow + aTime;
    for (auto step = 0; mNow < mLoadEnd || !mAttempts.empty(); ++step, mNow += kStep) {
      if (step % kDigestInterval == 0) {
        ExchangeDigests();
      }
      for (auto kind = std::size_t{ 0 }; mNow < mLoadEnd && kind < mKinds.size(); ++kind) {
        const auto rate = mKinds[kind].mLoad * kEndpoints * kSlots / ToSeconds(SlotTime(kind));
        for (auto count = mRandom.Exponential(1); count < rate * ToSeconds(kStep);
             count += mRandom.Exponential(1)) {
          ++mKinds[kind].mAsked;
          Arrive(kind, mNow + mKinds[kind].mTimeout, true);
        }
      }
      while (!mReturning.empty() && mReturning.begin()->first <= mNow) {
        const auto [kind, deadline] = mReturning.begin()->second;
        mReturning.erase(mReturning.begin());
        Arrive(kind, deadline, false);
      }
      RunEngines();
      for (auto& entry : mEntries) {
        Decide(*entry);
      }
    }
  }

  [[nodiscard]] auto Kind(std::size_t aKind) const -> const request_kind& { return mKinds[aKind]; }
  /// Share of the slots' time after the warm-up that went into answers that ended in their caller's
  /// time.
  [[nodiscard]] auto UsefulShare() const -> double
  {
    return ToSeconds(mUsefulTime) / (ToSeconds(mLoadEnd - mWarm) * kEndpoints * kSlots);
  }

private:
  struct entry_state
  {
    explicit entry_state(std::string aAddress)
      : mTable("a", std::move(aAddress))
    {
    }
    endpoint_table mTable;
    dispatch_queue mQueue{ mTable };
    decaying_rate mDemand;
  };
  struct attempt
  {
    std::size_t mKind = 0;
    std::size_t mEntry = 0;
    time_point mArrived;
    time_point mFirstEventBy;
    time_point mDeadline;
    bool mMayReturn = false;
    time_point mFirstEvent;
    time_point mEnd;
  };
  struct engine
  {
    std::vector<exchange_id> mRunning;
    std::deque<exchange_id> mQueue;
  };

  static auto AddressOf(std::size_t aEntry) -> std::string
  {
    return "10.0.0." + std::to_string(aEntry);
  }
  [[nodiscard]] auto FirstEventTime(std::size_t aKind) const -> duration
  {
    return 34ms + duration(20) * static_cast<duration::rep>(mKinds[aKind].mWork.mPromptTokens);
  }
  [[nodiscard]] auto SlotTime(std::size_t aKind) const -> duration
  {
    return FirstEventTime(aKind) +
           duration(4ms) * static_cast<duration::rep>(mKinds[aKind].mWork.mOutputTokens);
  }

  auto Arrive(std::size_t aKind, time_point aDeadline, bool aMayReturn) -> void
  {
    const auto index = mRandom.UniformBelow(kEntries);
    auto& entry = *mEntries[index];
    const auto& kind = mKinds[aKind];
    auto ticket = dispatch_ticket();
    ticket.mExchange = { ++mLastExchange };
    ticket.mService = "model";
    ticket.mWork = kind.mWork;
    ticket.mRank = { 0, kind.mPriority };
    ticket.mIsUrgent = kind.mPriority == 0;
    ticket.mDeadline = aDeadline;
    ticket.mFirstEventBy = std::min(mNow + kind.mEventGap, aDeadline);
    mAttempts[mLastExchange] = { aKind, index, mNow, ticket.mFirstEventBy, aDeadline, aMayReturn };
    entry.mDemand.OnEvent(mNow);
    entry.mQueue.Add(std::move(ticket), mNow);
  }

  auto Decide(entry_state& aEntry) -> void
  {
    for (const auto& decision : aEntry.mQueue.Decide(mNow)) {
      const auto id = decision.mExchange;
      if (decision.mEndpoint) {
        mEngines[std::stoul(decision.mEndpoint->mId)].mQueue.push_back(id);
        continue;
      }
      const auto refused = mAttempts.at(id.mValue);
      mAttempts.erase(id.mValue);
      auto& kind = mKinds[refused.mKind];
      if (mNow >= mWarm) {
        ++kind.mRefusals;
        kind.mRefusalsAfterWait += mNow > refused.mArrived ? 1 : 0;
      }
      const auto delay =
        ReturnDelay(decision.mPlaceExpected, refused.mDeadline - mNow, mRandom.Uniform01());
      if (refused.mMayReturn) {
        mReturning.emplace(mNow + delay, std::pair{ refused.mKind, refused.mDeadline });
      } else {
        ++kind.mRefused;
      }
    }
  }

  auto RunEngines() -> void
  {
    for (auto& each : mEngines) {
      std::erase_if(each.mRunning, [this](exchange_id aId) {
        auto& running = mAttempts.at(aId.mValue);
        auto& table = mEntries[running.mEntry]->mTable;
        if (running.mFirstEvent <= mNow && running.mFirstEvent > mNow - kStep) {
          table.OnEvents(aId, 1, mNow);
        }
        if (running.mEnd > mNow) {
          return false;
        }
        const auto isInTime =
          running.mFirstEvent <= running.mFirstEventBy && running.mEnd <= running.mDeadline;
        if (isInTime && mNow >= mWarm && mNow < mLoadEnd) {
          mUsefulTime += SlotTime(running.mKind);
        }
        ++(isInTime ? mKinds[running.mKind].mInTime : mKinds[running.mKind].mLate);
        table.End(aId, attempt_result::Answered, mNow);
        mAttempts.erase(aId.mValue);
        return true;
      });
      while (each.mRunning.size() < kSlots && !each.mQueue.empty()) {
        const auto id = each.mQueue.front();
        each.mQueue.pop_front();
        auto& started = mAttempts.at(id.mValue);
        started.mFirstEvent = mNow + FirstEventTime(started.mKind);
        started.mEnd = mNow + SlotTime(started.mKind);
        each.mRunning.push_back(id);
      }
    }
  }

  auto ExchangeDigests() -> void
  {
    auto members = std::vector<entry_demand>();
    for (auto index = std::size_t{ 0 }; index < kEntries; ++index) {
      members.push_back({ AddressOf(index), mEntries[index]->mDemand.At(mNow) });
    }
    for (auto to = std::size_t{ 0 }; to < kEntries; ++to) {
      mEntries[to]->mTable.RateLimits().SetMembers(members, mNow);
      for (auto from = std::size_t{ 0 }; from < kEntries; ++from) {
        if (from != to) {
          mEntries[to]->mTable.SetPeerLoads(AddressOf(from), mEntries[from]->mTable.OwnLoads());
        }
      }
    }
  }

  std::vector<request_kind> mKinds;
  random_source mRandom;
  time_point mNow{ 1h };
  time_point mWarm;
  time_point mLoadEnd;
  duration mUsefulTime{};
  std::vector<std::unique_ptr<entry_state>> mEntries;
  std::vector<engine> mEngines;
  std::map<std::uint64_t, attempt> mAttempts;
  std::multimap<time_point, std::pair<std::size_t, time_point>> mReturning;
  std::uint64_t mLastExchange = 0;
};

/// Long answers of the most urgent rank, and below it long and short ones.
auto Kinds(double aLoad) -> std::vector<request_kind>
{
  return { { 0, { 6'000, 300 }, 4s, 15s, 0.25 * aLoad },
           { 1, { 600, 250 }, 4s, 15s, 0.45 * aLoad },
           { 1, { 1'800, 25 }, 4s, 3s, 0.3 * aLoad } };
}

constexpr auto kTime = duration(30s);

/// More seeds are run by hand.
auto SeedCount() -> std::uint64_t
{
  const auto* text = std::getenv("DISPATCH_LOAD_SEEDS");
  return text == nullptr ? 5 : std::stoul(text);
}

template<class Check>
auto ForEachSeed(const std::vector<request_kind>& aKinds, Check&& aCheck) -> void
{
  for (auto seed = std::uint64_t{ 1 }; seed <= SeedCount(); ++seed) {
    auto run = load_run(aKinds, seed);
    run.Run(kTime);
    INFO("seed " << seed);
    for (auto kind = std::size_t{ 0 }; kind < aKinds.size(); ++kind) {
      const auto& result = run.Kind(kind);
      UNSCOPED_INFO("kind " << kind << ": asked " << result.mAsked << ", in time " << result.mInTime
                            << ", late " << result.mLate << ", refused " << result.mRefused
                            << ", refusals " << result.mRefusals << ", after a wait "
                            << result.mRefusalsAfterWait);
    }
    UNSCOPED_INFO("useful share " << run.UsefulShare());
    aCheck(run);
  }
}

} // namespace

TEST_CASE("below capacity nothing is refused, and everything ends in time", "[dispatch_load]")
{
  ForEachSeed(Kinds(0.7), [](const load_run& aRun) {
    for (auto kind = std::size_t{ 0 }; kind < 3; ++kind) {
      CHECK(aRun.Kind(kind).Served() == 1);
    }
  });
}

// Requests that waited up to their deadlines could make everything late.
TEST_CASE("under overload the capacity goes into answers that end in time", "[dispatch_load]")
{
  const auto load = GENERATE(2.0, 5.0);
  ForEachSeed(Kinds(load), [](const load_run& aRun) {
    CHECK(aRun.UsefulShare() > 0.85);
    // Work is sent only where it is expected to end in time.
    auto inTime = 0U;
    auto late = 0U;
    for (auto kind = std::size_t{ 0 }; kind < 3; ++kind) {
      inTime += aRun.Kind(kind).mInTime;
      late += aRun.Kind(kind).mLate;
    }
    CHECK(late <= 0.05 * (inTime + late));
  });
}

TEST_CASE("under overload the most urgent are served first, and nothing starves within a rank",
          "[dispatch_load]")
{
  ForEachSeed(Kinds(2), [](const load_run& aRun) {
    CHECK(aRun.Kind(0).Served() > 0.97);
    CHECK(aRun.Kind(0).mRefused <= 0.01 * aRun.Kind(0).mAsked);
    CHECK(aRun.Kind(1).Served() > 0.5 * aRun.Kind(2).Served());
    CHECK(aRun.Kind(2).Served() > 0.5 * aRun.Kind(1).Served());
  });
}

// A request that has no chance was held until its caller gave up.
TEST_CASE("what more urgent requests leave no place for is refused at the first look",
          "[dispatch_load]")
{
  auto kinds = Kinds(1);
  kinds[0].mLoad = 2;
  ForEachSeed(kinds, [](const load_run& aRun) {
    for (const auto kind : { 1U, 2U }) {
      CHECK(aRun.Kind(kind).mRefusalsAfterWait <= 0.05 * aRun.Kind(kind).mRefusals);
    }
  });
}

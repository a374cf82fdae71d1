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

struct crowd_setup
{
  std::size_t mEntries = 1;
  std::size_t mEndpoints = 1;
  std::uint32_t mSlots = 1;
  bool mIsModel = false;
  /// Time in which a slot answers a request.
  duration mAnswer{};
  /// Time of a caller, in answer times.
  double mPatience = 3;
  std::size_t mCrowd = 0;
  /// The crowd arrives within this time.
  duration mSpread{};
  /// Number of priorities among the requests.
  std::uint32_t mPriorities = 1;
};

/// A crowd of callers before the idle endpoints of one service, whose answer times the entries have
/// measured. Entries learn of each other's requests from digests only.
class crowd_run
{
public:
  static constexpr auto kStep = duration(10ms);
  static constexpr auto kDigestInterval = 10;

  crowd_run(const crowd_setup& aSetup, std::uint64_t aSeed)
    : mSetup(aSetup)
    , mRandom(aSeed)
    , mEngines(aSetup.mEndpoints)
  {
    auto listed = std::vector<listed_endpoint>();
    for (auto index = std::size_t{ 0 }; index < mSetup.mEndpoints; ++index) {
      listed.push_back(
        { std::to_string(index), 1, "service", "10.1.0.1:80", "a", mSetup.mSlots, false });
    }
    for (auto index = std::size_t{ 0 }; index < mSetup.mEntries; ++index) {
      auto& table = mEntries.emplace_back(std::make_unique<entry_state>(AddressOf(index)))->mTable;
      table.Configure({ { "service", 0, mSetup.mIsModel, 1 } });
      table.Apply(listed, mNow);
      for (const auto& endpoint : listed) {
        table.Begin({ 1 }, endpoint.mId, Work(), mNow);
        table.End({ 1 }, attempt_result::Answered, mNow + mSetup.mAnswer);
      }
    }
    mNow += mSetup.mAnswer;
    ExchangeDigests();
  }

  auto Run() -> void
  {
    auto arrivals = std::vector<time_point>();
    for (auto index = std::size_t{ 0 }; index < mSetup.mCrowd; ++index) {
      arrivals.push_back(mNow + FromSeconds(ToSeconds(mSetup.mSpread) * mRandom.Uniform01()));
    }
    std::sort(arrivals.begin(), arrivals.end());
    auto next = arrivals.begin();
    for (auto step = 0; next != arrivals.end() || !mRequests.empty(); ++step, mNow += kStep) {
      if (step % kDigestInterval == 0) {
        ExchangeDigests();
      }
      for (; next != arrivals.end() && *next <= mNow; ++next) {
        Arrive();
      }
      RunEngines();
      for (auto& entry : mEntries) {
        Decide(*entry);
      }
      CountIdle();
    }
  }

  std::size_t mInTime = 0;
  std::size_t mLate = 0;
  std::size_t mRefused = 0;
  std::size_t mRefusedAfterWait = 0;
  /// Answers for which slots were idle while refused callers still had time.
  double mMissed = 0;
  /// Requests that were sent although a more urgent one of the same entry was refused before it,
  /// with time left for the answer.
  std::size_t mOutOfOrder = 0;

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
    std::vector<std::pair<std::uint32_t, time_point>> mRefused;
  };
  struct request
  {
    std::size_t mEntry = 0;
    std::uint32_t mPriority = 0;
    time_point mArrived;
    time_point mDeadline;
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
  [[nodiscard]] auto Work() const -> token_work
  {
    constexpr auto kFirstEvent = duration(34ms);
    return mSetup.mIsModel
             ? token_work{ 0, static_cast<std::uint64_t>((mSetup.mAnswer - kFirstEvent) / 4ms) }
             : token_work();
  }

  auto Arrive() -> void
  {
    const auto index = mRandom.UniformBelow(mSetup.mEntries);
    auto& entry = *mEntries[index];
    auto ticket = dispatch_ticket();
    ticket.mExchange = { ++mLastExchange };
    ticket.mService = "service";
    ticket.mWork = Work();
    const auto priority = static_cast<std::uint32_t>(mRandom.UniformBelow(mSetup.mPriorities));
    ticket.mRank = { 0, priority };
    ticket.mIsUrgent = priority == 0;
    ticket.mDeadline = mNow + FromSeconds(ToSeconds(mSetup.mAnswer) * mSetup.mPatience);
    ticket.mFirstEventBy = ticket.mDeadline;
    mRequests[mLastExchange] = { index, priority, mNow, ticket.mDeadline, {} };
    entry.mDemand.OnEvent(mNow);
    entry.mQueue.Add(std::move(ticket), mNow);
  }

  auto Decide(entry_state& aEntry) -> void
  {
    for (const auto& decision : aEntry.mQueue.Decide(mNow)) {
      const auto id = decision.mExchange;
      const auto& decided = mRequests.at(id.mValue);
      if (decision.mEndpoint) {
        mOutOfOrder +=
          std::any_of(aEntry.mRefused.begin(), aEntry.mRefused.end(), [&](const auto& aRefused) {
            return aRefused.first < decided.mPriority && HasTime(aRefused.second);
          });
        mEngines[std::stoul(decision.mEndpoint->mId)].mQueue.push_back(id);
        continue;
      }
      ++mRefused;
      mRefusedAfterWait += mNow > decided.mArrived ? 1 : 0;
      aEntry.mRefused.emplace_back(decided.mPriority, decided.mDeadline);
      mRequests.erase(id.mValue);
    }
  }

  auto RunEngines() -> void
  {
    for (auto& each : mEngines) {
      std::erase_if(each.mRunning, [this](exchange_id aId) {
        const auto& running = mRequests.at(aId.mValue);
        auto& table = mEntries[running.mEntry]->mTable;
        if (running.mEnd > mNow) {
          if (mSetup.mIsModel) {
            table.OnEvents(aId, static_cast<std::uint32_t>(kStep / 4ms), mNow);
          }
          return false;
        }
        ++(running.mEnd <= running.mDeadline ? mInTime : mLate);
        table.End(aId, attempt_result::Answered, mNow);
        mRequests.erase(aId.mValue);
        return true;
      });
      while (each.mRunning.size() < mSetup.mSlots && !each.mQueue.empty()) {
        const auto id = each.mQueue.front();
        each.mQueue.pop_front();
        mRequests.at(id.mValue).mEnd =
          mNow + FromSeconds(ToSeconds(mSetup.mAnswer) * (0.9 + 0.2 * mRandom.Uniform01()));
        each.mRunning.push_back(id);
      }
    }
  }

  [[nodiscard]] auto HasTime(time_point aDeadline) const -> bool
  {
    return mNow + WithEstimateMargin(mSetup.mAnswer) <= aDeadline;
  }

  auto CountIdle() -> void
  {
    auto idle = std::size_t{ 0 };
    for (const auto& each : mEngines) {
      idle += mSetup.mSlots - each.mRunning.size();
    }
    auto withTime = std::size_t{ 0 };
    for (const auto& entry : mEntries) {
      withTime += static_cast<std::size_t>(
        std::count_if(entry->mRefused.begin(), entry->mRefused.end(), [this](const auto& aRefused) {
          return HasTime(aRefused.second);
        }));
    }
    mMissed +=
      static_cast<double>(std::min(idle, withTime)) * ToSeconds(kStep) / ToSeconds(mSetup.mAnswer);
  }

  auto ExchangeDigests() -> void
  {
    auto members = std::vector<entry_demand>();
    for (auto index = std::size_t{ 0 }; index < mSetup.mEntries; ++index) {
      members.push_back({ AddressOf(index), mEntries[index]->mDemand.At(mNow) });
    }
    for (auto to = std::size_t{ 0 }; to < mSetup.mEntries; ++to) {
      mEntries[to]->mTable.RateLimits().SetMembers(members, mNow);
      for (auto from = std::size_t{ 0 }; from < mSetup.mEntries; ++from) {
        if (from != to) {
          mEntries[to]->mTable.SetPeerLoads(AddressOf(from), mEntries[from]->mTable.OwnLoads());
        }
      }
    }
  }

  crowd_setup mSetup;
  random_source mRandom;
  time_point mNow{ 1h };
  std::vector<std::unique_ptr<entry_state>> mEntries;
  std::vector<engine> mEngines;
  std::map<std::uint64_t, request> mRequests;
  std::uint64_t mLastExchange = 1;
};

/// More seeds are run by hand.
auto SeedCount() -> std::uint64_t
{
  const auto* text = std::getenv("DISPATCH_CROWD_SEEDS");
  return text == nullptr ? 20 : std::stoul(text);
}

} // namespace

// Only the requests that found a free slot were served; the second round of slots stayed idle.
TEST_CASE("the slots' second round serves a crowd at one entry", "[crowd]")
{
  const auto isModel = GENERATE(false, true);
  const auto slots = GENERATE(1U, 2U, 4U);
  for (auto seed = std::uint64_t{ 1 }; seed <= SeedCount(); ++seed) {
    auto run = crowd_run({ 1, 2, slots, isModel, 1s, 3, std::size_t{ 8 } * slots }, seed);
    run.Run();
    INFO("model " << isModel << ", slots " << slots << ", seed " << seed << ": in time "
                  << run.mInTime << ", late " << run.mLate << ", refused " << run.mRefused
                  << ", after a wait " << run.mRefusedAfterWait);
    CHECK(run.mInTime == std::size_t{ 4 } * slots);
    CHECK(run.mLate == 0);
    // Of answers whose lengths vary, some may end sooner than is known.
    CHECK((isModel || run.mRefusedAfterWait == 0));
  }
}

// With six slots, requests may enter the endpoint's own queue, whose wait is estimated from the
// mean time in a slot and may come out too short. Known to fail, see KNOWN-RED.txt.
TEST_CASE("a crowd that may enter an endpoint's queue is not late", "[faults][crowd_queue]")
{
  constexpr auto kSlots = 6U;
  for (auto seed = std::uint64_t{ 1 }; seed <= SeedCount(); ++seed) {
    auto run = crowd_run({ 1, 2, kSlots, false, 1s, 3, std::size_t{ 8 } * kSlots }, seed);
    run.Run();
    INFO("seed " << seed << ": in time " << run.mInTime << ", late " << run.mLate);
    CHECK(run.mInTime == std::size_t{ 4 } * kSlots);
    CHECK(run.mLate == 0);
  }
}

// With a share of less than one slot in an answer time, each of several entries refused all that
// found no free slot, and slots stayed idle.
TEST_CASE("the slots' second round serves a crowd at several entries", "[crowd]")
{
  auto random = random_source(1);
  auto asked = std::size_t{ 0 };
  auto inTime = std::size_t{ 0 };
  auto late = std::size_t{ 0 };
  auto refused = std::size_t{ 0 };
  auto afterWait = std::size_t{ 0 };
  auto outOfOrder = std::size_t{ 0 };
  auto missed = 0.0;
  const auto isModel = GENERATE(false, true);
  for (auto seed = std::uint64_t{ 1 }; seed <= SeedCount(); ++seed) {
    auto setup = crowd_setup();
    setup.mEntries = 2 + random.UniformBelow(3);
    setup.mEndpoints = 1 + random.UniformBelow(4);
    setup.mSlots = 1 + static_cast<std::uint32_t>(random.UniformBelow(4));
    setup.mIsModel = isModel;
    setup.mAnswer = 800ms + FromSeconds(random.Uniform01() * 2);
    setup.mCrowd = setup.mEndpoints * setup.mSlots * (2 + random.UniformBelow(5));
    setup.mSpread = setup.mAnswer / 2;
    setup.mPriorities = 1 + static_cast<std::uint32_t>(random.UniformBelow(2));
    auto run = crowd_run(setup, seed);
    run.Run();
    asked += setup.mCrowd;
    inTime += run.mInTime;
    late += run.mLate;
    refused += run.mRefused;
    afterWait += run.mRefusedAfterWait;
    outOfOrder += run.mOutOfOrder;
    missed += run.mMissed;
  }
  INFO("model " << isModel << ", asked " << asked << ": in time " << inTime << ", late " << late);
  INFO("model " << isModel << ", refused " << refused << ", after a wait " << afterWait);
  INFO("model " << isModel << ", out of order " << outOfOrder << ", missed " << missed);
  CHECK(missed < 0.05 * static_cast<double>(inTime));
  CHECK(outOfOrder == 0);
}

// Waiting must not make everything late.
TEST_CASE("under a lasting overload the slots serve what ends in time", "[crowd]")
{
  const auto isModel = GENERATE(false, true);
  const auto load = GENERATE(2U, 5U);
  for (auto seed = std::uint64_t{ 1 }; seed <= SeedCount(); ++seed) {
    // 16 slots for 20 answer times.
    auto run = crowd_run({ 4, 4, 4, isModel, 1s, 3, std::size_t{ 320 } * load, 20s, 2 }, seed);
    run.Run();
    INFO("model " << isModel << ", load " << load << ", in time " << run.mInTime);
    INFO("model " << isModel << ", late " << run.mLate << ", refused " << run.mRefused);
    CHECK(run.mInTime > 288);
    CHECK(run.mLate < 16);
  }
}

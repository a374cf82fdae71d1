#include "run_result.h"

#include <bronzering/base/overloaded.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

namespace bronzering::bench {

namespace {

using namespace std::chrono_literals;

struct request_times
{
  testkit::job mJob;
  time_point mSent;
  std::optional<time_point> mStarted;
  std::vector<time_point> mTokens;
  std::optional<time_point> mEnded;
  std::uint64_t mCachedTokens = 0;
  bool mFinished = false;
  bool mRefused = false;
};

auto Collect(const testkit::history& aHistory) -> std::map<exchange_id, request_times>
{
  auto requests = std::map<exchange_id, request_times>{};
  for (const auto& timed : aHistory) {
    const auto when = timed.mWhen;
    std::visit(
      overloaded{
        [&](const testkit::request_sent& aEvent) {
          requests[aEvent.mJob.mExchange] = { .mJob = aEvent.mJob, .mSent = when };
        },
        [&](const testkit::execution_started& aEvent) {
          requests[aEvent.mExchange].mStarted = when;
        },
        [&](const testkit::answer_received& aEvent) {
          requests[aEvent.mExchange].mTokens.push_back(when);
        },
        [&](const testkit::answer_finished& aEvent) {
          requests[aEvent.mExchange].mFinished = true;
          requests[aEvent.mExchange].mEnded = when;
        },
        [&](const testkit::answer_broken& aEvent) { requests[aEvent.mExchange].mEnded = when; },
        [&](const testkit::request_refused& aEvent) {
          requests[aEvent.mExchange].mRefused = true;
          requests[aEvent.mExchange].mEnded = when;
        },
        [](const auto&) {},
      },
      timed.mEvent);
  }
  return requests;
}

auto IsUseful(const request_times& aRequest) -> bool
{
  return aRequest.mFinished && *aRequest.mEnded <= aRequest.mSent + aRequest.mJob.mTimeout;
}

} // namespace

auto tier_result::Goodput() const -> double
{
  return mSent == 0 ? 1 : static_cast<double>(mUseful) / static_cast<double>(mSent);
}

auto run_result::WastedShare() const -> double
{
  return mPrefillTokens == 0
           ? 0
           : static_cast<double>(mWastedPrefillTokens) / static_cast<double>(mPrefillTokens);
}

auto Percentile(std::vector<double> aValues, double aShare) -> double
{
  if (aValues.empty()) {
    return 0;
  }
  const auto index = static_cast<std::size_t>(aShare * static_cast<double>(aValues.size() - 1));
  std::ranges::nth_element(aValues, aValues.begin() + static_cast<std::ptrdiff_t>(index));
  return aValues[index];
}

auto Summarise(const testkit::history& aHistory, run_result& aResult) -> void
{
  for (const auto& [exchange, request] : Collect(aHistory)) {
    auto& tier = request.mJob.mIsModel ? aResult.mTiers[request.mJob.mRank] : aResult.mPlain;
    ++tier.mSent;
    if (IsUseful(request)) {
      ++tier.mUseful;
      aResult.mUsefulTokens += request.mJob.mOutputTokens;
    } else {
      ++(request.mRefused ? tier.mRefused : tier.mLost);
    }
    if (request.mTokens.empty()) {
      continue;
    }
    tier.mFirstTokenSeconds.push_back(ToSeconds(request.mTokens.front() - request.mSent));
    for (auto index = std::size_t{ 1 }; index < request.mTokens.size(); ++index) {
      tier.mTokenGapSeconds.push_back(
        ToSeconds(request.mTokens[index] - request.mTokens[index - 1]));
    }
  }
}

auto Unfairness(const testkit::history& aHistory, std::uint32_t aRank) -> double
{
  constexpr auto kWindow = 10s;
  const auto requests = Collect(aHistory);
  auto begin = time_point::max();
  auto end = time_point::min();
  for (const auto& [exchange, request] : requests) {
    begin = std::min(begin, request.mSent);
    end = std::max(end, request.mSent);
  }

  auto worst = 0.0;
  // Skips the first 5 s, in which the backlog builds up.
  for (auto from = begin + 5s; from + kWindow <= end; from += 1s) {
    const auto to = from + kWindow;
    auto served = std::map<std::string, double>{};
    auto backlogged = std::map<std::string, std::set<std::int64_t>>{};
    for (const auto& [exchange, request] : requests) {
      if (!request.mJob.mIsModel || request.mJob.mRank != aRank) {
        continue;
      }
      const auto& organisation = request.mJob.mOrganisation;
      // Distributes the cost evenly over the time on the engine.
      if (request.mStarted && request.mEnded && *request.mEnded > *request.mStarted) {
        const auto cost = static_cast<double>(request.mJob.mPromptTokens - request.mCachedTokens +
                                              request.mJob.mOutputTokens);
        const auto overlap = ToSeconds(std::min(*request.mEnded, time_point(to)) -
                                       std::max(*request.mStarted, time_point(from)));
        if (overlap > 0) {
          served[organisation] += cost * overlap / ToSeconds(*request.mEnded - *request.mStarted);
        }
      }
      // Records each sampling instant, 250 ms apart, at which a request of the organisation waited.
      const auto waitedUntil =
        request.mStarted ? *request.mStarted : request.mEnded.value_or(request.mSent);
      for (auto at = time_point(from); at < to; at += 250ms) {
        if (request.mSent <= at && at < waitedUntil) {
          backlogged[organisation].insert(at.time_since_epoch().count());
        }
      }
    }
    auto low = std::numeric_limits<double>::infinity();
    auto high = 0.0;
    auto count = 0;
    for (const auto& [organisation, times] : backlogged) {
      if (times.size() == static_cast<std::size_t>(kWindow / 250ms)) {
        low = std::min(low, served[organisation]);
        high = std::max(high, served[organisation]);
        ++count;
      }
    }
    if (count >= 2 && high > 0) {
      worst = std::max(worst, (high - low) / high);
    }
  }
  return worst;
}

} // namespace bronzering::bench

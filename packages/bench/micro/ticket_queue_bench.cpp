#include <bronzering/base/random_source.h>
#include <bronzering/scheduling.h>

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>
#include <vector>

using namespace bronzering;

namespace {

constexpr auto kOrganisations = std::uint64_t{ 28'000 };
constexpr auto kTiers = std::uint64_t{ 4 };

/// A queue in a steady state: each granted ticket is replaced by a new one of the same tier.
class loaded_queue
{
public:
  explicit loaded_queue(std::size_t aWaiting)
    : mRandom(1)
  {
    for (auto organisation = std::uint64_t{ 0 }; organisation < kOrganisations; ++organisation) {
      mNames.push_back("organisation-" + std::to_string(organisation));
    }
    for (auto count = std::size_t{ 0 }; count < aWaiting; ++count) {
      mQueue.Push(MakeTicket(static_cast<std::uint32_t>(count % kTiers)));
    }
    for (auto count = std::size_t{ 0 }; count < aWaiting; ++count) {
      Replace(mQueue.Take(mQueue.Front()->mRequest)->mRank);
    }
  }

  auto MakeTicket(std::uint32_t aRank) -> queued_ticket
  {
    auto ticket = queued_ticket{};
    ticket.mRequest = { 1, ++mLastSequence };
    ticket.mRank = aRank;
    ticket.mOrganisation = mNames[mRandom.UniformBelow(kOrganisations)];
    ticket.mCost = 100 + static_cast<double>(mRandom.UniformBelow(10'000));
    ticket.mDeadline = time_point(duration(mRandom.UniformBelow(60'000'000)));
    return ticket;
  }
  auto Replace(std::uint32_t aRank) -> void { mQueue.Push(MakeTicket(aRank)); }

  ticket_queue mQueue;

private:
  random_source mRandom;
  std::vector<std::string> mNames;
  std::uint64_t mLastSequence = 0;
};

auto Elapsed(std::chrono::steady_clock::time_point aStart) -> double
{
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - aStart).count();
}

/// Measures choosing and granting the next ticket. Times a batch of decisions at once, since
/// reading the clock costs as much as a tenth of a decision.
auto Decision(benchmark::State& aState) -> void
{
  const auto waiting = static_cast<std::size_t>(aState.range(0));
  const auto batch = std::clamp<std::size_t>(waiting / 8, 2, 1000);
  auto loaded = loaded_queue(waiting);
  auto ranks = std::vector<std::uint32_t>{};
  for (auto step : aState) {
    (void)step;
    ranks.clear();
    const auto start = std::chrono::steady_clock::now();
    for (auto count = std::size_t{ 0 }; count < batch; ++count) {
      ranks.push_back(loaded.mQueue.Take(loaded.mQueue.Front()->mRequest)->mRank);
    }
    aState.SetIterationTime(Elapsed(start) / static_cast<double>(batch));
    for (const auto rank : ranks) {
      loaded.Replace(rank);
    }
  }
}

/// Measures adding an announced ticket to the queue.
auto Arrival(benchmark::State& aState) -> void
{
  const auto waiting = static_cast<std::size_t>(aState.range(0));
  const auto batch = std::clamp<std::size_t>(waiting / 8, 2, 1000);
  auto loaded = loaded_queue(waiting);
  auto tickets = std::vector<queued_ticket>{};
  for (auto step : aState) {
    (void)step;
    tickets.clear();
    for (auto count = std::size_t{ 0 }; count < batch; ++count) {
      tickets.push_back(
        loaded.MakeTicket(loaded.mQueue.Take(loaded.mQueue.Front()->mRequest)->mRank));
    }
    const auto start = std::chrono::steady_clock::now();
    for (auto& ticket : tickets) {
      loaded.mQueue.Push(std::move(ticket));
    }
    aState.SetIterationTime(Elapsed(start) / static_cast<double>(batch));
  }
}

/// Measures listing the backfill candidates of one tier.
auto Candidates(benchmark::State& aState) -> void
{
  auto loaded = loaded_queue(static_cast<std::size_t>(aState.range(0)));
  for (auto step : aState) {
    (void)step;
    benchmark::DoNotOptimize(loaded.mQueue.Next(8));
  }
}

} // namespace

BENCHMARK(Decision)->Arg(10)->Arg(1'000)->Arg(100'000)->UseManualTime()->Iterations(2'000);
BENCHMARK(Arrival)->Arg(10)->Arg(1'000)->Arg(100'000)->UseManualTime()->Iterations(2'000);
BENCHMARK(Candidates)->Arg(10)->Arg(1'000)->Arg(100'000);

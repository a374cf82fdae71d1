#include <bronzering/scheduling.h>

#include <catch2/catch.hpp>

using namespace bronzering;
using namespace std::chrono_literals;

namespace {

const auto kLimits = engine_limits{ true, 8, 10'000, 1000, 20ms };

auto At(duration aTime) -> time_point
{
  return time_point(std::chrono::hours(1)) + aTime;
}

auto Work(std::uint64_t aPrompt, std::uint64_t aOutput, duration aDeadline = 60s) -> work_estimate
{
  return { aPrompt, 0, aOutput, 360ms, 36ms, At(aDeadline) };
}

auto Id(std::uint64_t aSequence) -> request_id
{
  return { 1, aSequence };
}

/// Generates aCount tokens for one request, one per step.
auto Generate(engine_model& aModel, duration aFrom, duration aStep, std::uint64_t aCount) -> void
{
  aModel.Start(Id(99), Work(10, 10), At(aFrom));
  for (auto token = std::uint64_t{ 1 }; token <= aCount; ++token) {
    aModel.OnTokens(Id(99), token, At(aFrom + aStep * static_cast<int>(token)));
  }
  aModel.Complete(Id(99), 10, 0, At(aFrom + aStep * static_cast<int>(aCount)));
}

} // namespace

TEST_CASE("admission keeps KV cache, batch and deadline within bounds", "[model]")
{
  auto model = engine_model(kLimits);
  CHECK(model.CheckAdmission(Work(9000, 2000), At(0s)) == admission::TooLarge);
  CHECK(model.CheckAdmission(Work(100, 100, 1s), At(0s)) == admission::DeadlineTooShort);
  CHECK(model.CheckAdmission(Work(100, 100, -1s), At(0s)) == admission::DeadlineTooShort);

  // The cache is full of reservations; a smaller request still fits.
  model.Reserve(Id(1), Work(100, 9000));
  CHECK(model.CheckAdmission(Work(100, 1000), At(0s)) == admission::Wait);
  CHECK(model.CheckAdmission(Work(100, 100), At(0s)) == admission::Admit);

  // An answer that exceeds its estimate takes room.
  model.Start(Id(1), Work(100, 9000), At(0s));
  model.OnTokens(Id(1), 9500, At(1s));
  CHECK(model.FreeKvTokens() == 400);
  model.Release(Id(1));
  CHECK(model.FreeKvTokens() == 10'000);
}

TEST_CASE("the prefill backlog is kept within the first-token target", "[model]")
{
  auto model = engine_model(kLimits);
  // A prompt that is too long for the target is admitted to an empty engine only.
  CHECK(model.CheckAdmission(Work(2000, 10), At(0s)) == admission::Admit);
  model.Start(Id(1), Work(200, 10), At(0s));
  CHECK(model.CheckAdmission(Work(100, 10), At(0s)) == admission::Admit);
  CHECK(model.CheckAdmission(Work(200, 10), At(0s)) == admission::Wait);
  // Cached prompt tokens cost no prefill.
  auto cached = Work(200, 10);
  cached.mCachedTokens = 180;
  CHECK(model.CheckAdmission(cached, At(0s)) == admission::Admit);
}

// Guards against engines that are overfilled after they slowed down, and against engines that are
// never tried again once they are fast.
TEST_CASE("a slowed engine admits less and recovers", "[model]")
{
  auto model = engine_model(kLimits);
  Generate(model, 0s, 20ms, 60);
  CHECK(model.StepTime(At(1200ms)) == 20ms);
  model.Reserve(Id(1), Work(10, 10));
  CHECK(model.CheckAdmission(Work(10, 10), At(1200ms)) == admission::Admit);
  model.Release(Id(1));

  // Three times slower: the target is out of reach, but the engine is still used.
  Generate(model, 2s, 60ms, 200);
  CHECK(ToSeconds(model.StepTime(At(14s))) == Approx(0.06).epsilon(0.02));
  CHECK(model.CheckAdmission(Work(10, 10), At(14s)) == admission::Admit);
  CHECK(model.CheckAdmission(Work(10, 500, 40s), At(14s)) == admission::DeadlineTooShort);

  // Faster again, seen from its own tokens.
  auto measured = model;
  Generate(measured, 15s, 20ms, 200);
  CHECK(ToSeconds(measured.StepTime(At(19s))) == Approx(0.02).epsilon(0.05));
  // Nothing ran since: the estimate returns to the configured value.
  CHECK(ToSeconds(model.StepTime(At(40s))) == Approx(0.02).epsilon(0.01));
  CHECK(model.CheckAdmission(Work(10, 500, 70s), At(40s)) == admission::Admit);
}

TEST_CASE("the step time is fitted over the batch", "[model]")
{
  auto rates = learned_rates(1000, 20ms, 32);
  for (auto round = 0; round < 20; ++round) {
    for (const auto batch : { 1U, 4U, 8U }) {
      rates.OnStep(batch, 10ms + 2ms * batch, At(0s));
    }
  }
  CHECK(ToSeconds(rates.StepTime(16, At(1s))) == Approx(0.042).epsilon(0.01));
  rates.OnPrefill(1000, 500ms, At(0s));
  CHECK(rates.PrefillTokensPerSecond(At(1s)) > 1000);
}

// Guards against counting own work twice because a report is late.
TEST_CASE("stale load reports only reveal work of others", "[model]")
{
  auto model = engine_model(kLimits);
  model.Start(Id(1), Work(1000, 1000), At(0s));
  model.OnTokens(Id(1), 1, At(500ms));
  model.Complete(Id(1), 1000, 0, At(1s));
  // The report still contains the request that ended.
  model.OnLoadReport(1, 8000, At(1500ms));
  CHECK(model.FreeSlots() == 8);
  CHECK(model.FreeKvTokens() == 10'000);
  // Long after it, the same report means somebody else's request.
  model.OnLoadReport(1, 8000, At(10s));
  CHECK(model.FreeSlots() == 7);
  CHECK(model.FreeKvTokens() == 8000);
  // A report from before the own request started does not create room.
  model.Start(Id(2), Work(1000, 1000), At(11s));
  model.OnLoadReport(0, 10'000, At(11s));
  CHECK(model.FreeSlots() == 7);
  CHECK(model.FreeKvTokens() == 8000);
}

TEST_CASE("plain endpoints admit by concurrency", "[model]")
{
  auto model = engine_model({ false, 2, 0, 0, {} });
  model.Reserve(Id(1), Work(0, 0));
  CHECK(model.CheckAdmission(Work(0, 0), At(0s)) == admission::Admit);
  model.Start(Id(2), Work(0, 0), At(0s));
  CHECK(model.CheckAdmission(Work(0, 0), At(0s)) == admission::Wait);
  model.Complete(Id(2), 0, 0, At(50ms));
  CHECK(model.CheckAdmission(Work(0, 0), At(0s)) == admission::Admit);
  CHECK(model.StepTime(At(50ms)) == 50ms);
}

TEST_CASE("the cache view follows events, gaps and reports within its bound", "[cache]")
{
  auto view = prefix_cache_model(4);
  const auto prompt = std::vector<prefix_hash>{ { 1 }, { 2 }, { 3 }, { 4 } };
  const auto none = std::vector<prefix_hash>{};
  view.OnEvent(1, std::vector<prefix_hash>{ { 1 }, { 2 }, { 4 } }, none);
  CHECK(view.CachedTokens(prompt, 400) == 200); // Only whole prefixes count.
  view.OnEvent(2, none, std::vector<prefix_hash>{ { 2 } });
  CHECK(view.CachedTokens(prompt, 400) == 100);
  view.OnEvent(1, std::vector<prefix_hash>{ { 2 } }, none); // Late: already known.
  CHECK(view.CachedTokens(prompt, 400) == 100);

  // After a gap nothing counts until it is confirmed.
  view.OnEvent(5, none, none);
  CHECK(view.CachedTokens(prompt, 400) == 0);
  view.OnRequestCompleted(prompt, 400, 0);
  CHECK(view.CachedTokens(prompt, 400) == 400);

  // The engine found less than claimed: estimates shrink, and grow again when they prove right.
  view.OnRequestCompleted(prompt, 400, 100);
  const auto lowered = view.CachedTokens(prompt, 400);
  CHECK(lowered < 400);
  view.OnRequestCompleted(prompt, 400, 400);
  CHECK(view.CachedTokens(prompt, 400) > lowered);

  view.OnEvent(6, std::vector<prefix_hash>{ { 7 }, { 8 }, { 9 } }, none);
  CHECK(view.size() == 4);
}

TEST_CASE("fencing tokens grow over commands, restarts and what the engine reports", "[fencing]")
{
  auto tokens = fencing_token_source({ (1000ULL << 20U) + 77 });
  const auto first = tokens.Next();
  CHECK(first > (1000ULL << 20U));
  CHECK(tokens.Next() > first);
  tokens.Observe(1ULL << 40U);
  CHECK(tokens.Next() > (1ULL << 40U));
  CHECK(fencing_token_source({ 1001ULL << 20U }).Next() > first);
}

// An agent that had been paused took its pause for a slow engine and refused requests that still
// had time, while it granted shorter ones of a lower tier.
TEST_CASE("a pause of the process is not measured as a slow engine", "[model]")
{
  auto model = engine_model(kLimits);
  Generate(model, 0s, 20ms, 50);
  const auto before = model.StepTime(At(1s));

  model.Start(Id(1), Work(10, 100), At(1s));
  model.OnTokens(Id(1), 1, At(1020ms));
  model.OnProcessResumed(At(3s));
  // The tokens of the pause arrive at once.
  for (auto token = std::uint64_t{ 2 }; token < 60; ++token) {
    model.OnTokens(Id(1), token, At(3s));
  }
  model.Complete(Id(1), 10, 0, At(3s));
  CHECK(model.StepTime(At(3s)) > before * 9 / 10);
  CHECK(model.StepTime(At(3s)) < before * 11 / 10);
}

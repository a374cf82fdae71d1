#include "fault_schedule.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>

using namespace bronzering;
using namespace bronzering::testkit;

namespace rc {

template<>
struct Arbitrary<fault_step>
{
  static auto arbitrary() -> Gen<fault_step>
  {
    return gen::build<fault_step>(
      gen::set(&fault_step::mAtMilliseconds, gen::inRange<std::uint32_t>(0, 6'000)),
      gen::set(&fault_step::mKind,
               gen::map(gen::inRange<std::size_t>(0, kFaultKindNames.mEntries.size()),
                        [](std::size_t aIndex) { return kFaultKindNames.mEntries[aIndex].first; })),
      gen::set(&fault_step::mTarget, gen::inRange<std::uint32_t>(0, 16)),
      gen::set(&fault_step::mSizeMilliseconds, gen::inRange<std::uint32_t>(1, 4'000)));
  }
};

} // namespace rc

namespace {

auto Describe(const fault_run_result& aRun) -> std::string
{
  auto text = std::string{};
  for (const auto& each : aRun.mViolations) {
    text += ToString(each) + '\n';
  }
  return text;
}

} // namespace

TEST_CASE("without faults every request below capacity gets its whole answer", "[fleet]")
{
  const auto run = RunWithFaults(1, {}, injected_bug::None, 0.5);
  INFO(Describe(run));
  CHECK(run.mViolations.empty());
  // Requests that repeat an idempotency key are refused; all others finish.
  CHECK(run.mSent > 300);
  CHECK(static_cast<double>(run.mFinished) > 0.85 * static_cast<double>(run.mSent));
}

TEST_CASE("the same seed gives the same run", "[fleet]")
{
  const auto faults = std::vector<fault_step>{ { 1'000, fault_kind::KillAgent, 1, 1'500 },
                                               { 2'000, fault_kind::PauseEntry, 0, 1'000 },
                                               { 2'500, fault_kind::Partition, 0, 0x15 },
                                               { 4'000, fault_kind::Heal, 0, 0 } };
  CHECK(RunWithFaults(3, faults).mHash == RunWithFaults(3, faults).mHash);
  CHECK(RunWithFaults(3, faults).mHash != RunWithFaults(4, faults).mHash);
}

TEST_CASE("no combination of faults breaks a promise", "[fleet][faults]")
{
  // More runs: RC_PARAMS="max_success=1000 seed=7" testkit_tests [faults]
  const auto holds = rc::check([](std::uint16_t aSeed, const std::vector<fault_step>& aFaults) {
    const auto run = RunWithFaults(aSeed, aFaults);
    if (!run.mViolations.empty()) {
      RC_FAIL(Describe(run));
    }
  });
  CHECK(holds);
}

TEST_CASE("fault schedules that once violated a promise no longer do", "[fleet]")
{
  struct schedule
  {
    std::string_view mCause;
    std::uint64_t mSeed = 0;
    std::vector<fault_step> mFaults;
  };
  const auto schedules = std::vector<schedule>{
    { "an agent counted its own pause as slow engine steps",
      49,
      { { 968, fault_kind::PauseAgent, 7, 1'616 }, { 0, fault_kind::SlowEngine, 8, 974 } } },
    { "a shorter pause ended a longer one early, but only for later events",
      699,
      { { 452, fault_kind::PauseEntry, 8, 1'350 },
        { 179, fault_kind::PauseAgent, 5, 2'286 },
        { 961, fault_kind::PauseEntry, 0, 43 },
        { 883, fault_kind::DrainAgent, 1, 869 } } },
    { "the history kept a ticket as waiting until its decline arrived 200 ms later",
      54,
      { { 587, fault_kind::PauseEntry, 6, 919 },
        { 1'339, fault_kind::KillAgent, 2, 1'757 },
        { 115, fault_kind::DrainAgent, 2, 1'106 },
        { 1'878, fault_kind::Partition, 2, 1'081 },
        { 101, fault_kind::DrainAgent, 6, 1'710 } } },
    { "events deferred by one pause were handled after those of the next pause",
      169,
      { { 2'854, fault_kind::DrainAgent, 4, 1'633 },
        { 2'435, fault_kind::PauseAgent, 4, 1'540 },
        { 1'209, fault_kind::KillEntry, 7, 1'889 },
        { 2'364, fault_kind::PauseAgent, 4, 644 } } },
    { "an agent stopped while a message was due at the same instant",
      14230,
      { { 266, fault_kind::PauseEntry, 13, 826 },
        { 945, fault_kind::PauseAgent, 10, 2'050 },
        { 3'957, fault_kind::PauseEntry, 0, 1'835 },
        { 1'866, fault_kind::Partition, 10, 1'891 },
        { 3'936, fault_kind::SlowEngine, 4, 1'535 },
        { 431, fault_kind::DrainAgent, 8, 818 },
        { 4'346, fault_kind::DrainAgent, 4, 679 },
        { 2'502, fault_kind::KillEntry, 5, 1'062 },
        { 2'124, fault_kind::Heal, 10, 1'022 },
        { 283, fault_kind::PauseEntry, 13, 1'236 },
        { 4'728, fault_kind::DrainAgent, 12, 1'639 },
        { 4'277, fault_kind::Partition, 11, 21 },
        { 810, fault_kind::PauseEntry, 4, 2'801 } } },
    { "the history recorded a session as silent before the paused agent had detected it",
      1'869,
      { { 213, fault_kind::PauseAgent, 3, 2'896 }, { 2'457, fault_kind::Partition, 1, 2'243 } } },
    { "the history recorded sessions as restored before the paused agent had detected it",
      2'979,
      { { 2'005, fault_kind::PauseEntry, 1, 2'260 },
        { 706, fault_kind::Heal, 5, 1'724 },
        { 3'336, fault_kind::PauseEntry, 3, 1'766 },
        { 3'091, fault_kind::PauseAgent, 8, 2'773 },
        { 356, fault_kind::Partition, 7, 2'169 },
        { 1'475, fault_kind::PauseAgent, 2, 1'073 } } },
  };
  for (const auto& each : schedules) {
    const auto run = RunWithFaults(each.mSeed, each.mFaults);
    INFO(each.mCause << '\n' << Describe(run));
    CHECK(run.mViolations.empty());
  }
}

TEST_CASE("the history checker detects each injected bug", "[fleet][planted]")
{
  struct expectation
  {
    injected_bug mInjectedBug;
    promise mPromise;
  };
  const auto expected = std::vector<expectation>{
    { injected_bug::DispatchTwice, promise::DispatchedOnce },
    { injected_bug::InvertTiers, promise::TierOrder },
    { injected_bug::CrossAnswers, promise::OwnWholeAnswer },
    { injected_bug::TruncateAnswers, promise::OwnWholeAnswer },
    { injected_bug::ClaimNotRun, promise::TrueNotRun },
    { injected_bug::ForgetKeys, promise::KeyRunsOnce },
    { injected_bug::IgnoreLeaving, promise::NoWorkWhenLeaving },
    { injected_bug::StopAtOnce, promise::GracefulStop },
    { injected_bug::RevertRevision, promise::ConfigurationForward },
  };
  const auto faults = std::vector<fault_step>{ { 1'000, fault_kind::DrainAgent, 3, 0 },
                                               { 2'000, fault_kind::CrashEngine, 2, 0 },
                                               { 2'200, fault_kind::PublishDocument, 0, 0 },
                                               { 2'500, fault_kind::KillAgent, 4, 4'000 } };
  for (const auto& each : expected) {
    const auto fault = each.mInjectedBug;
    const auto broken = each.mPromise;
    const auto run = RunWithFaults(5, faults, fault, 4);
    const auto caught = std::ranges::any_of(
      run.mViolations, [&](const auto& aViolation) { return aViolation.mPromise == broken; });
    INFO(kInjectedBugNames.NameOf(fault));
    CHECK(caught);
  }
  CHECK(RunWithFaults(5, faults, injected_bug::None, 4).mViolations.empty());
}

#include <bronzering/base/random_source.h>
#include <bronzering/dispatch/crash_quarantine.h>
#include <bronzering/dispatch/digest_exchange.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace bronzering;
using namespace std::chrono_literals;

namespace {

const auto kStart = time_point(1h);
constexpr auto kAll = std::size_t{ 1'000'000 };
/// Parts of prompts.
constexpr auto kBad = suspect_key{ 1 };
constexpr auto kShared = suspect_key{ 2 };
constexpr auto kOther = suspect_key{ 3 };

/// Whole requests.
constexpr auto kBadRequest = kRequestKeyBit | 10;
constexpr auto kSoundRequest = kRequestKeyBit | 11;

auto IsRejected(crash_quarantine& aQuarantine,
                const std::vector<suspect_key>& aParts,
                time_point aNow) -> bool
{
  return aQuarantine.Judge(aParts, aNow).mRejectedKey.has_value();
}

auto Exchange(crash_quarantine& aFrom, crash_quarantine& aTo, time_point aNow) -> void
{
  aTo.Merge(aFrom.TakeEvidence(kAll, aNow), aNow);
}

} // namespace

TEST_CASE("a part that crashed endpoints of different entries is quarantined at all of them",
          "[crash_quarantine]")
{
  auto first = crash_quarantine();
  auto second = crash_quarantine();
  auto third = crash_quarantine();
  first.OnCrash(100, { kShared, kBad }, kStart);
  second.OnCrash(101, { kOther, kBad }, kStart + 1s);
  Exchange(first, third, kStart + 1s);
  CHECK(!IsRejected(third, { kBad }, kStart + 1s));
  Exchange(second, third, kStart + 1s);
  CHECK(IsRejected(third, { kBad }, kStart + 1s));
  CHECK(third.Judge({ kOther, kBad }, kStart + 2s).mRejectedKey == std::size_t{ 1 });

  // An entry that has restarted learns it from a peer that was not at any of the crashes.
  auto restarted = crash_quarantine();
  Exchange(third, restarted, kStart + 2s);
  CHECK(IsRejected(restarted, { kBad }, kStart + 2s));
}

TEST_CASE("several victims of one crash are evidence of one crash", "[crash_quarantine]")
{
  auto first = crash_quarantine();
  auto second = crash_quarantine();
  first.OnCrash(100, { kBad }, kStart);
  first.OnCrash(100, { kBad }, kStart);
  second.OnCrash(100, { kBad }, kStart + 10ms);
  Exchange(second, first, kStart + 20ms);
  CHECK(!IsRejected(first, { kBad }, kStart + 20ms));
}

// Requests that shared another part with the cause were rejected as well.
TEST_CASE("requests without the part that explains the crashes are admitted", "[crash_quarantine]")
{
  auto quarantine = crash_quarantine();
  for (auto crash = crash_id{ 100 }; crash < 103; ++crash) {
    quarantine.OnCrash(crash, { kShared, kBad }, kStart);
  }
  // A victim of two crashes by chance.
  quarantine.OnCrash(100, { kOther }, kStart);
  quarantine.OnCrash(101, { kOther }, kStart);
  CHECK(!IsRejected(quarantine, { kOther }, kStart));
  CHECK(!IsRejected(quarantine, { kShared }, kStart));
  CHECK(IsRejected(quarantine, { kShared, kBad }, kStart));
  // The answer to a request with the shared part leaves one possible cause.
  quarantine.OnAnswer({ kShared }, kStart + 1s);
  CHECK(IsRejected(quarantine, { kOther, kBad }, kStart + 1s));
  CHECK(!IsRejected(quarantine, { kShared }, kStart + 1s));
}

TEST_CASE("an answer clears a part at all entries", "[crash_quarantine]")
{
  auto first = crash_quarantine();
  auto second = crash_quarantine();
  first.OnCrash(100, { kShared }, kStart);
  first.OnCrash(101, { kShared }, kStart);
  Exchange(first, second, kStart);
  REQUIRE(IsRejected(second, { kShared }, kStart + 1s));
  SECTION("if the answer comes after the evidence")
  {
    first.OnAnswer({ kShared }, kStart + 1s);
    Exchange(first, second, kStart + 1s);
    CHECK(!IsRejected(second, { kShared }, kStart + 1s));
    // Evidence that is still under way does not bring the suspicion back.
    Exchange(second, first, kStart + 1s);
    CHECK(!IsRejected(first, { kShared }, kStart + 1s));
  }
  SECTION("if an entry that had no part in the crashes has answered it")
  {
    auto third = crash_quarantine();
    third.OnAnswer({ kShared }, kStart + 1s);
    Exchange(second, third, kStart + 2s);
    CHECK(!IsRejected(third, { kShared }, kStart + 2s));
    Exchange(third, second, kStart + 2s);
    CHECK(!IsRejected(second, { kShared }, kStart + 2s));
  }
}

// Endpoints that crash together take requests with sound parts with them.
TEST_CASE("a simultaneous crash of many endpoints does not quarantine a part that was answered",
          "[crash_quarantine]")
{
  auto quarantine = crash_quarantine();
  quarantine.OnAnswer({ kShared }, kStart - 10s);
  for (auto crash = crash_id{ 100 }; crash < 108; ++crash) {
    quarantine.OnCrash(crash, { kShared }, kStart + 10ms * (crash - 100));
  }
  CHECK(!IsRejected(quarantine, { kShared }, kStart + 1s));
}

TEST_CASE("a part that was answered before is quarantined once it keeps crashing endpoints",
          "[crash_quarantine]")
{
  auto quarantine = crash_quarantine();
  quarantine.OnAnswer({ kBad }, kStart - 10s);
  for (auto crash = crash_id{ 100 }; crash < 104; ++crash) {
    CHECK(!IsRejected(quarantine, { kBad }, kStart));
    quarantine.OnCrash(crash, { kBad }, kStart + 500ms * (crash - 100));
  }
  const auto verdict = quarantine.Judge({ kBad }, kStart + 2s);
  CHECK(verdict.mRejectedKey);
  CHECK(verdict.mRetryAfter <= crash_quarantine::kFirstQuarantine);
}

TEST_CASE("after the quarantine one trial at a time is made, and a crash prolongs it",
          "[crash_quarantine]")
{
  auto quarantine = crash_quarantine();
  quarantine.OnCrash(100, { kBad }, kStart);
  quarantine.OnCrash(101, { kBad }, kStart);
  CHECK(quarantine.Judge({ kBad }, kStart + 1s).mRetryAfter ==
        crash_quarantine::kFirstQuarantine - 1s);
  auto now = kStart + crash_quarantine::kFirstQuarantine;
  const auto trial = quarantine.Judge({ kBad }, now);
  CHECK(trial.mIsTrial);
  CHECK(!trial.mRejectedKey);
  CHECK(IsRejected(quarantine, { kBad }, now));
  quarantine.OnCrash(102, { kBad }, now + 1s);
  CHECK(quarantine.Judge({ kBad }, now + 1s).mRetryAfter ==
        crash_quarantine::kFirstQuarantine * crash_quarantine::kQuarantineGrowth);
  // A trial whose request was never sent is followed by another.
  now += 1s + crash_quarantine::kFirstQuarantine * crash_quarantine::kQuarantineGrowth;
  CHECK(quarantine.Judge({ kBad }, now).mIsTrial);
  now += crash_quarantine::kTrialTime;
  CHECK(quarantine.Judge({ kBad }, now).mIsTrial);
  quarantine.OnAnswer({ kBad }, now + 1s);
  CHECK(!IsRejected(quarantine, { kBad }, now + 1s));
}

// Three requests with such a part may reach endpoints after the fifth crash.
TEST_CASE("five crashes keep a part from endpoints for minutes", "[crash_quarantine]")
{
  auto quarantine = crash_quarantine();
  for (auto crash = crash_id{ 100 }; crash < 105; ++crash) {
    quarantine.OnCrash(crash, { kShared, kBad }, kStart);
  }
  for (auto now = kStart; now < kStart + 5min; now += 100ms) {
    REQUIRE(IsRejected(quarantine, { kShared, kBad }, now));
  }
}

TEST_CASE("evidence expires, also where peers repeat it", "[crash_quarantine]")
{
  auto first = crash_quarantine();
  auto second = crash_quarantine();
  first.OnCrash(100, { kBad }, kStart);
  for (auto now = kStart; now < kStart + 5min; now += 1s) {
    Exchange(first, second, now);
    Exchange(second, first, now);
    first.RemoveExpired(now);
    second.RemoveExpired(now);
  }
  CHECK(first.TakeEvidence(kAll, kStart + 5min).empty());
  CHECK(second.TakeEvidence(kAll, kStart + 5min).empty());
}

TEST_CASE("the state stays bounded when callers choose the parts", "[crash_quarantine]")
{
  auto quarantine = crash_quarantine();
  for (auto crash = crash_id{ 100 }; crash < 120; ++crash) {
    quarantine.OnCrash(crash, { kBad }, kStart);
  }
  for (auto part = suspect_key{ 1000 }; part < 10'000; ++part) {
    quarantine.OnCrash(part, { part }, kStart);
    quarantine.OnAnswer({ part + 100'000 }, kStart);
  }
  CHECK(quarantine.TakeEvidence(kAll, kStart).size() <=
        crash_quarantine::kMaxParts + crash_quarantine::kMaxCrashes);
  CHECK(IsRejected(quarantine, { kBad }, kStart));
}

TEST_CASE("entries that exchange their evidence in any order agree", "[crash_quarantine]")
{
  auto random = random_source(7);
  for (auto round = 0; round < 100; ++round) {
    auto entries = std::vector<crash_quarantine>(4);
    const auto pick = [&random](std::size_t aCount) {
      return std::min(static_cast<std::size_t>(random.Uniform01() * static_cast<double>(aCount)),
                      aCount - 1);
    };
    auto now = kStart;
    for (auto step = 0; step < 40; ++step) {
      now += 100ms;
      auto& entry = entries[pick(entries.size())];
      if (random.Uniform01() < 0.7) {
        entry.OnCrash(100 + pick(6), { 1 + pick(4) }, now);
      } else {
        entry.OnAnswer({ 1 + pick(4) }, now);
      }
      Exchange(entry, entries[pick(entries.size())], now);
    }
    // Two rounds pass everything to everyone.
    for (auto repeat = 0; repeat < 2; ++repeat) {
      for (auto& from : entries) {
        for (auto& to : entries) {
          Exchange(from, to, now);
        }
      }
    }
    for (auto part = suspect_key{ 1 }; part <= 4; ++part) {
      auto refuted = std::vector<std::vector<std::pair<crash_id, bool>>>();
      for (auto& entry : entries) {
        auto& crashes = refuted.emplace_back();
        for (const auto& evidence : entry.TakeEvidence(kAll, now)) {
          if (evidence.mPart == part) {
            crashes.emplace_back(evidence.mCrash, evidence.mIsRefuted);
          }
        }
        std::sort(crashes.begin(), crashes.end());
        CHECK(crashes == refuted.front());
      }
    }
  }
}

TEST_CASE("whole requests that differ in any field have keys of their own, apart from parts",
          "[crash_quarantine]")
{
  const auto key = HashWholeRequest("s", "c", "GET", "/a", "b");
  CHECK(key == HashWholeRequest("s", "c", "GET", "/a", "b"));
  for (const auto other : { HashWholeRequest("t", "c", "GET", "/a", "b"),
                            HashWholeRequest("s", "d", "GET", "/a", "b"),
                            HashWholeRequest("s", "c", "PUT", "/a", "b"),
                            HashWholeRequest("s", "c", "GET", "/b", "b"),
                            HashWholeRequest("s", "c", "GET", "/a", "c"),
                            HashWholeRequest("s", "c", "GET", "/ab", "") }) {
    CHECK(other != key);
    CHECK((other & kRequestKeyBit) != 0);
  }
  for (auto part = 0; part < 100; ++part) {
    CHECK((HashPromptPart("s", std::to_string(part)) & kRequestKeyBit) == 0);
  }
}

// A popular request that was at many endpoints which crashed at once was kept from all others.
TEST_CASE("simultaneous crashes do not quarantine a request", "[crash_quarantine]")
{
  auto quarantine = crash_quarantine();
  for (auto crash = crash_id{ 100 }; crash < 120; ++crash) {
    quarantine.OnCrash(crash, { kSoundRequest }, kStart + 10ms * (crash - 100));
  }
  CHECK(!IsRejected(quarantine, { kSoundRequest }, kStart + 1s));
  // More crashes than are kept do not hide for how long the request has crashed endpoints.
  for (auto crash = crash_id{ 120 }; crash < 220; ++crash) {
    quarantine.OnCrash(crash, { kSoundRequest }, kStart + 10ms * (crash - 100));
  }
  CHECK(IsRejected(quarantine, { kSoundRequest }, kStart + 2s));
}

// Each of two requests explained the crashes of the other, so that both stayed admitted.
TEST_CASE("a second victim of the same crashes does not keep the cause admitted",
          "[crash_quarantine]")
{
  auto quarantine = crash_quarantine();
  for (auto crash = crash_id{ 100 }; crash < 102; ++crash) {
    quarantine.OnCrash(crash, { kShared, kBadRequest }, kStart + 1s * (crash - 100));
    quarantine.OnCrash(crash, { kShared, kSoundRequest }, kStart + 1s * (crash - 100));
  }
  CHECK(!IsRejected(quarantine, { kSoundRequest }, kStart + 2s));
  quarantine.OnCrash(102, { kShared, kBadRequest }, kStart + 2s);
  CHECK(!IsRejected(quarantine, { kShared, kSoundRequest }, kStart + 2s));
  CHECK(quarantine.Judge({ kShared, kBadRequest }, kStart + 2s).mRejectedKey);
  quarantine.OnCrash(102, { kSoundRequest }, kStart + 2s);
  CHECK(IsRejected(quarantine, { kBadRequest }, kStart + 2s));
}

TEST_CASE("the end of a response clears the request, and nothing is kept of other responses",
          "[crash_quarantine]")
{
  auto first = crash_quarantine();
  auto second = crash_quarantine();
  first.OnCrash(100, { kSoundRequest }, kStart);
  Exchange(first, second, kStart + 1s);
  second.OnRequestAnswered(kSoundRequest, kStart + 2s);
  first.OnCrash(101, { kSoundRequest }, kStart + 3s);
  REQUIRE(IsRejected(first, { kSoundRequest }, kStart + 3s));
  Exchange(second, first, kStart + 3s);
  CHECK(!IsRejected(first, { kSoundRequest }, kStart + 3s));
  for (auto request = suspect_key{ 1000 }; request < 2000; ++request) {
    second.OnRequestAnswered(kRequestKeyBit | request, kStart + 3s);
  }
  CHECK(second.Size() == 1);
}

TEST_CASE("keys with more crashes stay when callers choose the keys", "[crash_quarantine]")
{
  auto quarantine = crash_quarantine();
  quarantine.OnCrash(1, { kBadRequest }, kStart);
  quarantine.OnCrash(2, { kBadRequest }, kStart + 1s);
  for (auto key = suspect_key{ 1000 }; key < 10'000; ++key) {
    quarantine.OnCrash(key, { kRequestKeyBit | key }, kStart + 2s);
  }
  CHECK(quarantine.Size() == crash_quarantine::kMaxParts);
  CHECK(IsRejected(quarantine, { kBadRequest }, kStart + 3s));
}

// Messages carried the keys with most crashes only, so that peers never learned of new ones.
TEST_CASE("new evidence reaches peers beside older evidence with more crashes",
          "[crash_quarantine]")
{
  constexpr auto kLimit = digest_exchange::kMaxEvidence;
  auto first = crash_quarantine();
  for (auto crash = crash_id{ 1 }; crash < 5; ++crash) {
    for (auto key = suspect_key{ 1000 }; key < 1100; ++key) {
      first.OnCrash(crash, { kRequestKeyBit | key }, kStart + 1s * crash);
    }
  }
  while (first.HasNews()) {
    REQUIRE(first.TakeEvidence(kLimit, kStart + 5s).size() <= kLimit);
  }
  first.OnCrash(100, { kBadRequest }, kStart + 6s);
  auto second = crash_quarantine();
  second.Merge(first.TakeEvidence(kLimit, kStart + 6s), kStart + 6s);
  second.OnCrash(101, { kBadRequest }, kStart + 7s);
  CHECK(IsRejected(second, { kBadRequest }, kStart + 7s));
  // A peer that learns late gets all rows in turn.
  for (auto message = 0; message < 30; ++message) {
    second.Merge(first.TakeEvidence(kLimit, kStart + 8s), kStart + 8s);
  }
  CHECK(second.Size() == first.Size());
}

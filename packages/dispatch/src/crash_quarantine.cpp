#include <bronzering/dispatch/crash_quarantine.h>

#include <bronzering/base/hash.h>

#include <algorithm>
#include <iterator>
#include <tuple>

namespace bronzering {

namespace {

/// Evidence that leads to no quarantine is kept this long, other evidence for this multiple of the
/// quarantine.
constexpr auto kMinEvidenceTime = duration(std::chrono::minutes(2));
constexpr auto kEvidencePerQuarantine = 2;

/// The crashes in aRecords that no answer has refuted, the newest first.
template<class Records>
auto Unrefuted(const Records& aRecords) -> Records
{
  auto crashes = Records();
  std::copy_if(aRecords.begin(),
               aRecords.end(),
               std::back_inserter(crashes),
               [](const auto& aRecord) { return !aRecord.mIsRefuted; });
  return crashes;
}

auto IsRequest(suspect_key aKey) -> bool
{
  return (aKey & kRequestKeyBit) != 0;
}

auto QuarantineTime(std::size_t aCrashes) -> duration
{
  auto time = duration(crash_quarantine::kFirstQuarantine);
  for (auto crash = crash_quarantine::kCrashesToSuspect; crash < aCrashes; ++crash) {
    time *= crash_quarantine::kQuarantineGrowth;
  }
  return std::min<duration>(time, crash_quarantine::kMaxQuarantine);
}

} // namespace

auto HashPromptPart(std::string_view aService, std::string_view aPart) -> suspect_key
{
  return CombineHashes(HashText(aService), HashText(aPart)) & ~kRequestKeyBit;
}

auto HashWholeRequest(std::string_view aService,
                      std::string_view aCaller,
                      std::string_view aMethod,
                      std::string_view aTarget,
                      std::string_view aBody) -> suspect_key
{
  auto hash = HashText(aService);
  for (const auto field : { aCaller, aMethod, aTarget, aBody }) {
    hash = CombineHashes(hash, HashText(field));
  }
  return hash | kRequestKeyBit;
}

auto crash_quarantine::OnCrash(crash_id aCrash,
                               const std::vector<suspect_key>& aParts,
                               time_point aNow) -> void
{
  for (const auto part : aParts) {
    if (Add(part, { aCrash, aNow, false })) {
      SetNews(mParts.at(part), kNewsRepeats);
    }
  }
}

auto crash_quarantine::OnAnswer(const std::vector<suspect_key>& aParts, time_point aNow) -> void
{
  for (const auto part : aParts) {
    if (mLastAnswers.size() >= kMaxProvenParts && !mLastAnswers.contains(part)) {
      mLastAnswers.erase(std::min_element(
        mLastAnswers.begin(), mLastAnswers.end(), [](const auto& aLeft, const auto& aRight) {
          return aLeft.second < aRight.second;
        }));
    }
    mLastAnswers[part] = aNow;
    Refute(part);
  }
}

auto crash_quarantine::OnRequestAnswered(suspect_key aRequest, time_point aNow) -> void
{
  // Nearly all requests are answered and have no evidence; remembering them would cost memory.
  if (const auto found = mParts.find(aRequest); found != mParts.end()) {
    found->second.mLastAnswer = aNow;
    Refute(aRequest);
  }
}

auto crash_quarantine::Merge(const std::vector<crash_evidence>& aEvidence, time_point aNow) -> void
{
  for (const auto& evidence : aEvidence) {
    const auto seen = aNow - evidence.mAge;
    const auto isRefuted = evidence.mIsRefuted || WasAnsweredSince(evidence.mPart, seen);
    const auto isChanged = Add(evidence.mPart, { evidence.mCrash, seen, isRefuted });
    // Only what this entry adds to the evidence is news to the peers.
    if (isChanged && isRefuted != evidence.mIsRefuted) {
      SetNews(mParts.at(evidence.mPart), kNewsRepeats);
    }
  }
}

auto crash_quarantine::Judge(const std::vector<suspect_key>& aParts, time_point aNow) -> verdict
{
  auto result = verdict();
  auto trials = std::vector<part_state*>();
  for (auto at = std::size_t{ 0 }; at < aParts.size(); ++at) {
    const auto found = mParts.find(aParts[at]);
    if (found == mParts.end() || !IsSuspected(found->first, found->second, aNow)) {
      continue;
    }
    auto& state = found->second;
    if (!IsCondemned(found->first, state) && IsExplainedWithout(aParts, state)) {
      continue;
    }
    const auto wait = NextTrial(found->first, state, aNow) - aNow;
    if (wait <= duration::zero()) {
      trials.push_back(&state);
    } else if (wait > result.mRetryAfter) {
      result = { at, wait, Unrefuted(state.mCrashes).size(), false };
    }
  }
  if (!result.mRejectedKey && !trials.empty()) {
    result.mIsTrial = true;
    for (auto* state : trials) {
      state->mNextTrial = aNow + kTrialTime;
    }
  }
  return result;
}

auto crash_quarantine::RemoveExpired(time_point aNow) -> void
{
  for (auto part = mParts.begin(); part != mParts.end();) {
    part = Expiry(part->second) <= aNow ? Erase(part) : std::next(part);
  }
  std::erase_if(mLastAnswers,
                [aNow](const auto& aEntry) { return aEntry.second + kProvenTime <= aNow; });
}

auto crash_quarantine::TakeEvidence(std::size_t aLimit, time_point aNow)
  -> std::vector<crash_evidence>
{
  ++mTaken;
  auto evidence = std::vector<crash_evidence>();
  // Returns whether there was room for the key.
  const auto take = [&](suspect_key aPart, part_state& aState, std::size_t aRoom) {
    if (aState.mLastTaken == mTaken) {
      return true;
    }
    if (evidence.size() + aState.mCrashes.size() > aRoom) {
      return false;
    }
    for (const auto& crash : aState.mCrashes) {
      evidence.push_back({ aPart, crash.mCrash, aNow - crash.mSeen, crash.mIsRefuted });
    }
    SetNews(aState, aState.mNewsRepeats - std::min(aState.mNewsRepeats, 1U));
    aState.mLastTaken = mTaken;
    return true;
  };
  // The keys with most crashes, which may be suspected at the peers soon.
  for (auto at = mRanks.rbegin(); at != mRanks.rend(); ++at) {
    if (at->mCrashes < kCrashesToSuspect || !take(at->mPart, mParts.at(at->mPart), aLimit / 2)) {
      break;
    }
  }
  // News first, by what was sent least often; then what was sent least recently.
  auto order = std::vector<std::tuple<std::uint32_t, std::uint64_t, part_map::iterator>>();
  for (auto part = mParts.begin(); part != mParts.end(); ++part) {
    order.emplace_back(kNewsRepeats - part->second.mNewsRepeats, part->second.mLastTaken, part);
  }
  std::sort(order.begin(), order.end(), [](const auto& aLeft, const auto& aRight) {
    const auto& [leftSent, leftTaken, left] = aLeft;
    const auto& [rightSent, rightTaken, right] = aRight;
    return std::tuple(leftSent, leftTaken, right->second.mCrashes.front().mSeen, left->first) <
           std::tuple(rightSent, rightTaken, left->second.mCrashes.front().mSeen, right->first);
  });
  for (const auto& [sent, taken, part] : order) {
    if (!take(part->first, part->second, aLimit)) {
      break;
    }
  }
  return evidence;
}

auto crash_quarantine::SuspectCount(time_point aNow) const -> std::size_t
{
  return static_cast<std::size_t>(
    std::count_if(mParts.begin(), mParts.end(), [this, aNow](const auto& aEntry) {
      return IsSuspected(aEntry.first, aEntry.second, aNow);
    }));
}

auto crash_quarantine::Add(suspect_key aPart, const crash_record& aRecord) -> bool
{
  auto found = mParts.find(aPart);
  if (found == mParts.end()) {
    if (!MakeRoom({ aRecord.mIsRefuted ? std::size_t{ 0 } : 1, aRecord.mSeen, aPart })) {
      return false;
    }
    found = mParts.try_emplace(aPart).first;
  }
  auto& crashes = found->second.mCrashes;
  const auto before = crashes.empty() ? std::nullopt : std::optional(RankOf(aPart, found->second));
  const auto known = std::find_if(crashes.begin(), crashes.end(), [&](const auto& aKnown) {
    return aKnown.mCrash == aRecord.mCrash;
  });
  if (known != crashes.end()) {
    if (!aRecord.mIsRefuted || known->mIsRefuted) {
      return false;
    }
    known->mIsRefuted = true;
  } else {
    const auto after = std::find_if(crashes.begin(), crashes.end(), [&](const auto& aKnown) {
      return aKnown.mSeen < aRecord.mSeen;
    });
    // The first crash is kept, so that the span of many crashes does not shrink.
    if (crashes.size() >= kMaxCrashes && crashes.end() - after == 1) {
      return false;
    }
    crashes.insert(after, aRecord);
    if (crashes.size() > kMaxCrashes) {
      crashes.erase(crashes.end() - 2);
    }
  }
  if (before) {
    mRanks.erase(*before);
  }
  mRanks.insert(RankOf(aPart, found->second));
  return true;
}

auto crash_quarantine::MakeRoom(const rank& aRank) -> bool
{
  if (mParts.size() < kMaxParts) {
    return true;
  }
  const auto lowest = *mRanks.begin();
  if (aRank < lowest) {
    return false;
  }
  Erase(mParts.find(lowest.mPart));
  return true;
}

auto crash_quarantine::Erase(part_map::iterator aPart) -> part_map::iterator
{
  mRanks.erase(RankOf(aPart->first, aPart->second));
  SetNews(aPart->second, 0);
  return mParts.erase(aPart);
}

auto crash_quarantine::Refute(suspect_key aPart) -> void
{
  const auto found = mParts.find(aPart);
  if (found == mParts.end()) {
    return;
  }
  auto& [part, state] = *found;
  if (Unrefuted(state.mCrashes).empty()) {
    return;
  }
  mRanks.erase(RankOf(part, state));
  for (auto& crash : state.mCrashes) {
    crash.mIsRefuted = true;
  }
  mRanks.insert(RankOf(part, state));
  SetNews(state, kNewsRepeats);
}

auto crash_quarantine::SetNews(part_state& aState, std::uint32_t aRepeats) -> void
{
  mNews += aRepeats > 0 ? 1 : 0;
  mNews -= aState.mNewsRepeats > 0 ? 1 : 0;
  aState.mNewsRepeats = aRepeats;
}

auto crash_quarantine::RankOf(suspect_key aPart, const part_state& aState) -> rank
{
  return { Unrefuted(aState.mCrashes).size(), aState.mCrashes.front().mSeen, aPart };
}

auto crash_quarantine::WasAnsweredSince(suspect_key aPart, time_point aSince) const -> bool
{
  if (IsRequest(aPart)) {
    const auto request = mParts.find(aPart);
    return request != mParts.end() && request->second.mLastAnswer >= aSince;
  }
  const auto found = mLastAnswers.find(aPart);
  return found != mLastAnswers.end() && found->second >= aSince;
}

auto crash_quarantine::IsSuspected(suspect_key aPart,
                                   const part_state& aState,
                                   time_point aNow) const -> bool
{
  const auto crashes = Unrefuted(aState.mCrashes);
  if (IsRequest(aPart)) {
    return crashes.size() >= kCrashesToSuspect &&
           crashes.front().mSeen - crashes.back().mSeen >= kMinRequestSpan;
  }
  if (!WasAnsweredSince(aPart, aNow - kProvenTime)) {
    return crashes.size() >= kCrashesToSuspect;
  }
  return crashes.size() >= kCrashesToSuspectProven &&
         crashes.front().mSeen - crashes.back().mSeen >= kMinProvenSpan;
}

auto crash_quarantine::IsExplainedWithout(const std::vector<suspect_key>& aParts,
                                          const part_state& aState) const -> bool
{
  const auto crashes = Unrefuted(aState.mCrashes);
  const auto first = mRanks.lower_bound({ crashes.size(), time_point::min(), 0 });
  return std::any_of(first, mRanks.end(), [&](const auto& aRank) {
    if (std::find(aParts.begin(), aParts.end(), aRank.mPart) != aParts.end()) {
      return false;
    }
    const auto others = Unrefuted(mParts.at(aRank.mPart).mCrashes);
    return std::all_of(crashes.begin(), crashes.end(), [&](const auto& aCrash) {
      return std::any_of(others.begin(), others.end(), [&](const auto& aKnown) {
        return aKnown.mCrash == aCrash.mCrash;
      });
    });
  });
}

auto crash_quarantine::IsCondemned(suspect_key aPart, const part_state& aState) -> bool
{
  return IsRequest(aPart) && Unrefuted(aState.mCrashes).size() >= kCrashesToCondemn;
}

auto crash_quarantine::NextTrial(suspect_key aPart, const part_state& aState, time_point aNow) const
  -> time_point
{
  const auto crashes = Unrefuted(aState.mCrashes);
  const auto quarantine = !IsRequest(aPart) && WasAnsweredSince(aPart, aNow - kProvenTime)
                            ? duration(kFirstQuarantine)
                            : QuarantineTime(crashes.size());
  const auto end =
    crashes.front().mSeen + quarantine + FromSeconds(ToSeconds(quarantine) * mTrialDelay);
  return std::max(end, aState.mNextTrial);
}

auto crash_quarantine::Expiry(const part_state& aState) -> time_point
{
  const auto unrefuted = Unrefuted(aState.mCrashes).size();
  const auto quarantine =
    unrefuted < kCrashesToSuspect ? duration::zero() : QuarantineTime(unrefuted);
  return aState.mCrashes.front().mSeen +
         std::max(kMinEvidenceTime, quarantine * kEvidencePerQuarantine);
}

} // namespace bronzering

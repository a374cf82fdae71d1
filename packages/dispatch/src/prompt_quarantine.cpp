#include <bronzering/dispatch/prompt_quarantine.h>

#include <bronzering/base/hash.h>

#include <algorithm>
#include <iterator>

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

auto QuarantineTime(std::size_t aCrashes) -> duration
{
  auto time = duration(prompt_quarantine::kFirstQuarantine);
  for (auto crash = prompt_quarantine::kCrashesToSuspect; crash < aCrashes; ++crash) {
    time *= prompt_quarantine::kQuarantineGrowth;
  }
  return std::min<duration>(time, prompt_quarantine::kMaxQuarantine);
}

} // namespace

auto HashPromptPart(std::string_view aService, std::string_view aPart) -> prompt_part_key
{
  return CombineHashes(HashText(aService), HashText(aPart)) & ~kRequestKeyBit;
}

auto HashWholeRequest(std::string_view aService,
                      std::string_view aCaller,
                      std::string_view aMethod,
                      std::string_view aTarget,
                      std::string_view aBody) -> prompt_part_key
{
  auto hash = HashText(aService);
  for (const auto field : { aCaller, aMethod, aTarget, aBody }) {
    hash = CombineHashes(hash, HashText(field));
  }
  return hash | kRequestKeyBit;
}

auto prompt_quarantine::OnCrash(crash_id aCrash,
                                const std::vector<prompt_part_key>& aParts,
                                time_point aNow) -> void
{
  for (const auto part : aParts) {
    mOwnChanges += Add(part, { aCrash, aNow, false }) ? 1 : 0;
  }
}

auto prompt_quarantine::OnAnswer(const std::vector<prompt_part_key>& aParts, time_point aNow)
  -> void
{
  for (const auto part : aParts) {
    if (mLastAnswers.size() >= kMaxProvenParts && !mLastAnswers.contains(part)) {
      mLastAnswers.erase(std::min_element(
        mLastAnswers.begin(), mLastAnswers.end(), [](const auto& aLeft, const auto& aRight) {
          return aLeft.second < aRight.second;
        }));
    }
    mLastAnswers[part] = aNow;
    const auto found = mParts.find(part);
    if (found == mParts.end()) {
      continue;
    }
    for (auto& crash : found->second.mCrashes) {
      mOwnChanges += crash.mIsRefuted ? 0 : 1;
      crash.mIsRefuted = true;
    }
  }
}

auto prompt_quarantine::OnRequestAnswered(prompt_part_key aRequest, time_point aNow) -> void
{
  OnAnswer({ aRequest }, aNow);
}

auto prompt_quarantine::Merge(const std::vector<crash_evidence>& aEvidence, time_point aNow) -> void
{
  for (const auto& evidence : aEvidence) {
    const auto seen = aNow - evidence.mAge;
    const auto isRefuted = evidence.mIsRefuted || WasAnsweredSince(evidence.mPart, seen);
    const auto isChanged = Add(evidence.mPart, { evidence.mCrash, seen, isRefuted });
    // Only what this entry adds to the evidence is news to the peers.
    mOwnChanges += isChanged && isRefuted != evidence.mIsRefuted ? 1 : 0;
  }
}

auto prompt_quarantine::Judge(const std::vector<prompt_part_key>& aParts, time_point aNow)
  -> verdict
{
  auto result = verdict();
  auto* trial = static_cast<part_state*>(nullptr);
  for (auto at = std::size_t{ 0 }; at < aParts.size(); ++at) {
    const auto found = mParts.find(aParts[at]);
    if (found == mParts.end() || !IsSuspected(found->first, found->second, aNow) ||
        IsExplainedWithout(aParts, found->second)) {
      continue;
    }
    auto& state = found->second;
    if (const auto next = NextTrial(found->first, state, aNow); next > aNow) {
      return { at, next - aNow, Unrefuted(state.mCrashes).size(), false };
    }
    trial = &state;
  }
  if (trial != nullptr) {
    trial->mNextTrial = aNow + kTrialTime;
    result.mIsTrial = true;
  }
  return result;
}

auto prompt_quarantine::RemoveExpired(time_point aNow) -> void
{
  std::erase_if(mParts, [aNow](const auto& aEntry) { return Expiry(aEntry.second) <= aNow; });
  std::erase_if(mLastAnswers,
                [aNow](const auto& aEntry) { return aEntry.second + kProvenTime <= aNow; });
}

auto prompt_quarantine::Evidence(std::size_t aLimit, time_point aNow) const
  -> std::vector<crash_evidence>
{
  auto states = std::vector<std::pair<std::size_t, prompt_part_key>>();
  for (const auto& [part, state] : mParts) {
    states.emplace_back(Unrefuted(state.mCrashes).size(), part);
  }
  std::sort(states.rbegin(), states.rend());
  auto evidence = std::vector<crash_evidence>();
  for (const auto& [unrefuted, part] : states) {
    for (const auto& crash : mParts.at(part).mCrashes) {
      if (evidence.size() >= aLimit) {
        return evidence;
      }
      evidence.push_back({ part, crash.mCrash, aNow - crash.mSeen, crash.mIsRefuted });
    }
  }
  return evidence;
}

auto prompt_quarantine::SuspectCount(time_point aNow) const -> std::size_t
{
  return static_cast<std::size_t>(
    std::count_if(mParts.begin(), mParts.end(), [this, aNow](const auto& aEntry) {
      return IsSuspected(aEntry.first, aEntry.second, aNow);
    }));
}

auto prompt_quarantine::Add(prompt_part_key aPart, const crash_record& aRecord) -> bool
{
  MakeRoom(aPart);
  auto& crashes = mParts[aPart].mCrashes;
  const auto known = std::find_if(crashes.begin(), crashes.end(), [&](const auto& aKnown) {
    return aKnown.mCrash == aRecord.mCrash;
  });
  if (known != crashes.end()) {
    if (aRecord.mIsRefuted && !known->mIsRefuted) {
      known->mIsRefuted = true;
      return true;
    }
    return false;
  }
  const auto after = std::find_if(crashes.begin(), crashes.end(), [&](const auto& aKnown) {
    return aKnown.mSeen < aRecord.mSeen;
  });
  if (after == crashes.end() && crashes.size() >= kMaxCrashes) {
    return false;
  }
  crashes.insert(after, aRecord);
  crashes.resize(std::min(crashes.size(), kMaxCrashes));
  return true;
}

auto prompt_quarantine::MakeRoom(prompt_part_key aPart) -> void
{
  if (mParts.size() < kMaxParts || mParts.contains(aPart)) {
    return;
  }
  mParts.erase(
    std::min_element(mParts.begin(), mParts.end(), [](const auto& aLeft, const auto& aRight) {
      return Expiry(aLeft.second) < Expiry(aRight.second);
    }));
}

auto prompt_quarantine::WasAnsweredSince(prompt_part_key aPart, time_point aSince) const -> bool
{
  const auto found = mLastAnswers.find(aPart);
  return found != mLastAnswers.end() && found->second >= aSince;
}

auto prompt_quarantine::IsSuspected(prompt_part_key aPart,
                                    const part_state& aState,
                                    time_point aNow) const -> bool
{
  const auto crashes = Unrefuted(aState.mCrashes);
  if (!WasAnsweredSince(aPart, aNow - kProvenTime)) {
    return crashes.size() >= kCrashesToSuspect;
  }
  return crashes.size() >= kCrashesToSuspectProven &&
         crashes.front().mSeen - crashes.back().mSeen >= kMinProvenSpan;
}

auto prompt_quarantine::IsExplainedWithout(const std::vector<prompt_part_key>& aParts,
                                           const part_state& aState) const -> bool
{
  const auto crashes = Unrefuted(aState.mCrashes);
  return std::any_of(mParts.begin(), mParts.end(), [&](const auto& aOther) {
    if (std::find(aParts.begin(), aParts.end(), aOther.first) != aParts.end()) {
      return false;
    }
    const auto others = Unrefuted(aOther.second.mCrashes);
    return std::all_of(crashes.begin(), crashes.end(), [&](const auto& aCrash) {
      return std::any_of(others.begin(), others.end(), [&](const auto& aKnown) {
        return aKnown.mCrash == aCrash.mCrash;
      });
    });
  });
}

auto prompt_quarantine::NextTrial(prompt_part_key aPart,
                                  const part_state& aState,
                                  time_point aNow) const -> time_point
{
  const auto crashes = Unrefuted(aState.mCrashes);
  const auto quarantine = WasAnsweredSince(aPart, aNow - kProvenTime)
                            ? duration(kFirstQuarantine)
                            : QuarantineTime(crashes.size());
  const auto end =
    crashes.front().mSeen + quarantine + FromSeconds(ToSeconds(quarantine) * mTrialDelay);
  return std::max(end, aState.mNextTrial);
}

auto prompt_quarantine::Expiry(const part_state& aState) -> time_point
{
  const auto unrefuted = Unrefuted(aState.mCrashes).size();
  const auto quarantine =
    unrefuted < kCrashesToSuspect ? duration::zero() : QuarantineTime(unrefuted);
  return aState.mCrashes.front().mSeen +
         std::max(kMinEvidenceTime, quarantine * kEvidencePerQuarantine);
}

} // namespace bronzering

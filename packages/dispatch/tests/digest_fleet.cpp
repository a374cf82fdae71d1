#include "digest_fleet.h"

#include <bronzering/base/hash.h>

#include <algorithm>

namespace bronzering {

namespace {

constexpr auto kService = "model";
constexpr auto kRequest = token_work{ 1'000, 200 };

/// Entries make their trials at different times, as gateways do.
auto TrialDelay(const std::string& aAddress) -> double
{
  return 0.25 * static_cast<double>(HashText(aAddress) % 256) / 256;
}

auto ZoneName(std::size_t aZone) -> std::string
{
  return "zone-" + std::to_string(aZone);
}

} // namespace

digest_fleet::entry_process::entry_process(const std::string& aAddress,
                                           const std::string& aZone,
                                           std::uint64_t aIncarnation,
                                           quota_tolerance aTolerance)
  : mIncarnation(aIncarnation)
  , mPeers(aAddress, HashZone(aZone))
  , mEndpoints(aZone, aAddress)
  , mRateLimiter(aTolerance)
  , mQuarantine(TrialDelay(aAddress))
  , mExchange(aAddress,
              HashZone(aZone),
              aIncarnation,
              { mPeers, mEndpoints, mRateLimiter, mQuarantine })
{
}

digest_fleet::digest_fleet(options aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
{
  for (auto zone = std::size_t{ 0 }; zone < mOptions.mZones; ++zone) {
    for (auto host = std::size_t{ 0 }; host < mOptions.mEntriesPerZone; ++host) {
      auto added = member();
      added.mAddress = "10." + std::to_string(zone) + ".0." + std::to_string(host + 1);
      added.mZone = zone;
      mIndexes.emplace(added.mAddress, mEntries.size());
      mEntries.push_back(std::move(added));
    }
  }
  for (auto index = std::size_t{ 0 }; index < mEntries.size(); ++index) {
    Start(index);
  }
}

auto digest_fleet::EndpointName(std::size_t aEndpoint) const -> std::string
{
  return "endpoint-" + std::to_string(aEndpoint);
}

auto digest_fleet::At(time_point aTime, std::function<void()> aAction) -> void
{
  mEvents.emplace(aTime, std::move(aAction));
}

auto digest_fleet::RunFor(duration aTime) -> void
{
  const auto end = mNow + aTime;
  while (!mEvents.empty() && mEvents.begin()->first <= end) {
    auto event = mEvents.extract(mEvents.begin());
    mNow = event.key();
    event.mapped()();
  }
  mNow = end;
}

auto digest_fleet::Start(std::size_t aEntry) -> void
{
  auto& started = mEntries[aEntry];
  const auto run = ++mRuns;
  started.mProcess = std::make_unique<entry_process>(
    started.mAddress, ZoneName(started.mZone), run, mOptions.mTolerance);
  auto& process = *started.mProcess;
  // Three seeds in different zones, as far as there are so many.
  auto seeds = std::vector<std::string>();
  for (auto seed = std::size_t{ 0 }; seed < 3; ++seed) {
    seeds.push_back(mEntries[seed * mEntries.size() / 3].mAddress);
  }
  process.mPeers.SetSeeds(seeds);
  auto service = service_spec();
  service.mName = kService;
  service.mIsModel = true;
  process.mEndpoints.Configure({ service });
  auto endpoints = std::vector<listed_endpoint>();
  for (auto index = std::size_t{ 0 }; index < mOptions.mEndpoints; ++index) {
    auto listed = listed_endpoint();
    listed.mId = EndpointName(index);
    listed.mIncarnation = 1;
    listed.mService = kService;
    listed.mSlots = 6;
    listed.mAvailabilityZone = ZoneName(index % mOptions.mZones);
    endpoints.push_back(std::move(listed));
  }
  process.mEndpoints.Apply(std::move(endpoints), mNow);
  process.mRateLimiter.Configure({ mOptions.mOrganisation }, mNow);
  const auto first = mNow + std::chrono::microseconds(mRandom.UniformBelow(300'000));
  At(first, [this, aEntry, run] { Tick(aEntry, run); });
}

auto digest_fleet::Kill(std::size_t aEntry) -> void
{
  mEntries[aEntry].mProcess.reset();
}

auto digest_fleet::End(std::size_t aEntry) -> void
{
  mEntries[aEntry].mProcess->mStatus.mHasEnded = true;
  SendDigests(aEntry);
  Kill(aEntry);
}

auto digest_fleet::Freeze(std::size_t aEntry, duration aTime) -> void
{
  mEntries[aEntry].mFrozenUntil = mNow + aTime;
}

auto digest_fleet::BeginRequest(std::size_t aEntry, std::size_t aEndpoint) -> void
{
  auto& process = *mEntries[aEntry].mProcess;
  const auto exchange = exchange_id{ ++mExchanges };
  process.mEndpoints.Begin(exchange, EndpointName(aEndpoint), kRequest, mNow);
  process.mOutstanding.push_back(exchange);
}

auto digest_fleet::EndRequest(std::size_t aEntry) -> void
{
  auto& process = *mEntries[aEntry].mProcess;
  if (!process.mOutstanding.empty()) {
    process.mEndpoints.End(process.mOutstanding.front(), attempt_result::Abandoned, mNow);
    process.mOutstanding.erase(process.mOutstanding.begin());
  }
}

auto digest_fleet::Tick(std::size_t aEntry, std::uint64_t aRun) -> void
{
  auto& sender = mEntries[aEntry];
  if (!sender.mProcess || mRuns < aRun) {
    return;
  }
  if (sender.mFrozenUntil > mNow) {
    At(sender.mFrozenUntil, [this, aEntry, aRun] { Tick(aEntry, aRun); });
    return;
  }
  auto& process = *sender.mProcess;
  if (process.mIncarnation != aRun) {
    return;
  }
  TakeChanges(process);
  SendDigests(aEntry);
  At(mNow + process.mExchange.Interval(), [this, aEntry, aRun] { Tick(aEntry, aRun); });
}

auto digest_fleet::SendDigests(std::size_t aEntry) -> void
{
  const auto& sender = mEntries[aEntry];
  auto& process = *sender.mProcess;
  for (const auto& message : process.mExchange.TakeMessages(process.mStatus, mNow)) {
    if (message.mMessage.mHop == digest_hop::Direct) {
      const auto run = sender.mAddress + "/" + std::to_string(process.mIncarnation);
      mMade[run][message.mMessage.mDigests.front().mSequence] = mNow;
    }
    Send(aEntry, message.mTargets, message.mMessage);
  }
}

auto digest_fleet::Send(std::size_t aFrom,
                        const std::vector<std::string>& aTargets,
                        const digest_message& aMessage) -> void
{
  for (const auto& target : aTargets) {
    const auto found = mIndexes.find(target);
    if (found == mIndexes.end()) {
      continue;
    }
    const auto& from = mEntries[aFrom];
    const auto& to = mEntries[found->second];
    const auto isBetweenZones = from.mZone != to.mZone;
    if (isBetweenZones) {
      ++mMessagesBetweenZones;
      for (const auto& digest : aMessage.mDigests) {
        mEvidenceBetweenZones += digest.mCrashEvidence.size();
      }
    }
    if (mRandom.Uniform01() < mOptions.mLoss ||
        (isBetweenZones && (from.mIsCutFromZones || to.mIsCutFromZones))) {
      continue;
    }
    const auto delay = isBetweenZones ? mOptions.mDelayBetweenZones : mOptions.mDelayWithinZone;
    At(mNow + delay, [this, sent = delivery{ aFrom, found->second, aMessage }] { Deliver(sent); });
  }
}

auto digest_fleet::Deliver(const delivery& aDelivery) -> void
{
  auto& receiver = mEntries[aDelivery.mTo];
  if (!receiver.mProcess) {
    return;
  }
  if (receiver.mFrozenUntil > mNow) {
    At(receiver.mFrozenUntil, [this, aDelivery] { Deliver(aDelivery); });
    return;
  }
  auto& process = *receiver.mProcess;
  const auto received = process.mExchange.OnMessage(aDelivery.mMessage, mNow);
  TakeChanges(process);
  for (const auto& digest : received.mAccepted) {
    const auto run = digest.mSender + "/" + std::to_string(digest.mIncarnation);
    process.mKnownAt[digest.mSender] = mMade[run][digest.mSequence];
  }
  if (!received.mForwardTo.empty()) {
    Send(aDelivery.mTo, received.mForwardTo, { digest_hop::WithinZone, received.mAccepted });
  }
}

auto digest_fleet::TakeChanges(entry_process& aProcess) -> void
{
  for (const auto& change : aProcess.mExchange.TakeChanges(mNow)) {
    if (!change.mIsUp) {
      ++aProcess.mSilences;
    }
  }
}

auto digest_fleet::AgesBetweenZones() const -> std::vector<duration>
{
  auto ages = std::vector<duration>();
  for (const auto& knowing : mEntries) {
    if (!knowing.mProcess) {
      continue;
    }
    for (const auto& known : mEntries) {
      if (!known.mProcess || known.mZone == knowing.mZone) {
        continue;
      }
      const auto found = knowing.mProcess->mKnownAt.find(known.mAddress);
      ages.push_back(found == knowing.mProcess->mKnownAt.end() ? duration::max()
                                                               : duration(mNow - found->second));
    }
  }
  std::sort(ages.begin(), ages.end());
  return ages;
}

auto digest_fleet::TrueLoad(std::size_t aEndpoint) const -> std::uint32_t
{
  auto total = 0U;
  const auto key = HashEndpointId(EndpointName(aEndpoint));
  for (const auto& entry : mEntries) {
    if (!entry.mProcess) {
      continue;
    }
    for (const auto& load : entry.mProcess->mEndpoints.OwnLoads()) {
      total += load.mKey == key ? load.mRequests : 0;
    }
  }
  return total;
}

auto digest_fleet::WrongLoads() const -> std::size_t
{
  auto wrong = std::size_t{ 0 };
  for (auto endpoint = std::size_t{ 0 }; endpoint < mOptions.mEndpoints; ++endpoint) {
    const auto load = TrueLoad(endpoint);
    const auto name = EndpointName(endpoint);
    for (const auto& entry : mEntries) {
      if (entry.mProcess && entry.mProcess->mEndpoints.KnownLoad(name).mRequests != load) {
        ++wrong;
      }
    }
  }
  return wrong;
}

} // namespace bronzering

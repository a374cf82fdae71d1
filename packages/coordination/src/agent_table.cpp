#include "agent_table.h"

#include "caller_directory.h"
#include "entry_request.h"

#include <bronzering/coordination/membership.h>
#include <bronzering/scheduling/candidate_scorer.h>

#include <boost/json.hpp>

#include <algorithm>
#include <tuple>

namespace bronzering {

namespace {

/// About 10 MB at some 100 bytes a block.
constexpr auto kMaxPrefixBlocks = std::size_t{ 100'000 };

auto LoadOf(const endpoint_config& aEndpoint,
            const std::optional<agent_status>& aStatus,
            std::uint32_t aRank) -> candidate_load
{
  auto load = candidate_load{ .mKind = aEndpoint.mKind };
  if (!aStatus) {
    load.mFreeSlots = aEndpoint.mMaxConcurrency;
    load.mFreeKvTokens = aEndpoint.mKvTokens;
    load.mPrefillTokensPerSecond = aEndpoint.mPrefillTokensPerSecond;
    load.mStepTime = aEndpoint.mStepTime;
    return load;
  }
  const auto& waiting = aStatus->mWaitingByRank;
  for (auto rank = std::size_t{ 0 }; rank < waiting.size() && rank <= aRank; ++rank) {
    load.mQueuedCostAhead += waiting[rank];
  }
  load.mRunning = aStatus->mRunning;
  load.mFreeSlots = aStatus->mFreeSlots;
  load.mFreeKvTokens = aStatus->mFreeKvTokens;
  load.mPrefillTokensPerSecond = aStatus->mPrefillTokensPerSecond;
  load.mStepTime = aStatus->mStepTime;
  return load;
}

auto TokensPerBlock(const entry_request& aRequest) -> std::uint64_t
{
  const auto blocks = aRequest.mCaller.mPrefix.size();
  return blocks == 0 ? 0 : aRequest.mCaller.mPromptTokens / blocks;
}

} // namespace

agent_table::agent_table(std::string aOwnZone, std::uint64_t aSeed)
  : mOwnZone(std::move(aOwnZone))
  , mRandom(aSeed)
  , mPrefixes(kMaxPrefixBlocks)
{
}

auto agent_table::OnPeerUp(peer_id aPeer, const process_identity& aIdentity) -> void
{
  mAgents[aPeer] = agent{ .mIdentity = aIdentity,
                          .mStatus = std::nullopt,
                          .mOutstandingCost = 0,
                          .mOutstandingRequests = 0,
                          .mRoundTrip = std::nullopt,
                          .mCredits = {} };
}

auto agent_table::OnPeerDown(peer_id aPeer) -> void
{
  mAgents.erase(aPeer);
}

auto agent_table::OnStatus(peer_id aPeer, const agent_status& aStatus) -> void
{
  const auto found = mAgents.find(aPeer);
  if (found == mAgents.end()) {
    return;
  }
  found->second.mStatus = aStatus;
  found->second.mOutstandingCost = 0;
  found->second.mOutstandingRequests = 0;
  if (aStatus.mState == agent_state::Draining || aStatus.mState == agent_state::Stopped) {
    found->second.mCredits.clear();
  }
}

auto agent_table::OnCredit(peer_id aPeer, const credit& aCredit, instant aNow) -> void
{
  const auto found = mAgents.find(aPeer);
  if (found == mAgents.end()) {
    return;
  }
  // An agent issues no more credits than it has slots; the bound only guards against a faulty one.
  constexpr auto kMaxCredits = std::size_t{ 4096 };
  auto& credits = found->second.mCredits[aCredit.mService];
  while (!credits.empty() && credits.front().mExpires <= aNow.mMonotonic) {
    credits.pop_front();
  }
  for (const auto grant : aCredit.mGrants) {
    if (credits.size() < kMaxCredits) {
      credits.push_back({ grant, aNow.mMonotonic + aCredit.mLifetime });
    }
  }
}

auto agent_table::TakeCredit(peer_id aPeer, std::string_view aService, instant aNow)
  -> std::optional<grant_id>
{
  const auto found = mAgents.find(aPeer);
  if (found == mAgents.end()) {
    return std::nullopt;
  }
  const auto credits = found->second.mCredits.find(aService);
  if (credits == found->second.mCredits.end()) {
    return std::nullopt;
  }
  while (!credits->second.empty()) {
    const auto first = credits->second.front();
    credits->second.pop_front();
    if (first.mExpires > aNow.mMonotonic) {
      return first.mGrant;
    }
  }
  return std::nullopt;
}

auto agent_table::HasCredit(peer_id aPeer, std::string_view aService, instant aNow) const -> bool
{
  const auto found = mAgents.find(aPeer);
  if (found == mAgents.end()) {
    return false;
  }
  const auto credits = found->second.mCredits.find(aService);
  return credits != found->second.mCredits.end() &&
         std::any_of(credits->second.begin(), credits->second.end(), [&](const auto& aCredit) {
           return aCredit.mExpires > aNow.mMonotonic;
         });
}

auto agent_table::DropCredits(peer_id aPeer) -> void
{
  if (const auto found = mAgents.find(aPeer); found != mAgents.end()) {
    found->second.mCredits.clear();
  }
}

auto agent_table::Accepts(peer_id aPeer, const membership& aMembers) const -> bool
{
  const auto found = mAgents.find(aPeer);
  const auto* session = aMembers.Find(aPeer);
  if (found == mAgents.end() || session == nullptr || session->mSilent || session->mLeaving) {
    return false;
  }
  const auto& status = found->second.mStatus;
  return !status || status->mState == agent_state::Serving ||
         status->mState == agent_state::Starting;
}

auto agent_table::Rank(const caller_directory& aDirectory,
                       const membership& aMembers,
                       const entry_request& aRequest) -> std::vector<candidate>
{
  using ranked = std::tuple<duration, std::uint64_t, candidate>;
  auto order = std::vector<ranked>{};
  for (const auto* endpoint : aDirectory.EndpointsOf(aRequest.mService)) {
    const auto peer = aMembers.SessionToAgent(endpoint->mName);
    if (!peer || !Accepts(*peer, aMembers)) {
      continue;
    }
    const auto& known = mAgents.find(*peer)->second;
    auto load = LoadOf(*endpoint, known.mStatus, aRequest.mRank);
    load.mOutstandingCost = known.mOutstandingCost;
    load.mOutstandingRequests = known.mOutstandingRequests;
    if (known.mIdentity.mAvailabilityZone != mOwnZone) {
      load.mNetworkDelay = known.mRoundTrip.value_or(duration::zero()) +
                           aDirectory.Config()->mRouting.mCrossZonePenalty;
    }
    const auto cachedBlocks = mPrefixes.CachedBlocks(aRequest.mCaller.mPrefix, endpoint->mName);
    const auto need = request_demand{ .mPromptTokens = aRequest.mCaller.mPromptTokens,
                                      .mCachedTokens = cachedBlocks * TokensPerBlock(aRequest),
                                      .mOutputTokens = aRequest.mCaller.mOutputTokens };
    const auto score = ScoreCandidate(load, need);
    // Equal scores are put in random order, so that entries do not all choose the same agent.
    order.emplace_back(score,
                       mRandom.Bits(),
                       candidate{ *peer, endpoint->mName, score, EstimateCompletion(load, need) });
  }
  std::sort(order.begin(), order.end(), [](const ranked& aLeft, const ranked& aRight) {
    return std::tie(std::get<0>(aLeft), std::get<1>(aLeft)) <
           std::tie(std::get<0>(aRight), std::get<1>(aRight));
  });
  auto candidates = std::vector<candidate>{};
  candidates.reserve(order.size());
  for (auto& [score, tie, item] : order) {
    candidates.push_back(std::move(item));
  }
  return candidates;
}

auto agent_table::NoteDispatch(peer_id aPeer, const entry_request& aRequest) -> void
{
  if (const auto found = mAgents.find(aPeer); found != mAgents.end()) {
    const auto isModel = aRequest.mKind == service_kind::Model;
    found->second.mOutstandingRequests += 1;
    found->second.mOutstandingCost +=
      isModel ? aRequest.mCaller.mPromptTokens + aRequest.mCaller.mOutputTokens : 1;
  }
}

auto agent_table::NoteCached(std::string_view aEndpoint,
                             const entry_request& aRequest,
                             std::uint64_t aCachedTokens) -> void
{
  const auto perBlock = TokensPerBlock(aRequest);
  if (perBlock > 0) {
    mPrefixes.Record(aRequest.mCaller.mPrefix, aEndpoint, aCachedTokens / perBlock);
  }
}

auto agent_table::NoteRoundTrip(peer_id aPeer, duration aTime) -> void
{
  if (const auto found = mAgents.find(aPeer); found != mAgents.end()) {
    auto& shortest = found->second.mRoundTrip;
    shortest = shortest ? std::min(*shortest, aTime) : aTime;
  }
}

auto agent_table::EndpointOf(peer_id aPeer) const -> std::string
{
  const auto found = mAgents.find(aPeer);
  return found == mAgents.end() ? std::string{} : found->second.mIdentity.mEndpoint;
}

auto agent_table::Dump(instant aNow) const -> boost::json::value
{
  auto agents = boost::json::object{};
  for (const auto& [peer, known] : mAgents) {
    auto credits = std::size_t{ 0 };
    for (const auto& [service, usable] : known.mCredits) {
      credits += static_cast<std::size_t>(
        std::count_if(usable.begin(), usable.end(), [&](const usable_credit& aCredit) {
          return aCredit.mExpires > aNow.mMonotonic;
        }));
    }
    auto item = boost::json::object{ { "session", peer.mValue },
                                     { "zone", known.mIdentity.mAvailabilityZone },
                                     { "outstanding", known.mOutstandingRequests },
                                     { "credits", credits } };
    if (known.mStatus) {
      item["state"] = kAgentStateNames.NameOf(known.mStatus->mState);
      item["running"] = known.mStatus->mRunning;
      item["free_slots"] = known.mStatus->mFreeSlots;
      item["free_kv_tokens"] = known.mStatus->mFreeKvTokens;
      item["prefill_tokens_per_second"] = known.mStatus->mPrefillTokensPerSecond;
    }
    agents[known.mIdentity.mEndpoint] = std::move(item);
  }
  return agents;
}

} // namespace bronzering

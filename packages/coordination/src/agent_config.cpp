#include "agent_state.h"

#include <bronzering/base/hash.h>
#include <bronzering/base/overloaded.h>

#include <algorithm>
#include <tuple>

namespace bronzering {

namespace {

auto LimitsOf(const endpoint_config& aEndpoint) -> engine_limits
{
  return { aEndpoint.mKind == service_kind::Model,
           std::max(1U, aEndpoint.mMaxConcurrency),
           aEndpoint.mKvTokens,
           aEndpoint.mPrefillTokensPerSecond,
           aEndpoint.mStepTime };
}

auto WeightStoreBudget(const fleet_config& aConfig) -> const limit_config*
{
  for (const auto& [name, limit] : aConfig.mLimits) {
    if (limit.mScope == limit_scope::WeightStore) {
      return &limit;
    }
  }
  return nullptr;
}

auto EndpointsOf(const fleet_config& aConfig, const std::string& aService)
  -> std::vector<std::string>
{
  auto names = std::vector<std::string>{};
  for (const auto& [name, endpoint] : aConfig.mEndpoints) {
    if (std::count(endpoint.mServices.begin(), endpoint.mServices.end(), aService) > 0) {
      names.push_back(name);
    }
  }
  return names;
}

} // namespace

auto agent_node::state::Serves(std::string_view aService) const -> bool
{
  return mEndpoint != nullptr &&
         std::count(mEndpoint->mServices.begin(), mEndpoint->mServices.end(), aService) > 0;
}

auto agent_node::state::ExchangeConfiguration(instant aNow) -> void
{
  for (auto& [peer, message] : mExchange.TakeMessages()) {
    Send(peer, std::move(message));
  }
  if (const auto confirmed = mExchange.ConfirmedAt()) {
    mKeys->Confirm(*confirmed);
  }
  if (mExchange.TakeChanged()) {
    AdoptConfiguration(aNow);
  }
}

auto agent_node::state::UpdateConfigurationReader() -> void
{
  // Before the list is known, all processes would believe that they are readers.
  if (!mMembers.ListReceived() && !mExchange.IsReady()) {
    return;
  }
  const auto reader = mMembers.IsConfigurationReader();
  if (reader != mWatching) {
    mWatching = reader;
    mActions.emplace_back(watch_configuration{ reader });
  }
}

auto agent_node::state::AdoptConfiguration(instant aNow) -> void
{
  mConfig = mExchange.Current();
  mEndpoint = nullptr;
  const auto endpoint = mConfig->mEndpoints.find(mSettings.mIdentity.mEndpoint);
  if (endpoint != mConfig->mEndpoints.end()) {
    mEndpoint = &endpoint->second;
    mModel.Configure(LimitsOf(*mEndpoint));
    mReconciler.Configure(*mEndpoint, WeightStoreBudget(*mConfig));
  }
  for (const auto& [name, service] : mConfig->mServices) {
    if (!service.mIdempotent) {
      mKeys->Configure(name, service.mIdempotencyWindow, EndpointsOf(*mConfig, name), aNow);
    }
  }
  mDecisions.Add(aNow, {}, "configuration", std::to_string(mConfig->mRevision.mValue));
  UpdateLife(aNow);

  // Waiting tickets follow the new ranks, weights and targets, in their order of arrival.
  auto waiting = std::vector<agent_request*>{};
  for (auto& [id, request] : mRequests) {
    if (request.mPhase == work_phase::Waiting) {
      waiting.push_back(&request);
    }
  }
  std::sort(waiting.begin(), waiting.end(), [](const auto* aLeft, const auto* aRight) {
    return std::tie(aLeft->mArrived, aLeft->mTicket.mRequest) <
           std::tie(aRight->mArrived, aRight->mTicket.mRequest);
  });
  for (auto* request : waiting) {
    if (Serves(request->mTicket.mService)) {
      Requeue(*request, aNow);
      continue;
    }
    const auto id = request->mTicket.mRequest;
    const auto peer = request->mPeer;
    Drop(id, aNow, "revoked");
    Decline(peer, { id, decline_reason::UnknownService, {}, 0 }, aNow);
  }
}

auto agent_node::state::UpdateLife(instant aNow) -> void
{
  const auto before = mLife.State();
  if (mEndpointUp && mEndpoint != nullptr) {
    mLife.OnUp();
  } else {
    mLife.OnDown();
  }
  if (before == agent_state::Serving && mLife.State() != agent_state::Serving) {
    mGrants.RevokeCredits();
    DeclineWaiting(decline_reason::EndpointDown, aNow);
  }
}

auto agent_node::state::LeaseOwner(std::string_view aBudget) const -> std::optional<peer_id>
{
  // The owner is chosen among the entries that this agent can reach, by VM name.
  const auto key = HashText(aBudget);
  auto owner = std::optional<peer_id>{};
  auto highest = std::uint64_t{ 0 };
  for (const auto& [id, peer] : mPeers) {
    const auto weight = RendezvousWeight(key, peer.mIdentity.mVm);
    if (peer.mIdentity.mRole == process_role::Entry && !peer.mSilentSince &&
        (!owner || weight >= highest)) {
      owner = id;
      highest = weight;
    }
  }
  return owner;
}

auto agent_node::state::Reconcile(instant aNow) -> void
{
  if (!mEndpointUp || mEndpoint == nullptr || !IsModel() || mLife.State() != agent_state::Serving) {
    return;
  }
  const auto step = mReconciler.Next(aNow.mMonotonic, mModel.OccupiedSlots() == 0);
  const auto act = overloaded{
    [](std::monostate) {},
    [&](const model_reconciler::needs_lease& aLease) {
      if (const auto owner = LeaseOwner(aLease.mBudget)) {
        Send(*owner, lease_request{ aLease.mBudget, aLease.mAmount });
      }
    },
    [&](const model_reconciler::needs_command& aCommand) {
      const auto token = mFencing.Next();
      mReconciler.OnCommand(token, aNow.mMonotonic);
      mDecisions.Add(aNow, {}, kEngineCommandKindNames.NameOf(aCommand.mKind), aCommand.mArgument);
      mActions.emplace_back(send_engine_command{ token, aCommand.mKind, aCommand.mArgument });
    },
  };
  std::visit(act, step);
}

} // namespace bronzering

#include <bronzering/coordination/entry_node.h>

#include "entry_state.h"

#include <bronzering/base/metrics.h>

#include <boost/json.hpp>

#include <algorithm>
#include <cassert>

namespace bronzering {

entry_node::state::state(entry_settings aSettings, metrics_registry& aMetrics)
  : mSettings(std::move(aSettings))
  , mMetrics(aMetrics)
  , mRandom(mSettings.mSeed)
  , mMembers(mSettings.mIdentity)
  , mAgents(mSettings.mIdentity.mAvailabilityZone, mRandom.Bits())
  , mWaiting(mSettings.mMaxWaiting, mSettings.mMaxWaitingPerOrganisation)
{
}

auto entry_node::state::Send(peer_id aPeer, peer_message aMessage) -> void
{
  mActions.emplace_back(send_message{ aPeer, std::move(aMessage) });
}

auto entry_node::state::FindRequest(request_id aId) -> entry_request*
{
  const auto found = mRequests.find(aId);
  return found == mRequests.end() ? nullptr : found->second.get();
}

auto entry_node::state::SetTimer(entry_request& aRequest) -> void
{
  if (aRequest.mTimerAt) {
    mTimers.erase({ *aRequest.mTimerAt, aRequest.mId });
    aRequest.mTimerAt.reset();
  }
  const auto current = aRequest.mLifecycle.State();
  if (current == request_state::Ended || current == request_state::Answering) {
    return;
  }
  const auto due = std::min(aRequest.mDeadline, aRequest.mStepAt.value_or(aRequest.mDeadline));
  aRequest.mTimerAt = due;
  mTimers.emplace(due, aRequest.mId);
}

auto entry_node::state::Log(const entry_request& aRequest, std::string_view aWhat, instant aNow)
  -> void
{
  mLog.Add({ aNow.mWall,
             aRequest.mId,
             std::string(aWhat),
             {},
             aRequest.mService,
             aRequest.mOrganisation,
             aRequest.mTier,
             aRequest.mEndpoint });
}

auto entry_node::state::Count(std::string_view aName,
                              const entry_request& aRequest,
                              std::string_view aMore) -> void
{
  auto labels = "service=\"" + aRequest.mService + "\",tier=\"" + aRequest.mTier + "\"";
  labels.append(aMore);
  mMetrics.Counter(aName, labels).Add();
}

auto entry_node::state::CountViolation() -> void
{
  mMetrics.Counter("bronzering_entry_protocol_violations_total").Add();
}

entry_node::entry_node(entry_settings aSettings, metrics_registry& aMetrics)
  : mState(std::make_unique<state>(std::move(aSettings), aMetrics))
{
}

entry_node::~entry_node() = default;

auto entry_node::OnRequest(caller_request aRequest, instant aNow) -> void
{
  mState->OnRequest(std::move(aRequest), aNow);
  mState->Settle(aNow);
}

auto entry_node::OnAnswerBytesDelivered(exchange_id aExchange,
                                        std::uint64_t aTotalBytes,
                                        instant aNow) -> void
{
  mState->OnAnswerBytesDelivered(aExchange, aTotalBytes);
  mState->Settle(aNow);
}

auto entry_node::OnCallerDisconnected(exchange_id aExchange, instant aNow) -> void
{
  mState->OnCallerDisconnected(aExchange, aNow);
  mState->Settle(aNow);
}

auto entry_node::OnPeerUp(peer_id aPeer,
                          process_identity aIdentity,
                          std::string aListed,
                          instant aNow) -> void
{
  mState->OnPeerUp(aPeer, std::move(aIdentity), std::move(aListed), aNow);
  mState->Settle(aNow);
}

auto entry_node::OnPeerSilent(peer_id aPeer, bool aSilent, instant aNow) -> void
{
  mState->OnPeerSilent(aPeer, aSilent, aNow);
  mState->Settle(aNow);
}

auto entry_node::OnPeerDown(peer_id aPeer, instant aNow) -> void
{
  mState->OnPeerDown(aPeer, aNow);
  mState->Settle(aNow);
}

auto entry_node::OnMessage(peer_id aPeer, peer_message aMessage, instant aNow) -> void
{
  mState->OnMessage(aPeer, std::move(aMessage), aNow);
  mState->Settle(aNow);
}

auto entry_node::OnVmList(std::vector<vm_entry> aList, instant aNow) -> void
{
  mState->OnVmList(std::move(aList), aNow);
  mState->Settle(aNow);
}

auto entry_node::OnDocument(revision aRevision, std::string_view aDocument, instant aNow) -> void
{
  mState->mExchange.OnDocument(aRevision, aDocument, aNow);
  mState->Settle(aNow);
}

auto entry_node::BeginDrain(instant aNow) -> void
{
  mState->mDraining = true;
  mState->Settle(aNow);
}

auto entry_node::IsDrained() const -> bool
{
  return mState->mDraining && mState->mRequests.empty();
}

auto entry_node::IsReady() const -> bool
{
  return !mState->mDraining && mState->mExchange.IsReady() &&
         mState->mExchange.Current() != nullptr;
}

auto entry_node::OnTimer(instant aNow) -> void
{
  mState->OnTimer(aNow);
  mState->Settle(aNow);
}

auto entry_node::NextTimer() const -> std::optional<time_point>
{
  return mState->NextTimer();
}

auto entry_node::TakeActions() -> std::vector<entry_action>
{
  return std::exchange(mState->mActions, {});
}

auto entry_node::TakeDecisions() -> std::vector<boost::json::object>
{
  return mState->mLog.TakeNew();
}

auto entry_node::Dump(instant aNow) const -> boost::json::value
{
  return mState->Dump(aNow);
}

auto entry_node::Configuration() const -> std::shared_ptr<const fleet_config>
{
  return mState->mExchange.Current();
}

} // namespace bronzering

#include "agent_state.h"

#include <boost/json.hpp>

namespace bronzering {

namespace {

namespace json = boost::json;

constexpr auto kMaxOrganisations = std::size_t{ 50 };

auto Milliseconds(duration aDuration) -> double
{
  return ToSeconds(aDuration) * 1000;
}

auto WaitingOf(const ticket_queue& aQueue) -> json::array
{
  auto tiers = json::array{};
  for (const auto& load : aQueue.Load()) {
    auto organisations = json::object{};
    for (const auto& [name, count] : aQueue.Organisations(load.mRank)) {
      if (organisations.size() >= kMaxOrganisations) {
        break;
      }
      organisations[name] = count;
    }
    tiers.push_back({ { "rank", load.mRank },
                      { "tickets", load.mTickets },
                      { "cost", load.mCost },
                      { "organisations", std::move(organisations) } });
  }
  return tiers;
}

auto DeclinesOf(const json::array& aDecisions) -> json::array
{
  auto declines = json::array{};
  std::ranges::copy_if(aDecisions, std::back_inserter(declines), [](const json::value& aDecision) {
    return aDecision.at("what").as_string() == "decline";
  });
  return declines;
}

} // namespace

auto agent_node::state::Dump(instant aNow) const -> json::value
{
  auto running = json::array{};
  for (const auto id : mRunning) {
    const auto& request = mRequests.find(id)->second;
    running.push_back({ { "request", ToString(id) },
                        { "service", request.mTicket.mService },
                        { "tier", request.mTicket.mTier },
                        { "organisation", request.mTicket.mOrganisation },
                        { "running_ms", Milliseconds(aNow.mMonotonic - request.mArrived) },
                        { "generated_tokens", request.mAnswer.GeneratedTokens() },
                        { "received_bytes", request.mAnswer.Received() },
                        { "sent_bytes", request.mAnswer.Sent() },
                        { "state",
                          request.mInterruptedSince ? "resuming"
                          : request.mEnd            ? "delivering"
                          : request.mPaused         ? "paused"
                                                    : "running" } });
  }
  auto peers = json::array{};
  for (const auto& [id, peer] : mPeers) {
    peers.push_back({ { "vm", peer.mIdentity.mVm },
                      { "zone", peer.mIdentity.mAvailabilityZone },
                      { "silent", peer.mSilentSince.has_value() },
                      { "requests", peer.mRequests.size() } });
  }

  return {
    { "state", kAgentStateNames.NameOf(mEndpointLifecycle.State()) },
    { "endpoint", mSettings.mIdentity.mEndpoint },
    { "endpoint_up", mEndpointUp },
    { "configuration", mExchange.Dump(aNow) },
    { "waiting", WaitingOf(mQueue) },
    { "running", std::move(running) },
    { "grants_and_credits", mGrants.size() },
    { "free", { { "slots", mModel.FreeSlots() }, { "kv_tokens", mModel.FreeKvTokens() } } },
    { "rates",
      { { "prefill_tokens_per_second", mModel.PrefillTokensPerSecond(aNow.mMonotonic) },
        { "step_ms", Milliseconds(mModel.StepTime(aNow.mMonotonic)) } } },
    { "cached_blocks", mCache.size() },
    { "keys", mKeys ? mKeys->size() : 0 },
    { "fencing_token", mFencing.Last() },
    { "model",
      { { "phase", mReconciler.Phase() }, { "holds_work", mReconciler.BlocksNewWork() } } },
    { "entries", std::move(peers) },
    { "declines", DeclinesOf(mDecisions.Dump()) },
    { "decisions", mDecisions.Dump() },
  };
}

} // namespace bronzering

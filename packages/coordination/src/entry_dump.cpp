#include "entry_state.h"

#include <boost/json.hpp>

namespace bronzering {

auto entry_node::state::Dump(instant aNow) const -> boost::json::value
{
  return boost::json::object{ { "role", kProcessRoleNames.NameOf(process_role::Entry) },
                              { "vm", mSettings.mIdentity.mVm },
                              { "zone", mSettings.mIdentity.mAvailabilityZone },
                              { "draining", mDraining },
                              { "configuration", mConfigExchange.Dump(aNow) },
                              { "configuration_reader", mWatching.value_or(false) },
                              { "endpoints", DumpEndpoints(aNow) },
                              { "sessions", DumpSessions() },
                              { "waiting", DumpWaiting() },
                              { "limits",
                                boost::json::object{ { "leases", mLeases.Dump(aNow) },
                                                     { "owned", mOwner.Dump(aNow) } } },
                              { "retry_allowance", mRetryBudget.Allowance() },
                              { "decisions", mLog.Dump() } };
}

auto entry_node::state::DumpEndpoints(instant aNow) const -> boost::json::value
{
  // Combine the endpoints known from the configuration, the VM list and sessions, with a field for
  // each source.
  auto endpoints = boost::json::object{};
  const auto entryOf = [&](const std::string& aName) -> boost::json::object& {
    auto& item = endpoints[aName];
    if (!item.is_object()) {
      item = boost::json::object{ { "configured", false },
                                  { "listed", nullptr },
                                  { "session", nullptr } };
    }
    return item.as_object();
  };
  if (const auto* config = mDirectory.Config()) {
    for (const auto& [name, endpoint] : config->mEndpoints) {
      entryOf(name)["configured"] = true;
    }
  }
  for (const auto& entry : mMembers.List()) {
    if (entry.mRole == process_role::Agent) {
      entryOf(entry.mEndpoint)["listed"] =
        boost::json::object{ { "vm", entry.mVm }, { "state", kVmStateNames.NameOf(entry.mState) } };
    }
  }
  const auto agents = mAgents.Dump(aNow);
  for (const auto& [name, agent] : agents.as_object()) {
    entryOf(std::string(name))["session"] = agent;
  }
  return endpoints;
}

auto entry_node::state::DumpSessions() const -> boost::json::value
{
  auto sessions = boost::json::array{};
  for (const auto& [peer, session] : mMembers.Sessions()) {
    sessions.push_back(
      boost::json::object{ { "session", peer.mValue },
                           { "role", kProcessRoleNames.NameOf(session.mIdentity.mRole) },
                           { "vm", session.mIdentity.mVm },
                           { "zone", session.mIdentity.mAvailabilityZone },
                           { "endpoint", session.mIdentity.mEndpoint },
                           { "opened_to", session.mListed },
                           { "silent", session.mSilent },
                           { "leaving", session.mLeaving } });
  }
  return sessions;
}

auto entry_node::state::DumpWaiting() const -> boost::json::value
{
  auto byOrganisation = boost::json::object{};
  for (const auto& [organisation, count] : mWaiting.CountsByOrganisation()) {
    byOrganisation[organisation] = count;
  }
  auto byTier = boost::json::object{};
  for (const auto& [rank, count] : mWaiting.CountsByRank()) {
    byTier[std::to_string(rank)] = count;
  }
  if (const auto* config = mDirectory.Config()) {
    for (const auto& [name, tier] : config->mTiers) {
      if (const auto* count = byTier.if_contains(std::to_string(tier.mRank))) {
        byTier[name] = *count;
        byTier.erase(std::to_string(tier.mRank));
      }
    }
  }
  auto byState = boost::json::object{};
  for (const auto& [id, request] : mRequests) {
    auto& count = byState[kRequestStateNames.NameOf(request->mLifecycle.State())];
    count = count.is_null() ? 1 : count.to_number<std::int64_t>() + 1;
  }
  return boost::json::object{ { "tiers", std::move(byTier) },
                              { "organisations", std::move(byOrganisation) },
                              { "requests_by_state", std::move(byState) } };
}

} // namespace bronzering

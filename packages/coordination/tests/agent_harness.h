#pragma once

#include <bronzering/base.h>
#include <bronzering/coordination.h>

#include <boost/json.hpp>

#include <stdexcept>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace bronzering {

inline constexpr auto kEntry = peer_id{ 1 };
inline constexpr auto kOtherEntry = peer_id{ 2 };

/// One model endpoint e1 of two slots, and plain endpoints s1 and s2 of which aShops exist.
inline auto AgentDocument(int aShops = 1, const std::string& aModel = "") -> std::string
{
  auto text = std::string(R"(format: 1
sections:
  all:
    owner: tests
    tiers:
      gold: { rank: 0, first_token: 360ms, inter_token: 36ms, timeout: 10s }
      iron: { rank: 1, first_token: 1s, inter_token: 50ms, timeout: 10s }
    limits:
      weights: { scope: weight_store, unit: bytes, rate: 4000, burst: 2000 }
    services:
      lamps: { kind: model, model: lamps }
      stock: { kind: plain, path: /stock }
      orders: { kind: plain, path: /orders, idempotent: false, idempotency_window: 2h }
    endpoints:
      e1: { kind: model, services: [lamps], max_concurrency: 2, kv_tokens: 1000, prefill_rate: 5000, step_time: 20ms)");
  text += aModel + " }\n";
  for (auto shop = 1; shop <= aShops; ++shop) {
    text += "      s" + std::to_string(shop) +
            ": { kind: plain, services: [stock, orders], max_concurrency: 2 }\n";
  }
  return text;
}

/// An agent with two connected entries in virtual time, whose endpoint is up.
class agent_harness
{
public:
  explicit agent_harness(const std::string& aEndpoint = "e1",
                         const std::string& aDocument = AgentDocument())
    : mNode(Settings(aEndpoint), mMetrics)
    , mNow{ time_point(std::chrono::hours(1)), wall_time(std::chrono::hours(480'000)) }
  {
    mNode.OnVmList({ { "agent-vm", process_role::Agent, "z", aEndpoint, "", vm_state::Live } },
                   mNow);
    mNode.OnDocument(revision{ 1 }, aDocument, mNow);
    mNode.OnEngineEvent(engine_health{ true }, mNow);
    mNode.OnPeerUp(kEntry, { process_role::Entry, "entry-1", "z", "", incarnation{ 1 } }, mNow);
    mNode.OnPeerUp(
      kOtherEntry, { process_role::Entry, "entry-2", "z", "", incarnation{ 2 } }, mNow);
    Take();
  }

  static auto Settings(const std::string& aEndpoint) -> agent_settings
  {
    auto settings = agent_settings{};
    settings.mIdentity = { process_role::Agent, "agent-vm", "z", aEndpoint, { 1000ULL << 20U } };
    settings.mMaxTickets = 4;
    return settings;
  }

  static auto Id(std::uint64_t aSequence) -> request_id { return { 1, aSequence }; }

  static auto Ticket(std::uint64_t aSequence,
                     const std::string& aService = "lamps",
                     const std::string& aTier = "gold",
                     std::uint64_t aOutput = 100) -> ticket
  {
    auto made = ticket{};
    made.mRequest = Id(aSequence);
    made.mService = aService;
    made.mOrganisation = "acme";
    made.mTier = aTier;
    made.mPromptTokens = aService == "lamps" ? 100 : 0;
    made.mOutputTokens = aService == "lamps" ? aOutput : 0;
    made.mTimeLeft = std::chrono::seconds(30);
    return made;
  }
  static auto Keyed(std::uint64_t aSequence, std::uint64_t aKey) -> ticket
  {
    auto made = Ticket(aSequence, "orders");
    made.mKey = key_digest{ aKey };
    return made;
  }

  auto Send(peer_message aMessage, peer_id aPeer = kEntry) -> void
  {
    mNode.OnMessage(aPeer, std::move(aMessage), mNow);
    Take();
  }
  auto Engine(engine_event aEvent) -> void
  {
    mNode.OnEngineEvent(std::move(aEvent), mNow);
    Take();
  }
  auto Dispatch(ticket aTicket, grant_id aGrant, peer_id aPeer = kEntry) -> void
  {
    auto message = dispatch{};
    message.mGrant = aGrant;
    message.mTicket = std::move(aTicket);
    Send(std::move(message), aPeer);
  }
  /// Announces and dispatches a request that is granted at once.
  auto Run(const ticket& aTicket, peer_id aPeer = kEntry) -> void
  {
    Send(aTicket, aPeer);
    Dispatch(aTicket, GrantOf(aTicket.mRequest), aPeer);
  }
  /// Ends a request without generating anything.
  auto End(std::uint64_t aSequence) -> void
  {
    Engine(engine_answer_end{ Id(aSequence), 100, 0, 0 });
  }

  /// Lets time pass, running the node's timers when they are due.
  auto Pass(duration aTime) -> void
  {
    const auto end = mNow.mMonotonic + aTime;
    while (true) {
      const auto next = mNode.NextTimer();
      const auto step =
        std::max(duration(1), (next ? std::min(*next, end) : end) - mNow.mMonotonic);
      if (mNow.mMonotonic + step > end || mNow.mMonotonic >= end) {
        break;
      }
      mNow = { mNow.mMonotonic + step, mNow.mWall + step };
      mNode.OnTimer(mNow);
      Take();
      // A timer that stays due would keep a process busy for nothing.
      if (const auto after = mNode.NextTimer(); after && *after <= mNow.mMonotonic) {
        throw std::logic_error("a timer is still due after OnTimer");
      }
    }
  }
  /// Time passes while the process is paused: no timer runs.
  auto Pause(duration aTime) -> void { mNow = { mNow.mMonotonic + aTime, mNow.mWall + aTime }; }

  /// All actions of a kind so far; messages are listed by their own type.
  template<class Kind>
  auto All() const -> std::vector<Kind>
  {
    auto found = std::vector<Kind>{};
    for (const auto& action : mActions) {
      if constexpr (std::is_constructible_v<agent_action, Kind> &&
                    !std::is_constructible_v<peer_message, Kind>) {
        if (const auto* match = std::get_if<Kind>(&action)) {
          found.push_back(*match);
        }
      } else if (const auto* sent = std::get_if<send_message>(&action)) {
        if (const auto* match = std::get_if<Kind>(&sent->mMessage)) {
          found.push_back(*match);
        }
      }
    }
    return found;
  }
  auto GrantOf(request_id aRequest) const -> grant_id
  {
    auto found = grant_id{};
    for (const auto& sent : All<grant>()) {
      found = sent.mRequest == aRequest ? sent.mGrant : found;
    }
    return found;
  }
  auto Granted(std::uint64_t aSequence) const -> bool
  {
    return GrantOf(Id(aSequence)) != grant_id{};
  }
  /// Reasons of the declines of a request.
  auto Declines(std::uint64_t aSequence) const -> std::vector<decline_reason>
  {
    auto reasons = std::vector<decline_reason>{};
    for (const auto& sent : All<decline>()) {
      if (sent.mRequest == Id(aSequence)) {
        reasons.push_back(sent.mReason);
      }
    }
    return reasons;
  }
  auto Submitted(std::uint64_t aSequence) const -> std::size_t
  {
    auto count = std::size_t{ 0 };
    for (const auto& submit : All<submit_to_engine>()) {
      count += submit.mRequest == Id(aSequence) ? 1 : 0;
    }
    return count;
  }
  auto Take() -> void
  {
    for (auto& action : mNode.TakeActions()) {
      mActions.push_back(std::move(action));
    }
  }

  metrics_registry mMetrics;
  agent_node mNode;
  instant mNow;
  std::vector<agent_action> mActions;
};

} // namespace bronzering

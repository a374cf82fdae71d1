#pragma once

#include <bronzering/base.h>
#include <bronzering/coordination.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace bronzering {

inline constexpr auto kGoldDigest =
  std::string_view("a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1");
inline constexpr auto kIronDigest =
  std::string_view("b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2b2");

/// Document of a small fleet: two tiers, a model service on three endpoints, and an idempotent and
/// a non-idempotent plain service on three other endpoints. aLimits is the value of the platform
/// section's `limits`; aShutdown is appended to the model service.
inline auto FleetDocument(std::string_view aLimits = "{}", std::string_view aShutdown = "")
  -> std::string
{
  auto text = std::string(R"(format: 1
sections:
  platform:
    owner: platform
    tiers:
      gold: { rank: 0, first_token: 360ms, inter_token: 36ms, timeout: 10s }
      iron: { rank: 1, first_token: 1s, inter_token: 50ms, timeout: 10s }
    routing: { initial_candidates: 2, agents_per_service: 32, widen_after: 20ms, cross_zone_penalty: 5ms, retry_ratio: 0.1 }
    limits: )");
  text.append(aLimits).append(R"(
  teams:
    owner: teams
    services:
      lamps: { kind: model, model: lamps)");
  text.append(aShutdown).append(R"( }
      stock: { kind: plain, path: /stock }
      orders: { kind: plain, path: /orders, idempotent: false, idempotency_window: 2h }
    endpoints:
      e1: { kind: model, services: [lamps], generation: 1, fencing: checked, max_concurrency: 8, kv_tokens: 100000, prefill_rate: 5000, step_time: 20ms }
      e2: { kind: model, services: [lamps], generation: 1, fencing: checked, max_concurrency: 8, kv_tokens: 100000, prefill_rate: 5000, step_time: 20ms }
      e3: { kind: model, services: [lamps], generation: 1, fencing: checked, max_concurrency: 8, kv_tokens: 100000, prefill_rate: 5000, step_time: 20ms }
      s1: { kind: plain, services: [stock, orders], max_concurrency: 8 }
      s2: { kind: plain, services: [stock, orders], max_concurrency: 8 }
      s3: { kind: plain, services: [stock, orders], max_concurrency: 8 }
  callers:
    owner: sales
    organisations:
      acme:
        callers:
          web: { tier: gold, services: [lamps, stock, orders], tokens: [)");
  text.append(kGoldDigest).append(R"(] }
      bulk:
        callers:
          batch: { tier: iron, services: [lamps, stock], tokens: [)");
  text.append(kIronDigest).append("] }\n");
  return text;
}

/// Runs one entry_node in virtual time. Actions are collected until they are taken by type.
class entry_harness
{
public:
  explicit entry_harness(std::string aDocument = FleetDocument(),
                         entry_settings aSettings = DefaultSettings())
    : mNode(std::move(aSettings), mMetrics)
  {
    mNode.OnVmList({}, mNow);
    mNode.OnDocument({ 1 }, aDocument, mNow);
    Collect();
  }

  static auto DefaultSettings() -> entry_settings
  {
    auto settings = entry_settings{};
    settings.mIdentity = { process_role::Entry, "entry-1", "zone-a", {}, { 77 } };
    settings.mSeed = 1;
    return settings;
  }

  auto Advance(duration aTime) -> void
  {
    const auto end = mNow.mMonotonic + aTime;
    while (mNode.NextTimer() && *mNode.NextTimer() <= end) {
      const auto step = std::max(duration::zero(), *mNode.NextTimer() - mNow.mMonotonic);
      Shift(step);
      mNode.OnTimer(mNow);
    }
    Shift(end - mNow.mMonotonic);
    Collect();
  }

  auto ConnectAgent(std::string aEndpoint, std::string aZone = "zone-a") -> peer_id
  {
    const auto peer = peer_id{ ++mLastPeer };
    mNode.OnPeerUp(
      peer,
      { process_role::Agent, "vm-" + aEndpoint, std::move(aZone), aEndpoint, { mLastPeer } },
      "",
      mNow);
    Collect();
    return peer;
  }

  auto ConnectEntry(std::string aVm) -> peer_id
  {
    const auto peer = peer_id{ ++mLastPeer };
    mNode.OnPeerUp(
      peer, { process_role::Entry, std::move(aVm), "zone-a", {}, { mLastPeer } }, "", mNow);
    Collect();
    return peer;
  }

  auto DeliverMessage(peer_id aPeer, peer_message aMessage) -> void
  {
    mNode.OnMessage(aPeer, std::move(aMessage), mNow);
    Collect();
  }

  /// Sends a model request, or a plain request if a target is given. The default caller is of the
  /// gold tier.
  auto SubmitRequest(std::string aTarget = {},
                     std::string aKey = {},
                     std::string_view aDigest = kGoldDigest) -> exchange_id
  {
    auto request = caller_request{};
    request.mExchange = { ++mLastExchange };
    request.mTokenDigest = aDigest;
    request.mModel = aTarget.empty() ? "lamps" : "";
    request.mMethod = "POST";
    request.mTarget = aTarget.empty() ? "/v1/completions" : std::move(aTarget);
    request.mBody = "secret-content";
    request.mPromptTokens = request.mModel.empty() ? 0 : 100;
    request.mOutputTokens = request.mModel.empty() ? 0 : 50;
    request.mIdempotencyKey = std::move(aKey);
    return SubmitRequest(std::move(request));
  }
  auto SubmitRequest(caller_request aRequest) -> exchange_id
  {
    const auto exchange = aRequest.mExchange;
    mNode.OnRequest(std::move(aRequest), mNow);
    Collect();
    return exchange;
  }

  /// Removes and returns all actions of one type, in order.
  template<class Action>
  auto Take() -> std::vector<Action>
  {
    auto taken = std::vector<Action>{};
    std::erase_if(mActions, [&](entry_action& aAction) {
      if (auto* action = std::get_if<Action>(&aAction)) {
        taken.push_back(std::move(*action));
        return true;
      }
      return false;
    });
    return taken;
  }

  /// Removes and returns all messages of one type with their receivers, in order.
  template<class Message>
  auto TakeSent() -> std::vector<std::pair<peer_id, Message>>
  {
    auto taken = std::vector<std::pair<peer_id, Message>>{};
    std::erase_if(mActions, [&](entry_action& aAction) {
      auto* send = std::get_if<send_message>(&aAction);
      auto* message = send == nullptr ? nullptr : std::get_if<Message>(&send->mMessage);
      if (message == nullptr) {
        return false;
      }
      taken.emplace_back(send->mPeer, std::move(*message));
      return true;
    });
    return taken;
  }

  auto Collect() -> void
  {
    for (auto& action : mNode.TakeActions()) {
      mActions.push_back(std::move(action));
    }
  }

  metrics_registry mMetrics;
  instant mNow{ time_point(std::chrono::hours(1)), wall_time(std::chrono::hours(24 * 365 * 50)) };
  entry_node mNode;
  std::vector<entry_action> mActions;
  std::uint64_t mLastPeer = 0;
  std::uint64_t mLastExchange = 0;

private:
  auto Shift(duration aTime) -> void
  {
    mNow.mMonotonic += aTime;
    mNow.mWall += aTime;
  }
};

/// A grant with the given id for the request.
inline auto GrantFor(request_id aRequest, std::uint64_t aNumber) -> grant
{
  return { aRequest, { aNumber }, std::chrono::seconds(1), 0 };
}

} // namespace bronzering

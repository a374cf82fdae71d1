#pragma once

#include <bronzering/base/time.h>
#include <bronzering/config/fleet_config.h>
#include <bronzering/coordination/agent_node.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace bronzering {

/// Makes an engine load the model version and adapters that the configuration lists, one command at
/// a time: leases the bytes to be loaded from the weight store's budget, waits for the engine to be
/// idle before the model is replaced, sends the command, and waits until the engine's load report
/// confirms the result. Owned by the agent's control thread; not thread-safe.
class model_reconciler
{
public:
  /// aBudget is the weight store's budget; null if loads are not limited.
  auto Configure(const endpoint_config& aEndpoint, const limit_config* aBudget) -> void;
  /// The engine's report of what it has loaded.
  auto OnLoadReport(const engine_load& aReport) -> void;
  /// A reply to a lease request, possibly for another budget.
  auto OnLease(const lease_grant& aLease, time_point aNow) -> void;
  auto OnResult(const engine_command_result& aResult, time_point aNow) -> void;
  /// The engine has restarted: what it has loaded is unknown until its next report.
  auto OnRestart() -> void;

  struct needs_lease
  {
    std::string mBudget;
    double mAmount = 0;
  };
  struct needs_command
  {
    engine_command_kind mKind = engine_command_kind::LoadModel;
    std::string mArgument;
  };
  using step = std::variant<std::monostate, needs_lease, needs_command>;
  /// The step to take now. A command must be sent with a new fencing token, which is then passed to
  /// OnCommand.
  auto NextStep(time_point aNow, bool aEngineIdle) -> step;
  auto OnCommand(std::uint64_t aFencingToken, time_point aNow) -> void;

  /// Whether no request may be started, because the model is about to be replaced or being
  /// replaced.
  [[nodiscard]] auto BlocksNewWork() const -> bool;
  [[nodiscard]] auto NextTimer() const -> std::optional<time_point>;
  /// Name of the current phase, for the state dump.
  [[nodiscard]] auto Phase() const -> std::string_view;

private:
  enum class phase
  {
    Settled,
    Leasing,
    WaitingForIdle,
    CommandSent,
    Accepted
  };
  /// The next command needed: the model version first, then adapters.
  [[nodiscard]] auto NextCommand() const -> std::optional<needs_command>;
  [[nodiscard]] auto BytesOf(const needs_command& aCommand) const -> double;
  auto Reset() -> void;

  std::string mWantedVersion;
  std::set<std::string> mWantedAdapters;
  double mWeightBytes = 0;
  std::string mBudget;
  /// Largest amount requested in one lease.
  double mLeaseBytes = 0;
  std::optional<std::string> mLoadedVersion;
  std::set<std::string> mLoadedAdapters;

  phase mPhase = phase::Settled;
  std::optional<needs_command> mTarget;
  double mLeased = 0;
  std::uint64_t mToken = 0;
  /// In Settled and Leasing, the time of the next attempt. In CommandSent and Accepted, the time at
  /// which the command is given up.
  std::optional<time_point> mWakeAt;
};

} // namespace bronzering

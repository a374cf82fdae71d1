#pragma once

#include <bronzering/coordination/messages.h>

#include <memory>

namespace bronzering {

/// State machine for the lifecycle of an endpoint as seen by its agent. Draining is final: a
/// drained endpoint never serves again in the same process. Owned by the agent's control thread;
/// not thread-safe.
class endpoint_lifecycle
{
public:
  endpoint_lifecycle();
  ~endpoint_lifecycle();
  endpoint_lifecycle(const endpoint_lifecycle&) = delete;
  auto operator=(const endpoint_lifecycle&) -> endpoint_lifecycle& = delete;

  /// The endpoint is configured and passes its health check.
  auto OnUp() -> void;
  /// The endpoint fails its health check or is not configured.
  auto OnDown() -> void;
  /// The agent accepts no new work from now on.
  auto OnDrain() -> void;
  /// The last dispatched request of a draining endpoint has ended.
  auto OnIdle() -> void;

  /// An endpoint that is down is reported as Starting.
  [[nodiscard]] auto State() const -> agent_state;

private:
  struct machine;
  std::unique_ptr<machine> mMachine;
};

} // namespace bronzering

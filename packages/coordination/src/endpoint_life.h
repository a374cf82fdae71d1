#pragma once

#include <bronzering/coordination/messages.h>

#include <memory>

namespace bronzering {

/// Life cycle of an endpoint as its agent sees it. Draining is final: a drained endpoint never
/// serves again in the same process. Owned by the agent's control thread; not thread-safe.
class endpoint_life
{
public:
  endpoint_life();
  ~endpoint_life();
  endpoint_life(const endpoint_life&) = delete;
  auto operator=(const endpoint_life&) -> endpoint_life& = delete;

  /// The endpoint is configured and answers its health check.
  auto OnUp() -> void;
  /// The endpoint does not answer, or the configuration no longer lists it.
  auto OnDown() -> void;
  /// No new work from now on.
  auto OnDrain() -> void;
  /// The last dispatched request of a draining endpoint has ended.
  auto OnIdle() -> void;

  /// Starting also stands for an endpoint that is down.
  [[nodiscard]] auto State() const -> agent_state;

private:
  struct machine;
  std::unique_ptr<machine> mMachine;
};

} // namespace bronzering

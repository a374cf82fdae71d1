#pragma once

#include <bronzering/base/name_table.h>

#include <memory>

namespace bronzering {

enum class request_state
{
  AwaitingLimits,
  Waiting,
  BackingOff,
  Dispatched,
  Answering,
  Ended
};
inline constexpr auto kRequestStateNames =
  name_table<request_state, 6>{ { { { request_state::AwaitingLimits, "awaiting_limits" },
                                    { request_state::Waiting, "waiting" },
                                    { request_state::BackingOff, "backing_off" },
                                    { request_state::Dispatched, "dispatched" },
                                    { request_state::Answering, "answering" },
                                    { request_state::Ended, "ended" } } } };

enum class request_event
{
  /// All limits that apply to the request were charged.
  Admitted,
  /// The body was sent to an agent.
  Dispatched,
  /// The agent confirmed that the dispatched request was not executed.
  Declined,
  /// The backoff before a retry has expired.
  RetryDue,
  /// The head of the answer was received and forwarded to the caller.
  HeadReceived,
  /// The request was answered, refused, aborted or abandoned.
  Closed
};

/// State machine of one request at its entry. It alone decides whether the request may be
/// dispatched and whether a refusal may state that the request was not executed. Owned by the
/// request; used on the control thread only.
class request_lifecycle
{
public:
  request_lifecycle();
  ~request_lifecycle();
  request_lifecycle(const request_lifecycle&) = delete;
  auto operator=(const request_lifecycle&) -> request_lifecycle& = delete;

  /// Applies the event. Returns false and leaves the state unchanged if the event is not allowed in
  /// the current state.
  [[nodiscard]] auto Process(request_event aEvent) -> bool;
  [[nodiscard]] auto State() const -> request_state;
  /// Whether no agent can have executed the request: it was never dispatched, or the agent
  /// confirmed for every dispatch that it was not executed.
  [[nodiscard]] auto ProvablyNotRun() const -> bool;

private:
  struct machine;
  std::unique_ptr<machine> mMachine;
};

} // namespace bronzering

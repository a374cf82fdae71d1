#pragma once

#include <csignal>

namespace bronzering {

/// Blocks the termination signals, so that WaitForStop receives them, and ignores SIGPIPE. Must be
/// called before any thread is started, since threads inherit the signal mask.
inline auto BlockStopSignals() -> sigset_t
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

/// Waits for SIGINT or SIGTERM.
inline auto WaitForStop(const sigset_t& aSignals) -> void
{
  int signal = 0;
  sigwait(&aSignals, &signal);
}

} // namespace bronzering

#pragma once

#include <bronzering/config/process_settings.h>

#include <functional>
#include <string>
#include <vector>

namespace bronzering {

/// What distinguishes one daemon's command line from another's.
struct daemon_program
{
  /// Name of the binary.
  std::string mName;
  std::string mDescription;
  std::vector<setting_flag> mFlags;
  std::function<std::vector<setting_problem>(const settings_input&)> mCheckSettings;
  /// Runs the daemon with settings that have no problems; returns the exit code.
  std::function<int(const settings_input&)> mRun;
};

/// Runs `run`, `check`, `dump` or `explain` as the command line says. Returns the exit code: 0 on
/// success, 1 on failure or when a checked file has problems, and other values for a malformed
/// command line.
[[nodiscard]] auto RunCommandLine(const daemon_program& aProgram, int aCount, char** aArguments)
  -> int;

} // namespace bronzering

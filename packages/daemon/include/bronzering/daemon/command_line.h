#pragma once

#include <bronzering/config/process_settings.h>

#include <functional>
#include <string>
#include <vector>

namespace bronzering {

/// Parameters of a daemon's command line.
struct daemon_program
{
  /// Name of the binary.
  std::string mName;
  std::string mDescription;
  std::vector<setting_flag> mFlags;
  std::function<std::vector<setting_problem>(const settings_input&)> mCheckSettings;
  /// Runs the daemon with valid settings; returns the exit code.
  std::function<int(const settings_input&)> mRun;
};

/// Runs the subcommand `run`, `check`, `dump` or `explain`. Returns the exit code: 0 on success, 1
/// on failure or if a checked file has problems, and other values for an invalid command line.
[[nodiscard]] auto RunCommandLine(const daemon_program& aProgram, int aCount, char** aArguments)
  -> int;

} // namespace bronzering

#pragma once

#include <bronzering/base/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// Settings common to both daemons. Addresses are numeric, "address:port" or "[address]:port".
struct process_settings
{
  std::string mVm;
  std::string mAvailabilityZone;
  std::string mPeerListen;
  std::string mOperatorListen = "127.0.0.1:9100";
  std::string mConfigurationService;
  std::string mVmList;
  /// Secret shared by all processes of the fleet. Never logged or printed.
  std::string mPresharedKey;
  std::size_t mTrafficThreads = 2;
  /// Maximum number of accepted connections: from callers at entries, from peers at agents.
  std::size_t mMaxConnections = 8192;
};

struct entry_process_settings
{
  process_settings mProcess;
  std::string mCallerListen;
  std::size_t mMaxHeaderBytes = std::size_t{ 16 } * 1024;
  std::size_t mMaxBodyBytes = std::size_t{ 4 } * 1024 * 1024;
  /// Maximum number of requests waiting for a grant, in total and per organisation.
  std::size_t mMaxWaiting = 10'000;
  std::size_t mMaxWaitingPerOrganisation = 4'000;
};

struct agent_process_settings
{
  process_settings mProcess;
  /// Name of the endpoint in the fleet document.
  std::string mEndpoint;
  std::string mEngineAddress;
  /// Local TCP port bound as long as the process sends commands to its engine.
  std::uint16_t mExclusivePort = 0;
  std::size_t mMaxTickets = 100'000;
};

/// One error in the settings of a process.
struct setting_problem
{
  /// "settings file, line 3", "environment" or "command line".
  std::string mSource;
  std::string mName;
  std::string mFound;
  std::string mExpected;
};

/// Formats a problem as one line.
[[nodiscard]] auto ToString(const setting_problem& aProblem) -> std::string;

/// Sources of the settings. Flags override the environment, which overrides the file.
struct settings_input
{
  /// Content of the settings file: a YAML mapping of names to values.
  std::optional<std::string> mFile;
  /// Environment variables whose names start with BRONZERING_, with their values.
  std::map<std::string, std::string> mEnvironment;
  /// Flag values by setting name.
  std::map<std::string, std::string> mFlags;
};

/// Settings of one daemon; usable only if mProblems is empty.
template<class Settings>
struct loaded_settings
{
  Settings mSettings;
  std::vector<setting_problem> mProblems;
};

/// A setting that can be given on the command line.
struct setting_flag
{
  std::string mName;
  std::string mDescription;
};

/// Return the settings of a daemon that have flags. The pre-shared key has none, because other
/// users of the machine can read the command lines of processes.
[[nodiscard]] auto EntryFlags() -> std::vector<setting_flag>;
[[nodiscard]] auto AgentFlags() -> std::vector<setting_flag>;

/// Read and validate all settings, including the pre-shared key file, and report every problem.
/// Never throw; thread-safe.
[[nodiscard]] auto LoadEntrySettings(const settings_input& aInput)
  -> loaded_settings<entry_process_settings>;
[[nodiscard]] auto LoadAgentSettings(const settings_input& aInput)
  -> loaded_settings<agent_process_settings>;

/// Returns the environment variables of this process that can contain settings. Not thread-safe:
/// call before other threads start.
[[nodiscard]] auto ReadSettingsEnvironment() -> std::map<std::string, std::string>;

/// Reads a file of at most aMaxBytes. Returns nullopt if it is longer or cannot be read.
/// Thread-safe.
[[nodiscard]] auto ReadTextFile(const std::string& aPath, std::size_t aMaxBytes)
  -> std::optional<std::string>;

/// Numeric address and port, parsed from "address:port" or "[address]:port".
struct socket_address
{
  std::string mAddress;
  std::uint16_t mPort = 0;
};
[[nodiscard]] auto ParseSocketAddress(std::string_view aText) -> std::optional<socket_address>;

} // namespace bronzering

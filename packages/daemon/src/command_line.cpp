#include <bronzering/daemon/command_line.h>

#include <bronzering/base/errors.h>
#include <bronzering/config/config_store.h>
#include <bronzering/daemon/state_table.h>
#include <bronzering/log/log_query.h>
#include <bronzering/net/operator_server.h>

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <CLI/CLI.hpp>

#include <algorithm>
#include <iostream>

namespace bronzering {

namespace {

// Same as the project version in the top-level CMakeLists.txt.
constexpr auto kVersion = "0.1.0";
// Limit for reading fleet documents and settings files. Larger than the longest valid one of either
// kind, so that their validation can report a file that is too long.
constexpr auto kMaxInputFileBytes = std::size_t{ 4 } * 1024 * 1024;
// Maximum time for each of connecting to a process, requesting its state and reading the response.
constexpr auto kDumpTimeout = duration(std::chrono::seconds(5));

/// Parsed options of all subcommands.
struct command_options
{
  /// Value of "run --settings": path of the settings file.
  std::string mSettingsFile;
  std::map<std::string, std::string> mFlags;
  std::string mFileToCheck;
  /// Flag "check --settings", which has no value: mFileToCheck is a settings file rather than a
  /// fleet document.
  bool mChecksSettings = false;
  std::string mDumpAddress;
  bool mDumpsJson = false;
  std::string mRequest;
  std::vector<std::string> mLogFiles;
};

auto Fail(const std::string& aText) -> int
{
  std::cerr << aText << '\n';
  return EXIT_FAILURE;
}

template<class Problem>
auto PrintProblems(const std::vector<Problem>& aProblems) -> int
{
  for (const auto& problem : aProblems) {
    std::cerr << ToString(problem) << '\n';
  }
  return aProblems.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

auto Check(const daemon_program& aProgram, const command_options& aOptions) -> int
{
  auto text = ReadTextFile(aOptions.mFileToCheck, kMaxInputFileBytes);
  if (!text) {
    return Fail("cannot read " + aOptions.mFileToCheck);
  }
  const auto result =
    aOptions.mChecksSettings
      ? PrintProblems(aProgram.mCheckSettings({ std::move(text), ReadSettingsEnvironment(), {} }))
      : PrintProblems(CheckDocument(*text));
  if (result == EXIT_SUCCESS) {
    std::cout << aOptions.mFileToCheck << ": valid\n";
  }
  return result;
}

auto Dump(const command_options& aOptions) -> int
{
  return boost::leaf::try_handle_all(
    [&]() -> outcome<int> {
      BOOST_LEAF_AUTO(text, FetchFromOperator(aOptions.mDumpAddress, "/state", kDumpTimeout));
      auto error = boost::json::error_code();
      const auto state = boost::json::parse(text, error);
      if (error) {
        return boost::leaf::new_error(
          malformed_input{ "the response of the operator server is not valid JSON" });
      }
      std::cout << (aOptions.mDumpsJson ? text + "\n" : FormatState(state));
      return EXIT_SUCCESS;
    },
    [](const io_failure& aFailure) { return Fail(aFailure.mWhat); },
    [](const malformed_input& aInput) { return Fail(aInput.mWhat); },
    [] { return Fail("cannot read the state of the process"); });
}

auto Explain(const command_options& aOptions) -> int
{
  return boost::leaf::try_handle_all(
    [&]() -> outcome<int> {
      BOOST_LEAF_AUTO(text, ExplainFromFiles(aOptions.mRequest, aOptions.mLogFiles));
      std::cout << text;
      return EXIT_SUCCESS;
    },
    [](const io_failure& aFailure) { return Fail(aFailure.mWhat); },
    [] { return Fail("cannot read the log files"); });
}

auto RunDaemon(const daemon_program& aProgram, const command_options& aOptions) -> int
{
  auto input = settings_input{ std::nullopt, ReadSettingsEnvironment(), aOptions.mFlags };
  if (!aOptions.mSettingsFile.empty()) {
    input.mFile = ReadTextFile(aOptions.mSettingsFile, kMaxInputFileBytes);
    if (!input.mFile) {
      return Fail("cannot read " + aOptions.mSettingsFile);
    }
  }
  const auto problems = aProgram.mCheckSettings(input);
  if (!problems.empty()) {
    return PrintProblems(problems);
  }
  return aProgram.mRun(input);
}

} // namespace

auto RunCommandLine(const daemon_program& aProgram, int aCount, char** aArguments) -> int
{
  auto options = command_options();
  const auto& name = aProgram.mName;
  auto app = CLI::App(aProgram.mDescription, name);
  app.set_version_flag("--version", name + " " + kVersion);
  app.require_subcommand(1);
  app.footer("Examples:\n  " + name + " run --settings /etc/" + name + ".yaml\n  " + name +
             " check docs/examples/workshop.yaml\n  " + name + " check --settings /etc/" + name +
             ".yaml\n  " + name +
             " dump 127.0.0.1:9100 --json\n\n"
             "Settings are read from the settings file, from environment variables such as\n"
             "BRONZERING_VM, and from flags, in order of increasing precedence. The\n"
             "pre-shared key is read from preshared_key_file, or from preshared_key in the\n"
             "settings file or the environment.");

  // A draining daemon accepts no new work and exits when the work that it has is finished.
  auto* run = app.add_subcommand("run", "Run the daemon until SIGTERM, then drain it");
  run->add_option("--settings", options.mSettingsFile, "YAML file with settings");
  for (const auto& flag : aProgram.mFlags) {
    auto dashed = "--" + flag.mName;
    std::replace(dashed.begin(), dashed.end(), '_', '-');
    run->add_option_function<std::string>(
      dashed,
      [&options, key = flag.mName](const std::string& aValue) { options.mFlags[key] = aValue; },
      flag.mDescription);
  }
  auto* check = app.add_subcommand("check", "Print every problem of a fleet document");
  check->add_option("FILE", options.mFileToCheck, "File to check")->required();
  check->add_flag(
    "--settings", options.mChecksSettings, "Check the file as settings of this daemon instead");
  auto* dump = app.add_subcommand("dump", "Print the state of a running process");
  dump->add_option("ADDRESS", options.mDumpAddress, "address:port of its operator interface")
    ->required();
  dump->add_flag("--json", options.mDumpsJson, "Print JSON instead of tables");

  auto* explain =
    app.add_subcommand("explain", "Print a request's path through the fleet from log files");
  explain->add_option("REQUEST", options.mRequest, "Id of the request")->required();
  explain->add_option("FILE", options.mLogFiles, "Logs of all entries and agents")->required();

  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& aError) {
    return app.exit(aError);
  }
  if (check->parsed()) {
    return Check(aProgram, options);
  }
  if (explain->parsed()) {
    return Explain(options);
  }
  return dump->parsed() ? Dump(options) : RunDaemon(aProgram, options);
}

} // namespace bronzering

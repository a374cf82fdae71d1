#include <bronzering/config.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <unistd.h>

#include <cstdio>
#include <fstream>

using namespace bronzering;

namespace {

constexpr auto kEntryFile = R"(vm: vm-1
availability_zone: zone-a
peer_listen: 10.0.0.1:7000
caller_listen: 0.0.0.0:8080
configuration_service: 10.0.9.1:7100
vm_list: "[fd00::1]:7200"
preshared_key: 0123456789abcdef
)";
constexpr auto kAgentFile = R"(vm: vm-2
availability_zone: zone-a
peer_listen: 10.0.0.2:7000
configuration_service: 10.0.9.1:7100
vm_list: 10.0.9.2:7200
preshared_key: 0123456789abcdef
endpoint: engine-1
engine_address: 127.0.0.1:9000
exclusive_port: 9700
)";

auto Join(const std::vector<setting_problem>& aProblems) -> std::string
{
  auto text = std::string();
  for (const auto& problem : aProblems) {
    text += ToString(problem) + "\n";
  }
  return text;
}

} // namespace

TEST_CASE("flags override the environment, which overrides the settings file", "[settings]")
{
  auto input = settings_input{ kEntryFile, {}, {} };
  auto loaded = LoadEntrySettings(input);
  CHECK(Join(loaded.mProblems).empty());
  CHECK(loaded.mSettings.mProcess.mTrafficThreads == 2);
  CHECK(loaded.mSettings.mProcess.mVmList == "[fd00::1]:7200");

  input.mEnvironment = { { "BRONZERING_TRAFFIC_THREADS", "3" }, { "BRONZERING_VM", "vm-env" } };
  input.mFlags = { { "vm", "vm-flag" } };
  loaded = LoadEntrySettings(input);
  CHECK(Join(loaded.mProblems).empty());
  CHECK(loaded.mSettings.mProcess.mTrafficThreads == 3);
  CHECK(loaded.mSettings.mProcess.mVm == "vm-flag");

  const auto agent = LoadAgentSettings({ kAgentFile, {}, {} });
  CHECK(Join(agent.mProblems).empty());
  CHECK(agent.mSettings.mExclusivePort == 9700);
}

// A typing error in a setting must prevent the start instead of selecting a default.
TEST_CASE("every invalid setting is reported with its source", "[settings]")
{
  const auto file = std::string(kEntryFile);
  const auto problemsOf = [](settings_input aInput) {
    return Join(LoadEntrySettings(aInput).mProblems);
  };
  CHECK(problemsOf({ file + "colour: red\n", {}, {} }) ==
        "settings file, line 8, colour: found an unknown setting, expected a setting of this "
        "process\n");
  CHECK(problemsOf({ file + "vm: vm-2\n", {}, {} }).find("a second value") != std::string::npos);
  CHECK(problemsOf({ file + "max_waiting: [1]\n", {}, {} }).find("a list") != std::string::npos);
  CHECK(problemsOf({ file + "endpoint: engine-1\n", {}, {} }).find("endpoint") !=
        std::string::npos);
  CHECK(
    problemsOf({ file, { { "BRONZERING_VMM", "x" } }, {} }).find("environment, BRONZERING_VMM") !=
    std::string::npos);
  CHECK(problemsOf({ file, {}, { { "traffic_threads", "0" } } }) ==
        "command line, traffic_threads: found \"0\", expected a whole number from 1 to 64\n");
  CHECK(problemsOf({ file + "max_waiting: 5\n", {}, {} }).find("at most max_waiting, 5") !=
        std::string::npos);
  for (const auto* address : { "localhost:80",
                               "10.0.0.1",
                               "10.0.0.1:",
                               ":80",
                               "10.0.0.1:0",
                               "10.0.0.1:65536",
                               "fd00::1:80",
                               "10.0.0.1:8x" }) {
    INFO(address);
    CHECK_FALSE(problemsOf({ file, {}, { { "vm_list", address } } }).empty());
  }

  const auto nothing = LoadAgentSettings({ std::nullopt, {}, {} });
  INFO(Join(nothing.mProblems));
  CHECK(nothing.mProblems.size() == 9);
}

// Other users can read the command line of a process, and logs are stored; neither may reveal the
// key.
TEST_CASE("the pre-shared key is never taken from flags and never shown", "[settings]")
{
  const auto file = std::string(kEntryFile);
  CHECK_FALSE(LoadEntrySettings({ file, {}, { { "preshared_key", "another-secret-value" } } })
                .mProblems.empty());
  for (const auto& flag : EntryFlags()) {
    CHECK(flag.mName != "preshared_key");
  }
  const auto problems =
    LoadEntrySettings({ file, { { "BRONZERING_PRESHARED_KEY", "hunter2" } }, {} });
  REQUIRE(problems.mProblems.size() == 1);
  CHECK(Join(problems.mProblems).find("hunter2") == std::string::npos);
}

TEST_CASE("the pre-shared key can be read from a file", "[settings]")
{
  const auto path = "/tmp/bronzering-settings-test-" + std::to_string(getpid());
  std::ofstream(path) << "a key of more than 16 bytes\n";
  const auto loaded = LoadEntrySettings(
    { std::string(kEntryFile), { { "BRONZERING_PRESHARED_KEY_FILE", path } }, {} });
  CHECK(Join(loaded.mProblems).empty());
  CHECK(loaded.mSettings.mProcess.mPresharedKey == "a key of more than 16 bytes");
  const auto byFlag =
    LoadEntrySettings({ std::string(kEntryFile), {}, { { "preshared_key_file", path } } });
  CHECK(byFlag.mSettings.mProcess.mPresharedKey == "a key of more than 16 bytes");
  std::remove(path.c_str());
  CHECK_FALSE(LoadEntrySettings(
                { std::string(kEntryFile), { { "BRONZERING_PRESHARED_KEY_FILE", path } }, {} })
                .mProblems.empty());
}

TEST_CASE("random settings files never throw", "[settings]")
{
  rc::prop("random bytes", [](const std::string& aBytes) {
    static_cast<void>(LoadEntrySettings({ aBytes, {}, {} }));
    static_cast<void>(LoadAgentSettings({ std::string(kAgentFile) + aBytes, {}, {} }));
  });
}

#include "captured_output.h"

#include <bronzering/daemon.h>

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <catch2/catch.hpp>

#include <array>

using namespace bronzering;

// Guards against two agents that control one engine and could revert each other's model loads.
TEST_CASE("an exclusive port can be held only once at a time", "[daemon]")
{
  const auto acquire = [](std::uint16_t aPort) {
    return boost::leaf::try_handle_all(
      [&]() -> outcome<std::unique_ptr<exclusive_port>> {
        BOOST_LEAF_AUTO(port, exclusive_port::Acquire(aPort));
        return std::make_unique<exclusive_port>(std::move(port));
      },
      [] { return std::unique_ptr<exclusive_port>(); });
  };
  auto first = std::unique_ptr<exclusive_port>();
  auto number = std::uint16_t{ 23500 };
  while (first == nullptr && number < 23600) {
    first = acquire(++number);
  }
  REQUIRE(first != nullptr);
  CHECK(acquire(number) == nullptr);
  first.reset();
  CHECK(acquire(number) != nullptr);
}

TEST_CASE("incarnations increase across restarts", "[daemon]")
{
  const auto first = NewIncarnation();
  CHECK((first.mValue >> 20U) <= (NewIncarnation().mValue >> 20U));
}

TEST_CASE("the state is formatted as lines and tables", "[daemon]")
{
  const auto state = boost::json::parse(
    R"({"role":"entry","ready":true,"agents":[{"name":"a","free":10},{"name":"bc","free":null}],"limits":{"x":1}})");
  CHECK(FormatState(state) == "role   entry\n"
                              "ready  true\n"
                              "agents:\n"
                              "  name  free\n"
                              "  a     10\n"
                              "  bc    -\n"
                              "limits:\n"
                              "  x  1\n");
}

TEST_CASE("a node's decisions are logged with their request", "[daemon]")
{
  auto metrics = metrics_registry();
  auto output = captured_output();
  {
    auto log = node_log("vm-1", metrics);
    auto decisions = std::vector<boost::json::object>();
    decisions.push_back(
      { { "what", "dispatch" }, { "request", "1f" }, { "tier", "gold" }, { "endpoint", "e1" } });
    decisions.push_back({ { "what", "overloaded" }, { "request", "2f" }, { "service", "lamps" } });
    log.WriteDecisions(std::move(decisions));
    log.Write("stopping", { { "open", 2 } });
  }
  const auto text = output.Drain([] {});
  CHECK(text.find(
          R"("process":"vm-1","event":"dispatch","request":"1f","tier":"gold","endpoint":"e1"})") !=
        std::string::npos);
  CHECK(text.find(R"("event":"overloaded","request":"2f","service":"lamps"})") !=
        std::string::npos);
  CHECK(text.find(R"("event":"stopping","open":2})") != std::string::npos);
  CHECK(text.find("what") == std::string::npos);
}

TEST_CASE("check exits non-zero for a missing or invalid file", "[daemon]")
{
  auto program = daemon_program{ "test", "test", {}, {}, {} };
  const auto run = [&](std::vector<std::string> aArguments) {
    auto pointers = std::vector<char*>();
    for (auto& argument : aArguments) {
      pointers.push_back(argument.data());
    }
    return RunCommandLine(program, static_cast<int>(pointers.size()), pointers.data());
  };
  CHECK(run({ "test", "check", "/nonexistent" }) == EXIT_FAILURE);
  CHECK(run({ "test", "check", "/dev/null" }) == EXIT_FAILURE);
  CHECK(run({ "test", "check", BRONZERING_EXAMPLES "/workshop.yaml" }) == EXIT_SUCCESS);
  CHECK(run({ "test", "--version" }) == EXIT_SUCCESS);
  CHECK(run({ "test" }) != EXIT_SUCCESS);
}

#include "captured_output.h"

#include <bronzering/log/event_log.h>

#include <boost/json/parse.hpp>

#include <catch2/catch.hpp>

#include <sstream>
#include <string>
#include <vector>

using namespace bronzering;
using namespace std::chrono_literals;

namespace {

const auto kStart = time_point(1h);

auto CountOf(const std::string& aText, const std::string& aPart) -> std::size_t
{
  auto count = std::size_t{ 0 };
  for (auto at = aText.find(aPart); at != std::string::npos; at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

} // namespace

TEST_CASE("a stalled reader does not block writes, and lines over the rate limit are counted",
          "[event_log]")
{
  auto metrics = metrics_registry();
  auto output = captured_output();
  auto log = std::make_unique<event_log>("vm-1", metrics);

  // Ten times the rate limit, and more bytes than the pipe's buffer.
  constexpr auto kLines = 10 * event_log::kNotableLinesPerSecond;
  const auto padding = std::string(1000, 'x');
  for (auto line = 0U; line < kLines; ++line) {
    log->Write(log_priority::Notable, "refused", { { "padding", padding } }, kStart);
  }
  log->Write(log_priority::Notable, "later", {}, kStart + 1s);

  const auto text = output.Drain([&log] { log.reset(); });
  CHECK(CountOf(text, "\"event\":\"refused\"") == event_log::kNotableLinesPerSecond);
  CHECK(metrics.Counter("bronzering_log_lines_left_out_total").Value() ==
        kLines - event_log::kNotableLinesPerSecond);
  CHECK(CountOf(text,
                "\"event\":\"lines_left_out\",\"count\":" +
                  std::to_string(kLines - event_log::kNotableLinesPerSecond)) == 1);
  CHECK(CountOf(text, "\"event\":\"later\"") == 1);
}

TEST_CASE("a stalled reader does not block the process from exiting", "[event_log]")
{
  auto metrics = metrics_registry();
  auto output = captured_output();
  auto log = std::make_unique<event_log>("vm-1", metrics);
  const auto padding = std::string(1000, 'x');
  for (auto line = 0U; line < event_log::kNotableLinesPerSecond; ++line) {
    log->Write(log_priority::Notable, "refused", { { "padding", padding } }, kStart);
  }
  CHECK(!log->Close(10ms));
  // Every line is still written when the reader resumes.
  const auto text = output.Drain([&log] { CHECK(log->Close(1min)); });
  CHECK(CountOf(text, "\"event\":\"refused\"") == event_log::kNotableLinesPerSecond);
}

TEST_CASE("closing a log with an active reader writes the last line", "[event_log]")
{
  auto metrics = metrics_registry();
  auto output = captured_output();
  auto log = std::make_unique<event_log>("vm-1", metrics);
  log->Write(log_priority::Notable, "stopped", {}, kStart);
  const auto text = output.Drain([&log] { CHECK(log->Close(1min)); });
  CHECK(CountOf(text, "\"event\":\"stopped\"") == 1);
}

TEST_CASE("routine lines do not count towards the rate limit of notable lines", "[event_log]")
{
  auto metrics = metrics_registry();
  auto output = captured_output();
  auto log = std::make_unique<event_log>("vm-1", metrics);
  for (auto line = 0U; line < 2 * event_log::kRoutineLinesPerSecond; ++line) {
    log->Write(log_priority::Routine, "dispatched", {}, kStart);
  }
  log->Write(log_priority::Notable, "refused", { { "request", "r1" } }, kStart);
  const auto text = output.Drain([&log] { log.reset(); });
  CHECK(CountOf(text, "\"event\":\"dispatched\"") == event_log::kRoutineLinesPerSecond);
  CHECK(CountOf(text, "\"process\":\"vm-1\",\"event\":\"refused\",\"request\":\"r1\"") == 1);
}

// A value of an endpoint's header made a line invalid, and tools that read the log dropped it.
TEST_CASE("a line is valid JSON whatever bytes its values have", "[event_log]")
{
  auto metrics = metrics_registry();
  auto output = captured_output();
  auto log = std::make_unique<event_log>("vm-1", metrics);
  const auto valid = std::string("caf\xc3\xa9");
  for (const auto& value : { std::string("\xe9t\xe9 \x01\r\n\""), std::string("\xff\\u"), valid }) {
    log->Write(log_priority::Notable, "seen", { { "value", value } }, kStart);
  }
  auto lines = std::istringstream(output.Drain([&log] { log.reset(); }));
  auto values = std::vector<std::string>();
  for (auto text = std::string(); std::getline(lines, text);) {
    INFO(text);
    auto error = boost::system::error_code();
    const auto line = boost::json::parse(text, error);
    REQUIRE_FALSE(error);
    values.emplace_back(line.at("value").as_string());
  }
  CHECK(values == std::vector<std::string>{ "\xc3\xa9t\xc3\xa9 \x01\r\n\"", "\xc3\xbf\\u", valid });
}

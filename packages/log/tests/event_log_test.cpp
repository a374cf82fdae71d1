#include "captured_output.h"

#include <bronzering/log/event_log.h>

#include <catch2/catch.hpp>

#include <string>

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

TEST_CASE("a reader that stalls delays nothing, and lines over the bound are counted",
          "[event_log]")
{
  auto metrics = metrics_registry();
  auto output = captured_output();
  auto log = std::make_unique<event_log>("vm-1", metrics);

  // Ten times the bound, and more bytes than a pipe holds.
  constexpr auto kLines = 10 * event_log::kNotableLines;
  const auto padding = std::string(1000, 'x');
  for (auto line = 0U; line < kLines; ++line) {
    log->Write(log_priority::Notable, "refused", { { "padding", padding } }, kStart);
  }
  log->Write(log_priority::Notable, "later", {}, kStart + 1s);

  const auto text = output.Drain([&log] { log.reset(); });
  CHECK(CountOf(text, "\"event\":\"refused\"") == event_log::kNotableLines);
  CHECK(metrics.Counter("bronzering_log_lines_left_out_total").Value() ==
        kLines - event_log::kNotableLines);
  CHECK(CountOf(text,
                "\"event\":\"lines_left_out\",\"count\":" +
                  std::to_string(kLines - event_log::kNotableLines)) == 1);
  CHECK(CountOf(text, "\"event\":\"later\"") == 1);
}

TEST_CASE("a stalled reader does not hold up the end of the process", "[event_log]")
{
  auto metrics = metrics_registry();
  auto output = captured_output();
  auto log = std::make_unique<event_log>("vm-1", metrics);
  const auto padding = std::string(1000, 'x');
  for (auto line = 0U; line < event_log::kNotableLines; ++line) {
    log->Write(log_priority::Notable, "refused", { { "padding", padding } }, kStart);
  }
  CHECK(!log->Close(10ms));
  // Every line is still written if the reader comes back.
  const auto text = output.Drain([&log] { CHECK(log->Close(1min)); });
  CHECK(CountOf(text, "\"event\":\"refused\"") == event_log::kNotableLines);
}

TEST_CASE("a log whose reader reads ends with its last line", "[event_log]")
{
  auto metrics = metrics_registry();
  auto output = captured_output();
  auto log = std::make_unique<event_log>("vm-1", metrics);
  log->Write(log_priority::Notable, "stopped", {}, kStart);
  const auto text = output.Drain([&log] { CHECK(log->Close(1min)); });
  CHECK(CountOf(text, "\"event\":\"stopped\"") == 1);
}

TEST_CASE("routine lines do not use up the bound of notable ones", "[event_log]")
{
  auto metrics = metrics_registry();
  auto output = captured_output();
  auto log = std::make_unique<event_log>("vm-1", metrics);
  for (auto line = 0U; line < 2 * event_log::kRoutineLines; ++line) {
    log->Write(log_priority::Routine, "dispatched", {}, kStart);
  }
  log->Write(log_priority::Notable, "refused", { { "request", "r1" } }, kStart);
  const auto text = output.Drain([&log] { log.reset(); });
  CHECK(CountOf(text, "\"event\":\"dispatched\"") == event_log::kRoutineLines);
  CHECK(CountOf(text, "\"process\":\"vm-1\",\"event\":\"refused\",\"request\":\"r1\"") == 1);
}

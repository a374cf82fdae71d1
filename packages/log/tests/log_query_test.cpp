#include <bronzering/log/log_query.h>

#include <boost/leaf/handle_errors.hpp>

#include <catch2/catch.hpp>

#include <sstream>

using namespace bronzering;

TEST_CASE("one request's lines are found in several logs and sorted by time", "[log_query]")
{
  auto first = std::istringstream(
    R"({"unix_ms":1000,"boot_ms":1,"process":"a","event":"dispatched","request":"r1","endpoint":"e1"})"
    "\nnot a log line with r1\n"
    R"({"unix_ms":1010,"process":"a","event":"request_ended","request":"r2"})"
    "\n{broken r1\n");
  auto second = std::istringstream(
    R"(12.5 b {"unix_ms":1234,"boot_ms":9,"process":"b","event":"request_ended","request":"r1","status":503})"
    "\n");
  const auto text = ExplainRequest("r1", { &second, &first });
  CHECK(text == "      +0 ms  a  dispatched: endpoint=e1\n"
                "    +234 ms  b  request_ended: status=503\n");
}

TEST_CASE("files that are missing or do not contain the request are reported", "[log_query]")
{
  const auto problem = [](const std::string& aRequest, const std::vector<std::string>& aPaths) {
    return boost::leaf::try_handle_all([&] { return ExplainFromFiles(aRequest, aPaths); },
                                       [](const io_failure& aFailure) { return aFailure.mWhat; },
                                       [] { return std::string("another error"); });
  };
  CHECK(problem("r1", { "/nowhere/entry.log" }) == "cannot read /nowhere/entry.log");
  CHECK(problem("r1", { "/dev/null" }) == "no log line contains request r1");
}

TEST_CASE("an unknown request has no lines", "[log_query]")
{
  auto log = std::istringstream(R"({"unix_ms":1,"event":"dispatched","request":"r10"})");
  CHECK(ExplainRequest("r1", { &log }).empty());
}

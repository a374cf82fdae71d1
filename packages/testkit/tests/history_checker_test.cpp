#include <bronzering/testkit.h>

#include <catch2/catch.hpp>

using namespace bronzering;
using namespace bronzering::testkit;
using namespace std::chrono_literals;

namespace {

constexpr auto kStart = time_point(1000s);

/// Builds a history event by event.
struct history_builder
{
  history mHistory;
  time_point mNow = kStart;

  auto Add(history_event aEvent, duration aLater = 10ms) -> history_builder&
  {
    mNow += aLater;
    mHistory.push_back({ mNow, std::move(aEvent) });
    return *this;
  }

  auto Check() const -> std::vector<promise>
  {
    auto options = check_options{ .mCheckSpread = true, .mProcesses = { "entry-0" }, .mEnd = mNow };
    options.mEndpoints["engine"] = { .mName = "engine",
                                     .mKind = service_kind::Model,
                                     .mMaxConcurrency = 8,
                                     .mKvTokens = 10'000,
                                     .mPrefillTokensPerSecond = 10'000,
                                     .mStepTime = 20ms };
    auto broken = std::vector<promise>{};
    for (const auto& each : CheckHistory(mHistory, options)) {
      broken.push_back(each.mPromise);
    }
    return broken;
  }
};

auto MakeJob(std::uint64_t aNumber, std::uint32_t aRank = 0) -> job
{
  return { .mExchange = { aNumber },
           .mService = "service",
           .mOrganisation = "organisation",
           .mRank = aRank,
           .mPromptTokens = 10,
           .mOutputTokens = 2,
           .mMaxTokens = 2,
           .mTimeout = 10s };
}

const auto kNone = std::vector<promise>{};

} // namespace

TEST_CASE("a correct exchange breaks no promise", "[history_checker]")
{
  const auto sent = MakeJob(1);
  auto run = history_builder{};
  run.Add(request_sent{ sent, "entry-0" })
    .Add(execution_started{ { 1 }, { 1, 1 }, "engine" })
    .Add(answer_received{ { 1 }, WholeAnswer(sent) })
    .Add(answer_finished{ { 1 } });
  CHECK(run.Check() == kNone);
}

TEST_CASE("a second execution is reported", "[history_checker]")
{
  auto run = history_builder{};
  run.Add(request_sent{ MakeJob(1), "entry-0" })
    .Add(execution_started{ { 1 }, { 1, 1 }, "engine" })
    .Add(execution_started{ { 1 }, { 1, 1 }, "other" });
  CHECK(run.Check() == std::vector{ promise::DispatchedOnce });
}

TEST_CASE("a truncated answer and an answer to another request are reported", "[history_checker]")
{
  auto run = history_builder{};
  run.Add(request_sent{ MakeJob(1), "entry-0" })
    .Add(answer_received{ { 1 }, AnswerPiece(MakeJob(1), 0) })
    .Add(answer_finished{ { 1 } })
    .Add(request_sent{ MakeJob(2), "entry-0" })
    .Add(answer_received{ { 2 }, WholeAnswer(MakeJob(1)) })
    .Add(answer_finished{ { 2 } });
  CHECK(run.Check() == std::vector{ promise::OwnWholeAnswer, promise::OwnWholeAnswer });
}

TEST_CASE("a refusal as not run is reported if the request runs before or after it",
          "[history_checker]")
{
  auto before = history_builder{};
  before.Add(request_sent{ MakeJob(1), "entry-0" })
    .Add(execution_started{ { 1 }, { 1, 1 }, "engine" })
    .Add(request_refused{ { 1 }, refusal::NoEndpoint, run_state::NotRun });
  CHECK(before.Check() == std::vector{ promise::TrueNotRun });

  auto after = history_builder{};
  after.Add(request_sent{ MakeJob(1), "entry-0" })
    .Add(request_refused{ { 1 }, refusal::NoEndpoint, run_state::NotRun })
    .Add(execution_started{ { 1 }, { 1, 1 }, "engine" });
  CHECK(after.Check() == std::vector{ promise::TrueNotRun });
}

TEST_CASE("two executions with the same idempotency key are reported", "[history_checker]")
{
  auto first = MakeJob(1);
  auto second = MakeJob(2);
  first.mIdempotencyKey = second.mIdempotencyKey = "key";
  auto run = history_builder{};
  run.Add(request_sent{ first, "entry-0" })
    .Add(request_sent{ second, "entry-1" })
    .Add(execution_started{ { 1 }, { 1, 1 }, "app" })
    .Add(execution_started{ { 2 }, { 2, 2 }, "app" });
  CHECK(run.Check() == std::vector{ promise::KeyRunsOnce });
}

TEST_CASE("a request shed while its agent granted a lower tier is reported", "[history_checker]")
{
  auto run = history_builder{};
  run.Add(request_sent{ MakeJob(1, 0), "entry-0" })
    .Add(request_sent{ MakeJob(2, 1), "entry-0" })
    .Add(ticket_arrived{ { 1 }, "engine" })
    .Add(ticket_arrived{ { 2 }, "engine" })
    .Add(ticket_granted{ { 2 }, "engine" })
    .Add(request_refused{ { 1 }, refusal::DeadlineExceeded, run_state::NotRun }, 9s);
  CHECK(run.Check() == std::vector{ promise::TierOrder });

  // A grant to a lower tier before the ticket arrived, or to the same tier, is allowed.
  auto allowed = history_builder{};
  allowed.Add(request_sent{ MakeJob(1, 0), "entry-0" })
    .Add(request_sent{ MakeJob(2, 1), "entry-0" })
    .Add(request_sent{ MakeJob(3, 0), "entry-0" })
    .Add(ticket_granted{ { 2 }, "engine" })
    .Add(ticket_arrived{ { 1 }, "engine" })
    .Add(ticket_granted{ { 3 }, "engine" })
    .Add(request_refused{ { 1 }, refusal::DeadlineExceeded, run_state::NotRun }, 9s);
  CHECK(allowed.Check() == kNone);
}

TEST_CASE("new work at a leaving endpoint and work cut off by a stop are reported",
          "[history_checker]")
{
  auto run = history_builder{};
  run.Add(request_sent{ MakeJob(1), "entry-0" })
    .Add(endpoint_leaving{ "engine" })
    .Add(execution_started{ { 1 }, { 1, 1 }, "engine" }, 4s)
    .Add(endpoint_stopped{ "engine" });
  CHECK(run.Check() == std::vector{ promise::NoWorkWhenLeaving, promise::GracefulStop });
}

TEST_CASE("a stop does not cut off a request whose entry was gone before it started",
          "[history_checker]")
{
  auto run = history_builder{};
  run.Add(request_sent{ MakeJob(1), "entry-0" })
    .Add(answer_broken{ { 1 } })
    .Add(execution_started{ { 1 }, { 1, 1 }, "engine" })
    .Add(endpoint_stopped{ "engine" });
  CHECK(run.Check() == kNone);
}

TEST_CASE("a revert to an older revision and a late or missing revision are reported",
          "[history_checker]")
{
  auto backwards = history_builder{};
  backwards.Add(section_in_force{ "entry-0", "all", { 2 } })
    .Add(section_in_force{ "entry-0", "all", { 1 } });
  CHECK(backwards.Check() == std::vector{ promise::ConfigurationForward });

  auto missing = history_builder{};
  missing.Add(document_published{ { 3 } }).Add(section_in_force{ "entry-0", "all", { 2 } }, 11s);
  CHECK(missing.Check() == std::vector{ promise::ConfigurationSpread });

  auto late = history_builder{};
  late.Add(document_published{ { 3 } }).Add(section_in_force{ "entry-0", "all", { 3 } }, 11s);
  CHECK(late.Check() == std::vector{ promise::ConfigurationSpread });
}

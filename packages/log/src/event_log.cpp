#include <bronzering/log/event_log.h>

#include <boost/json/serialize.hpp>

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <array>
#include <chrono>
#include <future>
#include <thread>

namespace bronzering {

namespace {

/// Lines that wait for the output; the oldest is dropped beyond that.
constexpr auto kQueuedLines = std::size_t{ 4096 };

} // namespace

struct event_log::state
{
  struct class_bound
  {
    std::uint32_t mLimit = 0;
    std::uint32_t mWritten = 0;
    std::uint64_t mLeftOut = 0;
  };

  std::string mProcess;
  std::shared_ptr<spdlog::details::thread_pool> mPool;
  std::shared_ptr<spdlog::async_logger> mLogger;
  std::future<void> mEnd;
  counter* mLeftOutTotal = nullptr;
  time_point mSecondBegan;
  std::array<class_bound, 2> mBounds = { class_bound{ kRoutineLines },
                                         class_bound{ kNotableLines } };
};

event_log::event_log(std::string_view aProcess, metrics_registry& aMetrics)
  : mState(std::make_unique<state>())
{
  mState->mProcess = aProcess;
  mState->mPool = std::make_shared<spdlog::details::thread_pool>(kQueuedLines, 1);
  mState->mLogger =
    std::make_shared<spdlog::async_logger>("events",
                                           std::make_shared<spdlog::sinks::stdout_sink_mt>(),
                                           mState->mPool,
                                           spdlog::async_overflow_policy::overrun_oldest);
  mState->mLogger->set_pattern("%v");
  mState->mLogger->flush_on(spdlog::level::info);
  mState->mLeftOutTotal = &aMetrics.Counter("bronzering_log_lines_left_out_total");
}

event_log::~event_log() = default;

auto event_log::Write(log_priority aClass,
                      std::string_view aEvent,
                      boost::json::object aFields,
                      time_point aNow) -> void
{
  // Once a second the bounds begin anew, and what was left out is reported.
  if (aNow - mState->mSecondBegan >= std::chrono::seconds(1)) {
    mState->mSecondBegan = aNow;
    auto leftOut = std::uint64_t{ 0 };
    for (auto& bound : mState->mBounds) {
      leftOut += std::exchange(bound.mLeftOut, 0);
      bound.mWritten = 0;
    }
    if (leftOut > 0) {
      Write(log_priority::Notable, "lines_left_out", { { "count", leftOut } }, aNow);
    }
  }
  auto& bound = mState->mBounds.at(static_cast<std::size_t>(aClass));
  if (bound.mWritten >= bound.mLimit) {
    ++bound.mLeftOut;
    mState->mLeftOutTotal->Add();
    return;
  }
  ++bound.mWritten;

  auto line = boost::json::object();
  line.reserve(aFields.size() + 4);
  const auto wall = std::chrono::system_clock::now();
  line["unix_ms"] = std::chrono::floor<std::chrono::milliseconds>(wall).time_since_epoch().count();
  line["boot_ms"] = std::chrono::floor<std::chrono::milliseconds>(aNow).time_since_epoch().count();
  line["process"] = mState->mProcess;
  line["event"] = aEvent;
  for (auto& field : aFields) {
    line[field.key()] = std::move(field.value());
  }
  mState->mLogger->info("{}", boost::json::serialize(line));
}

auto event_log::Close(std::chrono::milliseconds aPatience) -> bool
{
  // The pool's destructor writes what is queued, in a thread that may be left behind.
  if (!mState->mEnd.valid()) {
    auto ended = std::promise<void>();
    mState->mEnd = ended.get_future();
    mState->mLogger.reset();
    std::thread([pool = std::move(mState->mPool), ended = std::move(ended)]() mutable {
      pool.reset();
      ended.set_value();
    }).detach();
  }
  return mState->mEnd.wait_for(aPatience) == std::future_status::ready;
}

} // namespace bronzering

#include <bronzering/log/event_log.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <spdlog/async.h>
#include <spdlog/fmt/fmt.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <future>
#include <thread>

namespace bronzering {

namespace {

/// Capacity of the queue between Write and the output; the oldest line is dropped when it is full.
constexpr auto kQueueCapacity = std::size_t{ 4096 };

auto IsAscii(char aByte) -> bool
{
  return static_cast<unsigned char>(aByte) < 0x80;
}

/// Values from other processes may have any bytes. Those of a line that is not valid UTF-8 are
/// escaped as ISO 8859-1, so that readers of the log do not drop the line.
auto WithValidText(std::string aLine) -> std::string
{
  if (std::all_of(aLine.begin(), aLine.end(), IsAscii)) {
    return aLine;
  }
  auto error = boost::system::error_code();
  boost::json::parse(aLine, error);
  if (!error) {
    return aLine;
  }
  auto escaped = std::string();
  for (const auto byte : aLine) {
    if (IsAscii(byte)) {
      escaped += byte;
    } else {
      escaped += fmt::format("\\u{:04x}", static_cast<unsigned char>(byte));
    }
  }
  return escaped;
}

} // namespace

struct event_log::state
{
  struct rate_limit
  {
    std::uint32_t mLimit = 0;
    std::uint32_t mWritten = 0;
    std::uint64_t mDropped = 0;
  };

  std::string mProcess;
  std::shared_ptr<spdlog::details::thread_pool> mPool;
  std::shared_ptr<spdlog::async_logger> mLogger;
  std::future<void> mClosed;
  counter* mDroppedTotal = nullptr;
  time_point mWindowStart;
  std::array<rate_limit, 2> mRateLimits = { rate_limit{ kRoutineLinesPerSecond },
                                            rate_limit{ kNotableLinesPerSecond } };
};

event_log::event_log(std::string_view aProcess, metrics_registry& aMetrics)
  : mState(std::make_unique<state>())
{
  mState->mProcess = aProcess;
  mState->mPool = std::make_shared<spdlog::details::thread_pool>(kQueueCapacity, 1);
  mState->mLogger =
    std::make_shared<spdlog::async_logger>("events",
                                           std::make_shared<spdlog::sinks::stdout_sink_mt>(),
                                           mState->mPool,
                                           spdlog::async_overflow_policy::overrun_oldest);
  mState->mLogger->set_pattern("%v");
  mState->mLogger->flush_on(spdlog::level::info);
  mState->mDroppedTotal = &aMetrics.Counter("bronzering_log_lines_left_out_total");
}

event_log::~event_log() = default;

auto event_log::Write(log_priority aPriority,
                      std::string_view aEvent,
                      boost::json::object aFields,
                      time_point aNow) -> void
{
  if (!mState->mLogger) {
    return;
  }
  // Once a second, reset the rate limits and report the number of dropped lines.
  if (aNow - mState->mWindowStart >= std::chrono::seconds(1)) {
    mState->mWindowStart = aNow;
    auto dropped = std::uint64_t{ 0 };
    for (auto& limit : mState->mRateLimits) {
      dropped += std::exchange(limit.mDropped, 0);
      limit.mWritten = 0;
    }
    if (dropped > 0) {
      Write(log_priority::Notable, "lines_left_out", { { "count", dropped } }, aNow);
    }
  }
  auto& limit = mState->mRateLimits.at(static_cast<std::size_t>(aPriority));
  if (limit.mWritten >= limit.mLimit) {
    ++limit.mDropped;
    mState->mDroppedTotal->Add();
    return;
  }
  ++limit.mWritten;

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
  mState->mLogger->info("{}", WithValidText(boost::json::serialize(line)));
}

auto event_log::Close(std::chrono::milliseconds aTimeout) -> bool
{
  // The destructor of the pool writes the queued lines. It runs in a detached thread, since it
  // blocks while the reader of the output is stalled.
  if (!mState->mClosed.valid()) {
    auto closed = std::promise<void>();
    mState->mClosed = closed.get_future();
    mState->mLogger.reset();
    std::thread([pool = std::move(mState->mPool), closed = std::move(closed)]() mutable {
      pool.reset();
      closed.set_value();
    }).detach();
  }
  return mState->mClosed.wait_for(aTimeout) == std::future_status::ready;
}

} // namespace bronzering

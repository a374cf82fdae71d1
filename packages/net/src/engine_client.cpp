#include <bronzering/net/engine_client.h>

#include "batch_queue.h"
#include "engine_messages.h"
#include "event_stream_counter.h"
#include "http_call.h"
#include "tcp_address.h"

#include <bronzering/base/metrics.h>
#include <bronzering/base/overloaded.h>

#include <boost/beast/core/string.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <deque>
#include <optional>
#include <thread>
#include <unordered_map>

namespace bronzering {

namespace asio = boost::asio;

namespace {

/// Maximum number of failed calls whose progress is kept for resumption.
constexpr std::size_t kMaxFailedCalls = 4096;
/// Maximum body size of control responses, which are buffered whole.
constexpr std::size_t kMaxControlBytes = 4UL * 1024 * 1024;
constexpr auto kRequestIdHeader = "X-Request-Id";

/// Progress of one request's response. Kept after a failed call until the request is resumed.
struct answer_progress
{
  explicit answer_progress(std::size_t aMaxEventBytes)
    : mCounter(aMaxEventBytes)
  {
  }

  event_stream_counter mCounter;
  std::uint64_t mOffset = 0;
  bool mHeadSent = false;
  bool mIsEventStream = false;
  /// Body of a JSON response, up to mMaxEventBytes.
  std::string mJson;
  bool mIsJson = false;
};

struct active_call
{
  std::shared_ptr<http_call> mCall;
  answer_progress mProgress;
};

auto FindHeader(const std::vector<header_field>& aHeaders, std::string_view aName)
  -> std::string_view
{
  for (const auto& field : aHeaders) {
    if (boost::beast::iequals(field.mName, aName)) {
      return field.mValue;
    }
  }
  return {};
}

/// Returns the parsed value, or nothing if the text is malformed.
template<class Value>
auto TryParse(outcome<Value> (*aParse)(std::string_view), std::string_view aText)
  -> std::optional<Value>
{
  return boost::leaf::try_handle_all(
    [&]() -> outcome<std::optional<Value>> {
      BOOST_LEAF_AUTO(value, aParse(aText));
      return std::optional<Value>(std::move(value));
    },
    [] { return std::optional<Value>(); });
}

} // namespace

struct engine_client::state
{
  using control_item = std::variant<engine_event, std::function<void()>>;
  using traffic_item = std::variant<engine_action, std::function<void()>>;
  /// aStatus is zero if the call failed; aBody then contains the reason.
  using control_callback = std::function<void(std::uint32_t aStatus, std::string aBody)>;

  state(engine_client_settings aSettings,
        asio::io_context& aControl,
        std::function<void(engine_event)> aEvents,
        metrics_registry& aMetrics);

  auto Dispatch(engine_action& aAction) -> void;
  auto Execute(submit_to_engine& aAction) -> void;
  auto Execute(const resume_engine_stream& aAction) -> void;
  auto Execute(const cancel_on_engine& aAction) -> void;
  auto Execute(const pause_engine_stream& aAction) -> void;
  auto Execute(const send_engine_command& aAction) -> void;

  auto StartCall(request_id aRequest,
                 answer_progress aProgress,
                 const http_call_request& aCall,
                 bool aIsResumed) -> void;
  auto OnHead(request_id aRequest,
              bool aIsResumed,
              std::uint32_t aStatus,
              std::vector<header_field> aHeaders) -> void;
  auto OnBody(request_id aRequest, std::string aBytes) -> void;
  auto OnEnd(request_id aRequest) -> void;
  auto OnFailure(request_id aRequest, bool aStarted, std::string aReason) -> void;
  auto KeepFailedProgress(request_id aRequest, answer_progress aProgress) -> void;

  auto Call(http_call_request aRequest,
            duration aTimeout,
            std::size_t aMaxBytes,
            control_callback aDone) -> void;
  auto SchedulePoll(asio::steady_timer& aTimer, duration aInterval, void (state::*aPoll)()) -> void;
  auto PollHealth() -> void;
  auto PollLoad() -> void;
  auto PollCacheEvents() -> void;
  auto Transfer(std::string aTarget, std::string aBody, std::function<void(kv_transfer)> aDone)
    -> void;
  auto Emit(engine_event aEvent) -> void { mEvents.Push(std::move(aEvent)); }

  engine_client_settings mSettings;
  asio::io_context mContext;
  asio::executor_work_guard<asio::io_context::executor_type> mWorkGuard;
  asio::ip::tcp::endpoint mEndpoint;
  connection_pool mPool;
  asio::steady_timer mHealthTimer;
  asio::steady_timer mLoadTimer;
  asio::steady_timer mCacheTimer;
  batch_queue<control_item> mEvents;
  batch_queue<traffic_item> mActions;
  std::unordered_map<request_id, active_call> mCalls;
  std::unordered_map<request_id, answer_progress> mFailedProgress;
  std::deque<request_id> mFailedOrder;
  std::uint64_t mLastCacheEvent = 0;
  counter& mSubmitCounter;
  counter& mResumeCounter;
  counter& mFailureCounter;
  std::thread mThread;
};

engine_client::state::state(engine_client_settings aSettings,
                            asio::io_context& aControl,
                            std::function<void(engine_event)> aEvents,
                            metrics_registry& aMetrics)
  : mSettings(std::move(aSettings))
  , mContext(1)
  , mWorkGuard(asio::make_work_guard(mContext))
  , mPool(mContext, mSettings.mMaxIdleConnections, mSettings.mIdleTimeout)
  , mHealthTimer(mContext)
  , mLoadTimer(mContext)
  , mCacheTimer(mContext)
  , mEvents(aControl,
            [events = std::move(aEvents)](control_item& aItem) {
              std::visit(overloaded{ [&](engine_event& aEvent) { events(std::move(aEvent)); },
                                     [](const std::function<void()>& aDone) { aDone(); } },
                         aItem);
            })
  , mActions(mContext,
             [this](traffic_item& aItem) {
               std::visit(overloaded{ [this](engine_action& aAction) { Dispatch(aAction); },
                                      [](const std::function<void()>& aStart) { aStart(); } },
                          aItem);
             })
  , mSubmitCounter(aMetrics.Counter("bronzering_engine_submits_total"))
  , mResumeCounter(aMetrics.Counter("bronzering_engine_resumes_total"))
  , mFailureCounter(aMetrics.Counter("bronzering_engine_call_failures_total"))
{
}

// Request handling.

auto engine_client::state::Dispatch(engine_action& aAction) -> void
{
  std::visit([this](auto& aTyped) { Execute(aTyped); }, aAction);
}

auto engine_client::state::Execute(submit_to_engine& aAction) -> void
{
  mSubmitCounter.Add();
  mFailedProgress.erase(aAction.mRequest);
  http_call_request call;
  call.mMethod = std::move(aAction.mMethod);
  call.mTarget = std::move(aAction.mTarget);
  call.mBody = std::move(aAction.mBody);
  for (auto& field : aAction.mHeaders) {
    if (!boost::beast::iequals(field.mName, kRequestIdHeader)) {
      call.mHeaders.push_back(std::move(field));
    }
  }
  call.mHeaders.push_back({ kRequestIdHeader, ToString(aAction.mRequest) });
  StartCall(aAction.mRequest, answer_progress(mSettings.mMaxEventBytes), call, false);
}

auto engine_client::state::Execute(const resume_engine_stream& aAction) -> void
{
  mResumeCounter.Add();
  auto progress = answer_progress(mSettings.mMaxEventBytes);
  const auto found = mFailedProgress.find(aAction.mRequest);
  if (found != mFailedProgress.end()) {
    const auto headSent = found->second.mHeadSent;
    if (found->second.mOffset == aAction.mOffset) {
      progress = std::move(found->second);
    }
    progress.mHeadSent = headSent;
    mFailedProgress.erase(found);
  } else {
    // A positive offset implies that the head was already delivered.
    progress.mHeadSent = aAction.mOffset > 0;
  }
  progress.mOffset = aAction.mOffset;

  http_call_request call;
  call.mMethod = "GET";
  call.mTarget =
    "/v1/streams/" + ToString(aAction.mRequest) + "?offset=" + std::to_string(aAction.mOffset);
  StartCall(aAction.mRequest, std::move(progress), call, true);
}

auto engine_client::state::Execute(const cancel_on_engine& aAction) -> void
{
  const auto found = mCalls.find(aAction.mRequest);
  if (found != mCalls.end()) {
    found->second.mCall->Abandon();
    mCalls.erase(found);
  }
  mFailedProgress.erase(aAction.mRequest);
  if (mSettings.mKind == service_kind::Model) {
    http_call_request call;
    call.mMethod = "DELETE";
    call.mTarget = "/v1/streams/" + ToString(aAction.mRequest);
    Call(std::move(call), mSettings.mControlTimeout, kMaxControlBytes, [](auto, auto) {});
  }
}

auto engine_client::state::Execute(const pause_engine_stream& aAction) -> void
{
  const auto found = mCalls.find(aAction.mRequest);
  if (found != mCalls.end()) {
    found->second.mCall->Pause(aAction.mPaused);
  }
}

auto engine_client::state::Execute(const send_engine_command& aAction) -> void
{
  http_call_request call;
  call.mMethod = "POST";
  call.mTarget = "/commands";
  call.mHeaders = { { "Content-Type", "application/json" } };
  call.mBody = FormatCommand(aAction);
  Call(
    std::move(call),
    mSettings.mControlTimeout,
    kMaxControlBytes,
    [this, token = aAction.mFencingToken](std::uint32_t aStatus, const std::string& aBody) {
      const auto isAccepted = aStatus / 100 == 2;
      Emit(engine_command_result{ token, isAccepted, isAccepted ? "" : ParseCommandError(aBody) });
    });
}

auto engine_client::state::StartCall(request_id aRequest,
                                     answer_progress aProgress,
                                     const http_call_request& aCall,
                                     bool aIsResumed) -> void
{
  const http_call_limits limits{ mSettings.mConnectTimeout,
                                 mSettings.mHeadTimeout,
                                 mSettings.mSilenceTimeout,
                                 mSettings.mMaxHeaderBytes };
  http_call_events events;
  events.mHead = [this, aRequest, aIsResumed](std::uint32_t aStatus,
                                              std::vector<header_field> aHeaders) {
    OnHead(aRequest, aIsResumed, aStatus, std::move(aHeaders));
  };
  events.mBody = [this, aRequest](std::string aBytes) { OnBody(aRequest, std::move(aBytes)); };
  events.mEnd = [this, aRequest] { OnEnd(aRequest); };
  events.mFailure = [this, aRequest, aIsResumed](bool aStarted, std::string aReason) {
    OnFailure(aRequest, aStarted || aIsResumed, std::move(aReason));
  };
  auto call = std::make_shared<http_call>(mPool, mEndpoint, limits, std::move(events));
  const auto [position, isNew] =
    mCalls.try_emplace(aRequest, active_call{ call, std::move(aProgress) });
  if (!isNew) {
    // The first call continues; a second call would execute the request twice.
    return;
  }
  call->Start(aCall);
}

auto engine_client::state::OnHead(request_id aRequest,
                                  bool aIsResumed,
                                  std::uint32_t aStatus,
                                  std::vector<header_field> aHeaders) -> void
{
  auto& [call, progress] = mCalls.at(aRequest);
  if (aIsResumed && aStatus != 200) {
    call->Abandon();
    OnFailure(aRequest,
              true,
              "the engine refused to resume the stream with status " + std::to_string(aStatus));
    return;
  }
  const auto type = FindHeader(aHeaders, "Content-Type");
  progress.mIsEventStream =
    mSettings.mKind == service_kind::Model && type.starts_with("text/event-stream");
  progress.mIsJson = mSettings.mKind == service_kind::Model && type.starts_with("application/json");
  if (!std::exchange(progress.mHeadSent, true)) {
    Emit(engine_answer_head{ aRequest, aStatus, std::move(aHeaders) });
  }
}

auto engine_client::state::OnBody(request_id aRequest, std::string aBytes) -> void
{
  auto& progress = mCalls.at(aRequest).mProgress;
  if (progress.mIsEventStream) {
    progress.mCounter.Add(aBytes);
  } else if (progress.mIsJson &&
             progress.mJson.size() + aBytes.size() <= mSettings.mMaxEventBytes) {
    progress.mJson += aBytes;
  } else {
    progress.mIsJson = false;
  }
  const auto offset = progress.mOffset;
  progress.mOffset += aBytes.size();
  Emit(engine_answer_data{ aRequest, offset, std::move(aBytes), progress.mCounter.Tokens() });
}

auto engine_client::state::OnEnd(request_id aRequest) -> void
{
  auto node = mCalls.extract(aRequest);
  const auto& progress = node.mapped().mProgress;
  const auto usage = progress.mIsJson ? ReadUsage(progress.mJson) : progress.mCounter.Usage();
  engine_answer_end end{ aRequest, 0, 0, progress.mCounter.Tokens() };
  if (usage) {
    end.mPromptTokens = usage->mPromptTokens;
    end.mCachedTokens = usage->mCachedTokens;
    end.mGeneratedTokens = usage->mGeneratedTokens;
  }
  Emit(end);
}

auto engine_client::state::OnFailure(request_id aRequest, bool aStarted, std::string aReason)
  -> void
{
  mFailureCounter.Add();
  auto node = mCalls.extract(aRequest);
  KeepFailedProgress(aRequest, std::move(node.mapped().mProgress));
  Emit(engine_failure{ aRequest, aStarted, std::move(aReason) });
}

auto engine_client::state::KeepFailedProgress(request_id aRequest, answer_progress aProgress)
  -> void
{
  mFailedProgress.insert_or_assign(aRequest, std::move(aProgress));
  mFailedOrder.push_back(aRequest);
  if (mFailedOrder.size() > kMaxFailedCalls) {
    mFailedProgress.erase(mFailedOrder.front());
    mFailedOrder.pop_front();
  }
}

// Control calls.

auto engine_client::state::Call(http_call_request aRequest,
                                duration aTimeout,
                                std::size_t aMaxBytes,
                                control_callback aDone) -> void
{
  struct collected
  {
    std::uint32_t mStatus = 0;
    std::string mBody;
    bool mIsTooLarge = false;
  };
  const auto answer = std::make_shared<collected>();
  const http_call_limits limits{
    mSettings.mConnectTimeout, aTimeout, aTimeout, mSettings.mMaxHeaderBytes
  };
  http_call_events events;
  events.mHead = [answer](std::uint32_t aStatus, const std::vector<header_field>&) {
    answer->mStatus = aStatus;
  };
  events.mBody = [answer, aMaxBytes](const std::string& aBytes) {
    answer->mIsTooLarge = answer->mIsTooLarge || answer->mBody.size() + aBytes.size() > aMaxBytes;
    if (!answer->mIsTooLarge) {
      answer->mBody += aBytes;
    }
  };
  events.mEnd = [answer, done = aDone] {
    if (answer->mIsTooLarge) {
      done(0, "the response body exceeds the size limit");
    } else {
      done(answer->mStatus, std::move(answer->mBody));
    }
  };
  events.mFailure = [done = std::move(aDone)](bool, std::string aReason) {
    done(0, std::move(aReason));
  };
  std::make_shared<http_call>(mPool, mEndpoint, limits, std::move(events))->Start(aRequest);
}

auto engine_client::state::SchedulePoll(asio::steady_timer& aTimer,
                                        duration aInterval,
                                        void (state::*aPoll)()) -> void
{
  aTimer.expires_after(aInterval);
  aTimer.async_wait([this, aPoll](const boost::system::error_code& aError) {
    if (!aError) {
      (this->*aPoll)();
    }
  });
}

auto engine_client::state::PollHealth() -> void
{
  Call({ "GET", "/health", {}, {} },
       mSettings.mControlTimeout,
       kMaxControlBytes,
       [this](std::uint32_t aStatus, const std::string&) {
         Emit(engine_health{ aStatus / 100 == 2 });
         SchedulePoll(mHealthTimer, mSettings.mHealthInterval, &state::PollHealth);
       });
}

auto engine_client::state::PollLoad() -> void
{
  Call({ "GET", "/load", {}, {} },
       mSettings.mControlTimeout,
       kMaxControlBytes,
       [this](std::uint32_t aStatus, const std::string& aBody) {
         if (aStatus == 200) {
           if (auto load = TryParse(ParseLoad, aBody)) {
             Emit(std::move(*load));
           }
         }
         SchedulePoll(mLoadTimer, mSettings.mLoadInterval, &state::PollLoad);
       });
}

auto engine_client::state::PollCacheEvents() -> void
{
  Call({ "GET", "/cache-events?after=" + std::to_string(mLastCacheEvent), {}, {} },
       mSettings.mControlTimeout,
       kMaxControlBytes,
       [this](std::uint32_t aStatus, const std::string& aBody) {
         if (aStatus == 200) {
           if (auto page = TryParse(ParseCacheEvents, aBody)) {
             for (auto& event : page->mEvents) {
               mLastCacheEvent = event.mSequence;
               Emit(std::move(event));
             }
             // A lower sequence number means that the engine restarted its numbering.
             if (page->mLatest < mLastCacheEvent) {
               mLastCacheEvent = 0;
             }
           }
         }
         SchedulePoll(mCacheTimer, mSettings.mCacheEventInterval, &state::PollCacheEvents);
       });
}

auto engine_client::state::Transfer(std::string aTarget,
                                    std::string aBody,
                                    std::function<void(kv_transfer)> aDone) -> void
{
  Call({ "POST", std::move(aTarget), {}, std::move(aBody) },
       mSettings.mTransferTimeout,
       mSettings.mMaxTransferBytes,
       [this, done = std::move(aDone)](std::uint32_t aStatus, std::string aAnswer) {
         kv_transfer result;
         if (aStatus / 100 == 2) {
           result.mBytes = std::move(aAnswer);
         } else {
           result.mError =
             aStatus == 0 ? aAnswer : "the engine answered with status " + std::to_string(aStatus);
         }
         mEvents.Push(
           std::function<void()>([done, result = std::move(result)]() mutable { done(result); }));
       });
}

engine_client::engine_client(engine_client_settings aSettings,
                             asio::io_context& aControl,
                             std::function<void(engine_event aEvent)> aEvents,
                             metrics_registry& aMetrics)
  : mState(std::make_unique<state>(std::move(aSettings), aControl, std::move(aEvents), aMetrics))
{
}

engine_client::~engine_client()
{
  Stop();
}

auto engine_client::Start() -> outcome<void>
{
  BOOST_LEAF_ASSIGN(mState->mEndpoint, ParseTcpAddress(mState->mSettings.mAddress));
  mState->mThread = std::thread([state = mState.get()] {
    state->PollHealth();
    if (state->mSettings.mKind == service_kind::Model) {
      state->PollLoad();
      state->PollCacheEvents();
    }
    state->mContext.run();
  });
  return {};
}

auto engine_client::Apply(engine_action aAction) -> void
{
  mState->mActions.Push(std::move(aAction));
}

auto engine_client::ExportKv(std::vector<prefix_hash> aBlocks,
                             std::function<void(kv_transfer)> aDone) -> void
{
  mState->mActions.Push(std::function<void()>(
    [state = mState.get(), body = FormatKvExport(aBlocks), done = std::move(aDone)] {
      state->Transfer("/kv/export", body, done);
    }));
}

auto engine_client::ImportKv(std::string aBytes, std::function<void(kv_transfer)> aDone) -> void
{
  mState->mActions.Push(std::function<void()>(
    [state = mState.get(), body = std::move(aBytes), done = std::move(aDone)] {
      state->Transfer("/kv/import", body, done);
    }));
}

auto engine_client::Stop() -> void
{
  if (!mState->mThread.joinable()) {
    return;
  }
  mState->mEvents.Close();
  mState->mContext.stop();
  mState->mThread.join();
  mState->mActions.Close();
  for (auto& [request, active] : mState->mCalls) {
    active.mCall->Abandon();
  }
  mState->mCalls.clear();
  mState->mPool.Clear();
}

} // namespace bronzering

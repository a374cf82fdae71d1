#pragma once

#include "caller_reply.h"
#include "engine_call.h"
#include "event_splitter.h"
#include "gateway_state.h"
#include "request_fields.h"

#include <bronzering/base/name_table.h>

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bronzering {

/// How an exchange ended, as logs and metrics name it.
enum class exchange_end
{
  Answered,
  /// Refused before it was run.
  Refused,
  /// No route, an unknown key, or a malformed request.
  Rejected,
  /// The endpoint failed it, or its outcome is unknown.
  Failed,
  /// A stream that had begun could not be continued.
  Cut,
  /// The route's timeout or the caller's deadline passed.
  TimedOut,
  CallerGone
};
inline constexpr auto kExchangeEndNames =
  name_table<exchange_end, 7>{ { { { exchange_end::Answered, "answered" },
                                   { exchange_end::Refused, "refused" },
                                   { exchange_end::Rejected, "rejected" },
                                   { exchange_end::Failed, "failed" },
                                   { exchange_end::Cut, "cut" },
                                   { exchange_end::TimedOut, "timed_out" },
                                   { exchange_end::CallerGone, "caller_gone" } } } };

/// One request from its arrival to the end of its answer: admission, the wait for an endpoint, the
/// sends, and the repeats that its route allows. Writes exactly one final log line. Owned by the
/// caller's session; control thread only.
class exchange
{
public:
  exchange(gateway_state& aState, http_request aRequest, caller_reply& aReply);
  ~exchange();
  exchange(const exchange&) = delete;
  auto operator=(const exchange&) -> exchange& = delete;

  /// Answers the request, within its route's timeout and the caller's deadline.
  auto Serve() -> boost::asio::awaitable<void>;

private:
  /// What a send tells about the request.
  enum class send_outcome
  {
    /// The caller has its answer, or is gone.
    Done,
    /// No connection.
    NotReached,
    /// The endpoint said so.
    NotRun,
    MayHaveRun,
    /// It ran and failed, and a repeat has been taken from the budget.
    Repeat
  };

  auto Admit() -> boost::asio::awaitable<bool>;
  auto Run() -> boost::asio::awaitable<void>;
  auto SendOnce(const endpoint_table::choice& aEndpoint, duration aExpected)
    -> boost::asio::awaitable<send_outcome>;
  auto RelayWhole(engine_call& aCall, attempt_result& aResult)
    -> boost::asio::awaitable<send_outcome>;
  auto RelayStream(engine_call& aCall, attempt_result& aResult)
    -> boost::asio::awaitable<send_outcome>;
  auto WatchSilence(engine_call& aCall, duration aPatience) -> void;

  auto Refuse(unsigned aStatus, std::string_view aReason, duration aRetryAfter)
    -> boost::asio::awaitable<void>;
  auto Fail(unsigned aStatus, std::string_view aReason) -> boost::asio::awaitable<void>;
  auto WriteProblem(unsigned aStatus,
                    std::string_view aReason,
                    bool aIsNotRun,
                    duration aRetryAfter) -> boost::asio::awaitable<void>;

  [[nodiscard]] auto IsStopped() const -> bool;
  [[nodiscard]] auto Left(time_point aNow) const -> duration;
  /// Whether the route allows that the request runs once more.
  [[nodiscard]] auto MayRepeat() const -> bool;
  /// Takes one send from the service's budget.
  [[nodiscard]] auto TakeRepeat() -> bool;
  [[nodiscard]] auto ComposeRequest(const std::string& aEndpoint) const -> http_request;
  [[nodiscard]] auto Ticket() const -> dispatch_ticket;
  /// What the decision was taken from, with its version.
  auto AddInputs(boost::json::object& aLine) const -> void;
  auto Finish(exchange_end aEnd, unsigned aStatus, std::string_view aReason) -> void;

  gateway_state& mState;
  caller_reply& mReply;
  exchange_id mId;
  time_point mArrived;
  /// Keeps the version that was in force on arrival.
  std::shared_ptr<const route_table> mRoutes;
  request_facts mFacts;
  http_request mRequest;
  const route_spec* mRoute = nullptr;
  const organisation_spec* mOrganisation = nullptr;
  std::string mService;
  /// Units taken from the organisation's limit, or asked for and refused.
  double mUnits = 0;
  double mRefusedUnits = 0;
  std::optional<dispatch_decision> mDecision;
  duration mRetryAfter{};
  request_rank mRank;
  time_point mDeadline;

  event_splitter mEvents;
  std::vector<std::string> mTried;
  std::uint32_t mRuns = 0;
  std::uint32_t mSends = 0;
  std::string mLastEndpoint;
  std::optional<time_point> mFirstSent;
  std::optional<time_point> mFirstEvent;
  std::optional<time_point> mLastEvent;
  /// Longest time between two events of the answer.
  duration mLongestPause{};
  bool mIsFinished = false;
};

} // namespace bronzering

#pragma once

#include "endpoint_call.h"
#include "event_splitter.h"
#include "gateway_state.h"
#include "request_fields.h"
#include "response_writer.h"

#include <bronzering/base/name_table.h>

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bronzering {

/// How an exchange ended. The names appear in logs and metrics.
enum class exchange_end
{
  Answered,
  /// Refused without being executed.
  Refused,
  /// No route, an unknown key, or a malformed request.
  Rejected,
  /// The endpoint failed, or whether it executed the request is unknown.
  Failed,
  /// A stream that had started could not be resumed.
  Cut,
  /// The route's timeout or the caller's deadline expired.
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

/// One request from its arrival to the end of its response: admission, waiting for an endpoint, the
/// attempts, and the retries that its route allows. Writes exactly one final log line. Owned by the
/// caller's session; control thread only.
class exchange
{
public:
  exchange(gateway_state& aState, http_request aRequest, response_writer& aWriter);
  ~exchange();
  exchange(const exchange&) = delete;
  auto operator=(const exchange&) -> exchange& = delete;

  /// Serves the request within its route's timeout and the caller's deadline.
  auto Serve() -> boost::asio::awaitable<void>;

private:
  /// What an attempt means for the request.
  enum class execution_outcome
  {
    /// The response has been delivered, or the caller has disconnected.
    Done,
    /// No connection to the endpoint.
    NotReached,
    /// The endpoint reported that it did not execute the request.
    NotExecuted,
    /// Whether the endpoint executed the request is unknown.
    MayHaveExecuted,
    /// It was executed and failed, and a retry has been taken from the budget.
    Retry
  };

  auto Admit() -> boost::asio::awaitable<bool>;
  auto Run() -> boost::asio::awaitable<void>;
  auto SendOnce(const endpoint_table::choice& aEndpoint, duration aExpected)
    -> boost::asio::awaitable<execution_outcome>;
  auto RelayBuffered(endpoint_call& aCall, attempt_result& aResult)
    -> boost::asio::awaitable<execution_outcome>;
  auto RelayStream(endpoint_call& aCall, attempt_result& aResult)
    -> boost::asio::awaitable<execution_outcome>;
  auto ArmStallTimer(endpoint_call& aCall, duration aTimeout) -> void;

  auto Refuse(unsigned aStatus, std::string_view aReason, duration aRetryAfter)
    -> boost::asio::awaitable<void>;
  auto Fail(unsigned aStatus, std::string_view aReason) -> boost::asio::awaitable<void>;
  auto WriteProblem(unsigned aStatus,
                    std::string_view aReason,
                    bool aIsNotExecuted,
                    duration aRetryAfter) -> boost::asio::awaitable<void>;

  [[nodiscard]] auto IsPastShutdownCutoff() const -> bool;
  [[nodiscard]] auto TimeLeft(time_point aNow) const -> duration;
  /// Whether the route allows another attempt.
  [[nodiscard]] auto MayRetry() const -> bool;
  /// Takes one retry from the service's budget. False when the budget is exhausted.
  [[nodiscard]] auto TakeRetry() -> bool;
  [[nodiscard]] auto ComposeRequest(const std::string& aEndpoint) const -> http_request;
  [[nodiscard]] auto Ticket() const -> dispatch_ticket;
  /// Adds the inputs of the dispatch or quota decision, with the revision of the items.
  auto AddDecisionInputs(boost::json::object& aLine) const -> void;
  auto Finish(exchange_end aEnd, unsigned aStatus, std::string_view aReason) -> void;

  gateway_state& mState;
  response_writer& mResponseWriter;
  exchange_id mId;
  time_point mArrived;
  /// The version in force on arrival, which is used until the exchange ends.
  std::shared_ptr<const route_table> mRoutes;
  request_metadata mMetadata;
  http_request mRequest;
  const route_spec* mRoute = nullptr;
  const organisation_spec* mOrganisation = nullptr;
  std::string mService;
  /// Quota units that were taken from the organisation's limit, or that were refused.
  double mSpentUnits = 0;
  double mRefusedUnits = 0;
  std::optional<dispatch_decision> mDecision;
  duration mRetryAfter{};
  request_rank mRank;
  time_point mDeadline;

  event_splitter mEvents;
  std::vector<std::string> mTriedEndpoints;
  /// Attempts that may have been executed.
  std::uint32_t mExecutions = 0;
  /// All attempts, including those that were not executed.
  std::uint32_t mSends = 0;
  std::string mLastEndpoint;
  std::optional<time_point> mFirstSent;
  std::optional<time_point> mFirstEvent;
  std::optional<time_point> mLastEvent;
  /// Longest time between two reads that completed an event.
  duration mLongestEventGap{};
  bool mIsFinished = false;
};

} // namespace bronzering

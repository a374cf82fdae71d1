#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>
#include <bronzering/coordination/entry_node.h>
#include <bronzering/testkit/job.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bronzering::testkit {

// Events that a run records. Processes are named "entry-0", "agent engine-1" and so on.

/// A caller sent a request to an entry.
struct request_sent
{
  job mJob;
  std::string mEntry;
};
/// An endpoint began to execute a request.
struct execution_started
{
  exchange_id mExchange;
  request_id mRequest;
  std::string mEndpoint;
};
struct answer_received
{
  exchange_id mExchange;
  std::string mBytes;
};
struct answer_finished
{
  exchange_id mExchange;
};
/// The answer ended incomplete: the stream was aborted, the caller disconnected, or the entry died.
struct answer_broken
{
  exchange_id mExchange;
};
struct request_refused
{
  exchange_id mExchange;
  refusal mReason = refusal::Overloaded;
  run_state mRunState = run_state::NotRun;
};
/// An agent reported to the entry how many prompt tokens were cached.
struct tokens_reported
{
  exchange_id mExchange;
  std::uint64_t mCachedTokens = 0;
};
/// A ticket reached an agent.
struct ticket_arrived
{
  exchange_id mExchange;
  std::string mEndpoint;
};
/// A ticket was withdrawn by its entry or declined by the agent.
struct ticket_left
{
  exchange_id mExchange;
  std::string mEndpoint;
};
/// An agent can no longer grant the tickets of one entry, or of all entries if mEntry is empty,
/// because the agent died or the session with the entry is silent or lost.
struct tickets_lost
{
  std::string mEndpoint;
  std::string mEntry;
};
/// A silent session works again, so that the agent can grant its tickets.
struct tickets_regained
{
  std::string mEndpoint;
  std::string mEntry;
};
/// An agent granted capacity to a waiting ticket.
struct ticket_granted
{
  exchange_id mExchange;
  std::string mEndpoint;
};
/// The agent of the endpoint was told to drain.
struct endpoint_leaving
{
  std::string mEndpoint;
};
/// The agent of the endpoint stopped after it had drained.
struct endpoint_stopped
{
  std::string mEndpoint;
};
/// A process started, without any state of its earlier incarnations.
struct process_started
{
  std::string mProcess;
};
/// A revision of a configuration section came into force in a process.
struct section_in_force
{
  std::string mProcess;
  std::string mSection;
  revision mRevision;
};
/// The configuration service accepted a document.
struct document_published
{
  revision mRevision;
};

using history_event = std::variant<request_sent,
                                   execution_started,
                                   answer_received,
                                   answer_finished,
                                   answer_broken,
                                   request_refused,
                                   tokens_reported,
                                   ticket_arrived,
                                   ticket_left,
                                   tickets_lost,
                                   tickets_regained,
                                   ticket_granted,
                                   endpoint_leaving,
                                   endpoint_stopped,
                                   process_started,
                                   section_in_force,
                                   document_published>;

struct timed_event
{
  time_point mWhen;
  history_event mEvent;
};

/// All events of one run that callers, engines and links observed, in order of time.
using history = std::vector<timed_event>;

/// Hash of a history. Runs with the same settings, seed and calls have equal hashes.
[[nodiscard]] auto HashOf(const history& aHistory) -> std::uint64_t;

} // namespace bronzering::testkit

#include "request_lifecycle.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace bronzering {

namespace {

namespace front = boost::msm::front;

struct admitted
{};
struct dispatch_sent
{};
struct declined
{};
struct retry_due
{};
struct head_received
{};
struct closed
{};

template<request_state State>
struct state_of : front::state<>
{
};

using awaiting_limits = state_of<request_state::AwaitingLimits>;
using waiting = state_of<request_state::Waiting>;
using backing_off = state_of<request_state::BackingOff>;
using dispatched = state_of<request_state::Dispatched>;
using answering = state_of<request_state::Answering>;
using ended = state_of<request_state::Ended>;

struct lifecycle_front : front::state_machine_def<lifecycle_front>
{
  // NOLINTBEGIN(readability-identifier-naming): the names are given by Boost.MSM.
  using initial_state = awaiting_limits;
  using no_exception_thrown = int;

  template<class From, class Event, class To>
  using row = front::Row<From, Event, To>;

  struct transition_table
    : boost::mpl::vector<row<awaiting_limits, admitted, waiting>,
                         row<awaiting_limits, closed, ended>,
                         row<waiting, dispatch_sent, dispatched>,
                         row<waiting, closed, ended>,
                         row<dispatched, declined, backing_off>,
                         row<dispatched, head_received, answering>,
                         row<dispatched, closed, ended>,
                         row<backing_off, retry_due, waiting>,
                         row<backing_off, closed, ended>,
                         row<answering, closed, ended>>
  {};

  template<class Machine, class Event>
  auto no_transition(const Event& /*aEvent*/, Machine& /*aMachine*/, int /*aState*/) -> void
  {
    // Process reports a rejected event to its caller; the default implementation would assert.
  }
  // NOLINTEND(readability-identifier-naming)
};

/// States by the number that Boost.MSM assigns to them: source states in the order of the table's
/// rows, then states that are only targets.
constexpr auto kStateOrder =
  std::array{ request_state::AwaitingLimits, request_state::Waiting,   request_state::Dispatched,
              request_state::BackingOff,     request_state::Answering, request_state::Ended };

} // namespace

struct request_lifecycle::machine : boost::msm::back::state_machine<lifecycle_front>
{};

request_lifecycle::request_lifecycle()
  : mMachine(std::make_unique<machine>())
{
  mMachine->start();
}

request_lifecycle::~request_lifecycle() = default;

auto request_lifecycle::Process(request_event aEvent) -> bool
{
  auto result = boost::msm::back::HANDLED_FALSE;
  switch (aEvent) {
    case request_event::Admitted:
      result = mMachine->process_event(admitted{});
      break;
    case request_event::Dispatched:
      result = mMachine->process_event(dispatch_sent{});
      break;
    case request_event::Declined:
      result = mMachine->process_event(declined{});
      break;
    case request_event::RetryDue:
      result = mMachine->process_event(retry_due{});
      break;
    case request_event::HeadReceived:
      result = mMachine->process_event(head_received{});
      break;
    case request_event::Closed:
      result = mMachine->process_event(closed{});
      break;
  }
  return result == boost::msm::back::HANDLED_TRUE;
}

auto request_lifecycle::State() const -> request_state
{
  return kStateOrder.at(static_cast<std::size_t>(mMachine->current_state()[0]));
}

auto request_lifecycle::ProvablyNotRun() const -> bool
{
  const auto state = State();
  return state == request_state::AwaitingLimits || state == request_state::Waiting ||
         state == request_state::BackingOff;
}

} // namespace bronzering

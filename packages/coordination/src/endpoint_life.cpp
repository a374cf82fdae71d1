#include "endpoint_life.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>
#include <cassert>

namespace bronzering {

namespace {

namespace front = boost::msm::front;

struct endpoint_up
{};
struct endpoint_down
{};
struct drain_begun
{};
struct work_finished
{};

struct life_cycle : front::state_machine_def<life_cycle>
{
  struct starting : front::state<>
  {};
  struct serving : front::state<>
  {};
  struct draining : front::state<>
  {};
  struct stopped : front::state<>
  {};

  // The library looks for these two names.
  // NOLINTBEGIN(readability-identifier-naming)
  using initial_state = starting;
  struct transition_table
    : boost::mpl::vector<front::Row<starting, endpoint_up, serving>,
                         front::Row<serving, endpoint_down, starting>,
                         front::Row<starting, drain_begun, draining>,
                         front::Row<serving, drain_begun, draining>,
                         front::Row<draining, work_finished, stopped>>
  {};
  // NOLINTEND(readability-identifier-naming)

  // Events that a state does not list change nothing: an endpoint may be reported up twice.
  template<class Machine, class Event>
  auto no_transition(const Event&, Machine&, int) -> void // NOLINT(readability-identifier-naming)
  {
  }
};

/// Numbered in the order in which the states first appear in the transition table.
constexpr auto kStates = std::array{ agent_state::Starting,
                                     agent_state::Serving,
                                     agent_state::Draining,
                                     agent_state::Stopped };

} // namespace

struct endpoint_life::machine
{
  boost::msm::back::state_machine<life_cycle> mStates;
};

endpoint_life::endpoint_life()
  : mMachine(std::make_unique<machine>())
{
  mMachine->mStates.start();
}

endpoint_life::~endpoint_life() = default;

auto endpoint_life::OnUp() -> void
{
  mMachine->mStates.process_event(endpoint_up{});
}

auto endpoint_life::OnDown() -> void
{
  mMachine->mStates.process_event(endpoint_down{});
}

auto endpoint_life::OnDrain() -> void
{
  mMachine->mStates.process_event(drain_begun{});
}

auto endpoint_life::OnIdle() -> void
{
  mMachine->mStates.process_event(work_finished{});
}

auto endpoint_life::State() const -> agent_state
{
  const auto index = static_cast<std::size_t>(mMachine->mStates.current_state()[0]);
  assert(index < kStates.size());
  return kStates[index];
}

} // namespace bronzering

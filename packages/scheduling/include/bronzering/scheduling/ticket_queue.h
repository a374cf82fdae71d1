#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>
#include <bronzering/scheduling/indexed_heap.h>

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bronzering {

/// A waiting request with its scheduling parameters.
struct queued_ticket
{
  request_id mRequest;
  /// Rank of the tier; 0 is granted first.
  std::uint32_t mRank = 0;
  std::string mOrganisation;
  /// Fair-queueing weight of the organisation within its tier; positive.
  double mWeight = 1;
  /// Estimated cost in tokens, or 1 for plain services.
  double mCost = 1;
  time_point mDeadline;
};

/// The tickets that wait at one agent. Tiers have strict priority; within a tier, organisations
/// share by start-time fair queueing over served cost; within an organisation, tickets are served
/// in order of arrival. Every operation costs O(log n). Owned by the agent's control thread; not
/// thread-safe.
class ticket_queue
{
public:
  /// Returns false when the request is already in the queue.
  auto Push(queued_ticket aTicket) -> bool;

  /// The next candidates for a grant: the oldest ticket of each organisation in the highest
  /// non-empty tier, in order of virtual time, at most aLimit. Pointers are valid until the next
  /// change.
  [[nodiscard]] auto Next(std::size_t aLimit) const -> std::vector<const queued_ticket*>;
  /// The ticket to be granted next; null when the queue is empty.
  [[nodiscard]] auto Front() const -> const queued_ticket*;
  /// Removes a ticket that is granted and charges its estimated cost to its organisation. Empty
  /// when the request is not in the queue.
  auto Take(request_id aRequest) -> std::optional<queued_ticket>;

  /// Adds a cost to an organisation to correct an earlier charge; a negative cost is a refund.
  auto Charge(std::uint32_t aRank, std::string_view aOrganisation, double aWeight, double aCost)
    -> void;

  /// Removes a ticket without charging its cost. Returns false when it is not in the queue.
  auto Cancel(request_id aRequest) -> bool;
  /// Removes and returns the tickets whose deadline is not after aNow.
  auto Expire(time_point aNow) -> std::vector<queued_ticket>;
  /// The earliest deadline of all waiting tickets.
  [[nodiscard]] auto NextDeadline() const -> std::optional<time_point>;

  [[nodiscard]] auto Find(request_id aRequest) const -> const queued_ticket*;
  /// The newest ticket of the lowest non-empty tier; null when the queue is empty.
  [[nodiscard]] auto Last() -> const queued_ticket*;
  [[nodiscard]] auto size() const -> std::size_t { return mSlotByRequest.size(); }
  [[nodiscard]] auto empty() const -> bool { return mSlotByRequest.empty(); }
  /// Rank of the highest non-empty tier.
  [[nodiscard]] auto HighestRank() const -> std::optional<std::uint32_t>;

  struct tier_load
  {
    std::uint32_t mRank = 0;
    std::size_t mTickets = 0;
    double mCost = 0;
  };
  /// Tiers with waiting tickets, highest first.
  [[nodiscard]] auto Load() const -> std::vector<tier_load>;
  /// Number of waiting tickets of each organisation in one tier.
  [[nodiscard]] auto Organisations(std::uint32_t aRank) const
    -> std::map<std::string, std::size_t, std::less<>>;

private:
  using slot_index = std::uint32_t;
  using flow_index = std::uint32_t;
  static constexpr slot_index kNoSlot = 0xffffffff;

  /// A doubly linked list through the slots.
  struct slot_list
  {
    slot_index mFirst = kNoSlot;
    slot_index mLast = kNoSlot;
  };
  struct slot_links
  {
    slot_index mPrevious = kNoSlot;
    slot_index mNext = kNoSlot;
  };
  struct ticket_slot
  {
    queued_ticket mTicket;
    flow_index mFlow = 0;
    slot_links mLinks;
    /// Incremented when the ticket is removed, so that stale references can be detected.
    std::uint32_t mGeneration = 0;
  };
  /// Refers to a ticket that may have been removed. Containers of these are purged only when
  /// they are twice as long as needed, so that a grant does not have to update them.
  struct slot_reference
  {
    slot_index mSlot = kNoSlot;
    std::uint32_t mGeneration = 0;
  };
  struct deadline_entry
  {
    time_point mDeadline;
    slot_reference mTicket;
    auto operator>(const deadline_entry& aOther) const -> bool
    {
      return mDeadline > aOther.mDeadline;
    }
  };
  /// The tickets of one organisation in one tier.
  struct organisation_flow
  {
    std::string mName;
    double mWeight = 1;
    /// Start tag: cost charged so far, divided by weight.
    double mVirtualTime = 0;
    slot_list mTickets;
    std::uint32_t mCount = 0;
  };
  struct tier_state
  {
    double mVirtualTime = 0;
    std::vector<organisation_flow> mFlows;
    std::vector<flow_index> mFreeFlows;
    std::unordered_map<std::string, flow_index> mFlowByOrganisation;
    indexed_heap<double> mBackloggedFlows;
    /// In order of arrival.
    std::vector<slot_reference> mArrivals;
    std::size_t mCount = 0;
    double mCost = 0;
    std::size_t mIdleFlowThreshold = 1024;
  };

  auto FlowFor(tier_state& aTier, std::string_view aOrganisation, double aWeight) -> flow_index;
  auto RemoveIdleFlows(tier_state& aTier) -> void;
  using slot_map = boost::unordered_flat_map<request_id, slot_index, std::hash<request_id>>;
  auto Remove(slot_map::iterator aEntry) -> queued_ticket;
  [[nodiscard]] auto IsWaiting(slot_reference aReference) const -> bool;
  auto Append(slot_list& aList, slot_index aSlot) -> void;
  auto Unlink(slot_list& aList, slot_index aSlot) -> void;

  std::map<std::uint32_t, tier_state> mTiers;
  std::vector<ticket_slot> mSlots;
  std::vector<slot_index> mFreeSlots;
  slot_map mSlotByRequest;
  /// Min-heap by deadline; its top always belongs to a waiting ticket.
  std::vector<deadline_entry> mDeadlines;
};

} // namespace bronzering

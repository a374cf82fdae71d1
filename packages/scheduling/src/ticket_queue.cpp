#include <bronzering/scheduling/ticket_queue.h>

#include <algorithm>
#include <cassert>
#include <functional>

namespace bronzering {

namespace {

/// Stale references are purged when they outnumber the waiting tickets by more than this.
constexpr auto kStaleReferenceSlack = std::size_t{ 64 };

} // namespace

auto ticket_queue::Append(slot_list& aList, slot_index aSlot) -> void
{
  mSlots[aSlot].mLinks = { aList.mLast, kNoSlot };
  if (aList.mLast == kNoSlot) {
    aList.mFirst = aSlot;
  } else {
    mSlots[aList.mLast].mLinks.mNext = aSlot;
  }
  aList.mLast = aSlot;
}

auto ticket_queue::Unlink(slot_list& aList, slot_index aSlot) -> void
{
  const auto links = mSlots[aSlot].mLinks;
  if (links.mPrevious == kNoSlot) {
    aList.mFirst = links.mNext;
  } else {
    mSlots[links.mPrevious].mLinks.mNext = links.mNext;
  }
  if (links.mNext == kNoSlot) {
    aList.mLast = links.mPrevious;
  } else {
    mSlots[links.mNext].mLinks.mPrevious = links.mPrevious;
  }
}

auto ticket_queue::Push(queued_ticket aTicket) -> bool
{
  assert(aTicket.mWeight > 0);

  // Allocate a slot for the ticket.
  const auto isDuplicate = !mSlotByRequest.try_emplace(aTicket.mRequest, kNoSlot).second;
  if (isDuplicate) {
    return false;
  }
  if (mFreeSlots.empty()) {
    mFreeSlots.push_back(static_cast<slot_index>(mSlots.size()));
    mSlots.emplace_back();
  }
  const auto index = mFreeSlots.back();
  mFreeSlots.pop_back();
  mSlotByRequest[aTicket.mRequest] = index;
  const auto reference = slot_reference{ index, mSlots[index].mGeneration };
  if (mDeadlines.size() > 2 * mSlotByRequest.size() + kStaleReferenceSlack) {
    std::erase_if(mDeadlines, [this](const auto& aEntry) { return !IsWaiting(aEntry.mTicket); });
    std::make_heap(mDeadlines.begin(), mDeadlines.end(), std::greater{});
  }
  mDeadlines.push_back({ aTicket.mDeadline, reference });
  std::push_heap(mDeadlines.begin(), mDeadlines.end(), std::greater{});

  // Append it to its organisation, which restarts at the tier's virtual time if it was idle.
  auto& tier = mTiers[aTicket.mRank];
  const auto flowIndex = FlowFor(tier, aTicket.mOrganisation, aTicket.mWeight);
  auto& flow = tier.mFlows[flowIndex];
  flow.mWeight = aTicket.mWeight;
  if (flow.mCount == 0) {
    flow.mVirtualTime = std::max(flow.mVirtualTime, tier.mVirtualTime);
    tier.mBackloggedFlows.Set(flowIndex, flow.mVirtualTime);
  }
  ++flow.mCount;
  ++tier.mCount;
  tier.mCost += aTicket.mCost;
  mSlots[index].mTicket = std::move(aTicket);
  mSlots[index].mFlow = flowIndex;
  Append(flow.mTickets, index);
  if (tier.mArrivals.size() > 2 * tier.mCount + kStaleReferenceSlack) {
    std::erase_if(tier.mArrivals, [this](const auto& aEntry) { return !IsWaiting(aEntry); });
  }
  tier.mArrivals.push_back(reference);
  return true;
}

auto ticket_queue::FlowFor(tier_state& aTier, std::string_view aOrganisation, double aWeight)
  -> flow_index
{
  auto name = std::string(aOrganisation);
  const auto found = aTier.mFlowByOrganisation.find(name);
  if (found != aTier.mFlowByOrganisation.end()) {
    return found->second;
  }

  if (aTier.mFlowByOrganisation.size() >= aTier.mIdleFlowThreshold) {
    RemoveIdleFlows(aTier);
  }
  if (aTier.mFreeFlows.empty()) {
    aTier.mFreeFlows.push_back(static_cast<flow_index>(aTier.mFlows.size()));
    aTier.mFlows.emplace_back();
  }
  const auto index = aTier.mFreeFlows.back();
  aTier.mFreeFlows.pop_back();
  aTier.mFlowByOrganisation.emplace(name, index);
  auto created = organisation_flow{};
  created.mName = std::move(name);
  created.mWeight = aWeight;
  created.mVirtualTime = aTier.mVirtualTime;
  aTier.mFlows[index] = std::move(created);
  return index;
}

// Removes idle organisations that would restart at the tier's virtual time anyway. The next
// threshold is twice the number that remains, so that the amortised cost per new organisation is
// constant.
auto ticket_queue::RemoveIdleFlows(tier_state& aTier) -> void
{
  for (auto entry = aTier.mFlowByOrganisation.begin(); entry != aTier.mFlowByOrganisation.end();) {
    const auto& flow = aTier.mFlows[entry->second];
    if (flow.mCount == 0 && flow.mVirtualTime <= aTier.mVirtualTime) {
      aTier.mFreeFlows.push_back(entry->second);
      entry = aTier.mFlowByOrganisation.erase(entry);
    } else {
      ++entry;
    }
  }
  aTier.mIdleFlowThreshold = std::max<std::size_t>(1024, 2 * aTier.mFlowByOrganisation.size());
}

auto ticket_queue::Next(std::size_t aLimit) const -> std::vector<const queued_ticket*>
{
  auto tickets = std::vector<const queued_ticket*>{};
  for (const auto& [rank, tier] : mTiers) {
    if (tier.mCount == 0) {
      continue;
    }
    for (const auto index : tier.mBackloggedFlows.First(aLimit)) {
      tickets.push_back(&mSlots[tier.mFlows[index].mTickets.mFirst].mTicket);
    }
    break;
  }
  return tickets;
}

auto ticket_queue::Front() const -> const queued_ticket*
{
  for (const auto& [rank, tier] : mTiers) {
    if (tier.mCount > 0) {
      return &mSlots[tier.mFlows[tier.mBackloggedFlows.TopItem()].mTickets.mFirst].mTicket;
    }
  }
  return nullptr;
}

auto ticket_queue::Take(request_id aRequest) -> std::optional<queued_ticket>
{
  const auto found = mSlotByRequest.find(aRequest);
  if (found == mSlotByRequest.end()) {
    return std::nullopt;
  }
  const auto slotIndex = found->second;
  const auto flowIndex = mSlots[slotIndex].mFlow;
  auto& tier = mTiers.find(mSlots[slotIndex].mTicket.mRank)->second;

  // The tier's virtual time is the lowest start tag, even when another organisation is served.
  tier.mVirtualTime = std::max(tier.mVirtualTime, tier.mBackloggedFlows.TopKey());
  auto& flow = tier.mFlows[flowIndex];
  flow.mVirtualTime += mSlots[slotIndex].mTicket.mCost / flow.mWeight;
  tier.mBackloggedFlows.Set(flowIndex, flow.mVirtualTime);
  return Remove(found);
}

auto ticket_queue::Charge(std::uint32_t aRank,
                          std::string_view aOrganisation,
                          double aWeight,
                          double aCost) -> void
{
  assert(aWeight > 0);
  auto& tier = mTiers[aRank];
  const auto index = FlowFor(tier, aOrganisation, aWeight);
  auto& flow = tier.mFlows[index];
  if (flow.mCount == 0 && aCost > 0) {
    flow.mVirtualTime = std::max(flow.mVirtualTime, tier.mVirtualTime);
  }
  flow.mVirtualTime += aCost / flow.mWeight;
  if (flow.mCount > 0) {
    tier.mBackloggedFlows.Set(index, flow.mVirtualTime);
  }
}

auto ticket_queue::Remove(slot_map::iterator aEntry) -> queued_ticket
{
  const auto index = aEntry->second;
  auto& slot = mSlots[index];
  auto& tier = mTiers.find(slot.mTicket.mRank)->second;
  auto& flow = tier.mFlows[slot.mFlow];
  Unlink(flow.mTickets, index);
  --tier.mCount;
  tier.mCost = tier.mCount == 0 ? 0 : tier.mCost - slot.mTicket.mCost;
  if (--flow.mCount == 0) {
    tier.mBackloggedFlows.Erase(slot.mFlow);
  }

  // Free the slot, and remove stale references from the top of the deadline heap.
  auto ticket = std::move(slot.mTicket);
  ++slot.mGeneration;
  mSlotByRequest.erase(aEntry);
  mFreeSlots.push_back(index);
  while (!mDeadlines.empty() && !IsWaiting(mDeadlines.front().mTicket)) {
    std::pop_heap(mDeadlines.begin(), mDeadlines.end(), std::greater{});
    mDeadlines.pop_back();
  }
  return ticket;
}

auto ticket_queue::IsWaiting(slot_reference aReference) const -> bool
{
  return mSlots[aReference.mSlot].mGeneration == aReference.mGeneration;
}

auto ticket_queue::Cancel(request_id aRequest) -> bool
{
  const auto found = mSlotByRequest.find(aRequest);
  if (found == mSlotByRequest.end()) {
    return false;
  }
  Remove(found);
  return true;
}

auto ticket_queue::Expire(time_point aNow) -> std::vector<queued_ticket>
{
  auto expired = std::vector<queued_ticket>{};
  while (!mDeadlines.empty() && mDeadlines.front().mDeadline <= aNow) {
    const auto& ticket = mSlots[mDeadlines.front().mTicket.mSlot].mTicket;
    expired.push_back(Remove(mSlotByRequest.find(ticket.mRequest)));
  }
  return expired;
}

auto ticket_queue::NextDeadline() const -> std::optional<time_point>
{
  return mDeadlines.empty() ? std::nullopt : std::optional(mDeadlines.front().mDeadline);
}

auto ticket_queue::Find(request_id aRequest) const -> const queued_ticket*
{
  const auto found = mSlotByRequest.find(aRequest);
  return found == mSlotByRequest.end() ? nullptr : &mSlots[found->second].mTicket;
}

auto ticket_queue::Last() -> const queued_ticket*
{
  for (auto entry = mTiers.rbegin(); entry != mTiers.rend(); ++entry) {
    auto& arrivals = entry->second.mArrivals;
    while (!arrivals.empty() && !IsWaiting(arrivals.back())) {
      arrivals.pop_back();
    }
    if (!arrivals.empty()) {
      return &mSlots[arrivals.back().mSlot].mTicket;
    }
  }
  return nullptr;
}

auto ticket_queue::HighestRank() const -> std::optional<std::uint32_t>
{
  for (const auto& [rank, tier] : mTiers) {
    if (tier.mCount > 0) {
      return rank;
    }
  }
  return std::nullopt;
}

auto ticket_queue::Load() const -> std::vector<tier_load>
{
  auto loads = std::vector<tier_load>{};
  for (const auto& [rank, tier] : mTiers) {
    if (tier.mCount > 0) {
      loads.push_back({ rank, tier.mCount, tier.mCost });
    }
  }
  return loads;
}

auto ticket_queue::Organisations(std::uint32_t aRank) const
  -> std::map<std::string, std::size_t, std::less<>>
{
  auto waiting = std::map<std::string, std::size_t, std::less<>>{};
  const auto found = mTiers.find(aRank);
  if (found != mTiers.end()) {
    for (const auto& flow : found->second.mFlows) {
      if (flow.mCount > 0) {
        waiting.emplace(flow.mName, flow.mCount);
      }
    }
  }
  return waiting;
}

} // namespace bronzering

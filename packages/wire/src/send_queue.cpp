#include <bronzering/wire/send_queue.h>

#include <bronzering/base/overloaded.h>
#include <bronzering/wire/frame.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace bronzering {

auto ClassOf(const peer_message& aMessage) -> message_class
{
  using enum message_urgency;
  return std::visit(overloaded{ [](const dispatch& aBody) {
                                 return message_class{ Bulk, aBody.mTicket.mRequest };
                               },
                                [](const answer_head& aBody) {
                                  return message_class{ Bulk, aBody.mRequest };
                                },
                                [](const answer_data& aBody) {
                                  return message_class{ Bulk, aBody.mRequest };
                                },
                                [](const answer_end& aBody) {
                                  return message_class{ Bulk, aBody.mRequest };
                                },
                                [](const config_digest&) {
                                  return message_class{ Bulk, {} };
                                },
                                [](const config_sections&) {
                                  return message_class{ Bulk, {} };
                                },
                                [](const auto& aBody) {
                                  if constexpr (requires { aBody.mRequest; }) {
                                    return message_class{ Urgent, aBody.mRequest };
                                  } else {
                                    return message_class{ Urgent, {} };
                                  }
                                } },
                    aMessage);
}

auto send_queue::Push(std::string aPayload, message_class aClass) -> void
{
  auto entry =
    message{ std::make_shared<const std::string>(std::move(aPayload)), 0, mNextStream++ };

  // An urgent message must not overtake a bulk message of the same request.
  const auto hasRequest = aClass.mOrderingKey != request_id();
  const auto isBulk =
    aClass.mUrgency == message_urgency::Bulk || (hasRequest && mBulk.contains(aClass.mOrderingKey));
  if (!isBulk) {
    mUrgent.push_back(std::move(entry));
    return;
  }
  auto& queue = mBulk[aClass.mOrderingKey];
  if (queue.empty()) {
    mRoundRobin.push_back(aClass.mOrderingKey);
  }
  queue.push_back(std::move(entry));
}

auto send_queue::Pop() -> std::optional<queued_fragment>
{
  if (!mUrgent.empty()) {
    return TakeFragment(mUrgent);
  }
  if (mRoundRobin.empty()) {
    return std::nullopt;
  }

  // A request with more bulk messages moves to the end of the round-robin list.
  const auto position = mBulk.find(mRoundRobin.front());
  auto result = TakeFragment(position->second);
  if (position->second.empty()) {
    mBulk.erase(position);
    mRoundRobin.pop_front();
  } else {
    mRoundRobin.splice(mRoundRobin.end(), mRoundRobin, mRoundRobin.begin());
  }
  return result;
}

auto send_queue::TakeFragment(std::deque<message>& aQueue) -> queued_fragment
{
  auto& front = aQueue.front();
  const auto length = std::min(kMaxFragmentBytes, front.mPayload->size() - front.mSentBytes);
  const auto isLast = front.mSentBytes + length == front.mPayload->size();
  auto result = queued_fragment{ front.mPayload, front.mSentBytes, length, front.mStream, isLast };
  front.mSentBytes += length;
  if (isLast) {
    aQueue.pop_front();
  }
  return result;
}

} // namespace bronzering

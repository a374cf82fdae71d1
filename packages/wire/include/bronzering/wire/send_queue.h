#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/coordination/messages.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace bronzering {

enum class message_urgency
{
  /// Small and waited for: sent before all bulk messages of other requests.
  Urgent,
  /// Possibly long: shares the link with the other bulk messages by turns.
  Bulk
};

/// How a message is ordered on a link. Messages with the same mOrder are delivered in the order
/// sent. Urgent messages keep the order among themselves, except that one whose mOrder has bulk
/// messages waiting follows those.
struct message_class
{
  message_urgency mUrgency = message_urgency::Urgent;
  /// The request concerned; the default value stands for messages that concern none.
  request_id mOrderingKey;
};

/// Urgency and order of a message, as peers send it. Thread-safe.
[[nodiscard]] auto ClassOf(const peer_message& aMessage) -> message_class;

/// An encoded message, shared by its fragments until the last one is acknowledged.
using shared_payload = std::shared_ptr<const std::string>;

/// A part of a message that is ready to be numbered and sent.
struct queued_fragment
{
  shared_payload mPayload;
  std::size_t mOffset = 0;
  std::size_t mLength = 0;
  std::uint32_t mStream = 0;
  bool mLast = true;

  [[nodiscard]] auto Bytes() const -> std::string_view
  {
    return std::string_view(*mPayload).substr(mOffset, mLength);
  }
};

/// Messages waiting to be sent on one link, and the choice of the next fragment. Not thread-safe;
/// owned by a link_session.
class send_queue
{
public:
  auto Push(std::string aPayload, message_class aClass) -> void;
  /// Removes the next fragment; empty when nothing waits.
  [[nodiscard]] auto Pop() -> std::optional<queued_fragment>;
  [[nodiscard]] auto IsEmpty() const -> bool { return mUrgent.empty() && mRoundRobin.empty(); }

private:
  struct message
  {
    shared_payload mPayload;
    std::size_t mSentBytes = 0;
    std::uint32_t mStream = 0;
  };
  using bulk_queue = std::deque<message>;

  auto TakeFragment(std::deque<message>& aQueue) -> queued_fragment;

  std::deque<message> mUrgent;
  std::unordered_map<request_id, bulk_queue> mBulk;
  /// Requests with bulk messages, in the order of their turns.
  std::list<request_id> mRoundRobin;
  std::uint32_t mNextStream = 0;
};

} // namespace bronzering

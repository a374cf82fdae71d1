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
  /// Small and latency-sensitive: sent before all bulk messages of other requests.
  Urgent,
  /// Possibly large: shares the link with other bulk messages in round-robin order.
  Bulk
};

/// Send priority and ordering of a message. Messages with the same mOrderingKey are delivered in
/// the order sent. Urgent messages keep their order among themselves, except that an urgent message
/// whose mOrderingKey has queued bulk messages is sent after these.
struct message_class
{
  message_urgency mUrgency = message_urgency::Urgent;
  /// The request that the message belongs to; the default value means no request.
  request_id mOrderingKey;
};

/// Returns the urgency and ordering key with which peers send a message. Thread-safe.
[[nodiscard]] auto ClassOf(const peer_message& aMessage) -> message_class;

/// An encoded message, shared by its fragments until the last of them is acknowledged.
using shared_payload = std::shared_ptr<const std::string>;

/// A part of a message that is ready to be sent but has no sequence number yet.
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

/// Queues the outgoing messages of one link and selects the next fragment to send. Not thread-safe;
/// owned by a link_session.
class send_queue
{
public:
  auto Push(std::string aPayload, message_class aClass) -> void;
  /// Removes and returns the next fragment, or empty when the queue is empty.
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
  /// Ordering keys with queued bulk messages, in the order in which they are served.
  std::list<request_id> mRoundRobin;
  std::uint32_t mNextStream = 0;
};

} // namespace bronzering

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace bronzering {

/// Passes items to the thread that runs an io_context, in order and in batches: only the first item
/// of a batch posts a wake-up to that thread. Thread-safe.
template<class Item>
class batch_queue
{
public:
  /// aConsume is called on the thread that runs aContext.
  batch_queue(boost::asio::io_context& aContext, std::function<void(Item&)> aConsume)
    : mContext(aContext)
    , mShared(std::make_shared<shared>())
  {
    mShared->mConsume = std::move(aConsume);
  }
  /// Drops items that were not consumed. Precondition: called on the consuming thread, or after it
  /// ended.
  ~batch_queue() { Close(); }
  batch_queue(const batch_queue&) = delete;
  auto operator=(const batch_queue&) -> batch_queue& = delete;

  auto Push(Item aItem) -> void
  {
    {
      const auto lock = std::lock_guard(mShared->mMutex);
      mShared->mItems.push_back(std::move(aItem));
      if (mShared->mItems.size() > 1) {
        return;
      }
    }
    boost::asio::post(mContext, [queue = mShared] { queue->Drain(); });
  }

  /// Stops consuming; pending and later items are dropped. Precondition: as for the destructor.
  auto Close() -> void { mShared->mIsClosed = true; }

private:
  struct shared
  {
    std::mutex mMutex;
    std::vector<Item> mItems;
    std::function<void(Item&)> mConsume;
    /// Accessed on the consuming thread only.
    bool mIsClosed = false;

    auto Drain() -> void
    {
      std::vector<Item> items;
      {
        const auto lock = std::lock_guard(mMutex);
        items.swap(mItems);
      }
      for (auto& item : items) {
        if (mIsClosed) {
          return;
        }
        mConsume(item);
      }
    }
  };

  boost::asio::io_context& mContext;
  std::shared_ptr<shared> mShared;
};

} // namespace bronzering

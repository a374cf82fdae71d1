#pragma once

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

namespace bronzering {

/// Indexed 4-ary min-heap over items numbered from 0; equal keys are ordered by item number.
/// Changes a key or removes an item by its number in O(log n). Four children per node halve the
/// depth of a binary heap and keep siblings on one or two cache lines. Not thread-safe.
template<class Key>
class indexed_heap
{
public:
  using item = std::uint32_t;

  [[nodiscard]] auto empty() const -> bool { return mNodes.empty(); }
  [[nodiscard]] auto size() const -> std::size_t { return mNodes.size(); }
  [[nodiscard]] auto Contains(item aItem) const -> bool
  {
    return aItem < mPositions.size() && mPositions[aItem] != kAbsent;
  }
  /// Precondition: not empty.
  [[nodiscard]] auto TopItem() const -> item { return mNodes.front().mItem; }
  /// Precondition: not empty.
  [[nodiscard]] auto TopKey() const -> const Key& { return mNodes.front().mKey; }

  /// Inserts the item or changes its key.
  auto Set(item aItem, Key aKey) -> void
  {
    if (aItem >= mPositions.size()) {
      mPositions.resize(aItem + 1, kAbsent);
    }
    auto position = mPositions[aItem];
    if (position == kAbsent) {
      position = static_cast<std::uint32_t>(mNodes.size());
      mNodes.push_back({ aKey, aItem });
      mPositions[aItem] = position;
    } else {
      mNodes[position].mKey = aKey;
    }
    SiftDown(SiftUp(position));
  }

  /// Does nothing when the item is absent.
  auto Erase(item aItem) -> void
  {
    if (!Contains(aItem)) {
      return;
    }
    const auto position = mPositions[aItem];
    mPositions[aItem] = kAbsent;
    const auto last = mNodes.back();
    mNodes.pop_back();
    if (position < mNodes.size()) {
      mNodes[position] = last;
      mPositions[last.mItem] = position;
      SiftDown(SiftUp(position));
    }
  }

  /// The aLimit items with the lowest keys, in ascending order of key, in O(aLimit²).
  [[nodiscard]] auto First(std::size_t aLimit) const -> std::vector<item>
  {
    auto found = std::vector<item>{};
    auto frontier = std::vector<std::uint32_t>{};
    if (!mNodes.empty()) {
      frontier.push_back(0);
    }
    while (!frontier.empty() && found.size() < aLimit) {
      const auto next = std::min_element(
        frontier.begin(), frontier.end(), [this](std::uint32_t aLeft, std::uint32_t aRight) {
          return mNodes[aLeft] < mNodes[aRight];
        });
      const auto position = *next;
      *next = frontier.back();
      frontier.pop_back();
      found.push_back(mNodes[position].mItem);
      for (auto child = FirstChild(position); child < EndOfChildren(position); ++child) {
        frontier.push_back(child);
      }
    }
    return found;
  }

private:
  static constexpr auto kAbsent = std::numeric_limits<std::uint32_t>::max();
  static constexpr std::uint32_t kArity = 4;

  struct node
  {
    Key mKey;
    item mItem;

    auto operator<(const node& aOther) const -> bool
    {
      return mKey < aOther.mKey || (!(aOther.mKey < mKey) && mItem < aOther.mItem);
    }
  };

  [[nodiscard]] static auto FirstChild(std::uint32_t aPosition) -> std::uint32_t
  {
    return aPosition * kArity + 1;
  }
  [[nodiscard]] auto EndOfChildren(std::uint32_t aPosition) const -> std::uint32_t
  {
    return std::min(FirstChild(aPosition) + kArity, static_cast<std::uint32_t>(mNodes.size()));
  }

  auto Place(std::uint32_t aPosition, node aNode) -> void
  {
    mPositions[aNode.mItem] = aPosition;
    mNodes[aPosition] = std::move(aNode);
  }

  auto SiftUp(std::uint32_t aPosition) -> std::uint32_t
  {
    auto moved = mNodes[aPosition];
    while (aPosition > 0) {
      const auto parent = (aPosition - 1) / kArity;
      if (!(moved < mNodes[parent])) {
        break;
      }
      Place(aPosition, mNodes[parent]);
      aPosition = parent;
    }
    Place(aPosition, moved);
    return aPosition;
  }

  auto SiftDown(std::uint32_t aPosition) -> void
  {
    auto moved = mNodes[aPosition];
    while (true) {
      const auto end = EndOfChildren(aPosition);
      auto smallest = FirstChild(aPosition);
      if (smallest >= end) {
        break;
      }
      for (auto child = smallest + 1; child < end; ++child) {
        if (mNodes[child] < mNodes[smallest]) {
          smallest = child;
        }
      }
      if (!(mNodes[smallest] < moved)) {
        break;
      }
      Place(aPosition, mNodes[smallest]);
      aPosition = smallest;
    }
    Place(aPosition, moved);
  }

  std::vector<node> mNodes;
  std::vector<std::uint32_t> mPositions;
};

} // namespace bronzering

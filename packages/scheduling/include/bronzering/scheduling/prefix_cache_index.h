#pragma once

#include <bronzering/base/ids.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bronzering {

/// An entry's guess which endpoints hold which prompt blocks in their prefix cache. Bounded: the
/// block not used for the longest time is forgotten first. It learns from every grant and answer,
/// so wrong guesses are corrected by use. Not thread-safe: owned by the control thread.
class prefix_cache_index
{
public:
  /// Endpoints remembered for one block; a popular block is on more, but these are enough to choose
  /// from.
  static constexpr std::size_t kEndpointsPerBlock = 4;

  /// Precondition: aMaxBlocks > 0.
  explicit prefix_cache_index(std::size_t aMaxBlocks);

  /// The endpoint holds the first aCachedBlocks of the prompt and not the next one.
  auto Record(std::span<const prefix_hash> aPrefix,
              std::string_view aEndpoint,
              std::size_t aCachedBlocks) -> void;
  /// Number of leading blocks that the endpoint is believed to hold.
  [[nodiscard]] auto CachedBlocks(std::span<const prefix_hash> aPrefix,
                                  std::string_view aEndpoint) const -> std::size_t;
  /// Endpoints that are believed to hold the first block, the most recent one first.
  [[nodiscard]] auto HoldersOf(prefix_hash aBlock) const -> std::vector<std::string>;
  /// The endpoint lost its cache.
  auto Forget(std::string_view aEndpoint) -> void;
  [[nodiscard]] auto BlockCount() const -> std::size_t { return mBlocks.size(); }

private:
  using endpoint_number = std::uint32_t;
  struct block
  {
    prefix_hash mHash;
    /// Endpoint numbers from 1, the most recent one first; zero marks a free place.
    std::array<endpoint_number, kEndpointsPerBlock> mHolders{};
  };

  auto NumberOf(std::string_view aEndpoint) const -> endpoint_number;
  auto AddHolder(prefix_hash aHash, endpoint_number aEndpoint) -> void;
  auto RemoveHolder(prefix_hash aHash, endpoint_number aEndpoint) -> void;

  std::size_t mMaxBlocks;
  /// The most recently used block first.
  std::list<block> mOrder;
  std::unordered_map<prefix_hash, std::list<block>::iterator> mBlocks;
  /// A forgotten endpoint's number is never used again, so its blocks count as free places.
  std::unordered_map<std::string, endpoint_number> mNumbers;
  std::unordered_map<endpoint_number, std::string> mNames;
  endpoint_number mLastNumber = 0;
};

} // namespace bronzering

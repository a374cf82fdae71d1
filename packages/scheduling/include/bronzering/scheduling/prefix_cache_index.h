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

/// An entry's estimate of which endpoints have which prompt blocks in their prefix cache, as a
/// bounded LRU map. Every grant and answer updates it, so wrong entries are corrected when they are
/// used. Not thread-safe: owned by the control thread.
class prefix_cache_index
{
public:
  /// Endpoints stored per block. A common block is cached by more, but these are enough candidates.
  static constexpr std::size_t kEndpointsPerBlock = 4;

  /// Precondition: aMaxBlocks > 0.
  explicit prefix_cache_index(std::size_t aMaxBlocks);

  /// Records that the endpoint has cached the first aCachedBlocks blocks of the prompt and none of
  /// the following ones.
  auto Record(std::span<const prefix_hash> aPrefix,
              std::string_view aEndpoint,
              std::size_t aCachedBlocks) -> void;
  /// Estimated number of leading blocks that the endpoint has cached.
  [[nodiscard]] auto CachedBlocks(std::span<const prefix_hash> aPrefix,
                                  std::string_view aEndpoint) const -> std::size_t;
  /// Endpoints that are estimated to have the block cached, the most recently recorded one first.
  [[nodiscard]] auto HoldersOf(prefix_hash aBlock) const -> std::vector<std::string>;
  /// Removes an endpoint that has lost its cache.
  auto RemoveEndpoint(std::string_view aEndpoint) -> void;
  [[nodiscard]] auto BlockCount() const -> std::size_t { return mBlocks.size(); }

private:
  using endpoint_number = std::uint32_t;
  struct block
  {
    prefix_hash mHash;
    /// Endpoint numbers from 1, the most recent one first; zero marks an unused element.
    std::array<endpoint_number, kEndpointsPerBlock> mHolders{};
  };

  auto NumberOf(std::string_view aEndpoint) const -> endpoint_number;
  auto AddHolder(prefix_hash aHash, endpoint_number aEndpoint) -> void;
  auto RemoveHolder(prefix_hash aHash, endpoint_number aEndpoint) -> void;

  std::size_t mMaxBlocks;
  /// LRU list, the most recently used block first.
  std::list<block> mLruOrder;
  std::unordered_map<prefix_hash, std::list<block>::iterator> mBlocks;
  /// The number of a removed endpoint is never reused, so blocks that still contain it are ignored.
  std::unordered_map<std::string, endpoint_number> mNumberByEndpoint;
  std::unordered_map<endpoint_number, std::string> mEndpointByNumber;
  endpoint_number mLastNumber = 0;
};

} // namespace bronzering

#include <bronzering/scheduling/prefix_cache_model.h>

#include <algorithm>
#include <cassert>

namespace bronzering {

namespace {

/// Weight of a new sample in the moving average of the confidence.
constexpr auto kConfidenceSampleWeight = 0.2;
/// Lower bound that keeps estimates above zero, so that later requests can raise the confidence
/// again.
constexpr auto kMinConfidence = 0.05;

} // namespace

prefix_cache_model::prefix_cache_model(std::size_t aMaxBlocks)
  : mMaxBlocks(aMaxBlocks)
{
  assert(aMaxBlocks > 0);
}

auto prefix_cache_model::OnEvent(std::uint64_t aSequence,
                                 std::span<const prefix_hash> aStored,
                                 std::span<const prefix_hash> aEvicted) -> void
{
  if (aSequence <= mLastSequence) {
    return;
  }
  if (mLastSequence != 0 && aSequence != mLastSequence + 1) {
    ++mEpoch;
  }
  mLastSequence = aSequence;
  for (const auto hash : aStored) {
    Store(hash);
  }
  for (const auto hash : aEvicted) {
    Evict(hash);
  }
}

auto prefix_cache_model::OnRequestCompleted(std::span<const prefix_hash> aPrefix,
                                            std::uint64_t aPromptTokens,
                                            std::uint64_t aCachedTokens) -> void
{
  // The confidence falls when the engine found less cached than estimated, which happens when
  // evictions are reported late or when its cache is smaller than mMaxBlocks.
  const auto estimated = CachedTokens(aPrefix, aPromptTokens);
  if (estimated > 0) {
    const auto hitRatio =
      static_cast<double>(aCachedTokens) * mConfidence / static_cast<double>(estimated);
    mConfidence +=
      kConfidenceSampleWeight * (std::clamp(hitRatio, kMinConfidence, 1.0) - mConfidence);
  }
  for (const auto hash : aPrefix) {
    Store(hash);
  }
}

auto prefix_cache_model::Reset() -> void
{
  mBlocks.clear();
  mLruOrder.clear();
  mLastSequence = 0;
  mConfidence = 1;
}

auto prefix_cache_model::CachedTokens(std::span<const prefix_hash> aPrefix,
                                      std::uint64_t aPromptTokens) const -> std::uint64_t
{
  if (aPrefix.empty()) {
    return 0;
  }
  auto blocks = std::uint64_t{ 0 };
  for (const auto hash : aPrefix) {
    const auto found = mBlocks.find(hash);
    if (found == mBlocks.end() || found->second.mEpoch != mEpoch) {
      break;
    }
    ++blocks;
  }
  const auto estimated = std::min(aPromptTokens, blocks * (aPromptTokens / aPrefix.size()));
  return static_cast<std::uint64_t>(static_cast<double>(estimated) * mConfidence);
}

auto prefix_cache_model::Store(prefix_hash aHash) -> void
{
  const auto found = mBlocks.find(aHash);
  if (found != mBlocks.end()) {
    found->second.mEpoch = mEpoch;
    mLruOrder.splice(mLruOrder.end(), mLruOrder, found->second.mLruEntry);
    return;
  }
  if (mBlocks.size() >= mMaxBlocks) {
    Evict(mLruOrder.front());
  }
  mLruOrder.push_back(aHash);
  mBlocks.emplace(aHash, block{ std::prev(mLruOrder.end()), mEpoch });
}

auto prefix_cache_model::Evict(prefix_hash aHash) -> void
{
  const auto found = mBlocks.find(aHash);
  if (found != mBlocks.end()) {
    mLruOrder.erase(found->second.mLruEntry);
    mBlocks.erase(found);
  }
}

} // namespace bronzering

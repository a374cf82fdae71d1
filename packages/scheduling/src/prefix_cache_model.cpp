#include <bronzering/scheduling/prefix_cache_model.h>

#include <algorithm>
#include <cassert>

namespace bronzering {

namespace {

/// Weight of one report in the confidence.
constexpr auto kConfidenceStep = 0.2;
/// Keeps a claim above zero, so that later reports can raise the confidence again.
constexpr auto kLowestConfidence = 0.05;

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
  // Lowers the confidence in all estimates when the engine found less than the view promised, as it
  // does when evictions are reported late or its cache is smaller than the view.
  const auto claimed = CachedTokens(aPrefix, aPromptTokens);
  if (claimed > 0) {
    const auto held =
      static_cast<double>(aCachedTokens) * mConfidence / static_cast<double>(claimed);
    mConfidence += kConfidenceStep * (std::clamp(held, kLowestConfidence, 1.0) - mConfidence);
  }
  for (const auto hash : aPrefix) {
    Store(hash);
  }
}

auto prefix_cache_model::Reset() -> void
{
  mBlocks.clear();
  mUses.clear();
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
  const auto claimed = std::min(aPromptTokens, blocks * (aPromptTokens / aPrefix.size()));
  return static_cast<std::uint64_t>(static_cast<double>(claimed) * mConfidence);
}

auto prefix_cache_model::Store(prefix_hash aHash) -> void
{
  const auto found = mBlocks.find(aHash);
  if (found != mBlocks.end()) {
    found->second.mEpoch = mEpoch;
    mUses.splice(mUses.end(), mUses, found->second.mUse);
    return;
  }
  if (mBlocks.size() >= mMaxBlocks) {
    Evict(mUses.front());
  }
  mUses.push_back(aHash);
  mBlocks.emplace(aHash, block{ std::prev(mUses.end()), mEpoch });
}

auto prefix_cache_model::Evict(prefix_hash aHash) -> void
{
  const auto found = mBlocks.find(aHash);
  if (found != mBlocks.end()) {
    mUses.erase(found->second.mUse);
    mBlocks.erase(found);
  }
}

} // namespace bronzering

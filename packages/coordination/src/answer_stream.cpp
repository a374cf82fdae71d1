#include "answer_stream.h"

#include <algorithm>

namespace bronzering {

answer_stream::answer_stream(std::uint64_t aWindowBytes)
  : mWindowBytes(aWindowBytes)
  , mLimit(aWindowBytes)
{
}

auto answer_stream::Accept(const answer_data& aData) -> bool
{
  if (aData.mOffset != mReceived || aData.mBytes.size() > mLimit - mReceived) {
    return false;
  }
  mReceived += aData.mBytes.size();
  return true;
}

auto answer_stream::IsFullyReceived(std::uint64_t aTotalBytes) const -> bool
{
  return aTotalBytes == mReceived;
}

auto answer_stream::OnProgress(std::uint64_t aTotalBytes) -> std::optional<std::uint64_t>
{
  // A quarter of the window at a time keeps the messages few and the agent busy.
  const auto limit = std::min(aTotalBytes, mReceived) + mWindowBytes;
  if (limit < mLimit + std::max<std::uint64_t>(1, mWindowBytes / 4)) {
    return std::nullopt;
  }
  mLimit = limit;
  return limit;
}

} // namespace bronzering

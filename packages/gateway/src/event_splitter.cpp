#include "event_splitter.h"

#include "text_number.h"

#include <optional>

namespace bronzering {

namespace {

/// The value of the event's id field; empty when it has none.
auto ReadId(std::string_view aEvent) -> std::string_view
{
  constexpr auto kField = std::string_view("id:");
  while (!aEvent.empty()) {
    const auto end = aEvent.find('\n');
    auto line = aEvent.substr(0, end);
    if (line.starts_with(kField)) {
      line.remove_prefix(kField.size());
      while (!line.empty() && (line.front() == ' ')) {
        line.remove_prefix(1);
      }
      while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) {
        line.remove_suffix(1);
      }
      return line;
    }
    aEvent.remove_prefix(end == std::string_view::npos ? aEvent.size() : end + 1);
  }
  return {};
}

/// The position after the blank line that ends the first complete event; npos when there is none.
auto FindEventEnd(std::string_view aBytes) -> std::size_t
{
  for (auto at = aBytes.find('\n'); at != std::string_view::npos; at = aBytes.find('\n', at + 1)) {
    auto next = at + 1;
    if (next < aBytes.size() && aBytes[next] == '\r') {
      ++next;
    }
    if (next < aBytes.size() && aBytes[next] == '\n') {
      return next + 1;
    }
  }
  return std::string_view::npos;
}

} // namespace

auto event_splitter::Add(std::string_view aBytes) -> part
{
  auto result = part();
  mPending += aBytes;
  auto rest = std::string_view(mPending);
  for (auto end = FindEventEnd(rest); end != std::string_view::npos; end = FindEventEnd(rest)) {
    const auto event = rest.substr(0, end);
    rest.remove_prefix(end);
    const auto id = ReadId(event);
    const auto number = ParseUnsigned(id);
    const auto last = ParseUnsigned(mLastId);
    if (mIsResumed && number && last) {
      if (*number <= *last) {
        continue;
      }
      if (*number != *last + 1) {
        result.mHasGap = true;
        break;
      }
    }
    if (!id.empty()) {
      mLastId = id;
    }
    result.mBytes += event;
    ++result.mEvents;
    ++mEvents;
  }
  mPending = std::string(rest);
  return result;
}

auto event_splitter::BeginAttempt() -> void
{
  mPending.clear();
  mIsResumed = mEvents > 0;
}

} // namespace bronzering

#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// The last decisions of a node, for its dump and for the daemon's log. Holds names and numbers
/// only, never tokens or request contents. Not thread-safe: owned by the control thread.
class decision_log
{
public:
  static constexpr std::size_t kCapacity = 256;

  struct decision
  {
    wall_time mTime;
    /// Empty for decisions that concern no admitted request.
    request_id mRequest;
    /// What was decided, for example "dispatch" or a refusal's name.
    std::string mWhat;
    std::string mDetail;
    std::string mService;
    std::string mOrganisation;
    std::string mTier;
    std::string mEndpoint;
  };

  /// Adds a decision; the oldest one is dropped when the log is full.
  auto Add(decision aDecision) -> void;
  auto Add(instant aNow, request_id aRequest, std::string_view aWhat, std::string_view aDetail = {})
    -> void;

  /// All decisions, the newest first.
  [[nodiscard]] auto Dump() const -> boost::json::array;
  /// The decisions since the last call that are still held, the oldest first.
  [[nodiscard]] auto TakeNew() -> std::vector<boost::json::object>;

private:
  std::array<decision, kCapacity> mDecisions = {};
  std::uint64_t mCount = 0;
  std::uint64_t mTaken = 0;
};

} // namespace bronzering

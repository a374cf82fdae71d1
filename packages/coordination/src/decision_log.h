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

/// Ring buffer of the latest decisions of a node, for its dump and for the daemon's log. Contains
/// names and numbers only, never credentials or request contents. Not thread-safe: owned by the
/// control thread.
class decision_log
{
public:
  static constexpr std::size_t kCapacity = 256;

  struct decision
  {
    wall_time mTime;
    /// Default value for decisions that do not concern an admitted request.
    request_id mRequest;
    /// Name of the decision, for example "dispatch" or the name of a refusal.
    std::string mWhat;
    std::string mDetail;
    std::string mService;
    std::string mOrganisation;
    std::string mTier;
    std::string mEndpoint;
  };

  /// Adds a decision. Overwrites the oldest one if the log is full.
  auto Add(decision aDecision) -> void;
  auto Add(instant aNow, request_id aRequest, std::string_view aWhat, std::string_view aDetail = {})
    -> void;

  /// All stored decisions, newest first.
  [[nodiscard]] auto Dump() const -> boost::json::array;
  /// The stored decisions added since the last call, oldest first.
  [[nodiscard]] auto TakeNew() -> std::vector<boost::json::object>;

private:
  std::array<decision, kCapacity> mDecisions = {};
  std::uint64_t mCount = 0;
  std::uint64_t mTaken = 0;
};

} // namespace bronzering

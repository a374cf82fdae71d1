#include "decision_log.h"

#include <algorithm>

namespace bronzering {

namespace {

/// The non-empty fields of a decision, without its time. All attempts of a request are shown with
/// the id of the first attempt, so that they can be found together.
auto FieldsOf(const decision_log::decision& aDecision) -> boost::json::object
{
  auto fields = boost::json::object{ { "what", aDecision.mWhat } };
  if (const auto id = aDecision.mRequest; id != request_id{}) {
    const auto attempt = AttemptOf(id);
    fields["request"] = ToString({ id.mEntry, id.mSequence - attempt });
    fields["attempt"] = attempt;
  }
  const auto add = [&fields](std::string_view aName, const std::string& aValue) {
    if (!aValue.empty()) {
      fields[aName] = aValue;
    }
  };
  add("detail", aDecision.mDetail);
  add("service", aDecision.mService);
  add("organisation", aDecision.mOrganisation);
  add("tier", aDecision.mTier);
  add("endpoint", aDecision.mEndpoint);
  return fields;
}

} // namespace

auto decision_log::Add(decision aDecision) -> void
{
  mDecisions[mCount % kCapacity] = std::move(aDecision);
  ++mCount;
}

auto decision_log::Add(instant aNow,
                       request_id aRequest,
                       std::string_view aWhat,
                       std::string_view aDetail) -> void
{
  Add({ aNow.mWall, aRequest, std::string(aWhat), std::string(aDetail), {}, {}, {}, {} });
}

auto decision_log::Dump() const -> boost::json::array
{
  auto list = boost::json::array{};
  const auto held = std::min<std::uint64_t>(mCount, kCapacity);
  for (auto index = mCount; index > mCount - held; --index) {
    const auto& shown = mDecisions[(index - 1) % kCapacity];
    auto entry = FieldsOf(shown);
    entry["time_us"] = shown.mTime.time_since_epoch().count();
    list.push_back(std::move(entry));
  }
  return list;
}

auto decision_log::TakeNew() -> std::vector<boost::json::object>
{
  auto decisions = std::vector<boost::json::object>{};
  const auto held = std::min<std::uint64_t>(mCount - mTaken, kCapacity);
  for (auto index = mCount - held; index < mCount; ++index) {
    decisions.push_back(FieldsOf(mDecisions[index % kCapacity]));
  }
  mTaken = mCount;
  return decisions;
}

} // namespace bronzering

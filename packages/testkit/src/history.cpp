#include <bronzering/testkit/history.h>

#include <bronzering/base/hash.h>
#include <bronzering/base/overloaded.h>

namespace bronzering::testkit {

auto HashOf(const history& aHistory) -> std::uint64_t
{
  auto hash = std::uint64_t{ 0 };
  const auto add = [&](std::uint64_t aValue) { hash = CombineHashes(hash, aValue); };
  const auto addText = [&](std::string_view aText) { add(HashText(aText)); };

  for (const auto& [when, event] : aHistory) {
    add(static_cast<std::uint64_t>(when.time_since_epoch().count()));
    add(event.index());
    std::visit(overloaded{
                 [&](const request_sent& aEvent) { add(aEvent.mJob.mExchange.mValue); },
                 [&](const execution_started& aEvent) {
                   add(aEvent.mExchange.mValue);
                   addText(aEvent.mEndpoint);
                 },
                 [&](const answer_received& aEvent) {
                   add(aEvent.mExchange.mValue);
                   addText(aEvent.mBytes);
                 },
                 [&](const request_refused& aEvent) {
                   add(aEvent.mExchange.mValue);
                   add(static_cast<std::uint64_t>(aEvent.mReason));
                   add(static_cast<std::uint64_t>(aEvent.mRunState));
                 },
                 [&](const tickets_lost& aEvent) { addText(aEvent.mEndpoint); },
                 [&](const tickets_regained& aEvent) { addText(aEvent.mEndpoint); },
                 [&](const endpoint_leaving& aEvent) { addText(aEvent.mEndpoint); },
                 [&](const endpoint_stopped& aEvent) { addText(aEvent.mEndpoint); },
                 [&](const process_started& aEvent) { addText(aEvent.mProcess); },
                 [&](const section_in_force& aEvent) {
                   addText(aEvent.mSection);
                   add(aEvent.mRevision.mValue);
                 },
                 [&](const document_published& aEvent) { add(aEvent.mRevision.mValue); },
                 [&](const auto& aEvent) { add(aEvent.mExchange.mValue); },
               },
               event);
  }
  return hash;
}

} // namespace bronzering::testkit

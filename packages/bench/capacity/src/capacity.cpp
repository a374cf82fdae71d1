#include "extrapolation.h"
#include "fleet_document.h"
#include "meter.h"
#include "request_run.h"

#include <bronzering/base.h>
#include <bronzering/config/config_store.h>
#include <bronzering/coordination.h>
#include <bronzering/wire/link_session.h>
#include <bronzering/wire/message_codec.h>

#include <memory>
#include <utility>
#include <vector>

namespace bronzering {

namespace {

constexpr auto kNow =
  instant{ time_point(std::chrono::hours(1)), wall_time(std::chrono::hours(480'000)) };

/// Number of configuration changes over which a time is averaged.
constexpr auto kConfigurationChanges = std::uint64_t{ 20 };

auto EncodedBytes(const peer_message& aMessage) -> double
{
  return static_cast<double>(EncodeMessage(aMessage).size());
}

/// Prints the encoded sizes, with typical contents, of message types that RunRequests does not
/// send.
auto PrintOtherSizes(measured_costs& aMeasured) -> void
{
  const auto id = request_id{ 77, 1 };
  const auto samples = std::vector<peer_message>{
    cancel{ id },
    window{ id, 262'144 },
    credit{ "model0", { { 1 }, { 2 }, { 3 }, { 4 } }, std::chrono::seconds(1) },
    decline{ id, decline_reason::GrantExpired, std::chrono::seconds(1) },
    lease_request{ "model0-tokens", 1000 },
    lease_grant{ "model0-tokens", 1000, std::chrono::seconds(2) },
    lease_return{ "model0-tokens", 1000 },
  };
  for (const auto& sample : samples) {
    const auto bytes = EncodedBytes(sample);
    Print(std::string("encoded ") + MessageName(sample.index()) + " (sample)", bytes, "bytes");
    if (std::holds_alternative<lease_request>(sample) ||
        std::holds_alternative<lease_grant>(sample)) {
      aMeasured.mLeaseBytes += bytes;
    }
  }
}

auto MeasureRequests(measured_costs& aMeasured) -> void
{
  const auto costs = RunRequests(100, 64);
  Print("requests sent", static_cast<double>(costs.mRequests), "requests");
  Print("requests completed", static_cast<double>(costs.mCompleted), "requests");
  for (const auto& [reason, count] : costs.mRefused) {
    Print("requests refused, " + reason, static_cast<double>(count), "requests");
  }
  const auto requests = static_cast<double>(costs.mRequests);
  for (const auto& [name, cost] : costs.mEvents) {
    const auto count = static_cast<double>(cost.mCount);
    Print("processor time, " + name, cost.mNanoseconds / count / 1000, "us each");
    Print("count, " + name, count / requests, "per request");
    if (cost.mBytes > 0) {
      Print("encoded size, " + name, cost.mBytes / count, "bytes each");
    }
  }
  aMeasured.mRun = costs;
}

auto MeasureConfiguration(std::size_t aOrganisations) -> configuration_costs
{
  const auto label = std::to_string(aOrganisations) + " organisations, ";
  const auto first = FleetDocument(aOrganisations, 16, 1);
  const auto second = FleetDocument(aOrganisations, 16, 2);
  auto measured = configuration_costs{};
  measured.mOrganisations = static_cast<double>(aOrganisations);
  measured.mDocumentBytes = static_cast<double>(first.size());
  Print(label + "document", measured.mDocumentBytes, "bytes");

  // Measures an entry node that applies the first document and then changes of one weight in one
  // section.
  auto metrics = metrics_registry{};
  const auto before = HeapBytes();
  auto node = entry_node({ { process_role::Entry, "entry", "z", "", { 77 } }, 1 }, metrics);
  node.OnVmList({}, kNow);
  auto start = ProcessorTime();
  node.OnDocument({ 1 }, first, kNow);
  (void)node.TakeActions();
  Print(label + "first document", (ProcessorTime() - start) / 1e6, "ms");
  measured.mHeapBytes = HeapBytes() - before;
  Print(label + "heap of an entry_node", measured.mHeapBytes, "bytes");
  const auto current = node.Configuration();
  if (!current || current->mOrganisations.size() != aOrganisations) {
    Print(label + "NOT APPLIED; organisations in force",
          current ? static_cast<double>(current->mOrganisations.size()) : 0,
          "organisations");
  }
  start = ProcessorTime();
  for (auto change = std::uint64_t{ 0 }; change < kConfigurationChanges; ++change) {
    node.OnDocument({ 2 + change }, change % 2 == 0 ? second : first, kNow);
    (void)node.TakeActions();
  }
  measured.mChangeNanoseconds =
    (ProcessorTime() - start) / static_cast<double>(kConfigurationChanges);
  Print(label + "changed document from the service", measured.mChangeNanoseconds / 1e6, "ms");

  // Measures the same change received as a section from a peer.
  auto store = config_store{};
  store.ApplyDocument({ 1 }, first);
  auto newer = config_store{};
  newer.ApplyDocument({ 1 }, first);
  newer.ApplyDocument({ 2 }, second);
  auto digest = config_digest{ { 2 }, {}, std::chrono::seconds(1) };
  const auto announcement = EncodedBytes(digest);
  auto sections = config_sections{ { 2 }, {}, newer.Names(), std::chrono::seconds(1) };
  for (const auto& [name, section] : newer.Sections()) {
    digest.mSections.push_back({ name, section.mRevision, HashText(section.mText) });
    if (section.mText != store.Sections().at(name).mText) {
      sections.mSections.push_back(section);
    }
  }
  const auto original = store.Sections().at(sections.mSections.at(0).mName);
  start = ProcessorTime();
  for (auto change = std::uint64_t{ 0 }; change < kConfigurationChanges; ++change) {
    auto section = change % 2 == 0 ? sections.mSections.at(0) : original;
    section.mRevision = { 2 + change };
    store.ApplySections(section.mRevision, { section }, sections.mAllNames);
  }
  measured.mPeerChangeNanoseconds =
    (ProcessorTime() - start) / static_cast<double>(kConfigurationChanges);
  if (store.Revision() != revision{ 1 + kConfigurationChanges } ||
      node.Configuration()->mRevision != store.Revision()) {
    Print(
      label + "CHANGES NOT APPLIED; revision", static_cast<double>(store.Revision().mValue), "");
  }
  Print(label + "changed section from a peer", measured.mPeerChangeNanoseconds / 1e6, "ms");
  measured.mAnnouncementBytes = announcement;
  measured.mDigestBytes = EncodedBytes(digest);
  measured.mSectionsBytes = EncodedBytes(sections);
  Print(label + "sections", static_cast<double>(digest.mSections.size()), "sections");
  Print(label + "config_digest, announcement", announcement, "bytes");
  Print(label + "config_digest, all sections", measured.mDigestBytes, "bytes");
  Print(label + "config_sections, one changed section", measured.mSectionsBytes, "bytes");
  return measured;
}

auto MeasureWaiting() -> double
{
  constexpr auto kCount = std::size_t{ 8000 };
  auto metrics = metrics_registry{};
  auto node = entry_node({ { process_role::Entry, "entry", "z", "", { 77 } }, 1 }, metrics);
  node.OnVmList({}, kNow);
  node.OnDocument({ 1 }, FleetDocument(1000, 4), kNow);
  for (auto index = std::uint64_t{ 0 }; index < 4; ++index) {
    const auto name = "e" + std::to_string(index);
    node.OnPeerUp(
      { index + 1 }, { process_role::Agent, "vm-" + name, "z", name, { index + 1 } }, "", kNow);
  }
  (void)node.TakeActions();

  const auto before = HeapBytes();
  auto refused = std::size_t{ 0 };
  for (auto index = std::size_t{ 0 }; index < kCount; ++index) {
    auto request = caller_request{};
    request.mExchange = { index + 1 };
    request.mTokenDigest = TokenDigest(index % 1000);
    request.mModel = "model0";
    request.mMethod = "POST";
    request.mTarget = "/v1/completions";
    request.mBody = std::string(kBodyBytes, 'p');
    request.mPromptTokens = 1024;
    request.mOutputTokens = 100;
    request.mPrefix.assign(kPrefixBlocks, prefix_hash{ index });
    node.OnRequest(std::move(request), kNow);
    for (const auto& action : node.TakeActions()) {
      refused += std::holds_alternative<refuse_request>(action) ? 1 : 0;
    }
  }
  const auto bytes = (HeapBytes() - before) / static_cast<double>(kCount);
  Print("waiting requests refused in the memory run", static_cast<double>(refused), "requests");
  Print("heap per waiting request, 4 KiB body, 64 prefix blocks", bytes, "bytes");
  return bytes;
}

auto MeasureTickets() -> double
{
  constexpr auto kCount = std::size_t{ 20'000 };
  auto metrics = metrics_registry{};
  auto settings = agent_settings{};
  settings.mIdentity = { process_role::Agent, "vm-e0", "z", "e0", { std::uint64_t{ 1 } << 20U } };
  auto node = agent_node(settings, metrics);
  node.OnVmList({}, kNow);
  node.OnDocument({ 1 }, FleetDocument(1000, 4), kNow);
  node.OnEngineEvent(engine_health{ true }, kNow);
  node.OnPeerUp({ 1 }, { process_role::Entry, "entry", "z", "", { 77 } }, kNow);
  (void)node.TakeActions();

  const auto before = HeapBytes();
  auto declined = std::size_t{ 0 };
  for (auto index = std::size_t{ 0 }; index < kCount; ++index) {
    auto waitingTicket = ticket{};
    waitingTicket.mRequest = { 77, index + 1 };
    waitingTicket.mService = "model0";
    waitingTicket.mOrganisation = "org" + std::to_string(index % 1000);
    waitingTicket.mTier = "t" + std::to_string(index % 1000 % 4);
    waitingTicket.mPromptTokens = 1024;
    waitingTicket.mOutputTokens = 100;
    waitingTicket.mPrefix.assign(kPrefixBlocks, prefix_hash{ index });
    waitingTicket.mTimeLeft = std::chrono::seconds(30);
    node.OnMessage({ 1 }, std::move(waitingTicket), kNow);
    for (const auto& action : node.TakeActions()) {
      const auto* sent = std::get_if<send_message>(&action);
      declined += sent != nullptr && std::holds_alternative<decline>(sent->mMessage) ? 1 : 0;
    }
  }
  const auto bytes = (HeapBytes() - before) / static_cast<double>(kCount);
  Print("tickets declined in the memory run", static_cast<double>(declined), "tickets");
  Print("heap per ticket at an agent, 64 prefix blocks", bytes, "bytes");
  return bytes;
}

/// Measures a link_session and an entry node's state per peer; excludes sockets and TLS.
auto MeasureSessions(measured_costs& aMeasured) -> void
{
  constexpr auto kCount = std::size_t{ 1000 };
  const auto count = static_cast<double>(kCount);
  auto sessions = std::vector<std::unique_ptr<link_session>>();
  sessions.reserve(kCount);
  auto before = HeapBytes();
  for (auto index = std::size_t{ 0 }; index < kCount; ++index) {
    auto greeting = hello{};
    greeting.mIdentity = { process_role::Agent, "vm-agent-0001", "zone-a", "endpoint-1", { 5 } };
    greeting.mSession = index + 1;
    greeting.mAttempt = 1;
    sessions.push_back(std::make_unique<link_session>(
      process_identity{ process_role::Entry, "vm-entry-0001", "zone-a", "", { 7 } },
      greeting,
      index,
      link_settings{},
      kNow.mMonotonic));
  }
  const auto session = (HeapBytes() - before) / count;
  Print("heap per idle link_session", session, "bytes");

  auto metrics = metrics_registry{};
  auto node = entry_node({ { process_role::Entry, "entry", "z", "", { 77 } }, 1 }, metrics);
  node.OnVmList({}, kNow);
  node.OnDocument({ 1 }, FleetDocument(250, kCount), kNow);
  (void)node.TakeActions();
  before = HeapBytes();
  for (auto index = std::uint64_t{ 0 }; index < kCount; ++index) {
    const auto name = "e" + std::to_string(index);
    node.OnPeerUp(
      { index + 1 }, { process_role::Agent, "vm-" + name, "z", name, { index + 1 } }, "", kNow);
    (void)node.TakeActions();
  }
  const auto peer = (HeapBytes() - before) / count;
  Print("heap per agent known to an entry_node", peer, "bytes");
  aMeasured.mSessionBytes = session + peer;
}

} // namespace

} // namespace bronzering

auto main() -> int
{
  using namespace bronzering;
  auto measured = measured_costs{};
  MeasureRequests(measured);
  PrintOtherSizes(measured);
  measured.mWaitingBytes = MeasureWaiting();
  measured.mTicketBytes = MeasureTickets();
  MeasureSessions(measured);
  measured.mSmall = MeasureConfiguration(1000);
  measured.mLarge = MeasureConfiguration(4000);
  PrintExtrapolation(measured);
  return 0;
}

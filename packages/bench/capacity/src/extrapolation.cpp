#include "extrapolation.h"

#include "meter.h"

#include <cstdio>
#include <string>
#include <string_view>

namespace bronzering {

namespace {

// The planned deployment size, see "Sizes" in docs/design.md.
constexpr auto kEntries = 420.0;
constexpr auto kAgents = 3600.0;
constexpr auto kOrganisations = 28'000.0;
constexpr auto kRequestsPerSecond = 8600.0;
constexpr auto kTokensPerSecond = 4e6;
constexpr auto kChangesPerSecond = 8200.0 / 86'400;
constexpr auto kServices = 30.0;
constexpr auto kAgentsPerService = 32.0;

// The bounds for one node, and the maximum value size of the configuration service.
constexpr auto kMaxProcessorPercent = 2.4;
constexpr auto kMaxMemoryBytes = 128e6;
constexpr auto kMaxControlBytes = 5000.0;
constexpr auto kMaxDocumentBytes = 1024.0 * 1024;

/// Frame bytes on an idle link, measured by net_tests "[measure]"; excludes TLS record overhead.
constexpr auto kIdleBytesPerSecond = 4.8;
/// Maximum number of waiting requests at an entry (the default), each announced to 3 agents.
constexpr auto kWaitingPerEntry = 10'000.0;
constexpr auto kTicketsPerRequest = 3.0;
/// A limited budget is leased for 2 s; assumes that each entry leases one budget per service.
constexpr auto kLeaseSeconds = 2.0;
/// Maximum rate of statuses on one link: with 112 entries an agent sends them 1 s apart.
constexpr auto kStatusesPerSecond = 1.0;

auto PrintWithBound(const std::string& aName, double aValue, double aBound, const char* aUnit)
  -> void
{
  std::printf("%-58s %14.3f %s (bound %.1f): %s\n",
              aName.c_str(),
              aValue,
              aUnit,
              aBound,
              aValue <= aBound ? "fits" : "does not fit");
}

/// Extrapolates a member of configuration_costs linearly from the two measured sizes to
/// aOrganisations.
auto Extrapolate(const measured_costs& aMeasured,
                 double configuration_costs::*aMember,
                 double aOrganisations) -> double
{
  const auto& small = aMeasured.mSmall;
  const auto& large = aMeasured.mLarge;
  const auto slope =
    (large.*aMember - small.*aMember) / (large.mOrganisations - small.mOrganisations);
  return large.*aMember + slope * (aOrganisations - large.mOrganisations);
}

constexpr auto kStatusEvent = std::string_view("entry agent_status");

/// Processor time and control bytes of one request at one role, without answer parts, and the
/// processor time of one answer part.
struct request_cost
{
  double mNanoseconds = 0;
  double mBytes = 0;
  double mPartNanoseconds = 0;
};

auto IsPart(std::string_view aName) -> bool
{
  return aName.ends_with("answer_data") || aName.ends_with("engine_data");
}

/// Request bodies and answers are traffic; all other messages between processes are control.
auto IsTraffic(std::string_view aName) -> bool
{
  return aName.ends_with("dispatch") || aName.find("answer_") != std::string_view::npos;
}

auto CostOf(const run_costs& aRun, std::string_view aRole) -> request_cost
{
  auto cost = request_cost{};
  const auto requests = static_cast<double>(aRun.mRequests);
  for (const auto& [name, event] : aRun.mEvents) {
    // The number of statuses depends on time and links, not on requests.
    if (name == kStatusEvent) {
      continue;
    }
    if (!IsTraffic(name)) {
      // Counted for both roles: each end of a link sends or receives every control message.
      cost.mBytes += event.mBytes / requests;
    }
    if (!name.starts_with(aRole)) {
      continue;
    }
    if (IsPart(name)) {
      cost.mPartNanoseconds += event.mNanoseconds / static_cast<double>(event.mCount);
    } else {
      cost.mNanoseconds += event.mNanoseconds / requests;
    }
  }
  return cost;
}

struct role_load
{
  std::string mName;
  double mProcesses = 0;
  double mLinks = 0;
  double mMemoryBytes = 0;
  double mLeaseBytes = 0;
  /// Number of links to processes of the other role; these carry statuses.
  double mStatusLinks = 0;
  bool mReceivesStatuses = false;
};

/// Returns the mean processor time and encoded size of one received status.
auto StatusCost(const run_costs& aRun) -> event_cost
{
  const auto found = aRun.mEvents.find(std::string(kStatusEvent));
  if (found == aRun.mEvents.end()) {
    return {};
  }
  const auto& total = found->second;
  const auto count = static_cast<double>(total.mCount);
  return { 1, total.mNanoseconds / count, total.mBytes / count };
}

auto PrintRole(const measured_costs& aMeasured, const role_load& aRole) -> void
{
  const auto cost = CostOf(aMeasured.mRun, aRole.mName);
  const auto requests = kRequestsPerSecond / aRole.mProcesses;
  const auto tokens = kTokensPerSecond / aRole.mProcesses;
  const auto& name = aRole.mName;
  Print(name + ", requests", requests, "per second");
  Print(name + ", tokens, one answer_data each", tokens, "per second");
  Print(name + ", links", aRole.mLinks, "links");

  // Processor time.
  const auto change =
    Extrapolate(aMeasured, &configuration_costs::mPeerChangeNanoseconds, kOrganisations);
  const auto readerChange =
    Extrapolate(aMeasured, &configuration_costs::mChangeNanoseconds, kOrganisations);
  const auto forRequests = cost.mNanoseconds * requests / 1e7;
  const auto forTokens = cost.mPartNanoseconds * tokens / 1e7;
  const auto status = StatusCost(aMeasured.mRun);
  const auto statuses = (aRole.mReceivesStatuses ? aRole.mStatusLinks : 0) * kStatusesPerSecond *
                        status.mNanoseconds / 1e7;
  const auto forChanges = change * kChangesPerSecond / 1e7;
  const auto forReading = readerChange * kChangesPerSecond / 1e7;
  Print(name + ", processor for requests", forRequests, "% of a core");
  Print(name + ", processor for received statuses, at most", statuses, "% of a core");
  Print(name + ", processor for answer parts", forTokens, "% of a core");
  Print(name + ", processor for changes from peers", forChanges, "% of a core");
  Print(name + ", processor for changes at a reader", forReading, "% of a core");
  PrintWithBound(name + ", processor, control only",
                 forRequests + statuses + forChanges,
                 kMaxProcessorPercent,
                 "% of a core");
  PrintWithBound(name + ", processor, control only, reader of the service",
                 forRequests + statuses + forReading,
                 kMaxProcessorPercent,
                 "% of a core");
  PrintWithBound(name + ", processor with answer parts",
                 forRequests + statuses + forChanges + forTokens,
                 kMaxProcessorPercent,
                 "% of a core");

  // Memory.
  const auto configuration =
    Extrapolate(aMeasured, &configuration_costs::mHeapBytes, kOrganisations);
  const auto sessions = aRole.mLinks * aMeasured.mSessionBytes;
  Print(name + ", memory for the configuration", configuration / 1e6, "MB");
  Print(name + ", memory for sessions", sessions / 1e6, "MB");
  Print(name + ", memory for a full waiting list", aRole.mMemoryBytes / 1e6, "MB");
  PrintWithBound(name + ", memory",
                 (configuration + sessions + aRole.mMemoryBytes) / 1e6,
                 kMaxMemoryBytes / 1e6,
                 "MB");

  // Control bytes, sent and received.
  const auto idle = aRole.mLinks * kIdleBytesPerSecond;
  const auto announcements = aRole.mLinks * aMeasured.mLarge.mAnnouncementBytes * kChangesPerSecond;
  const auto digest = Extrapolate(aMeasured, &configuration_costs::mDigestBytes, kOrganisations);
  const auto sections =
    Extrapolate(aMeasured, &configuration_costs::mSectionsBytes, kOrganisations);
  const auto exchange = (digest + sections) * kChangesPerSecond;
  const auto perRequest = cost.mBytes * requests;
  Print(name + ", idle heartbeats", idle, "bytes/s");
  Print(name + ", announcements of changes", announcements, "bytes/s");
  Print(name + ", digest sent and section received per change", exchange, "bytes/s");
  Print(name + ", leases", aRole.mLeaseBytes, "bytes/s");
  Print(name + ", tickets, grants and withdrawals", perRequest, "bytes/s");
  const auto statusBytes = aRole.mStatusLinks * kStatusesPerSecond * status.mBytes;
  Print(name + ", statuses, at most", statusBytes, "bytes/s");
  const auto background = idle + announcements + exchange + aRole.mLeaseBytes;
  PrintWithBound(name + ", control bytes, idle heartbeats only", idle, kMaxControlBytes, "bytes/s");
  PrintWithBound(
    name + ", control bytes without requests", background, kMaxControlBytes, "bytes/s");
  PrintWithBound(name + ", control bytes with those of requests and statuses",
                 background + perRequest + statusBytes,
                 kMaxControlBytes,
                 "bytes/s");
}

} // namespace

auto PrintExtrapolation(const measured_costs& aMeasured) -> void
{
  std::printf("\nplanned size, extrapolated (not measured); without HTTP, TLS, sockets and the heap"
              " used while a document is parsed\n");
  PrintWithBound("configuration document in one value",
                 Extrapolate(aMeasured, &configuration_costs::mDocumentBytes, kOrganisations),
                 kMaxDocumentBytes,
                 "bytes");
  const auto leases = kServices * aMeasured.mLeaseBytes / kLeaseSeconds;
  PrintRole(aMeasured,
            { "entry",
              kEntries,
              kServices * kAgentsPerService + kEntries - 1,
              kWaitingPerEntry * aMeasured.mWaitingBytes,
              leases,
              kServices * kAgentsPerService,
              true });
  // Each agent serves one service and holds the tickets that entries announce to it.
  PrintRole(aMeasured,
            { "agent",
              kAgents,
              kEntries * kServices * kAgentsPerService / kAgents,
              kEntries * kWaitingPerEntry * kTicketsPerRequest / kAgents * aMeasured.mTicketBytes,
              0,
              kEntries * kServices * kAgentsPerService / kAgents,
              false });
}

} // namespace bronzering

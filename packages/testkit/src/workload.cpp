#include <bronzering/testkit/workload.h>

#include <bronzering/base/hash.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace bronzering::testkit {

namespace {

using namespace std::chrono_literals;

/// Capacity and speed of one hardware generation.
struct generation
{
  std::uint32_t mNumber = 1;
  std::uint32_t mMaxConcurrency = 0;
  std::uint64_t mKvTokens = 0;
  double mPrefillTokensPerSecond = 0;
  std::chrono::milliseconds mStepTime{};
};

constexpr auto kGenerations = std::array<generation, 3>{ {
  { 3, 32, 120'000, 40'000, 18ms },
  { 2, 24, 80'000, 25'000, 22ms },
  { 1, 16, 50'000, 15'000, 26ms },
} };

/// Number of leading prompt blocks that all requests of an organisation to a service share.
constexpr std::uint64_t kSharedBlocks = 12;

auto WriteTiers(std::ostream& aOut, const std::array<std::string, 3>& aNames) -> void
{
  aOut << "  platform:\n    owner: platform team\n    tiers:\n"
       << "      " << aNames[0]
       << ": { rank: 0, first_token: 360ms, inter_token: 36ms, timeout: 20s }\n"
       << "      " << aNames[1]
       << ": { rank: 1, first_token: 1s, inter_token: 50ms, timeout: 15s }\n"
       << "      " << aNames[2]
       << ": { rank: 2, first_token: 2s, inter_token: 50ms, timeout: 10s }\n";
}

auto WriteEndpoints(std::ostream& aOut,
                    fleet_settings& aFleet,
                    const std::string& aService,
                    const std::vector<std::string>& aZones,
                    std::size_t aCount) -> void
{
  aOut << "    endpoints:\n";
  for (auto index = std::size_t{ 0 }; index < aCount; ++index) {
    const auto& hardware = kGenerations[index % kGenerations.size()];
    const auto name = "engine-" + std::to_string(index);
    aOut << "      " << name << ": { kind: model, services: [" << aService
         << "], generation: " << hardware.mNumber
         << ", max_concurrency: " << hardware.mMaxConcurrency
         << ", kv_tokens: " << hardware.mKvTokens
         << ", prefill_rate: " << hardware.mPrefillTokensPerSecond
         << ", step_time: " << hardware.mStepTime.count() << "ms }\n";
    aFleet.mEndpointZones[name] = aZones[index / kGenerations.size() % aZones.size()];
  }
}

auto WritePlain(std::ostream& aOut,
                fleet_settings& aFleet,
                const std::string& aServices,
                const std::vector<std::string>& aZones,
                std::size_t aCount) -> void
{
  aOut << "    endpoints:\n";
  for (auto index = std::size_t{ 0 }; index < aCount; ++index) {
    const auto name = "app-" + std::to_string(index);
    aOut << "      " << name << ": { kind: plain, services: [" << aServices
         << "], max_concurrency: 8 }\n";
    aFleet.mEndpointZones[name] = aZones[index % aZones.size()];
  }
}

auto WriteOrganisations(std::ostream& aOut,
                        const deployment& aDeployment,
                        const std::array<std::string, 3>& aTiers,
                        const std::string& aServices) -> void
{
  aOut << "  callers:\n    owner: sales team\n    organisations:\n";
  for (const auto& [name, share] : aDeployment.mOrganisations) {
    aOut << "      " << name << ":\n        callers:\n";
    for (const auto& tier : aTiers) {
      aOut << "          " << tier << "-callers: { tier: " << tier << ", services: [" << aServices
           << "], tokens: [" << TokenDigest(name, tier) << "] }\n";
    }
  }
}

} // namespace

auto TokenDigest(std::string_view aOrganisation, std::string_view aTier) -> std::string
{
  auto digest = std::string{};
  for (auto part = std::uint64_t{ 0 }; part < 4; ++part) {
    const auto value = CombineHashes(HashText(aOrganisation, part), HashText(aTier, part));
    auto text = std::array<char, 17>{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    digest += text.data();
  }
  return digest;
}

auto MakeWorkshop(std::uint64_t aSeed) -> deployment
{
  auto result = deployment{ .mName = "workshop" };
  result.mOrganisations = { { "lampworks", 0.35 },
                            { "resale", 0.25 },
                            { "carving", 0.2 },
                            { "gallery", 0.1 },
                            { "museum", 0.1 } };
  result.mClasses = {
    { "lamp-briefs", "customer", 0, true, 400, 4000, 60, 600, {}, 20s, false, 0.25 },
    { "lamp-briefs", "reseller", 1, true, 200, 2000, 30, 300, {}, 15s, false, 0.35 },
    { "lamp-briefs", "carver", 2, true, 60, 1000, 6, 200, {}, 10s, false, 0.40 },
    { "stock", "carver", 2, false, 0, 0, 0, 0, 4ms, 2s, false, 150 },
    { "orders", "reseller", 1, false, 0, 0, 0, 0, 8ms, 5s, true, 40 },
  };
  const auto zones = std::vector<std::string>{ "varna-1", "varna-2", "varna-3" };
  const auto tiers = std::array<std::string, 3>{ "customer", "reseller", "carver" };
  result.mFleet.mSeed = aSeed;
  result.mFleet.mEntryZones = zones;
  result.mFleet.mZoneDelay = 2ms;

  auto document = std::ostringstream{};
  document << "format: 1\nsections:\n";
  WriteTiers(document, tiers);
  document << "  workshop-model:\n    owner: model team\n    services:\n"
           << "      lamp-briefs: { kind: model, model: lamp-briefs }\n";
  WriteEndpoints(document, result.mFleet, "lamp-briefs", zones, 9);
  document << "  shop:\n    owner: shop team\n    services:\n"
           << "      stock: { kind: plain, path: /stock }\n"
           << "      orders: { kind: plain, path: /orders, idempotent: false }\n";
  WritePlain(document, result.mFleet, "stock, orders", zones, 3);
  WriteOrganisations(document, result, tiers, "lamp-briefs, stock, orders");
  result.mFleet.mDocument = document.str();
  return result;
}

auto MakeShops(std::uint64_t aSeed) -> deployment
{
  auto result = deployment{ .mName = "shops" };
  result.mOrganisations = { { "colombo", 0.35 },
                            { "galle", 0.3 },
                            { "negombo", 0.2 },
                            { "kalutara", 0.1 },
                            { "bentota", 0.05 } };
  result.mClasses = {
    { "scents", "quiz", 0, true, 800, 3000, 20, 200, {}, 20s, false, 0.3 },
    { "scents", "notes", 1, true, 800, 2000, 20, 150, {}, 15s, false, 0.3 },
    { "scents", "tags", 2, true, 780, 1200, 5, 40, {}, 10s, false, 0.4 },
    { "renewals", "notes", 1, false, 0, 0, 0, 0, 10ms, 5s, true, 60 },
    { "delivery", "tags", 2, false, 0, 0, 0, 0, 5ms, 2s, false, 150 },
  };
  const auto zones = std::vector<std::string>{ "west-1", "west-2", "west-3", "west-4" };
  const auto tiers = std::array<std::string, 3>{ "quiz", "notes", "tags" };
  result.mFleet.mSeed = aSeed;
  result.mFleet.mEntryZones = zones;
  result.mFleet.mZoneDelay = 3ms;
  result.mFleet.mCallerDelay = 3ms;

  auto document = std::ostringstream{};
  document << "format: 1\nsections:\n";
  WriteTiers(document, tiers);
  document << "  advice:\n    owner: model team\n    services:\n"
           << "      scents: { kind: model, model: scents }\n";
  WriteEndpoints(document, result.mFleet, "scents", zones, 18);
  document << "  boxes:\n    owner: shop team\n    services:\n"
           << "      renewals: { kind: plain, path: /renewals, idempotent: false }\n"
           << "      delivery: { kind: plain, path: /delivery }\n";
  WritePlain(document, result.mFleet, "renewals, delivery", zones, 4);
  WriteOrganisations(document, result, tiers, "scents, renewals, delivery");
  result.mFleet.mDocument = document.str();
  return result;
}

auto MakeSmall(std::uint64_t aSeed) -> deployment
{
  auto result = deployment{ .mName = "small" };
  result.mOrganisations = { { "lampworks", 0.6 }, { "resale", 0.4 } };
  result.mClasses = {
    { "lamp-briefs", "customer", 0, true, 100, 2000, 4, 60, {}, 6s, false, 0.3 },
    { "lamp-briefs", "reseller", 1, true, 100, 1000, 4, 40, {}, 5s, false, 0.3 },
    { "lamp-briefs", "carver", 2, true, 60, 500, 4, 20, {}, 4s, false, 0.4 },
    { "stock", "carver", 2, false, 0, 0, 0, 0, 4ms, 2s, false, 20 },
    { "orders", "reseller", 1, false, 0, 0, 0, 0, 8ms, 3s, true, 20 },
  };
  const auto zones = std::vector<std::string>{ "varna-1", "varna-2" };
  const auto tiers = std::array<std::string, 3>{ "customer", "reseller", "carver" };
  result.mFleet.mSeed = aSeed;
  result.mFleet.mEntryZones = zones;

  auto document = std::ostringstream{};
  document << "format: 1\nsections:\n";
  WriteTiers(document, tiers);
  document << "  workshop-model:\n    owner: model team\n    services:\n"
           << "      lamp-briefs: { kind: model, model: lamp-briefs }\n";
  WriteEndpoints(document, result.mFleet, "lamp-briefs", zones, 3);
  document << "  shop:\n    owner: shop team\n    services:\n"
           << "      stock: { kind: plain, path: /stock }\n"
           << "      orders: { kind: plain, path: /orders, idempotent: false }\n";
  WritePlain(document, result.mFleet, "stock, orders", zones, 2);
  WriteOrganisations(document, result, tiers, "lamp-briefs, stock, orders");
  result.mFleet.mDocument = document.str();
  return result;
}

auto ModelCapacity(const deployment& aDeployment, const fleet_config& aConfig) -> double
{
  // The mean of a log-uniform distribution.
  const auto mean = [](std::uint64_t aMin, std::uint64_t aMax) {
    const auto low = static_cast<double>(aMin);
    const auto high = static_cast<double>(aMax);
    return (high - low) / std::log(high / low);
  };
  auto prompt = 0.0;
  auto output = 0.0;
  for (const auto& requestClass : aDeployment.mClasses) {
    if (requestClass.mIsModel) {
      prompt += requestClass.mShare * mean(requestClass.mMinPrompt, requestClass.mMaxPrompt);
      output += requestClass.mShare * mean(requestClass.mMinOutput, requestClass.mMaxOutput);
    }
  }
  auto capacity = 0.0;
  for (const auto& [name, endpoint] : aConfig.mEndpoints) {
    if (endpoint.mKind != service_kind::Model) {
      continue;
    }
    const auto batch = std::min(static_cast<double>(endpoint.mMaxConcurrency),
                                static_cast<double>(endpoint.mKvTokens) / (prompt + output));
    capacity += 1 / (prompt / endpoint.mPrefillTokensPerSecond +
                     output * ToSeconds(endpoint.mStepTime) / batch);
  }
  return capacity;
}

workload::workload(const deployment& aDeployment, std::uint64_t aSeed)
  : mDeployment(aDeployment)
  , mRandom(aSeed)
{
}

auto workload::LogUniform(std::uint64_t aMin, std::uint64_t aMax) -> std::uint64_t
{
  const auto low = std::log(static_cast<double>(aMin));
  const auto high = std::log(static_cast<double>(aMax));
  return static_cast<std::uint64_t>(std::exp(low + (high - low) * mRandom.Uniform01()));
}

auto workload::PickOrganisation() -> const std::string&
{
  auto point = mRandom.Uniform01();
  for (const auto& [name, share] : mDeployment.mOrganisations) {
    if (point < share) {
      return name;
    }
    point -= share;
  }
  return mDeployment.mOrganisations.back().first;
}

auto workload::MakeKey(time_point aWhen) -> std::string
{
  // UUIDv7 (RFC 9562): 48 bits of Unix time in milliseconds, then the version, then random bits.
  auto clock = event_loop{};
  clock.RunUntil(aWhen);
  const auto milliseconds = static_cast<unsigned long long>(
    std::chrono::floor<std::chrono::milliseconds>(clock.Instant().mWall.time_since_epoch())
      .count());
  auto text = std::array<char, 64>{};
  std::snprintf(text.data(),
                text.size(),
                "%08llx-%04llx-7%03llx-8%03llx-%012llx",
                milliseconds >> 16,
                milliseconds & 0xffff,
                static_cast<unsigned long long>(mRandom.UniformBelow(0x1000)),
                static_cast<unsigned long long>(mRandom.UniformBelow(0x1000)),
                static_cast<unsigned long long>(mRandom.UniformBelow(1ULL << 48)));
  return text.data();
}

auto workload::MakeJob(const request_class& aClass,
                       const std::string& aOrganisation,
                       time_point aWhen) -> job
{
  auto result = job{ .mService = aClass.mService,
                     .mOrganisation = aOrganisation,
                     .mTier = aClass.mTier,
                     .mRank = aClass.mRank,
                     .mTokenDigest = TokenDigest(aOrganisation, aClass.mTier),
                     .mIsModel = aClass.mIsModel,
                     .mTimeout = aClass.mTimeout };
  if (aClass.mHasIdempotencyKey) {
    result.mIdempotencyKey = MakeKey(aWhen);
  }
  if (!aClass.mIsModel) {
    result.mServiceTime = FromSeconds(mRandom.Exponential(ToSeconds(aClass.mServiceTime)));
    return result;
  }
  result.mPromptTokens = LogUniform(aClass.mMinPrompt, aClass.mMaxPrompt);
  result.mOutputTokens = LogUniform(aClass.mMinOutput, aClass.mMaxOutput);
  result.mMaxTokens = std::min(aClass.mMaxOutput, result.mOutputTokens * 2);
  auto hash = HashText(aOrganisation + '/' + aClass.mService);
  for (auto block = std::uint64_t{ 0 }; (block + 1) * kTokensPerBlock <= result.mPromptTokens;
       ++block) {
    hash = CombineHashes(hash, block < kSharedBlocks ? block : mRandom.Bits());
    result.mPrefix.push_back(prefix_hash{ hash });
  }
  return result;
}

auto workload::AddClass(const request_class& aClass, double aRate, time_point aFrom, time_point aTo)
  -> void
{
  AddBurst(aClass, "", aRate, aFrom, aTo);
}

auto workload::AddBurst(const request_class& aClass,
                        const std::string& aOrganisation,
                        double aRate,
                        time_point aFrom,
                        time_point aTo) -> void
{
  assert(aRate > 0);
  auto when = aFrom + FromSeconds(mRandom.Exponential(1 / aRate));
  while (when < aTo) {
    const auto& organisation = aOrganisation.empty() ? PickOrganisation() : aOrganisation;
    mArrivals.push_back({ when,
                          mRandom.UniformBelow(mDeployment.mFleet.mEntryZones.size()),
                          MakeJob(aClass, organisation, when) });
    when += FromSeconds(mRandom.Exponential(1 / aRate));
  }
}

auto workload::Take() -> std::vector<arrival>
{
  std::ranges::stable_sort(mArrivals, {}, &arrival::mWhen);
  return std::move(mArrivals);
}

} // namespace bronzering::testkit

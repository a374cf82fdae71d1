#pragma once

#include <bronzering/base/random_source.h>
#include <bronzering/base/time.h>
#include <bronzering/testkit/fleet.h>
#include <bronzering/testkit/job.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bronzering::testkit {

/// One kind of request in a mix. Prompt and output lengths are log-uniform between their bounds.
struct request_class
{
  std::string mService;
  std::string mTier;
  std::uint32_t mRank = 0;
  bool mIsModel = true;
  std::uint64_t mMinPrompt = 0;
  std::uint64_t mMaxPrompt = 0;
  std::uint64_t mMinOutput = 0;
  std::uint64_t mMaxOutput = 0;
  duration mServiceTime{};
  duration mTimeout{};
  /// Requests carry idempotency keys.
  bool mHasIdempotencyKey = false;
  /// Fraction of the requests to model engines, or requests per second for plain services.
  double mShare = 0;
};

/// A fleet with its configuration document, availability zones and request mix.
struct deployment
{
  std::string mName;
  fleet_settings mFleet;
  std::vector<request_class> mClasses;
  /// Organisations and their fraction of the requests.
  std::vector<std::pair<std::string, double>> mOrganisations;
};

/// A single business: 3 availability zones, 9 model endpoints of 3 generations, 3 plain endpoints.
[[nodiscard]] auto MakeWorkshop(std::uint64_t aSeed) -> deployment;
/// Several small businesses that share a fleet: 4 availability zones, 18 model endpoints, 4 plain
/// endpoints.
[[nodiscard]] auto MakeShops(std::uint64_t aSeed) -> deployment;

/// 2 entries, 3 model endpoints and 2 plain endpoints in 2 availability zones, for tests of faults.
[[nodiscard]] auto MakeSmall(std::uint64_t aSeed) -> deployment;

/// Requests per second that the model endpoints can complete with this mix when no prompt is
/// cached.
[[nodiscard]] auto ModelCapacity(const deployment& aDeployment, const fleet_config& aConfig)
  -> double;

/// A request, its arrival time and the index of the entry that receives it.
struct arrival
{
  time_point mWhen;
  std::size_t mEntry = 0;
  job mJob;
};

/// Generates Poisson arrivals for a deployment.
class workload
{
public:
  workload(const deployment& aDeployment, std::uint64_t aSeed);

  /// Adds arrivals of one class at a mean rate in requests per second, from all organisations.
  auto AddClass(const request_class& aClass, double aRate, time_point aFrom, time_point aTo)
    -> void;
  /// Like AddClass, but from one organisation only.
  auto AddBurst(const request_class& aClass,
                const std::string& aOrganisation,
                double aRate,
                time_point aFrom,
                time_point aTo) -> void;
  /// Removes and returns all arrivals, in order of time.
  [[nodiscard]] auto Take() -> std::vector<arrival>;

private:
  auto MakeJob(const request_class& aClass, const std::string& aOrganisation, time_point aWhen)
    -> job;
  auto MakeKey(time_point aWhen) -> std::string;
  auto PickOrganisation() -> const std::string&;
  auto LogUniform(std::uint64_t aMin, std::uint64_t aMax) -> std::uint64_t;

  const deployment& mDeployment;
  random_source mRandom;
  std::vector<arrival> mArrivals;
};

/// The token digest that the configuration documents of these deployments list for the callers of
/// an organisation in a tier.
[[nodiscard]] auto TokenDigest(std::string_view aOrganisation, std::string_view aTier)
  -> std::string;

} // namespace bronzering::testkit

#pragma once

#include <bronzering/base/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// One kind of caller in the request mix of a load run.
struct load_caller
{
  std::string mOrganisation;
  /// Used only in reports; the server derives the tier from the token.
  std::string mTier;
  std::string mToken;
  /// "briefs" (long streamed completions), "tags" (short completions, not streamed), "lookups"
  /// (GET), or "orders" (POST with an Idempotency-Key).
  std::string mKind;
  std::size_t mConnections = 1;
};

struct load_settings
{
  /// Ports of the entries on 127.0.0.1, assigned to connections round robin.
  std::vector<std::uint16_t> mPorts;
  std::string mModel = "lamp-briefs";
  std::vector<load_caller> mCallers;
  duration mLength = std::chrono::seconds(5);
  std::uint64_t mSeed = 1;
  std::string mRequestTimeout = "10";
};

/// Outcomes of the requests of one kind of caller.
struct load_result
{
  std::uint64_t mSent = 0;
  std::uint64_t mCompleteResponses = 0;
  /// Rejected with a problem document; mRefusals counts them by problem type.
  std::uint64_t mRefused = 0;
  std::map<std::string, std::uint64_t> mRefusals;
  /// Connections that failed before the end of the response; allowed, but counted.
  std::uint64_t mBroken = 0;
  /// Responses with incorrect content; the first is kept for the report.
  std::uint64_t mIncorrect = 0;
  std::string mFirstIncorrect;
  std::vector<double> mTimesToFirstToken;
  std::vector<double> mInterTokenTimes;
};

/// Results by organisation, tier and kind.
using load_results = std::map<std::string, load_result>;

/// Sends the request mix for mLength and checks every response.
[[nodiscard]] auto RunLoad(const load_settings& aSettings) -> load_results;

/// Quantile of the values; zero when there are none. aQuantile is in [0, 1].
[[nodiscard]] auto Quantile(std::vector<double> aValues, double aQuantile) -> double;

} // namespace bronzering

#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering::testkit {

/// A request of one caller and the work that it takes to serve it.
struct job
{
  exchange_id mExchange;
  std::string mService;
  std::string mOrganisation;
  std::string mTier;
  std::uint32_t mRank = 0;
  /// SHA-256 of the caller's token, as listed in the configuration.
  std::string mTokenDigest;
  bool mIsModel = true;
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mOutputTokens = 0;
  /// The max_tokens value of the request; at least mOutputTokens.
  std::uint64_t mMaxTokens = 0;
  std::vector<prefix_hash> mPrefix;
  /// Execution time of a plain call.
  duration mServiceTime{};
  duration mTimeout{};
  std::string mIdempotencyKey;
};

/// Number of prompt tokens that one prefix hash covers.
inline constexpr std::uint64_t kTokensPerBlock = 64;

/// The bytes of one piece of the answer. Model jobs have one piece for each token, plain jobs have
/// a single piece. The bytes contain the exchange, so that answers of different requests differ.
[[nodiscard]] auto AnswerPiece(const job& aJob, std::uint64_t aIndex) -> std::string;
[[nodiscard]] auto PieceCount(const job& aJob) -> std::uint64_t;
[[nodiscard]] auto WholeAnswer(const job& aJob) -> std::string;

/// The request body contains the exchange id, from which the fleet finds the job.
[[nodiscard]] auto BodyOf(const job& aJob) -> std::string;
[[nodiscard]] auto ExchangeOf(std::string_view aBody) -> std::optional<exchange_id>;

} // namespace bronzering::testkit

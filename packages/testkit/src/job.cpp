#include <bronzering/testkit/job.h>

#include <charconv>

namespace bronzering::testkit {

auto AnswerPiece(const job& aJob, std::uint64_t aIndex) -> std::string
{
  return std::to_string(aJob.mExchange.mValue) + ':' + std::to_string(aIndex) + ' ';
}

auto PieceCount(const job& aJob) -> std::uint64_t
{
  return aJob.mIsModel ? aJob.mOutputTokens : 1;
}

auto WholeAnswer(const job& aJob) -> std::string
{
  auto answer = std::string{};
  for (auto index = std::uint64_t{ 0 }; index < PieceCount(aJob); ++index) {
    answer += AnswerPiece(aJob, index);
  }
  return answer;
}

auto BodyOf(const job& aJob) -> std::string
{
  return std::to_string(aJob.mExchange.mValue);
}

auto ExchangeOf(std::string_view aBody) -> std::optional<exchange_id>
{
  auto value = std::uint64_t{ 0 };
  const auto [end, error] = std::from_chars(aBody.data(), aBody.data() + aBody.size(), value);
  if (error != std::errc{} || end != aBody.data() + aBody.size()) {
    return std::nullopt;
  }
  return exchange_id{ value };
}

} // namespace bronzering::testkit

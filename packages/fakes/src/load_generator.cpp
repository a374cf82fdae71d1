#include "load_generator.h"

#include <bronzering/base/random_source.h>
#include <bronzering/fakes/fake_http_client.h>
#include <bronzering/fakes/fake_text.h>
#include <bronzering/net/prompt_blocks.h>

#include <boost/beast/core/string.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <mutex>
#include <thread>

namespace bronzering {

namespace json = boost::json;

namespace {

using load_clock = std::chrono::steady_clock;

/// Size and number of the prefixes that prompts share, so that prefixes can be cached.
constexpr std::size_t kSharedPromptBytes = 1024;
constexpr std::uint64_t kSharedPrompts = 8;
/// Pause after a rejected or failed request, so that callers do not retry in a busy loop.
constexpr auto kRefusalPause = std::chrono::milliseconds(100);

auto SecondsSince(load_clock::time_point aStart) -> double
{
  return std::chrono::duration<double>(load_clock::now() - aStart).count();
}

auto Problem(const fake_response& aResponse) -> std::string
{
  for (const auto& field : aResponse.mHeaders) {
    if (boost::beast::iequals(field.mName, "Content-Type") &&
        field.mValue == "application/problem+json") {
      boost::system::error_code error;
      const auto value = json::parse(aResponse.mBody, error);
      const auto* object = error ? nullptr : value.if_object();
      const auto* type = object != nullptr ? object->if_contains("type") : nullptr;
      return type != nullptr && type->is_string() ? std::string(type->get_string()) : "malformed";
    }
  }
  return {};
}

/// One connection of a caller: sends requests sequentially and checks their responses.
class load_connection
{
public:
  load_connection(const load_settings& aSettings, const load_caller& aCaller, std::uint64_t aIndex)
    : mSettings(aSettings)
    , mCaller(aCaller)
    , mIndex(aIndex)
    , mRandom(aSettings.mSeed * 1'000'003 + aIndex)
    , mClient(aSettings.mPorts[aIndex % aSettings.mPorts.size()])
  {
  }

  auto Run(load_clock::time_point aEnd) -> load_result
  {
    while (load_clock::now() < aEnd) {
      ++mCount;
      ++mResult.mSent;
      if (mCaller.mKind == "briefs") {
        SendCompletion(true);
      } else if (mCaller.mKind == "tags") {
        SendCompletion(false);
      } else {
        SendPlain();
      }
    }
    return std::move(mResult);
  }

private:
  auto SendCompletion(bool aIsBrief) -> void;
  auto SendPlain() -> void;
  auto Headers() const -> std::vector<header_field>;
  /// Counts rejections and failures; returns whether the body is to be checked.
  auto Count(const fake_response& aResponse) -> bool;
  auto CountIncorrect(const std::string& aWhat, const std::string& aBody) -> void;
  auto Unique() const -> std::string
  {
    return std::to_string(mSettings.mSeed) + "-" + std::to_string(mIndex) + "-" +
           std::to_string(mCount);
  }

  const load_settings& mSettings;
  const load_caller& mCaller;
  std::uint64_t mIndex;
  std::uint64_t mCount = 0;
  random_source mRandom;
  fake_http_client mClient;
  load_result mResult;
};

auto load_connection::Headers() const -> std::vector<header_field>
{
  return { { "Authorization", "Bearer " + mCaller.mToken },
           { "Request-Timeout", mSettings.mRequestTimeout } };
}

auto load_connection::Count(const fake_response& aResponse) -> bool
{
  if (const auto problem = Problem(aResponse); !problem.empty()) {
    ++mResult.mRefused;
    ++mResult.mRefusals[problem];
    std::this_thread::sleep_for(kRefusalPause);
    return false;
  }
  if (!aResponse.mIsWhole) {
    ++mResult.mBroken;
    std::this_thread::sleep_for(kRefusalPause);
    return false;
  }
  return true;
}

auto load_connection::CountIncorrect(const std::string& aWhat, const std::string& aBody) -> void
{
  if (mResult.mIncorrect++ == 0) {
    mResult.mFirstIncorrect = aWhat + ": " + aBody.substr(0, 300);
  }
}

auto load_connection::SendCompletion(bool aIsBrief) -> void
{
  // A shared prefix, followed by text that is unique to the request.
  const auto shared = std::to_string(mRandom.UniformBelow(kSharedPrompts));
  std::string prompt;
  while (prompt.size() < kSharedPromptBytes) {
    prompt += "instruction " + shared + " ";
  }
  prompt += Unique() + std::string(mRandom.UniformBelow(aIsBrief ? 4000 : 200), 'x');
  const auto maxTokens = aIsBrief ? 40 + mRandom.UniformBelow(60) : 2 + mRandom.UniformBelow(6);
  json::object body{ { "model", mSettings.mModel },
                     { "max_tokens", maxTokens },
                     { "stream", aIsBrief } };
  if (aIsBrief) {
    body["messages"] = { { { "role", "user" }, { "content", prompt } } };
    prompt = "user\n" + prompt + "\n";
  } else {
    body["prompt"] = prompt;
  }

  // Records when each part of the body arrives.
  auto headers = Headers();
  headers.push_back({ "Content-Type", "application/json" });
  const auto start = load_clock::now();
  std::vector<double> arrivals;
  const auto response =
    mClient.Call("POST",
                 aIsBrief ? "/v1/chat/completions" : "/v1/completions",
                 headers,
                 json::serialize(body),
                 [&](std::string_view) { arrivals.push_back(SecondsSince(start)); });
  if (!Count(response)) {
    return;
  }

  const auto expected = ExpectedText(prompt, maxTokens);
  std::string text;
  if (aIsBrief) {
    text = response.mBody.ends_with("data: [DONE]\n\n") ? StreamedText(response.mBody) : "";
  } else {
    boost::system::error_code error;
    const auto value = json::parse(response.mBody, error);
    const auto* choice = error ? nullptr : value.find_pointer("/choices/0/text", error);
    text = choice != nullptr && choice->is_string() ? std::string(choice->get_string()) : "";
  }
  if (response.mStatus != 200 || text != expected) {
    CountIncorrect("status " + std::to_string(response.mStatus) + " for " + Unique(),
                   response.mBody);
    return;
  }
  ++mResult.mCompleteResponses;
  mResult.mTimesToFirstToken.push_back(arrivals.front());
  if (aIsBrief) {
    for (std::size_t i = 1; i < arrivals.size(); ++i) {
      mResult.mInterTokenTimes.push_back(arrivals[i] - arrivals[i - 1]);
    }
  }
}

auto load_connection::SendPlain() -> void
{
  const auto isOrder = mCaller.mKind == "orders";
  const auto* method = isOrder ? "POST" : "GET";
  const auto path = isOrder ? std::string("/orders")
                            : "/stock/item-" + std::to_string(mRandom.UniformBelow(100'000));
  const auto body = isOrder ? "order " + Unique() : std::string();
  auto headers = Headers();
  if (isOrder) {
    // A UUIDv7: milliseconds since the Unix epoch, followed by random digits and the connection's
    // index, so that it is unique within the run.
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
    std::array<char, 40> key = {};
    std::snprintf(key.data(),
                  key.size(),
                  "%08llx-%04llx-7%03llx-8%03llx-%012llx",
                  static_cast<unsigned long long>(now >> 16U),
                  static_cast<unsigned long long>(now & 0xffff),
                  static_cast<unsigned long long>(mRandom.UniformBelow(0x1000)),
                  static_cast<unsigned long long>(mIndex & 0xfffU),
                  static_cast<unsigned long long>(mRandom.UniformBelow(1ULL << 48U)));
    headers.push_back({ "Idempotency-Key", key.data() });
  }
  const auto start = load_clock::now();
  const auto response = mClient.Call(method, path, headers, body);
  const auto seconds = SecondsSince(start);
  if (!Count(response)) {
    return;
  }
  if (response.mStatus != (isOrder ? 201U : 200U) ||
      response.mBody != ExpectedPlainResponse(method, path, body)) {
    CountIncorrect("status " + std::to_string(response.mStatus) + " for " + path, response.mBody);
    return;
  }
  ++mResult.mCompleteResponses;
  mResult.mTimesToFirstToken.push_back(seconds);
}

auto Merge(load_result& aTotal, const load_result& aPart) -> void
{
  aTotal.mSent += aPart.mSent;
  aTotal.mCompleteResponses += aPart.mCompleteResponses;
  aTotal.mRefused += aPart.mRefused;
  aTotal.mBroken += aPart.mBroken;
  aTotal.mIncorrect += aPart.mIncorrect;
  if (aTotal.mFirstIncorrect.empty()) {
    aTotal.mFirstIncorrect = aPart.mFirstIncorrect;
  }
  for (const auto& [type, count] : aPart.mRefusals) {
    aTotal.mRefusals[type] += count;
  }
  const auto append = [](auto& aTo, const auto& aFrom) {
    aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
  };
  append(aTotal.mTimesToFirstToken, aPart.mTimesToFirstToken);
  append(aTotal.mInterTokenTimes, aPart.mInterTokenTimes);
}

} // namespace

auto RunLoad(const load_settings& aSettings) -> load_results
{
  std::mutex mutex;
  load_results results;
  std::vector<std::thread> threads;
  const auto end = load_clock::now() + aSettings.mLength;
  for (const auto& caller : aSettings.mCallers) {
    for (std::size_t i = 0; i < caller.mConnections; ++i) {
      threads.emplace_back([&, index = threads.size()] {
        const auto result = load_connection(aSettings, caller, index).Run(end);
        const auto lock = std::lock_guard(mutex);
        Merge(results[caller.mTier + " " + caller.mKind + " " + caller.mOrganisation], result);
      });
    }
  }
  for (auto& thread : threads) {
    thread.join();
  }
  return results;
}

auto Quantile(std::vector<double> aValues, double aQuantile) -> double
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(last * aQuantile)];
}

} // namespace bronzering

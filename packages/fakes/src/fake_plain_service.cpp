#include <bronzering/fakes/fake_plain_service.h>

#include <bronzering/base/random_source.h>
#include <bronzering/fakes/fake_text.h>

#include <boost/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace bronzering {

namespace json = boost::json;

struct fake_plain_service::state
{
  explicit state(fake_plain_service_settings aSettings)
    : mRandom(aSettings.mSeed)
    , mMeanTime(aSettings.mMeanTime)
  {
  }

  auto Handle(const fake_request& aRequest, fake_response_writer& aAnswer) -> void;
  auto Execute(const fake_request& aRequest, fake_response_writer& aAnswer) -> void;
  auto Executions() -> std::string;
  auto Control(const fake_request& aRequest) -> void;

  std::mutex mMutex;
  random_source mRandom;
  duration mMeanTime;
  std::map<std::string, std::uint64_t> mByRequest;
  std::map<std::string, std::uint64_t> mByKey;
  std::uint64_t mTotal = 0;
  std::uint64_t mRunning = 0;
  std::uint64_t mMaxConcurrent = 0;
  std::unique_ptr<fake_http_server> mServer;
};

auto fake_plain_service::state::Handle(const fake_request& aRequest, fake_response_writer& aAnswer)
  -> void
{
  if (aRequest.mPath == "/health") {
    aAnswer.Send(200, "{}");
  } else if (aRequest.mPath == "/executions") {
    aAnswer.Send(200, Executions());
  } else if (aRequest.mPath == "/control") {
    Control(aRequest);
    aAnswer.Send(200, "{}");
  } else {
    Execute(aRequest, aAnswer);
  }
}

auto fake_plain_service::state::Execute(const fake_request& aRequest, fake_response_writer& aAnswer)
  -> void
{
  duration time{};
  {
    const auto lock = std::lock_guard(mMutex);
    ++mTotal;
    ++mByRequest[aRequest.Header("X-Request-Id")];
    if (const auto key = aRequest.Header("Idempotency-Key"); !key.empty()) {
      ++mByKey[key];
    }
    mMaxConcurrent = std::max(mMaxConcurrent, ++mRunning);
    time = FromSeconds(mRandom.Exponential(std::max(1e-6, ToSeconds(mMeanTime))));
  }
  std::this_thread::sleep_for(time);
  {
    const auto lock = std::lock_guard(mMutex);
    --mRunning;
  }
  aAnswer.Send(aRequest.mMethod == "POST" ? 201 : 200,
               ExpectedPlainResponse(aRequest.mMethod, aRequest.mPath, aRequest.mBody));
}

auto fake_plain_service::state::Executions() -> std::string
{
  const auto lock = std::lock_guard(mMutex);
  json::object byRequest;
  for (const auto& [id, count] : mByRequest) {
    byRequest[id] = count;
  }
  json::object byKey;
  for (const auto& [key, count] : mByKey) {
    byKey[key] = count;
  }
  return json::serialize(json::object{ { "total", mTotal },
                                       { "most_running", mMaxConcurrent },
                                       { "by_request", std::move(byRequest) },
                                       { "by_key", std::move(byKey) } });
}

auto fake_plain_service::state::Control(const fake_request& aRequest) -> void
{
  boost::system::error_code error;
  const auto value = json::parse(aRequest.mBody, error);
  const auto control = !error && value.is_object() ? value.get_object() : json::object();
  if (control.contains("crash")) {
    std::_Exit(EXIT_FAILURE);
  }
  if (const auto* mean = control.if_contains("mean_ms"); mean != nullptr && mean->is_number()) {
    const auto lock = std::lock_guard(mMutex);
    mMeanTime = FromSeconds(mean->to_number<double>() / 1000);
  }
}

fake_plain_service::fake_plain_service(fake_plain_service_settings aSettings)
  : mState(std::make_unique<state>(aSettings))
{
  mState->mServer = std::make_unique<fake_http_server>(
    aSettings.mPort,
    [state = mState.get()](const fake_request& aRequest, fake_response_writer& aAnswer) {
      state->Handle(aRequest, aAnswer);
    });
}

fake_plain_service::~fake_plain_service()
{
  mState->mServer.reset();
}

auto fake_plain_service::Port() const -> std::uint16_t
{
  return mState->mServer->Port();
}

} // namespace bronzering

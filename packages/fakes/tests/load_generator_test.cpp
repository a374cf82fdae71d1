#include "load_generator.h"

#include <bronzering/fakes/fake_engine.h>
#include <bronzering/fakes/fake_plain_service.h>

#include <catch2/catch.hpp>

using namespace bronzering;

TEST_CASE("the load generator accepts correct responses and detects incorrect ones")
{
  // Guards against a load run that passes even though responses are incorrect.
  fake_engine_settings engineSettings;
  engineSettings.mStepTime = std::chrono::milliseconds(1);
  fake_engine engine(engineSettings);
  load_settings settings;
  settings.mPorts = { engine.Port() };
  settings.mLength = std::chrono::milliseconds(300);
  settings.mCallers = { { "a", "customer", "t", "briefs", 2 }, { "b", "carver", "t", "tags", 2 } };
  for (const auto& [name, result] : RunLoad(settings)) {
    INFO(name);
    CHECK(result.mCompleteResponses > 0);
    CHECK(result.mSent == result.mCompleteResponses);
  }

  // An engine does not implement orders, so its responses are incorrect.
  settings.mCallers = { { "c", "reseller", "t", "orders", 1 } };
  CHECK(RunLoad(settings).begin()->second.mIncorrect > 0);

  fake_plain_service service({});
  settings.mPorts = { service.Port() };
  settings.mCallers.push_back({ "d", "carver", "t", "lookups", 1 });
  for (const auto& [name, result] : RunLoad(settings)) {
    INFO(name);
    CHECK(result.mCompleteResponses > 0);
    CHECK(result.mSent == result.mCompleteResponses);
  }
}

TEST_CASE("quantiles of zero, one and three values")
{
  // Guards against out-of-range access for few values and at quantile 1.
  CHECK(Quantile({}, 0.95) == 0);
  CHECK(Quantile({ 3 }, 0.95) == 3);
  CHECK(Quantile({ 3, 1, 2 }, 0.5) == 2);
  CHECK(Quantile({ 3, 1, 2 }, 1) == 3);
}

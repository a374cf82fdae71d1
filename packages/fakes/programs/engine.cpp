#include "program_signals.h"

#include <bronzering/fakes/fake_engine.h>

#include <CLI/CLI.hpp>

#include <iostream>

using namespace bronzering;

auto main(int aCount, char** aArguments) -> int
{
  fake_engine_settings settings;
  auto stepMilliseconds = ToSeconds(settings.mStepTime) * 1000;
  auto cacheDelaySeconds = ToSeconds(settings.mCacheEventDelay);
  auto loadLagSeconds = ToSeconds(settings.mLoadLag);
  bool ignoresFencing = false;

  CLI::App app{ "Fake model engine on 127.0.0.1" };
  app.add_option("--port", settings.mPort, "Port to listen on")->required();
  app.add_option("--seed", settings.mSeed, "Seed of the random choices");
  app.add_option(
    "--prefill-rate", settings.mPrefillTokensPerSecond, "Prompt tokens processed per second");
  app.add_option("--step-ms", stepMilliseconds, "Duration of a batch step in milliseconds");
  app.add_option("--max-batch", settings.mMaxBatch, "Maximum number of requests in the batch");
  app.add_option("--kv-tokens", settings.mKvTokens, "KV cache capacity in tokens");
  app.add_option(
    "--cache-blocks", settings.mCacheBlocks, "Capacity of the prefix cache in prompt blocks");
  app.add_option(
    "--cache-event-delay", cacheDelaySeconds, "Seconds before cache events are reported");
  app.add_option(
    "--cache-event-loss", settings.mCacheEventLoss, "Fraction of cache events that are lost");
  app.add_option("--load-lag", loadLagSeconds, "Age of the reported load in seconds");
  app.add_option("--model-version", settings.mModelVersion, "Model version loaded at startup");
  app.add_flag("--ignore-fencing", ignoresFencing, "Accept commands with stale fencing tokens");
  CLI11_PARSE(app, aCount, aArguments);
  settings.mStepTime = FromSeconds(stepMilliseconds / 1000);
  settings.mCacheEventDelay = FromSeconds(cacheDelaySeconds);
  settings.mLoadLag = FromSeconds(loadLagSeconds);
  settings.mChecksFencing = !ignoresFencing;

  const auto signals = BlockStopSignals();
  const fake_engine engine(settings);
  std::cout << "engine: listening port=" << engine.Port() << std::endl;
  WaitForStop(signals);
  return 0;
}

#include "program_signals.h"

#include <bronzering/fakes/fake_plain_service.h>

#include <CLI/CLI.hpp>

#include <iostream>

using namespace bronzering;

auto main(int aCount, char** aArguments) -> int
{
  fake_plain_service_settings settings;
  auto meanMilliseconds = ToSeconds(settings.mMeanTime) * 1000;
  CLI::App app{ "Fake plain application service on 127.0.0.1" };
  app.add_option("--port", settings.mPort, "Port to listen on")->required();
  app.add_option("--seed", settings.mSeed, "Seed of the random choices");
  app.add_option("--mean-ms", meanMilliseconds, "Mean service time in milliseconds");
  CLI11_PARSE(app, aCount, aArguments);
  settings.mMeanTime = FromSeconds(meanMilliseconds / 1000);

  const auto signals = BlockStopSignals();
  const fake_plain_service service(settings);
  std::cout << "plain service: listening port=" << service.Port() << std::endl;
  WaitForStop(signals);
  return 0;
}

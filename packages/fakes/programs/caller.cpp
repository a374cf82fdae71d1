#include "load_generator.h"
#include "program_signals.h"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <sstream>

using namespace bronzering;

namespace {

/// Parses "organisation:tier:token:kind:connections".
auto ParseCaller(const std::string& aText) -> load_caller
{
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  for (std::string part; std::getline(stream, part, ':');) {
    parts.push_back(part);
  }
  const auto isKind = parts.size() == 5 && (parts[3] == "briefs" || parts[3] == "tags" ||
                                            parts[3] == "lookups" || parts[3] == "orders");
  const auto connections = isKind ? std::strtoul(parts[4].c_str(), nullptr, 10) : 0;
  if (connections < 1 || connections > 500) {
    throw CLI::ValidationError("--caller", "expected ORGANISATION:TIER:TOKEN:KIND:CONNECTIONS");
  }
  return { parts[0], parts[1], parts[2], parts[3], connections };
}

auto Print(const load_results& aResults) -> void
{
  std::printf("%-32s %7s %7s %7s %7s %7s %9s %9s %9s %9s\n",
              "tier, service, organisation",
              "sent",
              "whole",
              "refused",
              "broken",
              "wrong",
              "first p50",
              "first p95",
              "next p50",
              "next p95");
  for (const auto& [name, result] : aResults) {
    std::printf("%-32s %7llu %7llu %7llu %7llu %7llu %6.1f ms %6.1f ms %6.1f ms %6.1f ms\n",
                name.c_str(),
                static_cast<unsigned long long>(result.mSent),
                static_cast<unsigned long long>(result.mCompleteResponses),
                static_cast<unsigned long long>(result.mRefused),
                static_cast<unsigned long long>(result.mBroken),
                static_cast<unsigned long long>(result.mIncorrect),
                Quantile(result.mTimesToFirstToken, 0.5) * 1000,
                Quantile(result.mTimesToFirstToken, 0.95) * 1000,
                Quantile(result.mInterTokenTimes, 0.5) * 1000,
                Quantile(result.mInterTokenTimes, 0.95) * 1000);
  }
  for (const auto& [name, result] : aResults) {
    for (const auto& [type, count] : result.mRefusals) {
      std::printf(
        "%s: %llu times %s\n", name.c_str(), static_cast<unsigned long long>(count), type.c_str());
    }
    if (result.mIncorrect > 0) {
      std::printf("%s: wrong response: %s\n", name.c_str(), result.mFirstIncorrect.c_str());
    }
  }
}

} // namespace

auto main(int aCount, char** aArguments) -> int
{
  load_settings settings;
  double seconds = 5;
  std::vector<std::string> callers;
  CLI::App app{ "Load generator: sends a mix of requests and checks every response. Exits with 1 "
                "on a wrong response, or when a kind of caller got no whole response." };
  app.add_option("--port", settings.mPorts, "Ports of the entries on 127.0.0.1")->required();
  app.add_option("--caller", callers, "ORGANISATION:TIER:TOKEN:KIND:CONNECTIONS")->required();
  app.add_option("--model", settings.mModel, "Value of the model field");
  app.add_option("--seconds", seconds, "Duration of the run in seconds");
  app.add_option("--seed", settings.mSeed, "Random seed of prompts and lengths");
  app.add_option(
    "--request-timeout", settings.mRequestTimeout, "Request-Timeout header of each request");
  try {
    app.parse(aCount, aArguments);
    for (const auto& caller : callers) {
      settings.mCallers.push_back(ParseCaller(caller));
    }
  } catch (const CLI::ParseError& error) {
    return app.exit(error);
  }
  settings.mLength = FromSeconds(seconds);
  std::signal(SIGPIPE, SIG_IGN);

  const auto results = RunLoad(settings);
  Print(results);
  for (const auto& [name, result] : results) {
    if (result.mIncorrect > 0 || result.mCompleteResponses == 0) {
      return 1;
    }
  }
  return 0;
}

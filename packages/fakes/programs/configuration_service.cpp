#include "program_signals.h"

#include <bronzering/fakes/fake_platform.h>

#include <CLI/CLI.hpp>

#include <iostream>

using namespace bronzering;

auto main(int aCount, char** aArguments) -> int
{
  std::uint16_t port = 0;
  std::uint64_t revision = 1;
  std::string file;
  CLI::App app{ "Fake of the platform's configuration service on 127.0.0.1" };
  app.add_option("--port", port, "Port to listen on")->required();
  app.add_option("--file", file, "Document to serve")->required()->check(CLI::ExistingFile);
  app.add_option("--revision", revision, "Revision of the initial document");
  CLI11_PARSE(app, aCount, aArguments);

  const auto signals = BlockStopSignals();
  const fake_configuration_service service(port, file, revision);
  std::cout << "configuration service: listening port=" << service.Port() << std::endl;
  WaitForStop(signals);
  return 0;
}

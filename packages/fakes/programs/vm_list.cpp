#include "program_signals.h"

#include <bronzering/fakes/fake_platform.h>

#include <CLI/CLI.hpp>

#include <iostream>

using namespace bronzering;

auto main(int aCount, char** aArguments) -> int
{
  std::uint16_t port = 0;
  double lagSeconds = 0;
  std::string file;
  CLI::App app{ "Fake of the platform's VM list on 127.0.0.1" };
  app.add_option("--port", port, "Port to listen on")->required();
  app.add_option("--file", file, "JSON array to serve")->required()->check(CLI::ExistingFile);
  app.add_option("--lag", lagSeconds, "Seconds before a change of the file becomes visible");
  CLI11_PARSE(app, aCount, aArguments);

  const auto signals = BlockStopSignals();
  const fake_vm_list list(port, file, FromSeconds(lagSeconds));
  std::cout << "vm list: listening port=" << list.Port() << std::endl;
  WaitForStop(signals);
  return 0;
}

#include "agent_daemon.h"

#include <bronzering/daemon/command_line.h>

using namespace bronzering;

auto main(int aCount, char** aArguments) -> int
{
  const auto program = daemon_program{
    "bronzering-agent",
    "Admits requests to one endpoint; the only process that sends requests to it",
    AgentFlags(),
    [](const settings_input& aInput) { return LoadAgentSettings(aInput).mProblems; },
    [](const settings_input& aInput) { return RunAgent(LoadAgentSettings(aInput).mSettings); }
  };
  return RunCommandLine(program, aCount, aArguments);
}

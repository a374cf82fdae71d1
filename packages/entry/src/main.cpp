#include "entry_daemon.h"

#include <bronzering/daemon/command_line.h>

using namespace bronzering;

auto main(int aCount, char** aArguments) -> int
{
  const auto program = daemon_program{
    "bronzering-entry",
    "Accepts HTTP requests of callers and schedules them on the fleet's engines",
    EntryFlags(),
    [](const settings_input& aInput) { return LoadEntrySettings(aInput).mProblems; },
    [](const settings_input& aInput) { return RunEntry(LoadEntrySettings(aInput).mSettings); }
  };
  return RunCommandLine(program, aCount, aArguments);
}

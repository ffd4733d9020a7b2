#include "cli/command.h"
#include "cli/run.h"

int
cmd_run_main (int argc, char **argv)
{
  struct settings settings;
  settings_from_arguments (
      &settings, SETTINGS_RUN,
      "Run a host.\vSIGTERM starts a graceful shutdown; a second "
      "one ends the host immediately.  Exit status: 0 after a graceful "
      "shutdown, 1 if requests were aborted or a listener could not be "
      "opened, 2 for wrong settings.",
      argc, argv);
  int status = run_host (&settings);
  settings_clear (&settings);
  return status;
}

/* run - the host process: ports, node and listeners on one event loop.  */

#ifndef SAVORYWAY_CLI_RUN_H
#define SAVORYWAY_CLI_RUN_H

#include "cli/settings.h"

/* Runs a host until it is shut down.  SIGTERM, SIGINT or an operator's drain
   request starts a graceful shutdown; a signal during that ends the process
   immediately.  Returns an exit status.  */
int run_host (const struct settings *settings);

#endif

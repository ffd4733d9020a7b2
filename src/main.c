#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "cli/command.h"
#include "kernel/mem.h"

static const struct command
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *help; /* NULL if --help does not list it */
} commands[] = {
  { "run", cmd_run_main, "run a host" },
  { "serve", cmd_serve_main, "run a host on the users' platform" },
  { "check-settings", cmd_check_settings_main,
    "check the settings of serve without running a host" },
  { "trace", cmd_trace_main, "show the outcome of a request from logs" },
  { "status", cmd_status_main, "show the state of a host" },
  { "drain", cmd_drain_main, "start the graceful shutdown of a host" },
  { "failover", cmd_failover_main,
    "show, order or block changes of the primary" },
  { "topology", cmd_topology_main, "show hosts, databases and gateways" },
  { "explain", cmd_explain_main,
    "show how a request would be routed, and why" },
  { "config", cmd_config_main, "read and change the configuration" },
  { "query", cmd_query_main, "run one statement through a host" },
  { "hash", cmd_hash_main, "print the hash of a secret" },
  { "man", cmd_man_main, NULL },
};

#define COMMAND_COUNT (sizeof commands / sizeof commands[0])

const char *argp_program_version = "savoryway " SAVORYWAY_VERSION;

static const struct command *
find_command (const char *name)
{
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    if (strcmp (commands[i].name, name) == 0)
      return &commands[i];
  return NULL;
}

/* Stores the index of the command's name and stops, since all arguments after
   it belong to the command.  */
static error_t
parse_command (int key, char *arg, struct argp_state *state)
{
  int *first = state->input;
  switch (key)
    {
    case ARGP_KEY_ARG:
      if (find_command (arg) == NULL)
        argp_error (state, "unknown command \"%s\"", arg);
      *first = state->next - 1;
      state->next = state->argc;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static char *
list_commands (void)
{
  char *text
      = mem_strdup ("Database proxy with session consistency.\vCommands:\n");
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    if (commands[i].help != NULL)
      {
        char *longer = mem_printf ("%s  %-14s %s\n", text, commands[i].name,
                                   commands[i].help);
        free (text);
        text = longer;
      }
  char *doc = mem_printf (
      "%s\n`savoryway COMMAND --help' lists the flags of a command.  Exit "
      "status: 0 success, 1 failure, 2 wrong usage or settings, 3 no answer "
      "from the host, 4 not run, 5 may have run.",
      text);
  free (text);
  return doc;
}

int
main (int argc, char **argv)
{
  int first = 0;
  struct argp argp = { .parser = parse_command,
                       .args_doc = "COMMAND [FLAG...]",
                       .doc = list_commands () };
  argp_err_exit_status = EXIT_WRONG_SETTINGS;
  if (sodium_init () < 0)
    return EXIT_FAILED;
  argp_parse (&argp, argc, argv, ARGP_IN_ORDER, NULL, &first);
  free ((char *)argp.doc);
  const struct command *command = find_command (argv[first]);
  /* argp prints argv[0] as the name of the program in messages.  */
  char *name = mem_printf ("savoryway %s", command->name);
  argv[first] = name;
  int status = command->run (argc - first, argv + first);
  free (name);
  return status;
}

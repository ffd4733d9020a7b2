#include <stdio.h>
#include <stdlib.h>

#include "cli/command.h"

static const char *const page_start
    = ".TH SAVORYWAY 1 \"\" \"savoryway " SAVORYWAY_VERSION "\" \"User "
      "Commands\"\n"
      ".SH NAME\n"
      "savoryway \\- database proxy with session consistency\n"
      ".SH SYNOPSIS\n"
      ".B savoryway\n"
      "run|serve|check-settings|trace|status|config|drain|failover|topology|"
      "explain|"
      "query|hash "
      "[FLAG...]\n"
      ".SH DESCRIPTION\n"
      "Each host runs\n"
      ".BR \"savoryway run\" .\n"
      "Commands that query a host use its operators' listener, or for\n"
      ".B query\n"
      "its callers' listener.\n"
      ".B savoryway COMMAND \\-\\-help\n"
      "lists the flags of COMMAND.\n"
      ".SH SETTINGS\n"
      "Each is a flag of the commands in parentheses and an environment\n"
      "variable; the flag overrides it.\n";

static const char *const page_end
    = ".SH \"EXIT STATUS\"\n"
      ".TP\n0\nsuccess\n"
      ".TP\n1\nfailure, or requests were aborted at the end of the drain\n"
      ".TP\n2\nwrong usage or settings; nothing was done\n"
      ".TP\n3\nno answer from the host\n"
      ".TP\n4\nquery: the statement was not run\n"
      ".TP\n5\nquery: the statement may have run; repeat it with the same "
      "request id\n"
      ".SH SIGNALS\n"
      "SIGTERM and SIGINT start a graceful shutdown of a host; a second one\n"
      "ends it immediately.\n";

/* Prints TEXT with the characters escaped that are special to troff.  */
static void
print_escaped (const char *text)
{
  for (const char *c = text; *c != '\0'; c++)
    {
      if (*c == '-' || *c == '\\')
        putchar ('\\');
      putchar (*c);
    }
}

static void
print_setting (const struct setting *setting)
{
  char *help = setting_help (setting);
  printf (".TP\n.B ");
  if (setting->type == SETTING_KEY)
    {
      char *variable = setting_variable (setting);
      print_escaped (variable);
      free (variable);
    }
  else
    {
      print_escaped ("--");
      print_escaped (setting->name);
    }
  printf (" (%s%s%s%s)\n", setting->commands & SETTINGS_RUN ? "run" : "",
          setting->commands & SETTINGS_SERVE ? ", serve" : "",
          setting->commands & SETTINGS_OPERATOR ? ", operators' commands" : "",
          setting->commands & SETTINGS_CALLER ? ", query" : "");
  print_escaped (help);
  putchar ('\n');
  free (help);
}

int
cmd_man_main (int argc, char **argv)
{
  size_t count;
  const struct setting *table = settings_table (&count);
  (void)argc;
  (void)argv;
  fputs (page_start, stdout);
  for (size_t i = 0; i < count; i++)
    print_setting (&table[i]);
  fputs (page_end, stdout);
  return EXIT_OK;
}

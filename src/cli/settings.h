/* settings - the settings of the process, from one table.

   Each row gives a setting's flag, variable, type, range, default and help.
   Options of the command line, environment, manual page and validation all
   come from the table.  A flag goes before its variable.  Secrets have no
   flag: they come from a variable or from a file that a flag names.  */

#ifndef SAVORYWAY_CLI_SETTINGS_H
#define SAVORYWAY_CLI_SETTINGS_H

#include <argp.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "core/policy.h"
#include "core/view.h"
#include "port/peer_port.h"

#define SETTINGS_LIMIT 64
#define SETTINGS_KEY_BYTES 32
#define SETTINGS_PREFIX "SAVORYWAY_"

enum setting_type
{
  SETTING_NAME,     /* letters, digits, '.', '_' and '-' */
  SETTING_TEXT,     /* any text, such as the path of a file */
  SETTING_ADDRESS,  /* IP number */
  SETTING_ENDPOINT, /* IP number and port, ADDRESS:PORT */
  SETTING_HASH,     /* secret_hash of the configuration */
  SETTING_NUMBER,
  SETTING_DECIMAL, /* likewise; a fraction is cut off */
  SETTING_CHOICE,  /* one of some words */
  SETTING_SEEDS,   /* NAME=ADDRESS:PORT,... */
  SETTING_KEY      /* 64 hexadecimal digits; has no flag */
};

/* Which commands take a setting.  */
enum
{
  SETTINGS_RUN = 1,
  SETTINGS_OPERATOR = 2, /* commands that ask an operators' listener */
  SETTINGS_CALLER = 4,   /* commands that ask a callers' listener */
  SETTINGS_SERVE = 8     /* the host on the users' platform */
};

struct setting
{
  const char *name; /* of the flag, without dashes */
  enum setting_type type;
  unsigned commands;
  bool required;
  size_t offset; /* in struct settings */
  int64_t min;
  int64_t max;
  const char *const *choices; /* ends with NULL */
  const char *fallback;       /* default as text; NULL for none */
  const char *help;
};

/* An IP number and a port.  */
struct endpoint
{
  char address[ADDRESS_BYTES];
  uint16_t port;
};

/* Values of all settings.  */
struct settings
{
  char *host;
  char *domain;
  char *caller_address;
  int64_t caller_port;
  char *operator_address;
  int64_t operator_port;
  char *rpc_address;
  int64_t rpc_port;
  char *platform_address;
  int64_t platform_port;
  char *platform_token_file;
  char *platform_token; /* from that file; NULL if none is set */
  char *database_user;
  char *database_name;
  char *admin_secret_hash;
  char *token_key_file;
  char *rpc_secret_file;
  uint8_t token_key[SETTINGS_KEY_BYTES];
  uint8_t rpc_secret[SETTINGS_KEY_BYTES];
  int64_t incarnation;
  struct peer_address *seeds;
  size_t seed_count;
  int64_t log_level; /* syslog priority */
  int64_t log_rate_per_s;
  int64_t policy; /* enum policy */
  int64_t drain_limit_ms;
  int64_t request_limit;
  int64_t caller_idle_ms;
  int64_t body_limit_bytes;
  int64_t header_limit_bytes;
  char *caller_endpoint;
  char *host_endpoint;
  char *ready_endpoint;
  char *metrics_endpoint;
  char *store_endpoint;
  char *promote_endpoint;
  int64_t shutdown_limit_s;
  int64_t link_mbps;
};

/* Splits TEXT, an ADDRESS:PORT; returns false if it is none.  */
bool endpoint_parse (struct endpoint *endpoint, const char *text);

/* Where values come from.  */
struct settings_source
{
  const char *flags[SETTINGS_LIMIT]; /* by row of the table */
  const char *(*variable) (const char *name);
};

/* Returns the table and sets COUNT.  */
const struct setting *settings_table (size_t *count);

/* Reads, checks and stores all settings of COMMANDS.  Returns false if
   FINDINGS were added; SETTINGS is to be cleared either way.  */
bool settings_resolve (struct settings *settings, unsigned commands,
                       const struct settings_source *source,
                       struct findings *findings);
void settings_clear (struct settings *settings);

/* Writes "place: text" of each finding to OUT.  */
void settings_report (FILE *out, const struct findings *findings);

/* Returns the syslog priority named NAME, or -1.  */
int settings_log_level (const char *name);

/* Returns the variable's name of SETTING; the caller frees it.  */
char *setting_variable (const struct setting *setting);

/* Returns a parser for the flags of COMMANDS, to be used as a child; its
   input is a struct settings_source.  Valid until the process ends.  */
const struct argp *settings_argp (unsigned commands);

/* Returns the help of SETTING with its words, default and variable; the
   caller frees it.  */
char *setting_help (const struct setting *setting);

/* Parses the arguments of a command that takes only settings of COMMANDS, and
   reads them as settings_from_flags does.  */
void settings_from_arguments (struct settings *settings, unsigned commands,
                              const char *doc, int argc, char **argv);

/* Reads the settings of a command from the flags in SOURCE and from the
   environment.  On wrong ones prints all findings and ends the process with
   EXIT_WRONG_SETTINGS.  */
void settings_from_flags (struct settings *settings, unsigned commands,
                          struct settings_source *source);

#endif

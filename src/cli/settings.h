/* settings - the settings of the process, defined by one table.

   Each row defines the flag, environment variable, type, range, default and
   help of a setting.  The command line options, the environment variables, the
   manual page and the validation are all derived from the table.  A flag takes
   precedence over its variable.  An empty flag counts as not given, so that a
   template may fill in a value that a platform does not have.  Secrets have no
   flag: they come from a variable or from a file whose path is a setting.  */

#ifndef SAVORYWAY_CLI_SETTINGS_H
#define SAVORYWAY_CLI_SETTINGS_H

#include <argp.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "core/policy.h"
#include "core/view.h"
#include "port/peer_port.h"

/* Maximum number of rows.  */
#define SETTINGS_LIMIT 64

/* Size of a secret key.  */
#define SETTINGS_KEY_BYTES 32

/* Prefix of the environment variables.  */
#define SETTINGS_PREFIX "SAVORYWAY_"

enum setting_type
{
  SETTING_NAME,        /* letters, digits, '.', '_' and '-' */
  SETTING_TEXT,        /* any text, such as a file path */
  SETTING_ADDRESS,     /* IP number */
  SETTING_ENDPOINT,    /* IP number and port, ADDRESS:PORT */
  SETTING_HASH,        /* as secret_hash in the configuration */
  SETTING_NUMBER,      /* integer */
  SETTING_DECIMAL,     /* decimal fraction, truncated to an integer */
  SETTING_THOUSANDTHS, /* the same, stored in thousandths */
  SETTING_CHOICE,      /* one of choices, stored as its index */
  SETTING_SEEDS,       /* NAME=ADDRESS:PORT,... */
  SETTING_KEY          /* 64 hexadecimal digits; has no flag */
};

/* Groups of commands that accept a setting; a bit mask.  */
enum
{
  SETTINGS_RUN = 1,      /* the host */
  SETTINGS_OPERATOR = 2, /* commands that call an operators' listener */
  SETTINGS_CALLER = 4,   /* commands that call a callers' listener */
  SETTINGS_SERVE = 8     /* the host on the users' platform */
};

struct setting
{
  const char *name; /* of the flag, without the leading dashes */
  enum setting_type type;
  unsigned commands; /* bit mask of SETTINGS_RUN etc. */
  bool required;
  size_t offset; /* in struct settings */
  int64_t min;   /* of a number, or of the port of an endpoint */
  int64_t max;
  const char *const *choices; /* NULL-terminated */
  const char *fallback;       /* default as text; NULL for none */
  const char *help;
};

/* An IP number and a port.  */
struct endpoint
{
  char address[ADDRESS_BYTES];
  uint16_t port;
};

/* Values of all settings.  Strings are NULL if not set.  */
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
  char *platform_token; /* read from that file */
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
  int64_t instance_drain_ms;
  int64_t config_apply_ms;
  int64_t fencing_enforced; /* 0 or 1 */
  int64_t link_mbps;
  int64_t strict_revocation; /* 0 or 1 */
  int64_t revoke_ms;
  int64_t limit_window_s;
  int64_t limit_overage; /* in thousandths */
  int64_t limit_tolerance;
  int64_t memory_mb; /* 0: that of the machine */
  int64_t max_fds;   /* 0: the limit of the system */
  char *areas;       /* DOMAIN=AREA,... */
  int64_t domain_cost_ms;
  int64_t area_cost_ms;
  int64_t client_stall_ms;
};

/* Parses TEXT as ADDRESS:PORT.  Returns false if it is malformed.  */
bool endpoint_parse (struct endpoint *endpoint, const char *text);

/* Sources of the values.  */
struct settings_source
{
  const char *flags[SETTINGS_LIMIT];          /* by row of the table */
  const char *(*variable) (const char *name); /* as getenv */
};

/* Returns the table and sets COUNT to the number of its rows.  */
const struct setting *settings_table (size_t *count);

/* Parses, validates and stores all settings of COMMANDS.  Returns false if it
   added FINDINGS.  Call settings_clear on SETTINGS in either case.  */
bool settings_resolve (struct settings *settings, unsigned commands,
                       const struct settings_source *source,
                       struct findings *findings);

/* Frees the values and wipes the keys.  */
void settings_clear (struct settings *settings);

/* Writes a line with origin and text of each finding to OUT.  */
void settings_report (FILE *out, const struct findings *findings);

/* Returns the syslog priority called NAME, or -1 if there is none.  */
int settings_log_level (const char *name);

/* Returns the name of SETTING's environment variable; the caller frees it.  */
char *setting_variable (const struct setting *setting);

/* Returns an argp parser for the flags of COMMANDS, to be used as a child of
   the command's parser.  Its input is a struct settings_source.  It stays
   valid until the process ends, but the next call overwrites its options.  */
const struct argp *settings_argp (unsigned commands);

/* Returns the help of SETTING with its choices, default and variable; the
   caller frees it.  */
char *setting_help (const struct setting *setting);

/* Parses the arguments of a command that takes only settings of COMMANDS, then
   does what settings_from_flags does.  */
void settings_from_arguments (struct settings *settings, unsigned commands,
                              const char *doc, int argc, char **argv);

/* Resolves the settings of a command from the flags in SOURCE and from the
   environment.  If any is invalid, prints all findings to standard error and
   exits with EXIT_WRONG_SETTINGS.  */
void settings_from_flags (struct settings *settings, unsigned commands,
                          struct settings_source *source);

#endif

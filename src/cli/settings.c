#include "cli/settings.h"

#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <sodium.h>

#include "kernel/mem.h"
#include "proxy/distance.h"

/* Buffer size for a token of up to 256 characters, its line feed and NUL.  */
#define TOKEN_FILE_BYTES 258
#define KEY_DIGITS 64

_Static_assert(KEY_DIGITS == 2 * SETTINGS_KEY_BYTES, "digits of a key");

#define SEED_LIMIT 64UL

/* The text of a setting to be parsed, and where it came from.  */
struct setting_input
{
  struct settings *settings;
  const struct setting *setting;
  const char *text;
  const char *origin; /* flag, variable or "default" */
  struct findings *findings;
};

char *
setting_variable (const struct setting *setting)
{
  char *name = mem_printf ("%s%s", SETTINGS_PREFIX, setting->name);
  for (char *c = name; *c != '\0'; c++)
    *c = *c == '-' ? '_' : (char)toupper ((unsigned char)*c);
  return name;
}

static void *
field_of (const struct setting_input *input)
{
  return (char *)input->settings + input->setting->offset;
}

static bool
is_address (const char *text)
{
  unsigned char bytes[sizeof (struct in6_addr)];
  return inet_pton (AF_INET, text, bytes) == 1
         || inet_pton (AF_INET6, text, bytes) == 1;
}

static bool
is_name (const char *text, size_t length)
{
  if (length == 0 || length >= NAME_BYTES)
    return false;
  for (size_t i = 0; i < length; i++)
    if (!isalnum ((unsigned char)text[i]) && strchr ("._-", text[i]) == NULL)
      return false;
  return true;
}

static bool
parse_number (const char *text, int64_t *value)
{
  char *end;
  errno = 0;
  *value = strtoll (text, &end, 10);
  return errno == 0 && end != text && *end == '\0';
}

bool
endpoint_parse (struct endpoint *endpoint, const char *text)
{
  const char *colon = strrchr (text, ':');
  int64_t port;
  *endpoint = (struct endpoint){ 0 };
  if (colon == NULL || (size_t)(colon - text) >= sizeof endpoint->address)
    return false;
  memcpy (endpoint->address, text, (size_t)(colon - text));
  if (!is_address (endpoint->address) || !parse_number (colon + 1, &port)
      || port < 0 || port > UINT16_MAX)
    return false;
  endpoint->port = (uint16_t)port;
  return true;
}

static void
read_endpoint (const struct setting_input *input)
{
  struct endpoint endpoint;
  if (endpoint_parse (&endpoint, input->text)
      && endpoint.port >= input->setting->min)
    *(char **)field_of (input) = mem_strdup (input->text);
  else
    findings_add (input->findings, input->origin,
                  "\"%s\" is not ADDRESS:PORT with an IP number and a port "
                  "that can be used",
                  input->text);
}

static void
read_text (const struct setting_input *input)
{
  char **field = field_of (input);
  const char *text = input->text;
  if (input->setting->type == SETTING_NAME && !is_name (text, strlen (text)))
    findings_add (input->findings, input->origin,
                  "\"%s\" is not a name of up to %d letters, digits, '.', '_' "
                  "and '-'",
                  text, NAME_BYTES - 1);
  else if (input->setting->type == SETTING_ADDRESS && !is_address (text))
    findings_add (input->findings, input->origin, "\"%s\" is not an IP number",
                  text);
  else if (input->setting->type == SETTING_HASH
           && !view_secret_hash_valid (text))
    findings_add (input->findings, input->origin,
                  "is not a hash as `savoryway hash' prints it");
  else
    *field = mem_strdup (text);
}

static void
read_number (const struct setting_input *input)
{
  const struct setting *setting = input->setting;
  int64_t value;
  if (!parse_number (input->text, &value))
    findings_add (input->findings, input->origin,
                  "\"%s\" is not a whole number", input->text);
  else if (value < setting->min || value > setting->max)
    findings_add (input->findings, input->origin,
                  "%" PRId64 " is not from %" PRId64 " to %" PRId64, value,
                  setting->min, setting->max);
  else
    *(int64_t *)field_of (input) = value;
}

/* Parses a number with an optional fraction, which is truncated.  */
static void
read_decimal (const struct setting_input *input)
{
  size_t whole = strcspn (input->text, ".");
  const char *fraction = input->text + whole + (input->text[whole] == '.');
  char *text = mem_printf ("%.*s", (int)whole, input->text);
  struct setting_input truncated = *input;
  if (strspn (fraction, "0123456789") == strlen (fraction))
    truncated.text = text;
  read_number (&truncated);
  free (text);
}

/* Parses a number with up to three decimals into thousandths.  */
static void
read_thousandths (const struct setting_input *input)
{
  size_t whole = strcspn (input->text, ".");
  const char *fraction = input->text + whole + (input->text[whole] == '.');
  size_t digits = strlen (fraction);
  char *text = mem_printf ("%.*s%.3s%.*s", (int)whole, input->text, fraction,
                           digits < 3 ? (int)(3 - digits) : 0, "000");
  struct setting_input scaled = *input;
  if (strspn (fraction, "0123456789") == digits)
    scaled.text = text;
  read_number (&scaled);
  free (text);
}

static void
read_choice (const struct setting_input *input)
{
  const char *const *choices = input->setting->choices;
  for (int64_t i = 0; choices[i] != NULL; i++)
    if (strcmp (choices[i], input->text) == 0)
      {
        *(int64_t *)field_of (input) = i;
        return;
      }
  findings_add (input->findings, input->origin,
                "\"%s\" is not one of the words in the help", input->text);
}

/* Parses NAME=ADDRESS:PORT.  */
static bool
parse_seed (const char *text, struct peer_address *seed)
{
  const char *equals = strchr (text, '=');
  const char *colon = strrchr (text, ':');
  int64_t port;
  if (equals == NULL || colon == NULL || colon < equals)
    return false;
  size_t name_length = (size_t)(equals - text);
  size_t address_length = (size_t)(colon - equals - 1);
  if (!is_name (text, name_length) || address_length >= ADDRESS_BYTES)
    return false;
  memset (seed, 0, sizeof *seed);
  memcpy (seed->name, text, name_length);
  memcpy (seed->address, equals + 1, address_length);
  if (!is_address (seed->address) || !parse_number (colon + 1, &port))
    return false;
  if (port < 1 || port > UINT16_MAX)
    return false;
  seed->port = (uint16_t)port;
  return true;
}

static void
read_seeds (const struct setting_input *input)
{
  struct settings *settings = input->settings;
  char *copy = mem_strdup (input->text);
  char *rest = copy;
  char *item;
  settings->seeds = mem_zalloc (SEED_LIMIT * sizeof *settings->seeds);
  while ((item = strsep (&rest, ",")) != NULL)
    {
      if (*item == '\0')
        continue;
      if (settings->seed_count == SEED_LIMIT)
        {
          findings_add (input->findings, input->origin, "more than %lu seeds",
                        SEED_LIMIT);
          break;
        }
      if (parse_seed (item, &settings->seeds[settings->seed_count]))
        settings->seed_count++;
      else
        findings_add (input->findings, input->origin,
                      "\"%s\" is not NAME=ADDRESS:PORT", item);
    }
  free (copy);
}

static bool
parse_key (const char *text, uint8_t key[SETTINGS_KEY_BYTES])
{
  size_t length = strcspn (text, " \t\r\n");
  size_t parsed;
  if (length != KEY_DIGITS || text[length + strspn (text + length, " \t\r\n")])
    return false;
  return sodium_hex2bin (key, SETTINGS_KEY_BYTES, text, length, NULL, &parsed,
                         NULL)
             == 0
         && parsed == SETTINGS_KEY_BYTES;
}

/* Findings never contain the text of a key.  */
static void
read_key (const struct setting_input *input)
{
  if (!parse_key (input->text, field_of (input)))
    findings_add (input->findings, input->origin,
                  "is not %d hexadecimal digits", KEY_DIGITS);
}

static void
read_setting (const struct setting_input *input)
{
  switch (input->setting->type)
    {
    case SETTING_NAME:
    case SETTING_TEXT:
    case SETTING_ADDRESS:
    case SETTING_HASH:
      read_text (input);
      break;
    case SETTING_ENDPOINT:
      read_endpoint (input);
      break;
    case SETTING_NUMBER:
      read_number (input);
      break;
    case SETTING_DECIMAL:
      read_decimal (input);
      break;
    case SETTING_THOUSANDTHS:
      read_thousandths (input);
      break;
    case SETTING_CHOICE:
      read_choice (input);
      break;
    case SETTING_SEEDS:
      read_seeds (input);
      break;
    case SETTING_KEY:
      read_key (input);
      break;
    }
}

static void
resolve_setting (struct settings *settings, size_t row,
                 const struct settings_source *source,
                 struct findings *findings)
{
  size_t count;
  const struct setting *setting = &settings_table (&count)[row];
  char *variable = setting_variable (setting);
  char *flag = mem_printf ("--%s", setting->name);
  const char *text = source->variable (variable);
  struct setting_input input = { .settings = settings,
                                 .setting = setting,
                                 .text = setting->fallback,
                                 .origin = "default",
                                 .findings = findings };
  if (source->flags[row] != NULL && source->flags[row][0] != '\0')
    {
      input.text = source->flags[row];
      input.origin = flag;
    }
  else if (text != NULL)
    {
      input.text = text;
      input.origin = variable;
    }
  if (input.text != NULL)
    read_setting (&input);
  else if (setting->required)
    findings_add (findings, flag, "is required; %s sets it too", variable);
  free (variable);
  free (flag);
}

/* Reads a key from the file at PATH.  */
static void
load_key_file (const char *path, uint8_t key[SETTINGS_KEY_BYTES],
               struct findings *findings)
{
  char text[KEY_DIGITS + 16] = { 0 };
  int fd = open (path, O_RDONLY | O_CLOEXEC);
  if (fd < 0)
    {
      findings_add (findings, path, "%s", strerror (errno));
      return;
    }
  ssize_t length = read (fd, text, sizeof text - 1);
  close (fd);
  if (length < 0)
    findings_add (findings, path, "%s", strerror (errno));
  else if (!parse_key (text, key))
    findings_add (findings, path, "is not %d hexadecimal digits", KEY_DIGITS);
  sodium_memzero (text, sizeof text);
}

/* Reads the platform's access token, the first line of the file at PATH.  */
static char *
load_token_file (const char *path, struct findings *findings)
{
  char text[TOKEN_FILE_BYTES] = { 0 };
  char *token = NULL;
  int fd = open (path, O_RDONLY | O_CLOEXEC);
  ssize_t length = fd >= 0 ? read (fd, text, sizeof text - 1) : -1;
  if (length < 0)
    findings_add (findings, path, "%s", strerror (errno));
  text[strcspn (text, "\r\n")] = '\0';
  size_t token_length = strlen (text);
  bool printable = true;
  for (size_t i = 0; i < token_length; i++)
    printable = printable && text[i] > ' ' && text[i] <= '~';
  if (length >= 0
      && (token_length == 0 || token_length == sizeof text - 1 || !printable))
    findings_add (findings, path, "is not a token of 1 to %d characters",
                  TOKEN_FILE_BYTES - 2);
  else if (length >= 0)
    token = mem_strdup (text);
  if (fd >= 0)
    close (fd);
  sodium_memzero (text, sizeof text);
  return token;
}

/* Loads a key from its file unless its variable is set.  Adds a finding if
   neither is given.  */
static void
resolve_key (const char *name, const char *path, uint8_t *key,
             const struct settings_source *source, struct findings *findings)
{
  struct setting setting = { .name = name };
  char *variable = setting_variable (&setting);
  if (source->variable (variable) == NULL && path != NULL)
    load_key_file (path, key, findings);
  else if (source->variable (variable) == NULL)
    findings_add (findings, variable, "is required, or --%s-file", name);
  free (variable);
}

/* Checks what the table of settings can't express: other hosts connect to the
   RPC address, so it must not be a wildcard.  */
static void
check_together (const struct settings *settings, struct findings *findings)
{
  static const char *const wildcards[] = { "0.0.0.0", "::" };
  for (size_t i = 0; i < sizeof wildcards / sizeof wildcards[0]; i++)
    if (settings->rpc_address != NULL
        && strcmp (settings->rpc_address, wildcards[i]) == 0)
      findings_add (findings, "--rpc-address",
                    "%s can't be reached by other hosts", wildcards[i]);
}

bool
settings_resolve (struct settings *settings, unsigned commands,
                  const struct settings_source *source,
                  struct findings *findings)
{
  size_t count;
  const struct setting *table = settings_table (&count);
  size_t count_before = findings->count;
  memset (settings, 0, sizeof *settings);
  for (size_t row = 0; row < count; row++)
    if (table[row].commands & commands)
      resolve_setting (settings, row, source, findings);
  if (commands & SETTINGS_RUN)
    {
      resolve_key ("token-key", settings->token_key_file, settings->token_key,
                   source, findings);
      resolve_key ("rpc-secret", settings->rpc_secret_file,
                   settings->rpc_secret, source, findings);
      if (settings->platform_token_file != NULL)
        settings->platform_token
            = load_token_file (settings->platform_token_file, findings);
      check_together (settings, findings);
    }
  if ((commands & SETTINGS_SERVE) && !distance_areas_valid (settings->areas))
    findings_add (findings, "--areas",
                  "is not a list of DOMAIN=AREA, each domain once");
  return findings->count == count_before;
}

void
settings_clear (struct settings *settings)
{
  size_t count;
  const struct setting *table = settings_table (&count);
  for (size_t i = 0; i < count; i++)
    if (table[i].type <= SETTING_HASH)
      free (*(char **)((char *)settings + table[i].offset));
  free (settings->seeds);
  free (settings->platform_token);
  sodium_memzero (settings, sizeof *settings);
}

void
settings_report (FILE *out, const struct findings *findings)
{
  for (size_t i = 0; i < findings->count; i++)
    fprintf (out, "savoryway: %s: %s\n", findings->items[i].path,
             findings->items[i].text);
}

#include <stdlib.h>
#include <string.h>

#include "cli/command.h"
#include "cli/settings.h"
#include "kernel/mem.h"

/* Keys of the flags, above the range of characters so that argp derives no
   short options.  */
#define FIRST_KEY 1000

static error_t
store_flag (int key, char *arg, struct argp_state *state)
{
  struct settings_source *source = state->input;
  size_t count;
  settings_table (&count);
  if (key < FIRST_KEY || key >= FIRST_KEY + (int)count)
    return ARGP_ERR_UNKNOWN;
  source->flags[key - FIRST_KEY] = arg;
  return 0;
}

static const char *
argument_name (const struct setting *setting)
{
  switch (setting->type)
    {
    case SETTING_ADDRESS:
      return "ADDRESS";
    case SETTING_ENDPOINT:
      return "ADDRESS:PORT";
    case SETTING_NUMBER:
    case SETTING_DECIMAL:
    case SETTING_THOUSANDTHS:
      return "N";
    case SETTING_CHOICE:
      return "WORD";
    case SETTING_SEEDS:
      return "LIST";
    case SETTING_HASH:
      return "HASH";
    case SETTING_NAME:
      return "NAME";
    default:
      return "FILE";
    }
}

/* Returns " (A|B|...)" with the choices; "" if there are none.  */
static char *
choice_words (const struct setting *setting)
{
  char *words = mem_strdup ("");
  for (size_t i = 0; setting->choices != NULL && setting->choices[i]; i++)
    {
      char *longer = mem_printf ("%s%s%s", words, i > 0 ? "|" : " (",
                                 setting->choices[i]);
      free (words);
      words = longer;
    }
  char *closed = mem_printf ("%s%s", words, *words != '\0' ? ")" : "");
  free (words);
  return closed;
}

char *
setting_help (const struct setting *setting)
{
  char *variable = setting_variable (setting);
  char *words = choice_words (setting);
  char *fallback = setting->fallback != NULL
                       ? mem_printf ("; default %s", setting->fallback)
                       : mem_strdup (setting->required ? "; required" : "");
  char *help
      = mem_printf ("%s%s%s [%s]", setting->help, words, fallback, variable);
  free (variable);
  free (words);
  free (fallback);
  return help;
}

const struct argp *
settings_argp (unsigned commands)
{
  static struct argp_option options[SETTINGS_LIMIT + 1];
  static struct argp argp = { .options = options, .parser = store_flag };
  size_t count;
  size_t used = 0;
  const struct setting *table = settings_table (&count);
  memset (options, 0, sizeof options);
  for (size_t row = 0; row < count; row++)
    {
      if (!(table[row].commands & commands) || table[row].type == SETTING_KEY)
        continue;
      options[used++] = (struct argp_option){
        .name = table[row].name,
        .key = FIRST_KEY + (int)row,
        .arg = argument_name (&table[row]),
        .doc = setting_help (&table[row]),
      };
    }
  return &argp;
}

static const char *
environment (const char *name)
{
  return getenv (name);
}

void
settings_from_flags (struct settings *settings, unsigned commands,
                     struct settings_source *source)
{
  struct findings findings = { 0 };
  source->variable = environment;
  if (settings_resolve (settings, commands, source, &findings))
    return;
  settings_report (stderr, &findings);
  findings_clear (&findings);
  settings_clear (settings);
  exit (EXIT_WRONG_SETTINGS);
}

static error_t
parse_no_options (int key, char *arg, struct argp_state *state)
{
  (void)arg;
  if (key != ARGP_KEY_INIT)
    return ARGP_ERR_UNKNOWN;
  state->child_inputs[0] = state->input;
  return 0;
}

void
settings_from_arguments (struct settings *settings, unsigned commands,
                         const char *doc, int argc, char **argv)
{
  struct argp_child children[]
      = { { settings_argp (commands), 0, "Settings:", 0 }, { 0 } };
  struct argp argp
      = { .parser = parse_no_options, .doc = doc, .children = children };
  struct settings_source source = { 0 };
  argp_parse (&argp, argc, argv, 0, NULL, &source);
  settings_from_flags (settings, commands, &source);
}

#include <stdio.h>
#include <string.h>

#include "cli/command.h"

static const char *
text_of (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));
  return text != NULL ? text : "-";
}

static const char *
host_state (const json_t *host)
{
  if (json_is_true (json_object_get (host, "leaving")))
    return "leaving";
  return json_is_true (json_object_get (host, "suspected")) ? "suspected"
                                                            : "live";
}

static void
print_hosts (const json_t *hosts)
{
  size_t i;
  json_t *host;
  printf ("%-20s %-12s %-10s %s\n", "HOST", "DOMAIN", "STATE", "ADDRESS");
  json_array_foreach (hosts, i, host)
  {
    printf ("%-20s %-12s %-10s %s:%" JSON_INTEGER_FORMAT "\n",
            text_of (host, "name"), text_of (host, "domain"),
            host_state (host), text_of (host, "address"),
            json_integer_value (json_object_get (host, "port")));
  }
}

static void
print_instance (const json_t *database, const json_t *instance)
{
  const char *name = text_of (instance, "name");
  const char *role = strcmp (name, text_of (database, "primary")) == 0
                         ? "primary"
                         : "replica";
  size_t i;
  json_t *gateway;
  printf ("  %-38s %-12s %-8s", name, text_of (instance, "domain"), role);
  json_array_foreach (json_object_get (instance, "gateways"), i, gateway)
  {
    printf (" %s", json_string_value (gateway));
  }
  putchar ('\n');
}

static void
print_databases (const json_t *databases)
{
  size_t i;
  json_t *database;
  json_array_foreach (databases, i, database)
  {
    size_t j;
    json_t *instance;
    printf ("\n%s  term %" JSON_INTEGER_FORMAT " %s%s\n",
            text_of (database, "name"),
            json_integer_value (json_object_get (database, "term")),
            text_of (database, "state"),
            json_is_true (json_object_get (database, "leaving")) ? " (leaving)"
                                                                 : "");
    printf ("  %-38s %-12s %-8s %s\n", "INSTANCE", "DOMAIN", "ROLE",
            "GATEWAYS");
    json_array_foreach (json_object_get (database, "instances"), j, instance)
    {
      print_instance (database, instance);
    }
  }
}

int
cmd_topology_main (int argc, char **argv)
{
  struct operator_input input = { 0 };
  json_t *answer;
  command_parse (&input, SETTINGS_OPERATOR,
                 "Show hosts, databases and gateways as one host sees them.",
                 argc, argv);
  int status = command_request (&input.settings, "GET", "/v1/topology", NULL,
                                &answer);
  if (status == EXIT_OK && input.json)
    command_print_json (answer);
  else if (status == EXIT_OK)
    {
      print_hosts (json_object_get (answer, "hosts"));
      print_databases (json_object_get (answer, "databases"));
    }
  json_decref (answer);
  settings_clear (&input.settings);
  return status;
}

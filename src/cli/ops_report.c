#include "cli/ops_report.h"

#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "kernel/mem.h"

/* Gateways of an instance: the active one and its standby.  */
#define GATEWAYS 2

static json_t *
report_member (const struct member *member)
{
  return json_pack ("{s:s, s:s, s:s, s:i, s:I, s:b, s:b}", "name",
                    member->address.name, "domain", member->domain, "address",
                    member->address.address, "port", (int)member->address.port,
                    "incarnation", (json_int_t)member->address.incarnation,
                    "leaving", (int)member->leaving, "suspected",
                    (int)member->suspected);
}

static void
add_member (void *arg, const struct member *member)
{
  json_array_append_new (arg, report_member (member));
}

static json_t *
report_gateways (struct node *node, const struct view_instance *instance)
{
  const struct member *placed[GATEWAYS];
  json_t *names = json_array ();
  char *key = mem_printf ("gateway/%s", instance->name);
  size_t count = members_place (node_members (node), key, instance->domain,
                                placed, GATEWAYS);
  for (size_t i = 0; i < count; i++)
    json_array_append_new (names, json_string (placed[i]->address.name));
  free (key);
  return names;
}

static json_t *
report_instance (struct node *node, const struct view_instance *instance)
{
  return json_pack ("{s:s, s:s, s:s, s:i, s:b, s:o}", "name", instance->name,
                    "domain", instance->domain, "address", instance->address,
                    "port", (int)instance->port, "leaving",
                    (int)instance->leaving, "gateways",
                    report_gateways (node, instance));
}

static json_t *
report_database (struct node *node, const struct view_database *database)
{
  static const char *const states[] = { [TERM_ACTIVE] = "active",
                                        [TERM_SEALING] = "sealing",
                                        [TERM_CHOSEN] = "chosen" };
  const struct term_record *record
      = terms_get (node_terms (node), database->name);
  json_t *instances = json_array ();
  for (size_t i = 0; i < database->instance_count; i++)
    json_array_append_new (instances,
                           report_instance (node, &database->instances[i]));
  json_t *report
      = json_pack ("{s:s, s:b, s:o}", "name", database->name, "leaving",
                   (int)database->leaving, "instances", instances);
  if (record == NULL)
    return report;
  json_object_set_new (report, "term",
                       json_integer ((json_int_t)record->term));
  json_object_set_new (report, "state", json_string (states[record->state]));
  json_object_set_new (report, "primary", json_string (record->primary));
  return report;
}

json_t *
ops_report_topology (struct node *node)
{
  json_t *hosts = json_array ();
  json_t *databases = json_array ();
  members_each (node_members (node), add_member, hosts);
  for (struct view_database *database = view_first_database (node_view (node));
       database != NULL; database = database->hh.next)
    json_array_append_new (databases, report_database (node, database));
  return json_pack ("{s:o, s:o}", "hosts", hosts, "databases", databases);
}

static void
add_sync (struct node *node, json_t *status)
{
  struct sync *sync = node_sync (node);
  clk_ms age_ms = sync_view_age_ms (sync);
  json_object_set_new (status, "relay", json_boolean (sync_is_relay (sync)));
  json_object_set_new (status, "config_revision",
                       json_integer ((json_int_t)sync_revision (sync)));
  json_object_set_new (status, "terms_age_ms",
                       age_ms == CLK_NEVER ? json_null ()
                                           : json_integer (age_ms));
}

void
ops_report_counts (struct node *node, json_t *status)
{
  struct view *view = node_view (node);
  json_int_t databases = 0;
  json_int_t services = 0;
  for (struct view_database *d = view_first_database (view); d; d = d->hh.next)
    databases++;
  for (struct view_service *s = view_first_service (view); s; s = s->hh.next)
    services++;
  json_object_set_new (status, "services", json_integer (services));
  json_object_set_new (status, "databases", json_integer (databases));
  json_object_set_new (
      status, "hosts",
      json_integer ((json_int_t)members_count (node_members (node))));
  json_object_set_new (
      status, "in_flight",
      json_integer ((json_int_t)entry_in_flight (node_entry (node))));
  add_sync (node, status);
}

json_t *
ops_report_revisions (const struct sync_revision_hosts *revisions,
                      size_t count)
{
  json_t *list = json_array ();
  for (size_t i = 0; i < count; i++)
    json_array_append_new (list, json_pack ("{s:I, s:I}", "revision",
                                            (json_int_t)revisions[i].revision,
                                            "hosts",
                                            (json_int_t)revisions[i].hosts));
  return json_pack ("{s:o}", "shares", list);
}

int64_t
ops_report_resident_bytes (void)
{
  long total_pages;
  long resident_pages = 0;
  FILE *file = fopen ("/proc/self/statm", "re");
  if (file == NULL)
    return 0;
  char line[128] = "";
  if (fgets (line, sizeof line, file) != NULL)
    {
      char *rest;
      total_pages = strtol (line, &rest, 10);
      if (total_pages > 0)
        resident_pages = strtol (rest, NULL, 10);
    }
  fclose (file);
  return (int64_t)resident_pages * sysconf (_SC_PAGESIZE);
}

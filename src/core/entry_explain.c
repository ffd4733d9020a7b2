#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/entry_call.h"
#include "core/terms.h"
#include "kernel/mem.h"

static json_t *
explain_instance (struct entry *entry, const struct router_query *query,
                  const struct view_instance *instance)
{
  const struct member *hosts[GATEWAY_HOSTS];
  struct router_rating rating = router_rate (entry->router, query, instance);
  json_t *names = json_array ();
  size_t count = gateway_hosts (entry->members, instance, hosts);
  for (size_t i = 0; i < count; i++)
    json_array_append_new (names, json_string (hosts[i]->address.name));
  return json_pack (
      "{s:s, s:s, s:b, s:b, s:I, s:I, s:s, s:o}", "instance", instance->name,
      "domain", instance->domain, "usable", rating.usable, "primary",
      rating.is_primary, "cost_us", (json_int_t)rating.cost_us, "wait_ms",
      (json_int_t)rating.wait_ms, "why", rating.why, "gateways", names);
}

static json_t *
explain_call (const struct entry_call *call)
{
  struct entry *entry = call->entry;
  struct view_database *database = view_database (entry->view, call->database);
  const struct term_record *record = terms_get (entry->terms, call->database);
  const struct view_kind *kind = &call->kind;
  json_t *instances = json_array ();
  struct router_query query
      = { .database = database,
          .record = record,
          .freshness = kind->write ? FRESHNESS_STRONG : kind->freshness,
          .max_age_ms = kind->max_age_ms,
          .position = call->position };
  for (size_t i = 0; i < database->instance_count; i++)
    json_array_append_new (
        instances, explain_instance (entry, &query, &database->instances[i]));
  return json_pack (
      "{s:s, s:s, s:b, s:b, s:s, s:s, s:I, s:I, s:I, s:I, s:s, s:o}",
      "database", call->database, "kind", kind->name, "write", kind->write,
      "repeatable", kind->repeatable, "freshness",
      freshness_name (kind->freshness), "ack", ack_rule_name (kind->ack),
      "max_age_ms", (json_int_t)kind->max_age_ms, "session_term",
      (json_int_t)call->position.term, "session_lsn",
      (json_int_t)call->position.lsn, "term",
      (json_int_t)(record ? record->term : 0), "primary",
      record ? record->primary : "", "instances", instances);
}

static void
free_call (struct entry_call *call)
{
  for (size_t i = 0; i < call->param_count; i++)
    free (call->params[i].text);
  free (call->params);
  free (call->statement);
  if (call->load != NULL)
    call->load->count--;
  free (call);
}

char *
entry_explain (struct entry *entry, const struct entry_request *request)
{
  struct entry_call *call = mem_zalloc (sizeof *call);
  call->entry = entry;
  call->started_ms = kernel_now (entry->base.kernel);
  call->explain_only = true;
  enum reason reason = call_check (call, request);
  json_t *root = NULL;
  if (reason == REASON_NONE
      && view_database (entry->view, call->database) != NULL)
    root = explain_call (call);
  else
    root = json_pack ("{s:s}", "reason", reason_name (reason));
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  free_call (call);
  return text != NULL ? text : mem_strdup ("{}");
}

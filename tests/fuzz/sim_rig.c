#include "sim_rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/members.h"
#include "core/peers.h"
#include "core/peers_copy.h"
#include "core/router.h"
#include "core/view_module.h"
#include "kernel/mem.h"

#define FIRST_PORT 100
#define MESSAGE_MS 1
#define CONFIG_BYTES 16384

struct rig_host;

struct rig_port
{
  struct peer_port base;
  struct rig_host *host;
  peer_handler handler;
  void *handler_arg;
};

/* A message between hosts, or its answer.  */
struct rig_message
{
  struct ktimer timer;
  struct rig_host *from;
  struct rig_host *to;
  uint64_t id;
  uint64_t caller_id;
  peer_message *message;
  peer_done done;
  void *arg;
  bool answered;
  bool answering;
  struct rig_message *prev;
  struct rig_message *next;
};

struct rig_host
{
  struct rig *rig;
  struct kernel *kernel;
  struct rng rng;
  struct rig_port peer;
  struct db_port *db;
  struct member self;
  struct entry *entry;
  struct gateway *gateway;
  struct members *members;
  struct terms *terms;
  struct view *view;
  bool cut;
};

struct rig
{
  struct rig_options options;
  struct clk_virtual clk;
  struct rng rng;
  struct log *log;
  struct kernel *world_kernel;
  struct sim_world *world;
  struct sim_group *groups[RIG_DATABASES];
  struct sim_instance *instances[RIG_DATABASES][RIG_INSTANCES];
  struct rig_host hosts[RIG_HOSTS];
  struct rig_message *messages;
  struct term_record records[RIG_DATABASES];
  uint64_t next_id;
  uint64_t term_index;
  clk_ms view_age_ms;
};

static void
domain_name (char out[NAME_BYTES], size_t index)
{
  snprintf (out, NAME_BYTES, "z%zu", index);
}

static void
message_free (struct rig_message *m)
{
  struct rig *rig = m->from->rig;
  kernel_timer_cancel (rig->world_kernel, &m->timer);
  DL_DELETE (rig->messages, m);
  peers_message_free (m->message);
  free (m);
}

static void
on_timeout (void *arg)
{
  struct rig_message *m = arg;
  peer_done done = m->done;
  void *done_arg = m->arg;
  message_free (m);
  done (done_arg, PEER_TIMEOUT, NULL);
}

static void
on_arrival (void *arg)
{
  struct rig_message *m = arg;
  if (m->answering)
    {
      peer_done done = m->done;
      void *done_arg = m->arg;
      peer_message *answer = m->message;
      m->message = NULL;
      message_free (m);
      done (done_arg, PEER_OK, answer);
      peers_message_free (answer);
      return;
    }
  m->timer.fire = on_timeout;
  kernel_timer_set (m->from->rig->world_kernel, &m->timer,
                    m->timer.due_ms + 60000);
  if (m->from->cut || m->to->cut)
    return;
  struct rig_port *port = &m->to->peer;
  port->handler (port->handler_arg, m->id, m->message);
}

static struct rig_host *
find_host (struct rig *rig, const char *name)
{
  for (size_t i = 0; i < rig->options.hosts; i++)
    if (strcmp (rig->hosts[i].self.address.name, name) == 0)
      return &rig->hosts[i];
  return NULL;
}

static uint64_t
port_call (struct peer_port *port, const struct peer_address *to,
           const peer_message *message, clk_ms timeout_ms, peer_done done,
           void *arg)
{
  struct rig_host *host = ((struct rig_port *)port)->host;
  struct rig *rig = host->rig;
  struct rig_message *m = mem_zalloc (sizeof *m);
  m->from = host;
  m->to = find_host (rig, to->name);
  m->id = ++rig->next_id;
  m->message = peers_message_copy (message);
  m->done = done;
  m->arg = arg;
  m->timer.arg = m;
  m->timer.fire = on_arrival;
  DL_APPEND (rig->messages, m);
  bool lost = host->cut || m->to->cut;
  if (lost)
    m->timer.fire = on_timeout;
  kernel_timer_set (rig->world_kernel, &m->timer,
                    rig->clk.now_ms + (lost ? timeout_ms : MESSAGE_MS));
  return m->id;
}

static struct rig_message *
find_message (struct rig *rig, uint64_t id)
{
  struct rig_message *m;
  DL_FOREACH (rig->messages, m)
  {
    if (m->id == id)
      return m;
  }
  return NULL;
}

static void
port_cancel (struct peer_port *port, uint64_t id)
{
  struct rig_message *m
      = find_message (((struct rig_port *)port)->host->rig, id);
  if (m != NULL)
    message_free (m);
}

static void
port_reply (struct peer_port *port, uint64_t call, const peer_message *message)
{
  struct rig *rig = ((struct rig_port *)port)->host->rig;
  struct rig_message *m = find_message (rig, call);
  if (m == NULL || m->from->cut || m->to->cut)
    return;
  peer_message *copy = peers_message_copy (message);
  peers_message_free (m->message);
  m->message = copy;
  m->answering = true;
  m->timer.fire = on_arrival;
  kernel_timer_set (rig->world_kernel, &m->timer,
                    rig->clk.now_ms + MESSAGE_MS);
}

static void
port_set_handler (struct peer_port *port, peer_handler handler, void *arg)
{
  struct rig_port *self = (struct rig_port *)port;
  self->handler = handler;
  self->handler_arg = arg;
}

static const struct peer_port_ops port_ops
    = { .call = port_call,
        .cancel = port_cancel,
        .reply = port_reply,
        .set_handler = port_set_handler };

static uint16_t
instance_port (size_t database, size_t instance)
{
  return (uint16_t)(FIRST_PORT + database * RIG_INSTANCES + instance);
}

static size_t
instance_domain (const struct rig *rig, size_t database, size_t instance)
{
  return (database + instance) % rig->options.domains;
}

static void
print_database (FILE *out, const struct rig *rig, size_t database,
                bool leaving)
{
  const struct rig_options *o = &rig->options;
  fprintf (out,
           "%s\"d%zu\": {\"slots\": %u, \"connections\": %u, \"leaving\": %s, "
           "\"connect_cost_ms\": %lld, \"instances\": {",
           database > 0 ? ", " : "", database, o->slots, o->connections,
           leaving ? "true" : "false", (long long)o->connect_ms);
  for (size_t i = 0; i < RIG_INSTANCES; i++)
    fprintf (out,
             "%s\"i%zu\": {\"address\": \"10.0.0.1\", \"port\": %u, "
             "\"domain\": \"z%zu\"}",
             i > 0 ? ", " : "", i, instance_port (database, i),
             instance_domain (rig, database, i));
  fputs ("}}", out);
}

static void
apply_config (struct rig *rig, bool leaving)
{
  char hash[VIEW_SECRET_HASH_BYTES];
  const uint8_t salt[VIEW_SALT_BYTES] = { 1 };
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);
  view_secret_hash (RIG_SECRET, salt, hash);
  fprintf (out,
           "{\"services\": {\"s\": {\"callers\": {\"%s\": {\"secret_hash\": "
           "\"%s\"}, \"other\": {\"secret_hash\": \"%s\"}}, \"kinds\": %s, "
           "\"databases\": {",
           RIG_CALLER, hash, hash, rig->options.kinds);
  for (size_t i = 0; i < rig->options.databases; i++)
    print_database (out, rig, i, leaving && i == 0);
  fputs ("}}}}", out);
  fclose (out);
  for (size_t i = 0; i < rig->options.hosts; i++)
    {
      struct findings findings = { 0 };
      if (!view_apply (rig->hosts[i].view, "t", text, size, &findings))
        {
          fprintf (stderr, "%s: %s\n", findings.items[0].path,
                   findings.items[0].text);
          abort ();
        }
    }
  free (text);
}

static clk_ms
view_age (void *arg)
{
  return ((struct rig *)arg)->view_age_ms;
}

static void
add_host (struct rig *rig, size_t index)
{
  struct rig_host *host = &rig->hosts[index];
  const uint8_t key[32] = { 7 };
  const struct entry_options entry_options
      = { .token_key = key, .max_requests = 10000 };
  host->rig = rig;
  host->peer.base.ops = &port_ops;
  host->peer.host = host;
  rng_init (&host->rng, rig->options.seed * 100 + index);
  snprintf (host->self.address.name, NAME_BYTES, "h%zu", index);
  host->self.address.incarnation = 1;
  domain_name (host->self.domain, index % rig->options.domains);
  host->db = sim_port_new (rig->world, host->self.domain);
  host->kernel = kernel_new (&rig->clk.base, &host->rng, rig->log);
  host->view = view_new ();
  host->members = members_new (&host->self);
  host->terms = terms_new ();
  host->gateway = gateway_new (host->db, rig->options.policy);
  host->entry = entry_new (&entry_options);
  gateway_set_view_age (host->gateway, view_age, rig);
  struct peers *peers = peers_new (&host->peer.base);
  struct router *router = router_new ();
  kernel_register (host->kernel, view_module_new (host->view));
  kernel_register (host->kernel, members_module (host->members));
  kernel_register (host->kernel, peers_module (peers));
  kernel_register (host->kernel, terms_module (host->terms));
  kernel_register (host->kernel, gateway_module (host->gateway));
  kernel_register (host->kernel, router_module (router));
  kernel_register (host->kernel, entry_module (host->entry));
}

static void
add_databases (struct rig *rig)
{
  const struct rig_options *o = &rig->options;
  for (size_t d = 0; d < o->databases; d++)
    {
      rig->groups[d] = sim_group_new (rig->world);
      for (size_t i = 0; i < RIG_INSTANCES; i++)
        {
          char domain[NAME_BYTES];
          domain_name (domain, instance_domain (rig, d, i));
          const struct sim_instance_options options
              = { .address = "10.0.0.1",
                  .port = instance_port (d, i),
                  .domain = domain,
                  .slots = o->slots,
                  .connections = o->connections,
                  .connect_ms = o->connect_ms,
                  .cost_ms = o->cost_ms,
                  .lag_ms = o->lag_ms };
          rig->instances[d][i] = sim_instance_new (rig->groups[d], &options);
        }
    }
}

static void
tell_members (struct rig *rig)
{
  struct platform_host list[RIG_HOSTS];
  size_t count = rig->options.hosts;
  memset (list, 0, sizeof list);
  for (size_t i = 0; i < count; i++)
    {
      const struct member *self = &rig->hosts[i].self;
      memcpy (list[i].name, self->address.name, NAME_BYTES);
      memcpy (list[i].domain, self->domain, NAME_BYTES);
      list[i].incarnation = self->address.incarnation;
    }
  for (size_t i = 0; i < count; i++)
    members_set_list (rig->hosts[i].members, 1, list, count);
}

struct rig *
rig_new (const struct rig_options *options)
{
  struct rig *rig = mem_zalloc (sizeof *rig);
  rig->options = *options;
  clk_virtual_init (&rig->clk, 1000000);
  rng_init (&rig->rng, options->seed);
  rig->log
      = log_new (&rig->clk.base, options->log_level, 0, log_to_stderr, NULL);
  rig->world_kernel = kernel_new (&rig->clk.base, &rig->rng, rig->log);
  rig->world = sim_world_new (rig->world_kernel);
  add_databases (rig);
  for (size_t i = 0; i < options->hosts; i++)
    add_host (rig, i);
  apply_config (rig, false);
  tell_members (rig);
  for (size_t i = 0; i < options->hosts; i++)
    kernel_start (rig->hosts[i].kernel);
  for (size_t d = 0; d < options->databases; d++)
    rig_set_term (rig, d, 1, 0, TERM_ACTIVE, 0);
  return rig;
}

void
rig_free (struct rig *rig)
{
  for (size_t i = 0; i < rig->options.hosts; i++)
    {
      kernel_free (rig->hosts[i].kernel);
      sim_port_free (rig->hosts[i].db);
    }
  while (rig->messages != NULL)
    message_free (rig->messages);
  sim_world_free (rig->world);
  kernel_free (rig->world_kernel);
  log_free (rig->log);
  free (rig);
}

static clk_ms
next_due (struct rig *rig)
{
  clk_ms least_ms = kernel_next_due (rig->world_kernel);
  for (size_t i = 0; i < rig->options.hosts; i++)
    {
      clk_ms due_ms = kernel_next_due (rig->hosts[i].kernel);
      if (due_ms < least_ms)
        least_ms = due_ms;
    }
  return least_ms;
}

void
rig_run (struct rig *rig, clk_ms span_ms)
{
  clk_ms end_ms = rig->clk.now_ms + span_ms;
  for (;;)
    {
      clk_ms due_ms = next_due (rig);
      if (due_ms > end_ms)
        break;
      if (due_ms > rig->clk.now_ms)
        rig->clk.now_ms = due_ms;
      kernel_run_due (rig->world_kernel);
      for (size_t i = 0; i < rig->options.hosts; i++)
        if (kernel_next_due (rig->hosts[i].kernel) <= rig->clk.now_ms)
          kernel_run_due (rig->hosts[i].kernel);
    }
  rig->clk.now_ms = end_ms;
}

clk_ms
rig_now (const struct rig *rig)
{
  return rig->clk.now_ms;
}

struct rng *
rig_rng (struct rig *rig)
{
  return &rig->rng;
}

size_t
rig_host_count (const struct rig *rig)
{
  return rig->options.hosts;
}

struct kernel *
rig_kernel (struct rig *rig, size_t host)
{
  return rig->hosts[host].kernel;
}

struct kernel *
rig_world_kernel (struct rig *rig)
{
  return rig->world_kernel;
}

struct entry *
rig_entry (struct rig *rig, size_t host)
{
  return rig->hosts[host].entry;
}

struct gateway *
rig_gateway (struct rig *rig, size_t host)
{
  return rig->hosts[host].gateway;
}

struct sim_world *
rig_world (struct rig *rig)
{
  return rig->world;
}

struct sim_group *
rig_group (struct rig *rig, size_t database)
{
  return rig->groups[database];
}

struct sim_instance *
rig_instance (struct rig *rig, size_t database, size_t instance)
{
  return rig->instances[database][instance];
}

int64_t
rig_metric (struct rig *rig, const char *name)
{
  int64_t sum = 0;
  for (size_t i = 0; i < rig->options.hosts; i++)
    sum += *metrics_value (kernel_metrics (rig->hosts[i].kernel), name);
  return sum;
}

size_t
rig_gateway_host (struct rig *rig, size_t database, size_t instance,
                  size_t order)
{
  const struct member *hosts[GATEWAY_HOSTS];
  struct rig_host *first = &rig->hosts[0];
  char name[PATH_BYTES];
  snprintf (name, sizeof name, RIG_SERVICE "/d%zu", database);
  struct view_database *at = view_database (first->view, name);
  gateway_hosts (first->members, &at->instances[instance], hosts);
  return (size_t)(find_host (rig, hosts[order]->address.name) - rig->hosts);
}

void
rig_cut_host (struct rig *rig, size_t host, bool cut)
{
  rig->hosts[host].cut = cut;
}

void
rig_set_term (struct rig *rig, size_t database, uint64_t term, size_t primary,
              enum term_state state, uint64_t start_lsn)
{
  struct term_record *record = &rig->records[database];
  char name[PATH_BYTES];
  snprintf (name, sizeof name, RIG_SERVICE "/d%zu", database);
  record->term = term;
  record->state = state;
  snprintf (record->primary, sizeof record->primary, RIG_SERVICE "/d%zu/i%zu",
            database, primary);
  if (state == TERM_ACTIVE)
    record->starts[record->start_count++]
        = (struct term_start){ .term = term, .lsn = start_lsn };
  rig->term_index++;
  for (size_t i = 0; i < rig->options.hosts; i++)
    terms_set (rig->hosts[i].terms, name, rig->term_index, record);
}

void
rig_promote (struct rig *rig, size_t database, size_t to, uint64_t term)
{
  uint64_t start_lsn = sim_group_promote (rig->groups[database],
                                          rig->instances[database][to], term);
  rig_set_term (rig, database, term, to, TERM_ACTIVE, start_lsn);
}

void
rig_set_leaving (struct rig *rig, bool leaving)
{
  apply_config (rig, leaving);
}

void
rig_set_view_age (struct rig *rig, clk_ms age_ms)
{
  rig->view_age_ms = age_ms;
}

static void
copy_out (char *to, size_t bytes, const char *from)
{
  snprintf (to, bytes, "%s", from != NULL ? from : "");
}

static void
on_answer (void *arg, const struct entry_answer *answer)
{
  struct rig_request *request = arg;
  if (request->done)
    abort ();
  request->done = true;
  request->outcome = answer->outcome;
  request->reason = answer->reason;
  request->spent_ms = rig_now (request->rig) - request->started_ms;
  request->retry_after_ms = answer->retry_after_ms;
  copy_out (request->token, sizeof request->token, answer->token);
  copy_out (request->transaction, sizeof request->transaction,
            answer->transaction);
  copy_out (request->request_id, sizeof request->request_id,
            answer->request_id);
  copy_out (request->served_by, sizeof request->served_by, answer->served_by);
  snprintf (request->payload, sizeof request->payload, "%.*s",
            (int)answer->payload_bytes,
            answer->payload != NULL ? answer->payload : "");
}

static void
submit (struct rig *rig, size_t host, struct rig_request *request,
        const struct entry_request *from)
{
  memset (request, 0, sizeof *request);
  request->rig = rig;
  request->started_ms = rig_now (rig);
  entry_submit (rig->hosts[host].entry, from, on_answer, request);
}

void
rig_submit (struct rig *rig, size_t host, struct rig_request *request,
            const char *kind, const char *statement, const char *token,
            const char *request_id, clk_ms deadline_ms)
{
  const struct entry_request from = { .action = ENTRY_STATEMENT,
                                      .service = RIG_SERVICE,
                                      .caller = RIG_CALLER,
                                      .secret = RIG_SECRET,
                                      .database = "d0",
                                      .kind = kind,
                                      .statement = statement,
                                      .token = token,
                                      .request_id = request_id,
                                      .deadline_ms = deadline_ms };
  submit (rig, host, request, &from);
}

void
rig_submit_action (struct rig *rig, size_t host, struct rig_request *request,
                   enum entry_action action, const char *kind,
                   const char *statement, const char *token,
                   const char *request_id, const char *transaction)
{
  const struct entry_request from = { .action = action,
                                      .service = RIG_SERVICE,
                                      .caller = RIG_CALLER,
                                      .secret = RIG_SECRET,
                                      .database = "d0",
                                      .kind = kind,
                                      .statement = statement,
                                      .token = token,
                                      .request_id = request_id,
                                      .transaction = transaction };
  submit (rig, host, request, &from);
}

void
rig_wait (struct rig *rig, const struct rig_request *request, clk_ms limit_ms)
{
  clk_ms end_ms = rig->clk.now_ms + limit_ms;
  while (!request->done && rig->clk.now_ms < end_ms)
    rig_run (rig, 1);
}

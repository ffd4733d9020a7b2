/* Model of the instances and of promotion by the platform.  */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <utlist.h>

#include "kernel/mem.h"
#include "kernel/text.h"
#include "platform/wire.h"
#include "proxy/values.h"
#include "tests/fleet/fleet.h"

/* One-way delay of a message.  */
#define NET_MS 1
#define CONNECT_MS 2
/* Time for which a new connection occupies a slot; modelled where there are
   workspaces.  */
#define CONNECT_SLOT_MS 12
/* For how long a replaced primary goes on since it reaches the new one.  */
#define OUTDATED_MS 1000
/* Time after which an order without an answer is given up, and limit of the
   time after which it takes effect.  */
#define ORDER_TIMEOUT_MS 700
#define LATE_LIMIT_MS 6000
/* Upper limit, exclusive, of the execution time of a statement.  */
#define WORK_LIMIT_MS 16
/* Time until an instance notices that an unreachable host has closed a
   connection.  */
#define DEAD_PEER_TIMEOUT_MS 3000
/* Maximum number of unanswered statements of a connection.  */
#define QUEUE 256
#define TEXT_BYTES 256
#define VALUES_BYTES 512
/* Maximum number of prepared statements of a connection.  */
#define STATEMENTS 128
#define BODY_BYTES 1024

/* A statement that an instance has not answered yet.  */
struct queued_statement
{
  enum stmt_kind kind;
  char id[NAME_BYTES];
  char text[TEXT_BYTES];
  char name[TEXT_BYTES];
  char rest[TEXT_BYTES];
  uint64_t term;
  bool has_after;
  struct position after;
};

struct prepared_name
{
  char name[TEXT_BYTES];
  char shape[TEXT_BYTES];
  bool writes;
};

/* A connection.  Freed when the host has closed it and no step of it is
   scheduled.  */
struct instance_link
{
  struct fleet *fleet;
  struct fleet_host *host; /* NULL: closed by the host */
  struct fleet_instance *instance;
  const struct instance_events *events;
  void *arg;
  uint64_t serial;
  char user[NAME_BYTES]; /* that it was opened with */
  bool counted;          /* in the connections of the instance */
  bool dead;             /* delivers nothing more to the host */
  bool running;          /* a statement is in flight */
  uint64_t steps;        /* scheduled */
  size_t head;
  size_t count;
  struct queued_statement queue[QUEUE];
  enum tx_state state;
  bool read_write; /* the transaction requires the primary */
  bool tx_ran;     /* a statement of the transaction was executed */
  bool wrote;      /* in the transaction */
  bool demoted;    /* the instance was demoted in the transaction */
  uint64_t tx;
  struct values values;
  size_t prepared_count;
  struct prepared_name prepared[STATEMENTS];
  struct answer answer; /* in flight */
  char body[BODY_BYTES];
  char signature[2 * NAME_BYTES];
  bool lose_answer;
  bool unacknowledged; /* too few instances have received the commit */
};

static bool
is_cut (const struct instance_link *link)
{
  size_t index = (size_t)(link->instance - link->fleet->instances);
  return link->instance->unreachable || link->instance == &link->fleet->nowhere
         || (link->host != NULL && link->host->instances_cut[index]);
}

/* Returns the delay of a message between the host and the instance.  */
static clk_ms
net_ms (const struct instance_link *link)
{
  return NET_MS
         + (link->host != NULL ? fleet_cross (link->fleet, link->host->zone,
                                              link->instance->zone)
                               : 0);
}

static void
free_connection_slot (struct instance_link *link)
{
  if (link->counted)
    link->instance->connections--;
  link->counted = false;
  link->state = TX_IDLE;
}

static void
free_if_unused (struct instance_link *link)
{
  if (link->host != NULL || link->steps > 0)
    return;
  free_connection_slot (link);
  values_clear (&link->values);
  free (link);
}

/* A scheduled step of a connection; keeps the connection allocated.  */
struct step
{
  struct instance_link *link;
  void (*fn) (struct instance_link *link);
};

static void
run_step (void *arg)
{
  struct step *step = arg;
  struct instance_link *link = step->link;
  void (*fn) (struct instance_link *) = step->fn;
  free (step);
  fn (link);
  link->steps--;
  free_if_unused (link);
}

static void
schedule_step (struct instance_link *link, clk_ms span_ms,
               void (*fn) (struct instance_link *link))
{
  struct step *step = mem_zalloc (sizeof *step);
  *step = (struct step){ link, fn };
  link->steps++;
  fleet_schedule (link->fleet, span_ms, run_step, step);
}

static void run_next (struct instance_link *link);

/* Tries FN again later if the host stands still.  */
static bool
postpone (struct instance_link *link, void (*fn) (struct instance_link *link))
{
  if (link->host == NULL || !fleet_host_frozen (link->host))
    return false;
  schedule_step (link, FLEET_FROZEN_POLL_MS, fn);
  return true;
}

static bool
chance (struct instance_link *link, uint32_t percent)
{
  return rng_below (&link->fleet->rng, 100) < percent;
}

/* An answer that is sent a second time.  */
struct repeat
{
  struct instance_link *link;
  struct answer answer;
  char body[BODY_BYTES];
  char signature[2 * NAME_BYTES];
};

static void
deliver_repeat (void *arg)
{
  struct repeat *repeat = arg;
  struct instance_link *link = repeat->link;
  if (link->host != NULL && fleet_host_frozen (link->host))
    {
      fleet_schedule (link->fleet, FLEET_FROZEN_POLL_MS, deliver_repeat,
                      repeat);
      return;
    }
  if (link->host != NULL && !is_cut (link) && !link->dead)
    link->events->began (link->arg);
  if (link->host != NULL && !is_cut (link) && !link->dead)
    link->events->answer (link->arg, &repeat->answer);
  link->steps--;
  free_if_unused (link);
  free (repeat);
}

/* Lets the instance send the answer that is being delivered again.  */
static void
schedule_repeat (struct instance_link *link)
{
  struct fleet_instance *instance = link->instance;
  struct repeat *repeat = mem_zalloc (sizeof *repeat);
  *repeat = (struct repeat){ .link = link, .answer = link->answer };
  memcpy (repeat->body, link->body, BODY_BYTES);
  memcpy (repeat->signature, link->signature, sizeof repeat->signature);
  if (repeat->answer.body != NULL)
    repeat->answer.body = repeat->body;
  if (repeat->answer.signature != NULL)
    repeat->answer.signature = repeat->signature;
  clk_ms delay_ms = instance->repeat_ms;
  instance->repeated++;
  link->steps++;
  if (!instance->repeat_in_order)
    delay_ms = (clk_ms)rng_below (&link->fleet->rng, (uint64_t)delay_ms + 1);
  fleet_schedule (link->fleet, delay_ms, deliver_repeat, repeat);
}

static void
deliver (struct instance_link *link)
{
  struct answer answer = link->answer;
  if (postpone (link, deliver))
    return;
  link->running = false;
  link->count--;
  link->head = (link->head + 1) % QUEUE;
  if (is_cut (link) || link->lose_answer || link->dead)
    {
      link->dead = true;
      return;
    }
  if (link->host == NULL)
    return;
  if (link->instance->repeated_percent > 0
      && chance (link, link->instance->repeated_percent))
    schedule_repeat (link);
  link->events->began (link->arg);
  if (link->host == NULL)
    return;
  link->events->answer (link->arg, &answer);
  run_next (link);
}

static void
fail (struct instance_link *link, enum code code)
{
  link->answer.code = code;
  link->answer.body = NULL;
  link->answer.text = link->instance->id;
  if (link->state == TX_OPEN)
    link->state = TX_FAILED;
}

static void
print_values (const struct values *values, char out[VALUES_BYTES])
{
  size_t used = 0;
  out[0] = '\0';
  for (size_t i = 0; i < values->count; i++)
    used += (size_t)snprintf (out + used, VALUES_BYTES - used, "%s=%s;",
                              values->items[i].name, values->items[i].text);
}

/* A position that a replica has received and applies after its lag.  */
struct replication
{
  struct fleet_instance *replica;
  struct position position;
};

static void
apply (void *arg)
{
  struct replication *step = arg;
  struct fleet_instance *replica = step->replica;
  if (!replica->is_primary && replica->received.term == step->position.term
      && position_compare (replica->applied, step->position) < 0
      && position_compare (step->position, replica->received) <= 0)
    replica->applied = step->position;
  free (step);
}

/* Returns whether REPLICA receives the log up to POSITION.  */
static bool
receive (struct fleet_instance *replica, struct position position)
{
  struct replication *step = mem_zalloc (sizeof *step);
  if (replica->replication_stopped || replica->paused || replica->unreachable
      || replica->isolated || position.term < replica->term)
    {
      free (step);
      return false;
    }
  replica->received = position;
  if (position.term > replica->term)
    replica->term = position.term;
  *step = (struct replication){ replica, position };
  fleet_schedule (replica->fleet, replica->lag_ms, apply, step);
  return true;
}

static void demote (struct fleet_instance *instance);

/* Makes replaced primaries follow the newest one, a second after they can
   reach it.  */
static void
end_outdated (struct fleet *fleet)
{
  const struct fleet_instance *primary = fleet_primary (fleet);
  for (size_t i = 0; i < FLEET_INSTANCES; i++)
    {
      struct fleet_instance *instance = &fleet->instances[i];
      bool outdated = instance->is_primary && instance != primary;
      if (!outdated || instance->unreachable || instance->isolated
          || primary->unreachable || primary->isolated)
        {
          instance->outdated_ms = CLK_NEVER;
          continue;
        }
      if (instance->outdated_ms == CLK_NEVER)
        instance->outdated_ms = fleet_now (fleet) + OUTDATED_MS;
      if (fleet_now (fleet) < instance->outdated_ms)
        continue;
      demote (instance);
      instance->applied = instance->received = fleet->lead_start;
      instance->term = fleet->lead_term;
      instance->was_stopped = true; /* receives the rest now */
    }
}

void
fleet_replicate (struct fleet *fleet)
{
  const struct fleet_instance *primary = fleet_primary (fleet);
  end_outdated (fleet);
  for (size_t i = 0; i < FLEET_INSTANCES; i++)
    {
      struct fleet_instance *instance = &fleet->instances[i];
      bool stopped = instance->replication_stopped || instance->isolated
                     || instance->paused;
      bool resumes = instance->was_stopped && !stopped && !instance->is_primary
                     && primary != NULL && !primary->isolated;
      if (resumes && primary->unapplied_term == 0
          && position_compare (instance->received, primary->received) < 0)
        receive (instance, primary->received);
      /* What it has missed from an isolated primary comes later.  */
      instance->was_stopped
          = stopped
            || (instance->was_stopped && primary != NULL && primary->isolated);
    }
}

/* Ends the recovery of a new primary: everything that it had received is
   applied.  */
static void
apply_received (struct fleet_instance *primary)
{
  if (primary->unapplied_term == 0)
    return;
  primary->applied = primary->received;
  primary->unapplied_term = 0;
}

static void
replay_done (void *arg)
{
  struct fleet_instance *primary = arg;
  if (primary->is_primary)
    apply_received (primary);
}

static struct position
commit_position (struct instance_link *link)
{
  struct fleet_instance *primary = link->instance;
  apply_received (primary);
  primary->applied.lsn++;
  primary->applied.term = primary->term;
  primary->received = primary->applied;
  uint32_t received = 0;
  for (size_t i = 0; i < FLEET_INSTANCES; i++)
    {
      struct fleet_instance *other = &link->fleet->instances[i];
      if (other == primary || other->is_primary)
        continue;
      if (primary->isolated)
        other->was_stopped = true;
      else
        received += receive (other, primary->applied);
    }
  link->unacknowledged = received < link->fleet->sync_replicas;
  return primary->applied;
}

static const struct prepared_name *
find_prepared (const struct instance_link *link, const char *name)
{
  for (size_t i = 0; i < link->prepared_count; i++)
    if (strcmp (link->prepared[i].name, name) == 0)
      return &link->prepared[i];
  return NULL;
}

/* Makes a signed answer, with ROW unless that is NULL.  No two runs have the
   same signature.  */
static void
sign_answer (struct instance_link *link, const char *row, const char *id)
{
  snprintf (link->signature, sizeof link->signature, "%s.%s.%" PRIu64,
            link->instance->id, id, ++link->instance->runs);
  snprintf (link->body, sizeof link->body, "%s%s%sCOMPLETE %s\r\n",
            row != NULL ? "ROW " : "", row != NULL ? row : "",
            row != NULL ? "\r\n" : "", link->signature);
  link->answer.body = link->body;
  link->answer.body_bytes = strlen (link->body);
  link->answer.signature = link->signature;
}

/* Executes an accepted read or write.  */
static void
run_statement (struct instance_link *link, const struct queued_statement *sent,
               const char *text, bool writes)
{
  char values[VALUES_BYTES];
  struct fleet_execution execution
      = { .id = sent->id,
          .text = text,
          .link = link->serial,
          .user = link->user,
          .tx = link->state == TX_OPEN ? link->tx : 0,
          .values = values,
          .position = link->instance->applied };
  link->tx_ran = true;
  print_values (&link->values, values);
  oracle_executed (link->fleet, &execution, writes);
  if (writes && link->state == TX_OPEN)
    link->wrote = true;
  else if (writes)
    oracle_single_write (link->fleet, sent->id, commit_position (link));
  sign_answer (link, text, sent->id);
  link->lose_answer
      = chance (link, link->instance->lost_percent) || link->unacknowledged;
}

static void
do_statement (struct instance_link *link, const struct queued_statement *sent)
{
  bool writes = sent->kind == STMT_WRITE;
  char text[2 * TEXT_BYTES + 4];
  snprintf (text, sizeof text, "%s", sent->text);
  if (link->state == TX_FAILED)
    {
      link->answer.code = CODE_MALFORMED;
      return;
    }
  if (sent->kind == STMT_EXECUTE)
    {
      const struct prepared_name *prepared = find_prepared (link, sent->name);
      if (prepared == NULL)
        {
          fail (link, CODE_NOSTMT);
          return;
        }
      writes = prepared->writes;
      snprintf (text, sizeof text, "%s(%s)", prepared->shape, sent->rest);
    }
  if (link->demoted || (writes && !link->instance->is_primary))
    fail (link, CODE_READONLY);
  else if (sent->has_after
           && position_compare (link->instance->applied, sent->after) < 0)
    fail (link, CODE_LAGGING);
  else if (chance (link, link->instance->busy_percent))
    fail (link, CODE_BUSY);
  else
    run_statement (link, sent, text, writes);
}

static void
do_begin (struct instance_link *link, const struct queued_statement *sent)
{
  bool read_write = sent->kind == STMT_BEGIN;
  if (link->state != TX_IDLE)
    fail (link, CODE_MALFORMED);
  else if (read_write && !link->instance->is_primary)
    link->answer.code = CODE_READONLY;
  else if (sent->has_after
           && position_compare (link->instance->applied, sent->after) < 0)
    link->answer.code = CODE_LAGGING;
  else
    {
      link->state = TX_OPEN;
      link->read_write = read_write;
      link->tx_ran = false;
      link->wrote = false;
      link->demoted = false;
      link->tx = ++link->fleet->next_tx;
    }
}

static void
do_commit (struct instance_link *link, const struct queued_statement *sent)
{
  if (link->state == TX_FAILED)
    {
      link->answer.code = CODE_ABORTED;
      link->state = TX_IDLE;
      return;
    }
  if (link->demoted && link->wrote)
    {
      link->answer.code = CODE_READONLY;
      link->state = TX_IDLE;
      return;
    }
  if (chance (link, link->instance->busy_percent))
    {
      /* A refused commit leaves the transaction open.  */
      link->answer.code = CODE_BUSY;
      return;
    }
  if (link->wrote)
    oracle_committed (link->fleet, link->user, link->tx, sent->id,
                      commit_position (link));
  link->state = TX_IDLE;
  link->lose_answer
      = chance (link, link->instance->lost_percent) || link->unacknowledged;
  sign_answer (link, NULL, sent->id);
}

static void
do_prepare (struct instance_link *link, const struct queued_statement *sent)
{
  struct prepared_name *row
      = (struct prepared_name *)find_prepared (link, sent->name);
  if (row == NULL && link->prepared_count == STATEMENTS)
    {
      fail (link, CODE_FAILED);
      return;
    }
  if (row == NULL)
    row = &link->prepared[link->prepared_count++];
  memcpy (row->name, sent->name, TEXT_BYTES);
  memcpy (row->shape, sent->rest, TEXT_BYTES);
  row->writes = sent->kind == STMT_PREPARE_WRITE;
}

static void
demote (struct fleet_instance *instance)
{
  instance->is_primary = false;
  apply_received (instance);
}

static void
do_stepdown (struct instance_link *link, const struct queued_statement *sent)
{
  if (sent->term > link->instance->term)
    demote (link->instance);
}

static void
do_pause (struct instance_link *link, const struct queued_statement *sent)
{
  struct fleet_instance *instance = link->instance;
  if (instance->is_primary || sent->term <= link->fleet->lead_term)
    return;
  instance->paused = true;
  instance->held_term = sent->term;
}

static void
answer_status (struct instance_link *link)
{
  const struct fleet_instance *instance = link->instance;
  snprintf (link->body, sizeof link->body,
            "ROW %s %" PRIu64 " %" PRIu64 ".%" PRIu64 " %" PRIu64 " 0 0 0\r\n",
            instance->is_primary ? "primary" : "replica", instance->term,
            instance->received.term, instance->received.lsn,
            instance->held_term);
  link->answer.has_rows = true;
  link->answer.body = link->body;
  link->answer.body_bytes = strlen (link->body);
}

/* Checks that no new work reaches an instance FLEET_DRAIN_MS after it has
   announced that it leaves, or its entry was removed: a statement, or the
   first of a transaction, of a caller.  */
static void
check_drained (struct instance_link *link, const struct queued_statement *sent)
{
  const struct fleet_instance *instance = link->instance;
  bool works = sent->kind == STMT_READ || sent->kind == STMT_WRITE
               || sent->kind == STMT_EXECUTE;
  bool continues = link->state != TX_IDLE && link->tx_ran;
  clk_ms since_ms = instance->announced_ms < instance->gone_ms
                        ? instance->announced_ms
                        : instance->gone_ms;
  if (!works || continues || link->host == NULL || since_ms == CLK_NEVER
      || fleet_now (link->fleet) - since_ms <= FLEET_DRAIN_MS
      || !fleet_in_touch (link->host))
    return;
  fleet_report_violation (
      link->fleet, "%s of %s reached %s %lld ms after it was %s", sent->id,
      link->host->name, instance->id,
      (long long)(fleet_now (link->fleet) - since_ms),
      since_ms == instance->gone_ms ? "removed" : "announced to leave");
}

static void
execute (struct instance_link *link)
{
  const struct queued_statement *sent = &link->queue[link->head];
  if (link->dead || is_cut (link))
    {
      link->dead = true;
      link->running = false;
      return;
    }
  check_drained (link, sent);
  link->answer = (struct answer){ .code = CODE_OK, .has_position = true };
  link->lose_answer = link->unacknowledged = false;
  if (link->state == TX_OPEN && (link->read_write || link->wrote)
      && !link->instance->is_primary)
    link->demoted = true;
  switch (sent->kind)
    {
    case STMT_BEGIN:
    case STMT_BEGIN_READ:
      do_begin (link, sent);
      break;
    case STMT_COMMIT:
      do_commit (link, sent);
      break;
    case STMT_ROLLBACK:
      link->state = TX_IDLE;
      break;
    case STMT_RESET:
      values_clear (&link->values);
      link->prepared_count = 0;
      break;
    case STMT_SET:
      if (link->instance->refuses_values)
        {
          fail (link, CODE_FAILED);
          break;
        }
      values_set (&link->values, sent->name, sent->rest);
      break;
    case STMT_PREPARE_READ:
    case STMT_PREPARE_WRITE:
      do_prepare (link, sent);
      break;
    case STMT_STEPDOWN:
      do_stepdown (link, sent);
      answer_status (link);
      break;
    case STMT_PAUSE:
      do_pause (link, sent);
      answer_status (link);
      break;
    case STMT_RESUME:
      link->instance->paused = false;
      answer_status (link);
      break;
    case STMT_STATUS:
      answer_status (link);
      break;
    default:
      do_statement (link, sent);
    }
  link->answer.state = link->state;
  link->answer.position = link->instance->applied;
  schedule_step (link, net_ms (link), deliver);
}

static bool
takes_slot (enum stmt_kind kind)
{
  return kind == STMT_READ || kind == STMT_WRITE || kind == STMT_EXECUTE
         || kind == STMT_COMMIT || kind == STMT_STATUS;
}

static void
run_next (struct instance_link *link)
{
  if (link->running || link->count == 0 || link->dead)
    return;
  link->running = true;
  bool works = takes_slot (link->queue[link->head].kind);
  clk_ms limit_ms = WORK_LIMIT_MS + link->instance->slow_ms;
  schedule_step (
      link,
      net_ms (link)
          + (works ? (clk_ms)rng_below (&link->fleet->rng, (uint64_t)limit_ms)
                   : 0),
      execute);
}

static void
report_closed (struct instance_link *link)
{
  const struct instance_events *events = link->events;
  void *arg = link->arg;
  enum code code = link->answer.code;
  if (link->host == NULL)
    return;
  link->host = NULL;
  events->closed (arg, code);
}

static void
opened (struct instance_link *link)
{
  struct fleet_instance *instance = link->instance;
  if (postpone (link, opened))
    return;
  if (link->host == NULL || is_cut (link))
    return; /* the packet is lost */
  if (instance->connections >= instance->max_connections)
    {
      instance->refused++;
      link->dead = true;
      link->answer.code = CODE_TOOMANY;
      report_closed (link);
      return;
    }
  instance->connections++;
  instance->opened++;
  link->counted = true;
  struct answer greeting = { .code = CODE_OK,
                             .has_position = true,
                             .position = instance->applied };
  if (instance->repeated_percent > 0
      && chance (link, instance->repeated_percent))
    {
      link->answer = greeting;
      link->answer.is_greeting = true;
      schedule_repeat (link);
    }
  link->events->opened (link->arg, &greeting);
}

static struct instance_link *
link_open (struct instance_port *port, const struct instance_target *target,
           const struct instance_events *events, void *arg)
{
  struct fleet_host *host
      = (struct fleet_host *)(void *)((char *)port
                                      - offsetof (struct fleet_host,
                                                  instances));
  struct fleet *fleet = host->fleet;
  struct instance_link *link = mem_zalloc (sizeof *link);
  link->fleet = fleet;
  link->host = host;
  link->events = events;
  link->arg = arg;
  link->serial = ++fleet->next_link;
  if (target->port >= 1000 + FLEET_INSTANCES)
    {
      /* Nothing listens there.  */
      link->instance = &fleet->nowhere;
      schedule_step (link, CONNECT_MS, opened);
      return link;
    }
  link->instance = &fleet->instances[target->port - 1000];
  bool has_user = target->user != NULL && target->user[0] != '\0';
  snprintf (link->user, NAME_BYTES, "%s",
            has_user ? target->user : host->name);
  if (strcmp (link->instance->id, target->id) != 0
      || strcmp (target->group, FLEET_GROUP) != 0)
    fleet_report_violation (fleet, "connected to %s under the id %s",
                            link->instance->id, target->id);
  schedule_step (
      link, CONNECT_MS + (fleet->workspace_count > 0 ? CONNECT_SLOT_MS : 0),
      opened);
  return link;
}

/* Splits the next field off *REST.  Returns "" if there is none.  */
static char *
next_field (char **rest)
{
  char *field = *rest;
  size_t length = strcspn (field, " ");
  *rest = field + length + (field[length] == ' ');
  field[length] = '\0';
  return field;
}

static bool
parse_after (struct queued_statement *sent, const char *text)
{
  char rest;
  sent->has_after = true;
  return sscanf (text, "%" SCNu64 ".%" SCNu64 "%c", &sent->after.term,
                 &sent->after.lsn, &rest)
         == 2;
}

static void
copy_text (char *out, const char *text)
{
  snprintf (out, TEXT_BYTES, "%s", text);
}

/* Parses the fields that follow VERB.  */
static bool
parse_fields (struct queued_statement *sent, const char *verb, char *rest)
{
  static const struct
  {
    const char *verb;
    const char *rest; /* NULL: any */
    enum stmt_kind kind;
  } rows[] = { { "BEGIN", "", STMT_BEGIN },
               { "BEGIN", "READ", STMT_BEGIN_READ },
               { "COMMIT", "", STMT_COMMIT },
               { "ROLLBACK", "", STMT_ROLLBACK },
               { "RESET", "", STMT_RESET },
               { "STATUS", "", STMT_STATUS },
               { "RESUME", "", STMT_RESUME },
               { "READ", NULL, STMT_READ },
               { "WRITE", NULL, STMT_WRITE },
               { "SET", NULL, STMT_SET },
               { "EXECUTE", NULL, STMT_EXECUTE },
               { "PREPARE", NULL, STMT_PREPARE_READ },
               { "STEPDOWN", NULL, STMT_STEPDOWN },
               { "PAUSE", NULL, STMT_PAUSE } };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    if (strcmp (rows[i].verb, verb) == 0
        && (rows[i].rest == NULL || strcmp (rows[i].rest, rest) == 0))
      sent->kind = rows[i].kind;
  if (sent->kind == STMT_STEPDOWN || sent->kind == STMT_PAUSE)
    return sscanf (rest, "%" SCNu64, &sent->term) == 1;
  if (sent->kind == STMT_SET || sent->kind == STMT_EXECUTE
      || sent->kind == STMT_PREPARE_READ)
    {
      copy_text (sent->name, next_field (&rest));
      if (!text_is_word (sent->name))
        return false;
    }
  if (sent->kind == STMT_PREPARE_READ)
    {
      const char *kind = next_field (&rest);
      if (strcmp (kind, "WRITE") == 0)
        sent->kind = STMT_PREPARE_WRITE;
      else if (strcmp (kind, "READ") != 0)
        return false;
    }
  copy_text (sent->rest, rest);
  return sent->kind != STMT_UNKNOWN;
}

/* Parses MESSAGE, which is split into its fields in place.  */
static bool
parse_message (struct queued_statement *sent, char *message)
{
  char *end = strpbrk (message, "\r\n"), *rest = message;
  if (end == NULL || strcmp (end, "\r\n") != 0)
    return false;
  *end = '\0';
  const char *query = next_field (&rest), *id = next_field (&rest);
  snprintf (sent->id, sizeof sent->id, "%s", id);
  if (strcmp (query, "QUERY") != 0 || !text_is_word (id))
    return false;
  if (strncmp (rest, "AFTER ", 6) == 0)
    {
      next_field (&rest);
      if (!parse_after (sent, next_field (&rest)))
        return false;
    }
  copy_text (sent->text, rest);
  const char *verb = next_field (&rest);
  return parse_fields (sent, verb, rest);
}

/* Receives STATEMENT as the bytes that the wire codec makes of it.  */
static void
link_send (struct instance_port *port, struct instance_link *link,
           const struct statement *statement, const struct position *after)
{
  struct queued_statement *sent
      = &link->queue[(link->head + link->count) % QUEUE];
  struct evbuffer *out = evbuffer_new ();
  (void)port;
  if (link->count == QUEUE)
    abort ();
  bool printed = wire_put_statement (out, statement, after);
  size_t length = evbuffer_get_length (out);
  char *message = mem_zalloc (length + 1);
  evbuffer_remove (out, message, length);
  evbuffer_free (out);
  *sent = (struct queued_statement){ .kind = STMT_UNKNOWN };
  if (!printed || strlen (message) != length || !parse_message (sent, message))
    fleet_report_violation (link->fleet,
                            "UNASKED: %s got a message that is "
                            "malformed: %s",
                            link->instance->id, message);
  free (message);
  link->count++;
  run_next (link);
}

/* The instance notices that the host has closed the connection.  */
static void
notice_close (struct instance_link *link)
{
  link->dead = true;
  free_connection_slot (link);
}

static void
link_close (struct instance_port *port, struct instance_link *link)
{
  bool cut = is_cut (link);
  (void)port;
  link->host = NULL;
  schedule_step (link, cut ? DEAD_PEER_TIMEOUT_MS : NET_MS, notice_close);
}

static const struct instance_port_ops instance_ops
    = { .open = link_open, .send = link_send, .close = link_close };

/* Promotion.  */

struct promotion_request
{
  struct fleet_host *host;
  struct fleet *fleet;
  size_t instance;
  uint64_t token;
  promote_done done;
  void *arg;
  uint64_t incarnation; /* of the host, when it sent the request */
  bool unanswered;
  char holder[NAME_BYTES];
};

/* The sender gives up an order without an answer.  */
static void
order_times_out (void *arg)
{
  struct promotion_request *request = arg;
  if (request->host->running
      && request->host->incarnation == request->incarnation)
    request->done (request->arg, PROMOTE_UNKNOWN);
  free (request);
}

/* Lets the order take effect late, or never, without an answer.  */
static void
lose_answer (struct promotion_request *request,
             void (*arrived) (void *request))
{
  struct fleet *fleet = request->fleet;
  struct promotion_request *waiting = mem_zalloc (sizeof *waiting);
  request->unanswered = true;
  fleet->promote_lost = &fleet->instances[request->instance];
  *waiting = *request;
  fleet_schedule (fleet, ORDER_TIMEOUT_MS, order_times_out, waiting);
  if (fleet->promote_late_ms > 0)
    fleet_schedule (fleet, fleet->promote_late_ms, arrived, request);
  else if (rng_below (&fleet->rng, 3) == 0)
    free (request);
  else
    fleet_schedule (fleet, (clk_ms)rng_below (&fleet->rng, LATE_LIMIT_MS),
                    arrived, request);
}

/* Makes INSTANCE follow PRIMARY, whose log of the new term begins at START.
   What it has received beyond that is rolled back.  */
static void
follow (struct fleet_instance *instance, const struct fleet_instance *primary,
        struct position start)
{
  bool ahead = instance->received.lsn > primary->received.lsn;
  if (instance == primary || (instance->replication_stopped && !ahead)
      || instance->isolated || instance->is_primary)
    return;
  instance->applied = start;
  instance->received = start;
  instance->term = primary->term;
}

static void
complete_promotion (void *arg)
{
  struct promotion_request *request = arg;
  struct fleet *fleet = request->fleet;
  struct fleet_instance *candidate = &fleet->instances[request->instance];
  struct fleet_instance *old = fleet_primary (fleet);
  uint64_t term = candidate->received.term;
  if (term < fleet->lead_term)
    term = fleet->lead_term;
  if (old != candidate && !candidate->unreachable)
    {
      if (old != NULL && !fleet->unfenced)
        demote (old);
      oracle_rolled_back (fleet, candidate->received, term + 1);
      struct position start = candidate->received;
      candidate->term = term + 1;
      candidate->is_primary = true;
      candidate->unapplied_term = term + 1;
      fleet->lead_term = term + 1;
      fleet->lead_start = start;
      /* It still has to apply what it had received, with its usual lag.  */
      if (position_compare (candidate->applied, candidate->received) < 0)
        fleet_schedule (fleet, candidate->lag_ms, replay_done, candidate);
      else
        apply_received (candidate);
      for (size_t i = 0; i < FLEET_INSTANCES; i++)
        {
          fleet->instances[i].paused = false;
          follow (&fleet->instances[i], candidate, start);
        }
      fleet->promotions++;
      fleet_publish (fleet);
    }
  free (request);
}

static void
promotion_arrived (void *arg)
{
  struct promotion_request *request = arg;
  struct fleet *fleet = request->fleet;
  bool fenced = request->token < fleet->token && !fleet->unfenced;
  bool alive = request->host->running
               && request->host->incarnation == request->incarnation;
  if (request->token == fleet->token
      && strcmp (request->holder, fleet->token_holder) != 0)
    fleet_report_violation (fleet, "%s and %s use the fencing token %" PRIu64,
                            fleet->token_holder, request->holder,
                            request->token);
  if (!fenced && request->token >= fleet->token)
    {
      fleet->token = request->token;
      memcpy (fleet->token_holder, request->holder, NAME_BYTES);
    }
  if (fenced || fleet->instances[request->instance].unreachable)
    {
      if (alive && !request->unanswered)
        request->done (request->arg, PROMOTE_REFUSED);
      free (request);
      return;
    }
  if (alive && !request->unanswered)
    request->done (request->arg, PROMOTE_ACCEPTED);
  fleet_schedule (fleet, FLEET_PROMOTE_MS, complete_promotion, request);
}

/* The platform is unavailable: the order has no effect.  */
static void
not_done (void *arg)
{
  struct promotion_request *request = arg;
  if (request->host->running
      && request->host->incarnation == request->incarnation)
    request->done (request->arg, PROMOTE_NOT_DONE);
  free (request);
}

static void
promote (struct promote_port *port, const char *group, const char *instance,
         const char *holder, uint64_t token, promote_done done, void *arg)
{
  struct fleet_host *host
      = (struct fleet_host *)(void *)((char *)port
                                      - offsetof (struct fleet_host, promote));
  struct promotion_request *request = mem_zalloc (sizeof *request);
  (void)group;
  *request
      = (struct promotion_request){ .host = host,
                                    .fleet = host->fleet,
                                    .instance = (size_t)(instance[2] - '0'),
                                    .token = token,
                                    .done = done,
                                    .arg = arg,
                                    .incarnation = host->incarnation };
  snprintf (request->holder, NAME_BYTES, "%s", holder);
  if (host->fleet->unfenced && token < host->fleet->token)
    fleet_report_violation (
        host->fleet, "ONE: %s sent the token %" PRIu64 " after %" PRIu64,
        host->name, token, host->fleet->token);
  if (host->fleet->promote_down)
    fleet_schedule (host->fleet, 5, not_done, request);
  else if (rng_below (&host->fleet->rng, 100)
           < host->fleet->promote_lost_percent)
    lose_answer (request, promotion_arrived);
  else
    fleet_schedule (host->fleet, 5, promotion_arrived, request);
}

static const struct promote_port_ops promote_ops = { .promote = promote };

void
fleet_instance_ports (struct fleet_host *host)
{
  host->instances.ops = &instance_ops;
  host->promote.ops = &promote_ops;
}

bool
fleet_status_parse (struct instance_status *status,
                    const struct answer *answer)
{
  char role[16];
  if (answer->code != CODE_OK || answer->body == NULL)
    return false;
  *status = (struct instance_status){ 0 };
  if (sscanf (answer->body,
              "ROW %15s %" SCNu64 " %" SCNu64 ".%" SCNu64 " %" SCNu64, role,
              &status->term, &status->received.term, &status->received.lsn,
              &status->held_term)
      != 5)
    return false;
  status->is_primary = strcmp (role, "primary") == 0;
  return true;
}

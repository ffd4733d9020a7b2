/* Changes of an instance's role.  Each change takes the instance's advisory
   lock, changes settings with ALTER SYSTEM, and polls until they are in
   effect.  The position that a seal, or the fence of a former primary, reports
   is therefore final.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"
#include "port/pg_conn.h"
#include "port/pg_sql.h"

#define POLL_INTERVAL_MS 5
#define NUMBER_BYTES 24

static void role_poll (struct pg_conn *conn);

static void
add (struct pg_conn *conn, enum pg_query query, const char *sql)
{
  pg_batch_add (conn, query, sql, 0, NULL);
  pg_batch_sync (conn);
}

void
pg_role_store_rows (struct pg_conn *conn, enum pg_query query,
                    const PGresult *res)
{
  struct pg_role *role = &conn->role;
  if (query != PG_ROLE_STATUS || PQntuples (res) != 1 || PQnfields (res) < 5)
    return;
  role->recovery = *PQgetvalue (res, 0, 0) == 't';
  role->sessions = strtoull (PQgetvalue (res, 0, 1), NULL, 10);
  role->stream = *PQgetvalue (res, 0, 2) == 't';
  snprintf (role->stream_address, sizeof role->stream_address, "%s",
            PQgetvalue (res, 0, 3));
  role->stream_port = (uint16_t)strtoul (PQgetvalue (res, 0, 4), NULL, 10);
}

static void
settings_clear (struct pg_role *role)
{
  for (size_t i = 0; i < role->setting_count; i++)
    free (role->settings[i]);
  role->setting_count = 0;
}

void
pg_role_clear (struct pg_conn *conn)
{
  settings_clear (&conn->role);
  memset (&conn->role, 0, sizeof conn->role);
}

/* End of the job; the lock is released first.  */

static void
after_unlock (struct pg_conn *conn)
{
  pg_conn_finish (conn, conn->role.status, NULL, 0);
}

static void
role_finish (struct pg_conn *conn, enum db_status status, const char *why)
{
  conn->role.status = status;
  pg_batch_restart (conn, after_unlock);
  if (why != NULL && conn->batch.message == NULL)
    conn->batch.message = mem_strdup (why);
  add (conn, PG_UNLOCK, PG_SQL_UNLOCK);
  pg_batch_send (conn);
}

static void
role_refuse (struct pg_conn *conn, const char *why)
{
  role_finish (conn, DB_REFUSED, why);
}

/* Settings.  */

static void
add_setting (struct pg_conn *conn, const char *name, const char *value)
{
  struct pg_role *role = &conn->role;
  char *literal = PQescapeLiteral (conn->pg, value, strlen (value));
  if (literal == NULL)
    return;
  role->settings[role->setting_count++]
      = mem_printf (PG_SQL_SET, name, literal);
  PQfreemem (literal);
}

static void
add_number_setting (struct pg_conn *conn, const char *name, uint64_t value)
{
  char text[NUMBER_BYTES];
  snprintf (text, sizeof text, "%llu", (unsigned long long)value);
  add_setting (conn, name, text);
}

/* Sets the replication connection to the primary.  The replica's
   confirmations count for TERM, which is part of its application name; 0 for
   none.  */
static void
add_stream_setting (struct pg_conn *conn, uint64_t term)
{
  const struct pg_options *options = &conn->port->options;
  const char *user = options->replication_user != NULL
                         ? options->replication_user
                         : options->user;
  char *text = mem_printf ("host=%s port=%u user=%s "
                           "application_name=savoryway_%llu",
                           conn->job.follow_address, conn->job.follow_port,
                           user == NULL ? "savoryway" : user,
                           (unsigned long long)term);
  add_setting (conn, "primary_conninfo", text);
  free (text);
}

static void
after_reload (struct pg_conn *conn)
{
  role_poll (conn);
}

static void
after_settings (struct pg_conn *conn)
{
  if (conn->batch.failed)
    {
      role_finish (conn, DB_SQL_ERROR, NULL);
      return;
    }
  pg_batch_start (conn, after_reload);
  add (conn, PG_RELOAD, PG_SQL_RELOAD);
  pg_batch_send (conn);
}

static void
apply_settings (struct pg_conn *conn)
{
  struct pg_role *role = &conn->role;
  pg_batch_start (conn, after_settings);
  for (size_t i = 0; i < role->setting_count; i++)
    {
      pg_batch_add_once (conn, PG_SET, role->settings[i], 0, NULL);
      pg_batch_sync (conn);
    }
  settings_clear (role);
  pg_batch_send (conn);
}

/* DB_SEAL and DB_FENCE.  */

/* Returns whether no write and no replication stream can advance the position
   of the instance any more.  */
static bool
is_quiescent (const struct pg_conn *conn)
{
  const struct pg_role *role = &conn->role;
  return !conn->report.primary && !role->stream
         && (role->recovery || role->sessions == 0);
}

static void
seal_begin (struct pg_conn *conn)
{
  const struct db_report *report = &conn->report;
  uint64_t term = conn->job.term;
  bool fence = conn->job.kind == DB_FENCE;
  bool sealed = report->sealed_term >= term && is_quiescent (conn);
  bool replica = fence && conn->role.recovery;
  bool later = report->term >= term || (!fence && report->sealed_term > term);
  if (!replica && later)
    {
      role_refuse (conn, "the instance is in this term or a later one");
      return;
    }
  if (replica || sealed)
    {
      role_finish (conn, DB_OK, NULL);
      return;
    }
  if (report->sealed_term < term)
    add_number_setting (conn, "savoryway.sealed_term", term);
  add_setting (conn, "default_transaction_read_only", "on");
  add_setting (conn, "primary_conninfo", "");
  apply_settings (conn);
}

static bool
seal_is_done (const struct pg_conn *conn)
{
  return conn->report.sealed_term >= conn->job.term && is_quiescent (conn);
}

/* DB_PROMOTE.  */

static void
promote_begin (struct pg_conn *conn)
{
  const struct db_report *report = &conn->report;
  uint64_t term = conn->job.term;
  if (report->term == term && report->primary)
    {
      role_finish (conn, DB_OK, NULL);
      return;
    }
  if (report->sealed_term != term || report->term > term)
    {
      role_refuse (conn, "the instance is not sealed for this term");
      return;
    }
  add_number_setting (conn, "savoryway.log_term", term);
  add_setting (conn, "default_transaction_read_only", "off");
  apply_settings (conn);
}

static bool
promote_is_done (const struct pg_conn *conn)
{
  return conn->report.primary && conn->report.term == conn->job.term;
}

static bool
promote_step (struct pg_conn *conn)
{
  if (conn->role.requested || !conn->role.recovery
      || conn->report.term != conn->job.term)
    return false;
  conn->role.requested = true;
  pg_batch_start (conn, after_reload);
  add (conn, PG_PROMOTE, PG_SQL_PROMOTE);
  pg_batch_send (conn);
  return true;
}

/* DB_FOLLOW.  The term of the log is set, and the replica's confirmations
   count, only once replication is running.  Otherwise a replica could confirm
   log of a term that it does not report when it is sealed.  */

static bool
is_streaming (const struct pg_conn *conn)
{
  const struct pg_role *role = &conn->role;
  return role->recovery && role->stream && conn->report.receiving
         && role->stream_port == conn->job.follow_port
         && strcmp (role->stream_address, conn->job.follow_address) == 0;
}

static bool
follow_is_done (const struct pg_conn *conn)
{
  return is_streaming (conn) && conn->report.term == conn->job.term;
}

static void
follow_begin (struct pg_conn *conn)
{
  const struct db_report *report = &conn->report;
  uint64_t term = conn->job.term;
  if (report->sealed_term > term || report->term > term)
    role_refuse (conn, "the instance is in a later term");
  else if (!conn->role.recovery && report->term == term)
    role_refuse (conn, "the instance is primary of this term");
  else if (follow_is_done (conn))
    role_finish (conn, DB_OK, NULL);
  else if (!conn->role.recovery)
    {
      conn->role.rejoin_at_ms = 0;
      role_poll (conn);
    }
  else
    {
      add_stream_setting (conn, 0);
      add_setting (conn, "default_transaction_read_only", "off");
      apply_settings (conn);
    }
}

static void
rejoin (struct pg_conn *conn)
{
  char term[NUMBER_BYTES], port[NUMBER_BYTES];
  const char *params[3] = { term, conn->job.follow_address, port };
  snprintf (term, sizeof term, "%llu", (unsigned long long)conn->job.term);
  snprintf (port, sizeof port, "%u", conn->job.follow_port);
  conn->role.rejoined = true;
  pg_batch_start (conn, after_settings);
  pg_batch_add (conn, PG_REJOIN, PG_SQL_REJOIN, 3, params);
  pg_batch_sync (conn);
  pg_batch_send (conn);
}

static bool
follow_step (struct pg_conn *conn)
{
  struct pg_role *role = &conn->role;
  if (is_streaming (conn) && !role->requested)
    {
      role->requested = true;
      add_number_setting (conn, "savoryway.log_term", conn->job.term);
      add_stream_setting (conn, conn->job.term);
      apply_settings (conn);
      return true;
    }
  if (!role->rejoined && !role->requested && pg_now () >= role->rejoin_at_ms)
    {
      rejoin (conn);
      return true;
    }
  return false;
}

/* Polling.  */

struct role_ops
{
  void (*begin) (struct pg_conn *conn);
  bool (*is_done) (const struct pg_conn *conn);
  /* Starts the next action if one is due; returns false if none is.  */
  bool (*step) (struct pg_conn *conn);
};

static const struct role_ops *
ops_of (const struct pg_conn *conn)
{
  static const struct role_ops seal
      = { .begin = seal_begin, .is_done = seal_is_done };
  static const struct role_ops promote = { .begin = promote_begin,
                                           .is_done = promote_is_done,
                                           .step = promote_step };
  static const struct role_ops follow = { .begin = follow_begin,
                                          .is_done = follow_is_done,
                                          .step = follow_step };
  switch (conn->job.kind)
    {
    case DB_PROMOTE:
      return &promote;
    case DB_FOLLOW:
      return &follow;
    default:
      return &seal;
    }
}

static void
after_poll (struct pg_conn *conn)
{
  const struct role_ops *ops = ops_of (conn);
  if (conn->batch.failed)
    role_finish (conn, DB_SQL_ERROR, NULL);
  else if (ops->is_done (conn))
    role_finish (conn, DB_OK, NULL);
  else if (pg_now () >= conn->role.deadline_ms)
    role_refuse (conn, "the change of role did not finish in time");
  else if (ops->step == NULL || !ops->step (conn))
    pg_conn_wait (conn, POLL_INTERVAL_MS, role_poll);
}

static void
role_poll (struct pg_conn *conn)
{
  bool terminate = ops_of (conn)->begin == seal_begin && !conn->role.recovery
                   && conn->report.sealed_term >= conn->job.term;
  pg_batch_start (conn, after_poll);
  if (terminate)
    add (conn, PG_END_SESSIONS, PG_SQL_END_SESSIONS);
  pg_batch_status (conn);
  add (conn, PG_ROLE_STATUS, PG_SQL_ROLE_STATUS);
  pg_batch_send (conn);
}

static void
after_lock (struct pg_conn *conn)
{
  if (conn->batch.failed)
    role_finish (conn, DB_REFUSED, NULL);
  else
    ops_of (conn)->begin (conn);
}

void
pg_role_start (struct pg_conn *conn)
{
  clk_ms now = pg_now ();
  clk_ms limit = conn->port->options.role_timeout_ms;
  conn->role.deadline_ms = now + limit;
  conn->role.rejoin_at_ms = now + limit / 2;
  pg_batch_start (conn, after_lock);
  add (conn, PG_LOCK, PG_SQL_LOCK);
  pg_batch_status (conn);
  add (conn, PG_ROLE_STATUS, PG_SQL_ROLE_STATUS);
  pg_batch_send (conn);
}

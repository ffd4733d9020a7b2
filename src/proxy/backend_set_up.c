/* Statements that a connection of a backend sends of its own: those that set
   it up, and those behind which all others are known to be answered.  */

#include "proxy/backend_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"
#include "kernel/mutant.h"

void
conn_forget_statements (struct backend_conn *conn)
{
  for (size_t i = 0; i < BACKEND_PREPARED_LIMIT; i++)
    free (conn->statements[i].shape);
  memset (conn->statements, 0, sizeof conn->statements);
  conn->prepared = 0;
}

static void
print_name (uint64_t number, char out[BACKEND_STATEMENT_NAME_BYTES])
{
  snprintf (out, BACKEND_STATEMENT_NAME_BYTES, "s%" PRIu64, number);
}

void
conn_send_fences (struct backend_conn *conn, uint32_t count)
{
  char name[BACKEND_STATEMENT_NAME_BYTES];
  for (uint32_t i = 0; i < count; i++)
    {
      print_name (++conn->last_number, name);
      conn->prepared++;
      conn_send (conn, STEP_FENCE,
                 &(struct statement){ .kind = STMT_PREPARE_READ,
                                      .name = name,
                                      .rest = "fence" },
                 NULL);
    }
  if (conn->prepared >= BACKEND_PREPARED_LIMIT)
    conn->values = values_id_unknown; /* lets the next set-up send RESET */
}

/* Returns the number of the statement of KIND and SHAPE, or 0 if it is not
   prepared.  */
static uint64_t
statement_number (const struct backend_conn *conn, enum stmt_kind kind,
                  const char *shape)
{
  for (size_t i = 0; i < BACKEND_PREPARED_LIMIT; i++)
    {
      const struct conn_statement *statement = &conn->statements[i];
      if (statement->number != 0 && statement->kind == kind
          && strcmp (statement->shape, shape) == 0)
        return statement->number;
    }
  return 0;
}

/* Records a new statement, in place of the oldest one if there are too
   many.  */
static void
add_statement (struct backend_conn *conn, enum stmt_kind kind,
               const char *shape)
{
  struct conn_statement *statement
      = &conn->statements[conn->prepared++ % BACKEND_PREPARED_LIMIT];
  free (statement->shape);
  *statement = (struct conn_statement){ .number = ++conn->last_number,
                                        .kind = kind,
                                        .shape = mem_strdup (shape) };
}

void
conn_statement_name (const struct backend_conn *conn, enum stmt_kind kind,
                     const char *shape, char out[BACKEND_STATEMENT_NAME_BYTES])
{
  /* The instance knows no s0.  */
  print_name (statement_number (conn, kind, shape), out);
}

static void
send_reset (struct backend_conn *conn)
{
  conn_send (conn, STEP_SETUP, &(struct statement){ .kind = STMT_RESET },
             NULL);
  conn->values = values_id_none;
  conn_forget_statements (conn);
}

static void
send_values (struct backend_conn *conn, const struct values *values)
{
  for (size_t i = 0; i < values->count; i++)
    conn_send (conn, STEP_SETUP,
               &(struct statement){ .kind = STMT_SET,
                                    .name = values->items[i].name,
                                    .rest = values->items[i].text },
               NULL);
  conn->values = values->id;
}

/* Prepares the statement of KIND and SHAPE, which is new on CONN.  */
static void
prepare_statement (struct backend_conn *conn, const struct values *values,
                   enum stmt_kind kind, const char *shape)
{
  char name[BACKEND_STATEMENT_NAME_BYTES];
  if (conn->prepared >= BACKEND_PREPARED_LIMIT && conn->state == TX_IDLE)
    {
      send_reset (conn);
      send_values (conn, values);
    }
  add_statement (conn, kind, shape);
  conn_statement_name (conn, kind, shape, name);
  conn_send (conn, STEP_SETUP,
             &(struct statement){ .kind = kind, .name = name, .rest = shape },
             NULL);
}

/* Sends more statements behind COUNT ones of a set-up, so that all of these
   are answered before the user's is sent, though answers come twice.  */
static void
fence_set_up (struct backend_conn *conn, uint32_t count)
{
  count += answer_check_fences (&conn->check, conn->state) - 1;
  conn_send_fences (conn, count < BACKEND_FENCES_LIMIT ? count
                                                       : BACKEND_FENCES_LIMIT);
}

bool
conn_set_up (struct backend_conn *conn, const struct values *values,
             enum stmt_kind kind, const char *shape)
{
  uint32_t before = conn->pending_count;
  if (!values_id_equal (&conn->values, &values->id) && !MUTANT (skip_values))
    {
      if (!values_id_equal (&conn->values, &values_id_none)
          && conn->state == TX_IDLE)
        send_reset (conn);
      send_values (conn, values);
    }
  if (shape != NULL && statement_number (conn, kind, shape) == 0)
    prepare_statement (conn, values, kind, shape);
  if (conn->pending_count > before && backend_stutters (conn->backend))
    fence_set_up (conn, conn->pending_count - before);
  return conn->pending_count > before;
}

void
conn_set_value (struct backend_conn *conn, const struct values *values,
                const char *name, const char *value)
{
  conn_send (
      conn, STEP_SETUP,
      &(struct statement){ .kind = STMT_SET, .name = name, .rest = value },
      NULL);
  conn->values = values->id;
}

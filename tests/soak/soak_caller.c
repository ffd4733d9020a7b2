#include "tests/soak/soak_caller.h"

#include <errno.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <xxhash.h>

#include "kernel/mem.h"
#include "tests/standin/fleet_record.h"

#define GREETING_MS 2000
#define ANSWER_MS 5000
#define RECONNECT_MS 300
#define TEXT_BYTES 1024
#define LONG_SHAPE_BYTES 200
#define MIDDLE_SHAPE_BYTES 100
#define TX_STATEMENTS 5

static uint64_t
below (const struct soak_caller *caller, uint64_t bound)
{
  return rng_below (caller->shared->rng, bound);
}

static bool
chance (const struct soak_caller *caller, unsigned percent)
{
  return below (caller, 100) < percent;
}

static void
report (const struct soak_caller *caller, const char *rule, const char *what)
{
  const struct sent *sent = caller->sent;
  soak_oracle_report (caller->shared->oracle, rule, "%s %s at %s, %.0f ms: %s",
                      sent != NULL ? sent->id : "session",
                      sent != NULL ? sent->text : "", caller->member->name,
                      sent != NULL ? sent->sent_ms : 0.0, what);
}

void
soak_caller_init (struct soak_caller *caller, struct soak_callers *shared,
                  const struct member *member)
{
  *caller = (struct soak_caller){
    .shared = shared, .member = member, .fd = -1, .state = 'I'
  };
}

void
soak_caller_close (struct soak_caller *caller, double now_ms)
{
  if (caller->fd >= 0)
    close (caller->fd);
  caller->fd = -1;
  caller->phase = CALLER_CLOSED;
  caller->used = 0;
  caller->state = 'I';
  caller->tx = 0;
  caller->sent = NULL;
  caller->due_ms = now_ms + (double)below (caller, RECONNECT_MS);
  values_clear (&caller->values);
  for (size_t i = 0; i < CALLER_NAMES; i++)
    {
      free (caller->shapes[i]);
      caller->shapes[i] = NULL;
    }
}

bool
soak_caller_waits (const struct soak_caller *caller)
{
  return caller->sent != NULL;
}

static void
put (struct soak_caller *caller, const char *line, double now_ms)
{
  size_t length = strlen (line);
  if (send (caller->fd, line, length, MSG_NOSIGNAL) != (ssize_t)length)
    soak_caller_close (caller, now_ms);
}

static void
open_session (struct soak_caller *caller, double now_ms)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (caller->member->callers),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  if (!member_is_up (caller->member) || caller->member->callers == 0)
    {
      caller->due_ms = now_ms + RECONNECT_MS;
      return;
    }
  caller->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  caller->phase = CALLER_GREETED;
  caller->deadline_ms = now_ms + GREETING_MS;
  if (connect (caller->fd, (struct sockaddr *)&address, sizeof address) == 0)
    put (caller, "STARTUP ledger u1\r\n", now_ms);
  else
    soak_caller_close (caller, now_ms);
}

/* Sends TEXT; SENT says what an instance has to run.  */
static void
ask (struct soak_caller *caller, const char *text, struct sent sent,
     double now_ms)
{
  char values[TEXT_BYTES];
  char line[2 * TEXT_BYTES];
  fleet_record_print_values (&caller->values, values, sizeof values);
  sent.text = sent.text != NULL ? sent.text : (char *)text;
  sent.values = values;
  sent.tx = caller->tx;
  sent.host = caller->member->name;
  sent.sent_ms = now_ms - caller->shared->begin_ms;
  caller->sent = soak_oracle_send (caller->shared->oracle, &sent);
  caller->phase = CALLER_ASKED;
  caller->deadline_ms = now_ms + ANSWER_MS;
  snprintf (line, sizeof line, "QUERY %s %s\r\n", caller->sent->id, text);
  put (caller, line, now_ms);
}

static void
print_item (const struct soak_caller *caller, char *out, size_t size)
{
  static const char *const items[]
      = { "1a4", "ae", "ojozh", "READ", "17", "b9", "x0", "3" };
  snprintf (out, size, "%s",
            items[below (caller, sizeof items / sizeof items[0])]);
}

/* Prints the arguments of a read or a write.  */
static void
print_arguments (const struct soak_caller *caller, bool writes, char *out,
                 size_t size)
{
  char item[16];
  print_item (caller, item, sizeof item);
  if (writes)
    snprintf (out, size, "%s d%" PRIu64, item, below (caller, 1000));
  else if (chance (caller, 60))
    snprintf (out, size, "%s", item);
  else
    snprintf (out, size, "%s %" PRIu64 " %" PRIu64, item,
              chance (caller, 20) ? below (caller, 9000) : 0,
              1 + below (caller, 4));
}

static void
ask_work (struct soak_caller *caller, bool writes, double now_ms)
{
  char arguments[64], text[TEXT_BYTES];
  print_arguments (caller, writes, arguments, sizeof arguments);
  snprintf (text, sizeof text, "%s %s", writes ? "WRITE" : "READ", arguments);
  ask (caller, text, (struct sent){ .kind = writes ? SENT_WRITE : SENT_READ },
       now_ms);
}

/* Prints a shape.  Some are like parts of other statements, or differ only at
   their end.  */
static void
print_shape (const struct soak_caller *caller, char *out, size_t size)
{
  static const char *const plain[] = { "q2c", "ojozh", "s1", "ae" };
  static const char *const odd[]
      = { "q2c READ ojozh", "q2c WRITE ojozh", "q2c ojozh", "READ q2c",
          "WRITE",          "r_q2c",           "COMMIT",    "q2c READ",
          "a b c d e f g",  "q2c  READ x" };
  if (caller->shared->plain_shapes || chance (caller, 40))
    snprintf (out, size, "%s",
              plain[below (caller, sizeof plain / sizeof plain[0])]);
  else if (chance (caller, 70))
    snprintf (out, size, "%s",
              odd[below (caller, sizeof odd / sizeof odd[0])]);
  else
    snprintf (out, size, "%0*d%c%s",
              chance (caller, 30) ? LONG_SHAPE_BYTES : MIDDLE_SHAPE_BYTES, 0,
              "ab"[below (caller, 2)], chance (caller, 50) ? " READ y" : "");
}

static void
ask_prepare (struct soak_caller *caller, double now_ms)
{
  char shape[LONG_SHAPE_BYTES + 64], text[TEXT_BYTES];
  print_shape (caller, shape, sizeof shape);
  snprintf (caller->name, sizeof caller->name, "%" PRIu64,
            below (caller, CALLER_NAMES));
  snprintf (caller->rest, sizeof caller->rest, "%s %s",
            chance (caller, 30) ? "WRITE" : "READ", shape);
  snprintf (text, sizeof text, "PREPARE s%s %s", caller->name, caller->rest);
  ask (caller, text, (struct sent){ .kind = SENT_OTHER }, now_ms);
}

static void
ask_set (struct soak_caller *caller, double now_ms)
{
  static const char *const texts[]
      = { "blue", "a b c", "x READ 1", "SET y", "=;" };
  char text[TEXT_BYTES];
  snprintf (caller->name, sizeof caller->name, "v%" PRIu64, below (caller, 3));
  snprintf (caller->rest, sizeof caller->rest, "%s%" PRIu64,
            texts[below (caller, sizeof texts / sizeof texts[0])],
            below (caller, 3));
  snprintf (text, sizeof text, "SET %s %s", caller->name, caller->rest);
  ask (caller, text, (struct sent){ .kind = SENT_OTHER }, now_ms);
}

/* Executes a prepared statement, one that writes only if MAY_WRITE; without
   one, prepares it.  */
static void
ask_execute (struct soak_caller *caller, bool may_write, double now_ms)
{
  size_t index = (size_t)below (caller, CALLER_NAMES);
  char arguments[64], text[TEXT_BYTES];
  char *shape = caller->shapes[index];
  bool writes = shape != NULL && shape[0] == 'W';
  if (shape == NULL || (writes && !may_write))
    {
      ask_prepare (caller, now_ms);
      return;
    }
  print_arguments (caller, writes, arguments, sizeof arguments);
  snprintf (text, sizeof text, "EXECUTE s%zu %s", index, arguments);
  ask (caller, text,
       (struct sent){ .kind = writes ? SENT_WRITE : SENT_READ,
                      .text = arguments,
                      .shape = shape },
       now_ms);
}

static void
ask_deallocate (struct soak_caller *caller, double now_ms)
{
  size_t index = (size_t)below (caller, CALLER_NAMES);
  char text[TEXT_BYTES];
  if (caller->shapes[index] == NULL)
    {
      ask_prepare (caller, now_ms);
      return;
    }
  snprintf (caller->name, sizeof caller->name, "%zu", index);
  snprintf (text, sizeof text, "DEALLOCATE s%zu", index);
  ask (caller, text, (struct sent){ .kind = SENT_OTHER }, now_ms);
}

static void
ask_begin (struct soak_caller *caller, double now_ms)
{
  caller->tx = ++caller->shared->next_tx;
  caller->failed = false;
  caller->plain = chance (caller, 60);
  caller->left = 1 + (unsigned)below (caller, TX_STATEMENTS);
  ask (caller, caller->plain ? "BEGIN" : "BEGIN READ",
       (struct sent){ .kind = SENT_OTHER }, now_ms);
}

/* Leaves; a transaction may be open.  */
static void
leave (struct soak_caller *caller, double now_ms)
{
  if (chance (caller, 50))
    put (caller, "TERMINATE\r\n", now_ms);
  soak_caller_close (caller, now_ms);
}

/* Sends the next statement of the transaction.  */
static void
continue_transaction (struct soak_caller *caller, double now_ms)
{
  unsigned draw = (unsigned)below (caller, 100);
  bool goes_on = caller->left > 0 && (!caller->failed || draw < 10);
  if (!goes_on)
    {
      draw = (unsigned)below (caller, 100);
      /* After a promise only a failed transaction may be committed.  */
      bool commits = draw < (caller->state == 'E' ? 40 : 75)
                     && (caller->state == 'E' || !caller->failed);
      if (draw >= 95)
        leave (caller, now_ms);
      else
        ask (caller, commits ? "COMMIT" : "ROLLBACK",
             (struct sent){ .kind = commits ? SENT_COMMIT : SENT_OTHER },
             now_ms);
      return;
    }
  caller->left--;
  if (draw < 35)
    ask_work (caller, false, now_ms);
  else if (draw < 60)
    ask_work (caller, caller->plain, now_ms);
  else if (draw < 85)
    ask_execute (caller, caller->plain, now_ms);
  else if (draw < 95)
    ask_set (caller, now_ms);
  else
    leave (caller, now_ms);
}

static void
ask_next (struct soak_caller *caller, double now_ms)
{
  unsigned draw = (unsigned)below (caller, 1000);
  if (caller->tx != 0)
    continue_transaction (caller, now_ms);
  else if (draw < 300)
    ask_work (caller, false, now_ms);
  else if (draw < 450)
    ask_work (caller, true, now_ms);
  else if (draw < 550)
    ask_set (caller, now_ms);
  else if (draw < 620)
    ask_prepare (caller, now_ms);
  else if (draw < 820)
    ask_execute (caller, true, now_ms);
  else if (draw < 840)
    ask_deallocate (caller, now_ms);
  else if (draw < 850)
    ask (caller, "EXECUTE none 1a4", (struct sent){ .kind = SENT_OTHER },
         now_ms);
  else if (draw < 995)
    ask_begin (caller, now_ms);
  else
    leave (caller, now_ms);
}

void
soak_caller_act (struct soak_caller *caller, double now_ms)
{
  bool late = now_ms > caller->deadline_ms;
  if (caller->phase == CALLER_GREETED || caller->phase == CALLER_ASKED)
    {
      if (late)
        soak_caller_close (caller, now_ms);
      return;
    }
  if (now_ms < caller->due_ms || caller->shared->ends)
    return;
  if (caller->phase == CALLER_CLOSED)
    open_session (caller, now_ms);
  else
    ask_next (caller, now_ms);
}

/* Notes what the answer to a SET, PREPARE or DEALLOCATE means.  */
static void
note_success (struct soak_caller *caller, const struct sent *sent,
              double now_ms)
{
  size_t index = (size_t)(caller->name[0] - '0') % CALLER_NAMES;
  if (sent->kind == SENT_WRITE || sent->kind == SENT_COMMIT)
    caller->wrote_ms = now_ms;
  if (strncmp (sent->text, "SET ", 4) == 0)
    values_set (&caller->values, caller->name, caller->rest);
  else if (strncmp (sent->text, "PREPARE ", 8) == 0)
    {
      free (caller->shapes[index]);
      caller->shapes[index] = mem_strdup (caller->rest);
    }
  else if (strncmp (sent->text, "DEALLOCATE ", 11) == 0)
    {
      free (caller->shapes[index]);
      caller->shapes[index] = NULL;
    }
}

/* Handles the whole answer to the statement.  */
static void
answered (struct soak_caller *caller, char state, double now_ms)
{
  struct sent *sent = caller->sent;
  bool keeps_state = strncmp (sent->text, "SET ", 4) == 0
                     || strncmp (sent->text, "PREPARE ", 8) == 0
                     || strncmp (sent->text, "DEALLOCATE ", 11) == 0;
  sent->answered = true;
  caller->answers++;
  caller->sent = NULL;
  caller->state = state;
  caller->phase = CALLER_IDLE;
  caller->due_ms
      = now_ms
        + (double)below (caller, 1 + (uint64_t)caller->shared->pause_ms);
  caller->failed = caller->failed || sent->code[0] != '\0';
  if (sent->code[0] == '\0')
    note_success (caller, sent, now_ms);
  if (state == 'I')
    caller->tx = 0;
  if ((keeps_state && sent->code[0] != '\0')
      || (caller->tx == 0 && state != 'I'))
    soak_caller_close (caller, now_ms);
}

/* Handles a LINE of LENGTH bytes, with its CR LF.  Returns false if it
   belongs to no answer.  */
static bool
handle_line (struct soak_caller *caller, const char *line, size_t length,
             double now_ms)
{
  struct sent *sent = caller->sent;
  bool has_result
      = sent != NULL && (sent->signature[0] != '\0' || sent->code[0] != '\0');
  bool has_rows = sent != NULL && sent->rows[0] != '\0';
  if (strncmp (line, "READY ", 6) == 0 && strchr ("ITE", line[6]) != NULL)
    {
      if (caller->phase == CALLER_GREETED)
        caller->phase = CALLER_IDLE;
      else if (sent == NULL || !has_result)
        return false;
      else
        answered (caller, line[6], now_ms);
      return true;
    }
  if (sent == NULL || has_result)
    return false;
  if (strncmp (line, "ROW ", 4) == 0)
    {
      size_t kept
          = length - 2 < ROWS_KEPT_BYTES ? length - 2 : ROWS_KEPT_BYTES - 1;
      sent->rows_hash
          = XXH64 (caller->input, (size_t)(line - caller->input) + length, 0);
      if (!has_rows)
        memcpy (sent->rows, line, kept);
      return true;
    }
  if (strncmp (line, "COMPLETE ", 9) == 0)
    {
      snprintf (sent->signature, sizeof sent->signature, "%.*s",
                (int)(length - 11), line + 9);
      return true;
    }
  if (strncmp (line, "ERROR ", 6) != 0)
    return false;
  sscanf (line + 6, "%15[A-Z]", sent->code);
  return sent->code[0] != '\0';
}

/* Handles the lines that have arrived.  An answer stays in the input until it
   is whole, so its rows are at the beginning.  */
static void
handle_input (struct soak_caller *caller, double now_ms)
{
  size_t at = 0;
  char *end;
  if (caller->sent != NULL)
    {
      /* Lines that were handled before are handled anew.  */
      caller->sent->code[0] = caller->sent->signature[0] = '\0';
      memset (caller->sent->rows, 0, sizeof caller->sent->rows);
      caller->sent->rows_hash = XXH64 ("", 0, 0);
    }
  while (caller->fd >= 0
         && (end = memmem (caller->input + at, caller->used - at, "\r\n", 2))
                != NULL)
    {
      size_t length = (size_t)(end + 2 - caller->input) - at;
      const char *line = caller->input + at;
      enum caller_phase phase = caller->phase;
      if (!handle_line (caller, line, length, now_ms))
        {
          char *text = mem_copy (line, length < 100 ? length - 2 : 100);
          if (strncmp (line, "ERROR ", 6) != 0)
            report (caller, "MIXED", text);
          free (text);
          soak_caller_close (caller, now_ms);
          return;
        }
      at += length;
      if (phase != caller->phase && caller->fd >= 0)
        {
          memmove (caller->input, caller->input + at, caller->used - at);
          caller->used -= at;
          at = 0;
        }
    }
}

void
soak_caller_receive (struct soak_caller *caller, double now_ms)
{
  ssize_t got = recv (caller->fd, caller->input + caller->used,
                      sizeof caller->input - caller->used, MSG_DONTWAIT);
  if (got < 0 && errno == EAGAIN)
    return;
  if (got <= 0)
    {
      soak_caller_close (caller, now_ms);
      return;
    }
  caller->used += (size_t)got;
  handle_input (caller, now_ms);
}

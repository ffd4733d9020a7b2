/* Records of the orders to promote.  */

#include "proxy/roster_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "kernel/text.h"

static bool
is_record_key (const char *name)
{
  return strncmp (name, RECORDS_PREFIX, strlen (RECORDS_PREFIX)) == 0;
}

static bool
record_key (const char *group, char out[KEY_BYTES])
{
  int length = snprintf (out, KEY_BYTES, RECORDS_PREFIX "%s", group);
  return length > 0 && length < KEY_BYTES;
}

/* Parses "NUMBER FLOOR CANDIDATE [INSTANCE...]".  Returns false for anything
   else, which another writer must have left.  */
static bool
parse_record (const struct roster_key *key, struct roster_record *record)
{
  char id[NAME_BYTES];
  int used;
  const char *text = key->value;
  *record = (struct roster_record){ 0 };
  if (!text_copy (record->group, NAME_BYTES,
                  key->name + strlen (RECORDS_PREFIX))
      || sscanf (text, "%" SCNu64 " %" SCNu64 " %63s%n", &record->number,
                 &record->floor, record->candidate, &used)
             != 3)
    return false;
  text += used;
  while (record->floating_count < ROSTER_FLOATING
         && sscanf (text, "%63s%n", id, &used) == 1)
    {
      memcpy (record->floating[record->floating_count++], id, NAME_BYTES);
      text += used;
    }
  return true;
}

void
roster_each_record (struct roster *roster,
                    void (*fn) (void *arg, const struct roster_record *record),
                    void *arg)
{
  const struct roster_key *key;
  struct roster_record record;
  for (key = roster->keys; key != NULL; key = key->hh.next)
    if (is_record_key (key->name) && parse_record (key, &record))
      fn (arg, &record);
}

bool
roster_find_record (const struct roster *roster, const char *group,
                    struct roster_record *record)
{
  char name[KEY_BYTES];
  if (!record_key (group, name))
    return false;
  const struct roster_key *key = roster_find_key (roster, name);
  return key != NULL && parse_record (key, record);
}

/* Returns whether this host may still order, after a write of the record that
   ended with STATUS.  */
static bool
may_order (const struct roster *roster, enum platform_status status)
{
  uint64_t token;
  if (!roster_holds_duty (roster, &token))
    return false;
  if (!permits_fenced (roster->permits))
    return status == PLATFORM_OK && roster_duty_leased (roster);
  return status != PLATFORM_CONFLICT && status != PLATFORM_NOT_FOUND;
}

static void
on_recorded (void *arg, const struct platform_reply *reply)
{
  struct verification *check = arg;
  struct roster *roster = check->roster;
  roster_note_reply (roster, reply);
  if (reply->status == PLATFORM_OK)
    mirror_expect (roster->mirror, reply->index);
  roster_end_verification (check, may_order (roster, reply->status));
}

/* Decides without the store.  */
static void
decide_locally (void *arg)
{
  struct verification *check = arg;
  roster_end_verification (check,
                           may_order (check->roster, PLATFORM_UNAVAILABLE));
}

/* Prints RECORD as the value of its key.  Returns false if it does not fit. */
static bool
print_record (const struct roster_record *record,
              char value[ROSTER_VALUE_BYTES])
{
  size_t used = (size_t)snprintf (value, ROSTER_VALUE_BYTES,
                                  "%" PRIu64 " %" PRIu64 " %s", record->number,
                                  record->floor, record->candidate);
  for (size_t i = 0; i < record->floating_count && used < ROSTER_VALUE_BYTES;
       i++)
    used += (size_t)snprintf (value + used, ROSTER_VALUE_BYTES - used, " %s",
                              record->floating[i]);
  return used < ROSTER_VALUE_BYTES;
}

void
roster_record_order (struct roster *roster, const struct roster_record *record,
                     roster_verify_done done, void *arg)
{
  struct verification *check = roster_begin_verification (roster, done, arg);
  const struct roster_key *duty = roster_find_key (roster, DUTY_KEY);
  char name[KEY_BYTES], value[ROSTER_VALUE_BYTES];
  bool unavailable = permits_fenced (roster->permits) && roster->store_refuses;
  if (duty == NULL || unavailable || !print_record (record, value)
      || !record_key (record->group, name))
    {
      kernel_defer (roster->base.kernel, decide_locally, check);
      return;
    }
  const struct roster_key *old = roster_find_key (roster, name);
  struct platform_write writes[] = {
    { .key = DUTY_KEY,
      .expect_index = roster_token_of (roster, duty),
      .check = true },
    { .key = name,
      .value = value,
      .value_bytes = strlen (value),
      .expect_index = old != NULL ? old->revision : 0 },
  };
  struct platform_call call = { .kind = PLATFORM_WRITE,
                                .purpose = "record",
                                .timeout_ms = ROSTER_CALL_TIMEOUT_MS,
                                .writes = writes,
                                .write_count = 2 };
  roster->store->ops->call (roster->store, &call, on_recorded, check);
}

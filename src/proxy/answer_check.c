#include "proxy/answer_check.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "kernel/mem.h"
#include "kernel/mutant.h"

#define FIRST_CAPACITY 32

static uint64_t
hash_text (const char *text, uint64_t seed)
{
  return text != NULL ? XXH64 (text, strlen (text) + 1, seed) : seed;
}

static bool
is_known (const struct answer_check *check, uint64_t hash)
{
  for (size_t i = 0; i < check->capacity; i++)
    if (check->signatures[i].hash == hash)
      return true;
  return false;
}

/* Doubles the ring.  The new places come before the oldest signature.  */
static void
grow (struct answer_check *check)
{
  size_t capacity = check->capacity > 0 ? 2 * check->capacity : FIRST_CAPACITY;
  struct answer_signature *old = check->signatures;
  struct answer_signature *ring = mem_zalloc (capacity * sizeof *ring);
  for (size_t i = 0; old != NULL && i < check->capacity; i++)
    ring[i] = old[(check->next + i) % check->capacity];
  free (old);
  check->signatures = ring;
  check->next = check->capacity;
  check->capacity = capacity;
}

static void
remember_signature (struct answer_check *check, uint64_t hash, clk_ms now_ms)
{
  const struct answer_signature *oldest
      = check->capacity > 0 ? &check->signatures[check->next] : NULL;
  if (oldest == NULL
      || (oldest->hash != 0 && now_ms - oldest->at_ms < ANSWER_CHECK_KEEP_MS
          && check->capacity < ANSWER_CHECK_SIGNATURES))
    grow (check);
  check->signatures[check->next]
      = (struct answer_signature){ .hash = hash, .at_ms = now_ms };
  check->next = (check->next + 1) % check->capacity;
}

static struct position
position_of (const struct answer *answer)
{
  return answer->has_position ? answer->position : (struct position){ 0 };
}

/* Returns whether an error like ERROR may have come before.  The log of an
   instance grows, so one that is forgotten was at an earlier position.  */
static bool
is_earlier_error (const struct answer_check *check,
                  const struct answer_error *error)
{
  const struct answer_error *forgotten = &check->forgotten;
  if (forgotten->at_ms != 0
      && error->at_ms - forgotten->at_ms < ANSWER_CHECK_KEEP_MS
      && position_compare (error->position, forgotten->position) <= 0)
    return true;
  for (size_t i = 0; i < ANSWER_CHECK_ERRORS; i++)
    if (check->errors[i].at_ms != 0 && check->errors[i].hash == error->hash
        && error->at_ms - check->errors[i].at_ms < ANSWER_CHECK_KEEP_MS)
      return true;
  return false;
}

/* Keeps of ERROR that it came, and up to which position.  */
static void
forget_error (struct answer_check *check, const struct answer_error *error)
{
  struct answer_error *forgotten = &check->forgotten;
  if (position_compare (error->position, forgotten->position) > 0)
    forgotten->position = error->position;
  if (error->at_ms > forgotten->at_ms)
    forgotten->at_ms = error->at_ms;
}

/* Remembers ANSWER, an error.  Returns whether it may have come before.  */
static bool
note_error (struct answer_check *check, const struct answer *answer,
            clk_ms now_ms)
{
  struct position position = position_of (answer);
  const uint64_t parts[] = { (uint64_t)answer->code, (uint64_t)answer->state,
                             position.term, position.lsn };
  struct answer_error error
      = { .hash = hash_text (answer->text, XXH64 (parts, sizeof parts, 0)),
          .position = position,
          .at_ms = now_ms };
  bool earlier = is_earlier_error (check, &error);
  struct answer_error *place = &check->errors[check->next_error];
  if (place->at_ms != 0)
    forget_error (check, place);
  *place = error;
  check->next_error = (check->next_error + 1) % ANSWER_CHECK_ERRORS;
  return earlier;
}

static bool
is_signed_kind (enum stmt_kind kind)
{
  return kind == STMT_READ || kind == STMT_WRITE || kind == STMT_EXECUTE
         || kind == STMT_COMMIT;
}

/* Returns whether a success of KIND has rows of the instance's status.  */
static bool
reports_status (enum stmt_kind kind)
{
  return kind == STMT_STATUS || kind == STMT_STEPDOWN || kind == STMT_PAUSE
         || kind == STMT_RESUME;
}

/* Returns whether a success of KIND can leave the transaction in AFTER.  */
static bool
success_fits (enum stmt_kind kind, enum tx_state before, enum tx_state after)
{
  switch (kind)
    {
    case STMT_BEGIN:
    case STMT_BEGIN_READ:
      return after == TX_OPEN;
    case STMT_COMMIT:
    case STMT_ROLLBACK:
      return after == TX_IDLE;
    case STMT_STEPDOWN:
    case STMT_PAUSE:
    case STMT_RESUME:
      return true;
    default:
      return after == before;
    }
}

static bool
error_fits (enum stmt_kind kind, enum tx_state before, enum tx_state after)
{
  if (kind == STMT_COMMIT || kind == STMT_ROLLBACK)
    return true;
  return (before == TX_IDLE) == (after == TX_IDLE);
}

static enum answer_verdict
match_error (struct answer_check *check, const struct answer_awaited *awaited,
             const struct answer *answer, clk_ms now_ms)
{
  bool earlier = note_error (check, answer, now_ms);
  if (!error_fits (awaited->kind, awaited->state, answer->state))
    return ANSWER_UNFIT;
  /* A replica refuses each BEGIN in the same way.  */
  if (awaited->kind == STMT_BEGIN && answer->code == CODE_READONLY)
    return ANSWER_OWN;
  return earlier || check->distrusted ? ANSWER_DOUBTFUL : ANSWER_OWN;
}

static enum answer_verdict
match_signed (struct answer_check *check, const struct answer_awaited *awaited,
              const struct answer *answer, clk_ms now_ms)
{
  uint64_t signature = hash_text (answer->signature, 0);
  if (is_known (check, signature))
    return ANSWER_FOREIGN;
  if (!is_signed_kind (awaited->kind)
      || !success_fits (awaited->kind, awaited->state, answer->state))
    return ANSWER_UNFIT;
  remember_signature (check, signature, now_ms);
  return ANSWER_OWN;
}

/* Counts ANSWER, an unsigned success, whichever statement it belongs to: it
   may come again.  */
static void
count_unsigned (struct answer_check *check, const struct answer *answer)
{
  struct position position = position_of (answer);
  if (position_compare (position, check->position) > 0)
    {
      memset (check->counts, 0, sizeof check->counts);
      check->position = position;
    }
  check->counts[answer->state]++;
}

static enum answer_verdict
match_unsigned (const struct answer_awaited *awaited,
                const struct answer *answer)
{
  if (answer->is_greeting || is_signed_kind (awaited->kind))
    return ANSWER_FOREIGN;
  if (answer->has_rows != reports_status (awaited->kind)
      || !success_fits (awaited->kind, awaited->state, answer->state))
    return ANSWER_UNFIT;
  /* Only the log of the primary never goes back.  */
  if (awaited->kind == STMT_BEGIN && answer->has_position
      && position_compare (answer->position, awaited->position) < 0)
    return ANSWER_UNFIT;
  return ANSWER_OWN;
}

enum answer_verdict
answer_check_match (struct answer_check *check,
                    const struct answer_awaited *awaited,
                    const struct answer *answer, clk_ms now_ms)
{
  enum answer_verdict verdict;
  if (MUTANT (trust_order))
    return ANSWER_OWN;
  if (answer->code != CODE_OK)
    verdict = match_error (check, awaited, answer, now_ms);
  else if (answer->signature != NULL)
    verdict = match_signed (check, awaited, answer, now_ms);
  else
    {
      verdict = match_unsigned (awaited, answer);
      count_unsigned (check, answer);
    }
  if (verdict == ANSWER_FOREIGN || verdict == ANSWER_UNFIT)
    check->distrusted = true;
  return verdict;
}

uint32_t
answer_check_fences (const struct answer_check *check, enum tx_state state)
{
  return check->counts[state] + 1;
}

bool
answer_check_is_older (const struct answer_check *check,
                       const struct answer *answer)
{
  return position_compare (position_of (answer), check->position) < 0;
}

bool
answer_check_can_ignore (struct answer_check *check, enum tx_state state,
                         const struct answer *answer)
{
  check->distrusted = true;
  if (answer->code != CODE_OK)
    return false;
  if (answer->is_greeting)
    return true;
  if (answer->signature == NULL)
    count_unsigned (check, answer);
  if (answer->signature != NULL)
    return is_known (check, hash_text (answer->signature, 0));
  return !answer->has_rows && answer->state == state;
}

void
answer_check_clear (struct answer_check *check)
{
  free (check->signatures);
  *check = (struct answer_check){ 0 };
}

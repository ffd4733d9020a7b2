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
is_known (const struct answer_check *check, uint64_t signature)
{
  for (size_t i = 0; i < check->capacity; i++)
    if (check->signatures[i] == signature)
      return true;
  return false;
}

/* Makes room for the next signature: overwrites the oldest one, or grows if
   that is too recent.  */
static void
make_room (struct answer_check *check, clk_ms now_ms)
{
  bool is_young = now_ms - check->wrapped_ms < ANSWER_CHECK_KEEP_MS;
  if (check->next < check->capacity)
    return;
  if (check->capacity > 0
      && (!is_young || check->capacity == ANSWER_CHECK_SIGNATURES))
    {
      check->next = 0;
      check->wrapped_ms = now_ms;
      return;
    }
  size_t capacity = check->capacity > 0 ? 2 * check->capacity : FIRST_CAPACITY;
  check->signatures
      = mem_resize (check->signatures, capacity * sizeof *check->signatures);
  memset (check->signatures + check->capacity, 0,
          (capacity - check->capacity) * sizeof *check->signatures);
  if (check->capacity == 0)
    check->wrapped_ms = now_ms;
  check->capacity = capacity;
}

static void
remember_signature (struct answer_check *check, uint64_t signature,
                    clk_ms now_ms)
{
  make_room (check, now_ms);
  check->signatures[check->next++] = signature;
}

/* Returns whether ANSWER is equal to an earlier error, and remembers it.  */
static bool
is_earlier_error (struct answer_check *check, const struct answer *answer,
                  clk_ms now_ms)
{
  const uint64_t parts[] = { (uint64_t)answer->code, (uint64_t)answer->state,
                             answer->has_position ? answer->position.term : 0,
                             answer->has_position ? answer->position.lsn : 0 };
  uint64_t hash = hash_text (answer->text, XXH64 (parts, sizeof parts, 0));
  bool found = false;
  for (size_t i = 0; i < ANSWER_CHECK_ERRORS; i++)
    if (check->errors[i].hash == hash
        && now_ms - check->errors[i].at_ms < ANSWER_CHECK_KEEP_MS)
      found = true;
  check->errors[check->next_error].hash = hash;
  check->errors[check->next_error].at_ms = now_ms;
  check->next_error = (check->next_error + 1) % ANSWER_CHECK_ERRORS;
  return found;
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
match_error (struct answer_check *check, enum stmt_kind kind,
             enum tx_state state, const struct answer *answer, clk_ms now_ms)
{
  bool earlier = is_earlier_error (check, answer, now_ms);
  if (!error_fits (kind, state, answer->state))
    return ANSWER_UNFIT;
  /* An error of the proxy's own statements promises nothing to a caller.  */
  if (is_signed_kind (kind) && (earlier || check->distrusted))
    return ANSWER_DOUBTFUL;
  return ANSWER_OWN;
}

static enum answer_verdict
match_signed (struct answer_check *check, enum stmt_kind kind,
              enum tx_state state, const struct answer *answer, clk_ms now_ms)
{
  uint64_t signature = hash_text (answer->signature, 0);
  if (is_known (check, signature))
    return ANSWER_FOREIGN;
  if (!is_signed_kind (kind) || !success_fits (kind, state, answer->state))
    return ANSWER_UNFIT;
  remember_signature (check, signature, now_ms);
  return ANSWER_OWN;
}

static enum answer_verdict
match_unsigned (enum stmt_kind kind, enum tx_state state,
                const struct answer *answer)
{
  if (is_signed_kind (kind))
    return ANSWER_FOREIGN;
  if (answer->has_rows != reports_status (kind)
      || !success_fits (kind, state, answer->state))
    return ANSWER_UNFIT;
  return ANSWER_OWN;
}

enum answer_verdict
answer_check_match (struct answer_check *check, enum stmt_kind kind,
                    enum tx_state state, const struct answer *answer,
                    clk_ms now_ms)
{
  enum answer_verdict verdict;
  if (MUTANT (trust_order))
    return ANSWER_OWN;
  if (answer->code != CODE_OK)
    verdict = match_error (check, kind, state, answer, now_ms);
  else if (answer->signature != NULL)
    verdict = match_signed (check, kind, state, answer, now_ms);
  else
    verdict = match_unsigned (kind, state, answer);
  if (verdict == ANSWER_FOREIGN || verdict == ANSWER_UNFIT)
    check->distrusted = true;
  return verdict;
}

bool
answer_check_is_harmless (struct answer_check *check, enum tx_state state,
                          const struct answer *answer)
{
  check->distrusted = true;
  if (answer->code != CODE_OK)
    return false;
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

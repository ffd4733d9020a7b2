#include "proxy/mirror_age.h"

void
mirror_age_init (struct mirror_age *age)
{
  *age = (struct mirror_age){ .confirmed_ms = CLK_LONG_AGO,
                              .settled_ms = CLK_LONG_AGO };
}

void
mirror_age_restored (struct mirror_age *age, clk_ms now_ms,
                     clk_ms rewritten_ms)
{
  age->in_era = false;
  age->settled_ms = now_ms + rewritten_ms;
}

static void
note_confirmed (struct mirror_age *age, clk_ms at_ms)
{
  age->in_era = true;
  if (at_ms > age->confirmed_ms)
    age->confirmed_ms = at_ms;
}

void
mirror_age_confirm (struct mirror_age *age, clk_ms sent_ms, clk_ms held_ms)
{
  clk_ms at_ms = sent_ms + held_ms - held_ms / MIRROR_AGE_DRIFT_DIVISOR;
  if (at_ms >= age->settled_ms)
    note_confirmed (age, at_ms);
}

void
mirror_age_confirm_relayed (struct mirror_age *age, clk_ms sent_ms,
                            clk_ms now_ms, clk_ms held_ms, clk_ms relay_age_ms)
{
  if (held_ms < 0 || relay_age_ms < 0 || relay_age_ms > MIRROR_AGE_LIMIT_MS)
    return;
  if (held_ms > now_ms - sent_ms)
    held_ms = now_ms - sent_ms;
  note_confirmed (age,
                  sent_ms + held_ms - relay_age_ms
                      - (held_ms + relay_age_ms) / MIRROR_AGE_DRIFT_DIVISOR);
}

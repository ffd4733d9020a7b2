#include "proxy/samples.h"

#include "kernel/mutant.h"
#include "proxy/statement.h"

static const struct sample *
newest (const struct samples *samples)
{
  return &samples->items[samples->last];
}

void
samples_add (struct samples *samples, uint64_t term, struct position position,
             clk_ms sent_ms)
{
  struct sample sample = { position, term, sent_ms };
  if (samples->count > 0)
    {
      struct sample *last = &samples->items[samples->last];
      /* A delayed answer from an older term is not a position of the newer
         one.  */
      if (term < last->term || sent_ms < last->sent_ms)
        return;
      /* Overwrites the newest sample until SAMPLES_STEP_MS have passed since
         the one before it, so that the samples stay spread over time.  */
      size_t before = (samples->last + SAMPLES_KEPT - 1) % SAMPLES_KEPT;
      if (samples->count > 1
          && sent_ms - samples->items[before].sent_ms < SAMPLES_STEP_MS)
        {
          if (term > last->term
              || position_compare (position, last->position) >= 0)
            *last = sample;
          return;
        }
      samples->last = (samples->last + 1) % SAMPLES_KEPT;
    }
  if (samples->count < SAMPLES_KEPT)
    samples->count++;
  samples->items[samples->last] = sample;
}

bool
samples_floor (const struct samples *samples, clk_ms not_before_ms,
               struct position *position)
{
  if (samples->count == 0
      || (newest (samples)->sent_ms < not_before_ms
          && !MUTANT (ignore_sample_age)))
    return false;
  const struct sample *found = newest (samples);
  for (size_t i = 1; i < samples->count; i++)
    {
      const struct sample *sample
          = &samples->items[(samples->last + SAMPLES_KEPT - i) % SAMPLES_KEPT];
      /* Positions of an older term may have been rolled back.  */
      if (sample->sent_ms < not_before_ms || sample->term != found->term)
        break;
      found = sample;
    }
  *position = found->position;
  return true;
}

clk_ms
samples_newest_ms (const struct samples *samples)
{
  return samples->count > 0 ? newest (samples)->sent_ms : CLK_LONG_AGO;
}

struct position
samples_newest (const struct samples *samples)
{
  return samples->count > 0 ? newest (samples)->position
                            : (struct position){ 0 };
}

uint64_t
samples_term (const struct samples *samples)
{
  return samples->count > 0 ? newest (samples)->term : 0;
}

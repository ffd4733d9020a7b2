#include "proxy/admission.h"

/* Weight of the newest span in the moving average of the rate.  */
#define SPAN_WEIGHT 0.4

/* Ends the span if it is over, and updates the rate.  A span counts only if
   statements waited both at its beginning and at its end: what completes
   while nothing waits doesn't show the possible rate.  */
static void
end_span (struct admission *admission, clk_ms now_ms)
{
  clk_ms spent_ms = now_ms - admission->span_begin_ms;
  if (spent_ms < ADMISSION_SPAN_MS)
    return;
  double rate = (double)admission->ran / (double)spent_ms;
  if (admission->busy && admission->waiting > 0 && rate > 0)
    admission->rate_per_ms += (admission->rate_per_ms == 0 ? 1.0 : SPAN_WEIGHT)
                              * (rate - admission->rate_per_ms);
  admission->busy = admission->waiting > 0;
  admission->span_begin_ms = now_ms;
  admission->ran = 0;
}

void
admission_note_ran (struct admission *admission, clk_ms now_ms)
{
  end_span (admission, now_ms);
  admission->ran++;
}

bool
admission_enter (struct admission *admission, clk_ms now_ms, clk_ms left_ms)
{
  end_span (admission, now_ms);
  bool fits = admission->waiting < ADMISSION_QUEUE_MIN;
  if (admission->rate_per_ms == 0)
    fits |= admission->waiting < ADMISSION_QUEUE_DEFAULT;
  else
    fits |= (double)admission->waiting
            <= admission->rate_per_ms * (double)left_ms;
  if (fits)
    admission->waiting++;
  return fits;
}

void
admission_leave (struct admission *admission)
{
  admission->waiting--;
}

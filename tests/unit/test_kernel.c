#include "kernel/kernel.h"
#include "kernel/mem.h"
#include "unit.h"

struct fired
{
  char order[16];
  size_t count;
};

static struct fired fired;

static void
note (void *arg)
{
  fired.order[fired.count++] = *(const char *)arg;
}

static char last_line[512];

static void
keep_line (void *arg, int priority, const char *line)
{
  (void)arg;
  (void)priority;
  strncpy (last_line, line, sizeof last_line - 1);
}

UNIT_TEST (test_timers_fire_in_order_of_due_time_then_arming)
{
  struct clk_virtual clk;
  struct rng rng;
  clk_virtual_init (&clk, 100);
  rng_init (&rng, 1);
  struct kernel *kernel = kernel_new (&clk.base, &rng, NULL);
  struct ktimer a = { .fire = note, .arg = "a" };
  struct ktimer b = { .fire = note, .arg = "b" };
  struct ktimer c = { .fire = note, .arg = "c" };
  struct ktimer d = { .fire = note, .arg = "d" };
  memset (&fired, 0, sizeof fired);
  kernel_timer_set (kernel, &a, 130);
  kernel_timer_set (kernel, &b, 110);
  kernel_timer_set (kernel, &c, 110);
  kernel_timer_set (kernel, &d, 105);
  kernel_timer_cancel (kernel, &d);
  ck_assert_int_eq (kernel_next_due (kernel), 110);
  clk.now_ms = 120;
  kernel_run_due (kernel);
  ck_assert_str_eq (fired.order, "bc");
  kernel_defer (kernel, note, "x");
  clk.now_ms = 130;
  kernel_run_due (kernel);
  ck_assert_str_eq (fired.order, "bcxa");
  ck_assert_uint_eq (kernel_pending (kernel), 0);
  ck_assert_int_eq (kernel_next_due (kernel), CLK_NEVER);
  kernel_free (kernel);
}

UNIT_TEST (test_log_quotes_values_so_that_no_line_is_injected)
{
  struct clk_virtual clk;
  clk_virtual_init (&clk, 0);
  struct log *log = log_new (&clk.base, LOG_INFO, 0, keep_line, NULL);
  log_event (log, LOG_INFO, "x", LOG_S ("a", "b\nevent=y"), LOG_I ("n", -3),
             LOG_S ("plain", "ok"), LOG_S ("none", NULL));
  ck_assert_str_eq (last_line,
                    "event=x a=\"b\\x0aevent=y\" n=-3 plain=ok none=-");
  log_free (log);
}

UNIT_TEST (test_log_counts_lines_dropped_by_the_rate_limit)
{
  struct clk_virtual clk;
  clk_virtual_init (&clk, 0);
  struct log *log = log_new (&clk.base, LOG_INFO, 2, keep_line, NULL);
  for (int i = 0; i < 5; i++)
    log_event (log, LOG_INFO, "x", LOG_I ("i", i));
  ck_assert_str_eq (last_line, "event=x i=1");
  clk.now_ms = 1000;
  log_event (log, LOG_INFO, "x", LOG_I ("i", 5));
  ck_assert_str_eq (last_line, "event=x i=5 dropped=3");
  log_free (log);
}

UNIT_TEST (test_rng_repeats_for_a_seed_and_differs_between_seeds)
{
  struct rng a, b, c;
  rng_init (&a, 7);
  rng_init (&b, 7);
  rng_init (&c, 8);
  int differ = 0;
  for (int i = 0; i < 200; i++)
    {
      uint64_t value = rng_u64 (&a);
      ck_assert_uint_eq (value, rng_u64 (&b));
      differ += value != rng_u64 (&c);
      ck_assert_uint_lt (rng_below (&a, 10), 10);
      rng_below (&b, 10);
    }
  ck_assert_int_gt (differ, 190);
}

UNIT_TEST (test_metrics_print_sorted)
{
  struct metrics *metrics = metrics_new ();
  metrics_increment (metrics, "b_total");
  *metrics_value (metrics, "a{x=\"1\"}") += 5;
  char *text = metrics_print (metrics);
  ck_assert_str_eq (text, "savoryway_a{x=\"1\"} 5\nsavoryway_b_total 1\n");
  free (text);
  metrics_free (metrics);
}

UNIT_PLAIN (test_a_histogram_counts_durations_below_each_bound)
{
  struct metrics *metrics = metrics_new ();
  struct histogram *histogram = metrics_histogram (metrics, "x_ms", "a=\"b\"");
  ck_assert_ptr_eq (histogram, metrics_histogram (metrics, "x_ms", "a=\"b\""));
  for (clk_ms span_ms = 1; span_ms <= 100; span_ms++)
    histogram_observe (histogram, span_ms);
  histogram_observe (histogram, 60000);
  ck_assert_int_eq (histogram_quantile (histogram, 0.5), 100);
  ck_assert_int_eq (histogram_quantile (histogram, 0.1), 20);
  ck_assert_int_eq (histogram_quantile (histogram, 1.0), CLK_NEVER);
  char *text = metrics_print (metrics);
  ck_assert_ptr_nonnull (
      strstr (text, "savoryway_x_ms_bucket{a=\"b\",le=\"50\"} 50\n"));
  ck_assert_ptr_nonnull (
      strstr (text, "savoryway_x_ms_bucket{a=\"b\",le=\"+Inf\"} 101\n"));
  ck_assert_ptr_nonnull (strstr (text, "savoryway_x_ms_count{a=\"b\"} 101\n"));
  free (text);
  metrics_free (metrics);
}

UNIT_MAIN ("kernel")

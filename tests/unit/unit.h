/* unit - framework of the unit-test programs, on top of Check.

   The definition of a test also registers it, so that no test can be left out
   of its suite by mistake:

     UNIT_TEST (name) { ... }            runs once, with the fixture
     UNIT_LOOP (name, low, high) { ... } runs with _i from LOW to HIGH - 1
     UNIT_PLAIN (name) { ... }           runs once, without the fixture
     UNIT_PLAIN_LOOP (name, low, high) { ... }

   The fixture consists of the functions setup and teardown of struct
   unit_options, called before and after each test.

   UNIT_MAIN ("name", .setup = ..., ...) at the end of the file defines main
   and takes members of struct unit_options.  The exit status is 0 if all tests
   passed.  */

#ifndef SAVORYWAY_UNIT_UNIT_H
#define SAVORYWAY_UNIT_UNIT_H

#include <check.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define UNIT_TESTS 80 /* limit on the tests of a program */

struct unit_options
{
  void (*setup) (void);
  void (*teardown) (void);
  int (*init) (void);  /* called once, first; negative: it failed */
  int timeout_s;       /* of a test with fixture; 0: Check's default */
  int plain_timeout_s; /* of a test without fixture */
};

struct unit_test
{
  const TTest *test;
  int low;
  int high;
  bool plain;
};

static struct unit_test unit_tests[UNIT_TESTS];
static size_t unit_count;

static inline void
unit_add (struct unit_test test)
{
  if (unit_count == UNIT_TESTS)
    abort ();
  unit_tests[unit_count++] = test;
}

static inline TCase *
unit_case (Suite *suite, const char *name, int timeout_s)
{
  TCase *tcase = tcase_create (name);
  if (timeout_s > 0)
    tcase_set_timeout (tcase, timeout_s);
  suite_add_tcase (suite, tcase);
  return tcase;
}

static inline int
unit_run (const char *name, const struct unit_options *options)
{
  if (options->init != NULL && options->init () < 0)
    return EXIT_FAILURE;
  Suite *suite = suite_create (name);
  TCase *plain = unit_case (suite, "plain", options->plain_timeout_s);
  TCase *all = unit_case (suite, "all", options->timeout_s);
  tcase_add_checked_fixture (all, options->setup, options->teardown);
  for (size_t i = 0; i < unit_count; i++)
    tcase_add_loop_test (unit_tests[i].plain ? plain : all, unit_tests[i].test,
                         unit_tests[i].low, unit_tests[i].high);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#define UNIT_DEFINE(name, low, high, plain)                                   \
  static void name##_fn (int);                                                \
  static const TTest name##_test = { #name, name##_fn, __FILE__, __LINE__ };  \
  __attribute__ ((constructor)) static void name##_add (void)                 \
  {                                                                           \
    unit_add ((struct unit_test){ &name##_test, low, high, plain });          \
  }                                                                           \
  static void name##_fn (int _i __attribute__ ((unused)))

#define UNIT_TEST(name) UNIT_DEFINE (name, 0, 1, false)
#define UNIT_LOOP(name, low, high) UNIT_DEFINE (name, low, high, false)
#define UNIT_PLAIN(name) UNIT_DEFINE (name, 0, 1, true)
#define UNIT_PLAIN_LOOP(name, low, high) UNIT_DEFINE (name, low, high, true)

#define UNIT_MAIN(name, ...)                                                  \
  int main (void)                                                             \
  {                                                                           \
    return unit_run (name, &(struct unit_options){ __VA_ARGS__ });            \
  }

#endif

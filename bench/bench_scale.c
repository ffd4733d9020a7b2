/* bench_scale - shared state of one host at several fleet sizes.

   Prints memory and processor time of the hosts, coordinators and term records
   that one host holds, and the share of placements that move when hosts are
   replaced, for sizes up to the design size.  */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "core/coordinators.h"
#include "core/peers_copy.h"
#include "core/sync_state.h"
#include "kernel/mem.h"

#define DOMAINS 6
#define CHANGES 50 /* over which a time is averaged */

struct size
{
  size_t hosts;
  size_t databases;
};

static const struct size sizes[] = {
  { 17, 6 }, { 256, 412 }, { 1024, 1648 }, { 2048, 3296 }, { 4100, 6600 },
};

struct fixture
{
  struct clk_virtual clk;
  struct rng rng;
  struct log *log;
  struct kernel *kernel;
  struct view *view;
  struct members *members;
  struct terms *terms;
  struct sync_state state;
};

static void
discard_line (void *arg, int priority, const char *line)
{
  (void)arg;
  (void)priority;
  (void)line;
}

static double
cpu_us (void)
{
  struct timespec now;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static size_t
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();
  return info.uordblks + info.hblkhd;
}

static struct platform_host
make_host (size_t i, uint64_t incarnation)
{
  struct platform_host host = { .port = 7000, .incarnation = incarnation };
  snprintf (host.name, sizeof host.name, "entry-%05zu", i);
  snprintf (host.address, sizeof host.address, "10.%zu.%zu.%zu", i >> 16,
            (i >> 8) & 255, i & 255);
  snprintf (host.domain, sizeof host.domain, "domain-%zu", i % DOMAINS);
  return host;
}

static void
fixture_init (struct fixture *fixture)
{
  struct platform_host self = make_host (0, 1);
  struct member member = { .address.port = 7000, .address.incarnation = 1 };
  memset (fixture, 0, sizeof *fixture);
  clk_virtual_init (&fixture->clk, 1000);
  rng_init (&fixture->rng, 1);
  fixture->log
      = log_new (&fixture->clk.base, LOG_EMERG, 0, discard_line, NULL);
  fixture->kernel
      = kernel_new (&fixture->clk.base, &fixture->rng, fixture->log);
  memcpy (member.address.name, self.name, sizeof self.name);
  memcpy (member.domain, self.domain, sizeof self.domain);
  fixture->view = view_new ();
  fixture->members = members_new (&member);
  fixture->terms = terms_new ();
  kernel_register (fixture->kernel, members_module (fixture->members));
  kernel_register (fixture->kernel, terms_module (fixture->terms));
  kernel_start (fixture->kernel);
  sync_state_init (&fixture->state, fixture->kernel, fixture->view,
                   fixture->members, fixture->terms);
}

static void
fixture_clear (struct fixture *fixture)
{
  sync_state_clear (&fixture->state);
  kernel_free (fixture->kernel);
  view_free (fixture->view);
  log_free (fixture->log);
}

static struct platform_host *
make_hosts (size_t count)
{
  struct platform_host *hosts = mem_zalloc (count * sizeof *hosts);
  for (size_t i = 0; i < count; i++)
    hosts[i] = make_host (i, 1);
  return hosts;
}

static void
database_name (size_t i, char *out, size_t size)
{
  snprintf (out, size, "team-%zu/ledger/depot-%zu", i / 30, i % 30);
}

static void
measure_members (const struct size *size)
{
  struct fixture fixture;
  struct platform_host *hosts = make_hosts (size->hosts);
  const struct member *out[3];
  char key[PATH_BYTES];
  fixture_init (&fixture);
  size_t heap = heap_bytes ();
  double start_us = cpu_us ();
  sync_hosts_set (&fixture.state.hosts, 1, hosts, size->hosts);
  double list_end_us = cpu_us ();
  size_t bytes = heap_bytes () - heap;

  for (size_t i = 1; i <= CHANGES; i++)
    {
      struct platform_host changed = make_host (i % size->hosts, 2 + i);
      sync_hosts_change (&fixture.state.hosts, 1 + i, &changed, false);
      sync_hosts_commit (&fixture.state.hosts, 1 + i);
    }
  double change_end_us = cpu_us ();
  for (size_t i = 0; i < size->databases; i++)
    {
      database_name (i, key, sizeof key);
      members_place (fixture.members, key, "domain-1", out, 2);
    }
  double place_end_us = cpu_us ();
  for (size_t i = 0; i < size->databases; i++)
    {
      database_name (i, key, sizeof key);
      members_place_spread (fixture.members, key, out, 3);
    }
  double spread_end_us = cpu_us ();
  printf ("hosts     %5zu: heap %8zu B (%4zu B/host)  list %7.0f us  change "
          "%6.0f us  place in domain %6.2f us  spread %6.2f us  all %zu "
          "coordinators %8.0f us\n",
          size->hosts, bytes, (size_t)((double)bytes / (double)size->hosts),
          list_end_us - start_us, (change_end_us - list_end_us) / CHANGES,
          (place_end_us - change_end_us) / (double)size->databases,
          (spread_end_us - place_end_us) / (double)size->databases,
          size->databases, spread_end_us - place_end_us);
  fixture_clear (&fixture);
  free (hosts);
}

static struct term_record
make_record (size_t i, uint64_t term)
{
  struct term_record record = { .term = term,
                                .start_count = 2,
                                .starts = { { 1, 0 }, { 2, 123456789 } } };
  database_name (i, record.primary, sizeof record.primary);
  size_t length = strlen (record.primary);
  snprintf (record.primary + length, sizeof record.primary - length, "/a");
  snprintf (record.attempt, sizeof record.attempt, "%032zx", i);
  snprintf (record.coordinator, sizeof record.coordinator, "entry-%05zu", i);
  return record;
}

/* Returns the XDR size in bytes of the update that answers PULL, and in
   BUILD_US the time to build and copy it.  */
static size_t
update_bytes (struct fixture *fixture, const peer_pull *pull, double *build_us)
{
  char name[] = "entry-00000", domain[] = "domain-0";
  peer_message message = { .from = { .host = name, .domain = domain },
                           .body.kind = PEER_KIND_UPDATE };
  double start_us = cpu_us ();
  sync_update_build (&fixture->state, pull, fixture->state.seq,
                     &message.body.peer_body_u.update);
  peer_message *copy = peers_message_copy (&message);
  *build_us = cpu_us () - start_us;
  size_t bytes = xdr_sizeof ((xdrproc_t)xdr_peer_message, &message);
  peers_message_free (copy);
  sync_update_clear (&message.body.peer_body_u.update);
  return bytes;
}

static void
measure_terms (const struct size *size)
{
  struct fixture fixture;
  char name[PATH_BYTES];
  fixture_init (&fixture);
  size_t heap = heap_bytes ();
  double start_us = cpu_us ();
  for (size_t i = 0; i < size->databases; i++)
    {
      struct term_record record = make_record (i, 2);
      database_name (i, name, sizeof name);
      terms_set (fixture.terms, name, i + 1, &record);
    }
  double set_end_us = cpu_us ();
  sync_state_set_terms_index (&fixture.state, size->databases, 1000);
  double full_us, delta_us;
  peer_pull pull = { 0 };
  size_t full = update_bytes (&fixture, &pull, &full_us);
  pull.terms_index = size->databases - 1;
  size_t delta = update_bytes (&fixture, &pull, &delta_us);
  pull.terms_index = size->databases;
  double idle_us;
  size_t idle = update_bytes (&fixture, &pull, &idle_us);
  size_t bytes = heap_bytes () - heap;
  printf ("databases %5zu: heap %8zu B (%4zu B/record)  set %5.2f us  full "
          "update %8zu B %8.0f us  one record %4zu B %4.0f us  idle %3zu B "
          "%3.0f us\n",
          size->databases, bytes,
          (size_t)((double)bytes / (double)size->databases),
          (set_end_us - start_us) / (double)size->databases, full, full_us,
          delta, delta_us, idle, idle_us);
  fixture_clear (&fixture);
}

/* Prints the share of databases whose placement changes when CHURN hosts are
   replaced by new ones, next to the least share that must change.  */
static void
measure_churn (const struct size *size, size_t churn)
{
  struct fixture fixture;
  struct platform_host *hosts = make_hosts (size->hosts);
  const struct member *out[1];
  char key[PATH_BYTES];
  fixture_init (&fixture);
  members_set_list (fixture.members, 1, hosts, size->hosts);
  char (*before)[NAME_BYTES] = mem_zalloc (size->databases * NAME_BYTES);
  for (size_t i = 0; i < size->databases; i++)
    {
      database_name (i, key, sizeof key);
      members_place (fixture.members, key, NULL, out, 1);
      memcpy (before[i], out[0]->address.name, NAME_BYTES);
    }
  for (size_t i = 0; i < churn; i++)
    hosts[1 + i] = make_host (size->hosts + i, 1);
  members_set_list (fixture.members, 2, hosts, size->hosts);
  size_t moved = 0;
  for (size_t i = 0; i < size->databases; i++)
    {
      database_name (i, key, sizeof key);
      members_place (fixture.members, key, NULL, out, 1);
      moved += strcmp (before[i], out[0]->address.name) != 0;
    }
  double share = (double)churn / (double)size->hosts;
  double ideal = 2 * (double)churn / (double)(size->hosts + churn);
  printf ("churn     %5zu hosts, %4zu replaced: moved %.4f of placements, "
          "hosts replaced %.4f, least with equal shares %.4f\n",
          size->hosts, churn, (double)moved / (double)size->databases, share,
          ideal);
  free (before);
  fixture_clear (&fixture);
  free (hosts);
}

static void
count_own (void *arg, struct view_database *database, size_t rank)
{
  (void)database;
  *(size_t *)arg += rank != COORDINATORS_NO_RANK;
}

static void
add_databases (struct fixture *fixture, size_t count)
{
  struct findings findings = { 0 };
  char team[NAME_BYTES];
  for (size_t first = 0; first < count; first += 30)
    {
      char *json = NULL;
      size_t bytes = 0;
      FILE *out = open_memstream (&json, &bytes);
      fputs ("{\"services\":{\"ledger\":{\"databases\":{", out);
      for (size_t i = first; i < first + 30 && i < count; i++)
        fprintf (out,
                 "%s\"depot-%zu\":{\"slots\":5,\"connections\":70,"
                 "\"instances\":{\"a\":{\"address\":\"10.1.1.1\","
                 "\"port\":%zu,\"domain\":\"domain-1\"}}}",
                 i > first ? "," : "", i - first, 5000 + i);
      fputs ("}}}}", out);
      fclose (out);
      snprintf (team, sizeof team, "team-%zu", first / 30);
      if (!view_apply (fixture->view, team, json, bytes, &findings))
        abort ();
      free (json);
    }
}

static double
update_coordinators (struct coordinators *c, size_t *own)
{
  double start_us = cpu_us ();
  do
    coordinators_step (c, count_own, own);
  while (coordinators_due (c) > 0);
  return cpu_us () - start_us;
}

static void
measure_coordinators (const struct size *size)
{
  struct fixture fixture;
  struct platform_host *hosts = make_hosts (size->hosts);
  size_t own = 0, own_after_change = 0, heap;
  fixture_init (&fixture);
  members_set_list (fixture.members, 1, hosts, size->hosts);
  add_databases (&fixture, size->databases);
  heap = heap_bytes ();
  struct coordinators *c = coordinators_new (fixture.members, fixture.view);
  double first_us = update_coordinators (c, &own);
  heap = heap_bytes () - heap;
  double change_us = 0;
  for (size_t i = 1; i <= CHANGES; i++)
    {
      hosts[i % size->hosts].leaving = !hosts[i % size->hosts].leaving;
      members_set_list (fixture.members, 1 + i, hosts, size->hosts);
      change_us += update_coordinators (c, &own_after_change);
    }
  printf ("coordinators %4zu hosts %4zu databases: heap %7zu B  first "
          "%7.0f us  each change of a host %5.0f us  own %zu\n",
          size->hosts, size->databases, heap, first_us, change_us / CHANGES,
          own);
  coordinators_free (c);
  fixture_clear (&fixture);
  free (hosts);
}

int
main (void)
{
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    measure_members (&sizes[i]);
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    measure_coordinators (&sizes[i]);
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    measure_terms (&sizes[i]);
  for (size_t i = 1; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      measure_churn (&sizes[i], 1);
      measure_churn (&sizes[i], sizes[i].hosts / 50);
    }
  return 0;
}

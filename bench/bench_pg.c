/* bench_pg - latency and memory of the PostgreSQL port.

   Measures statements sent straight to an instance and through the port, one
   at a time on one connection over loopback.  The instance is a stand-in that
   executes statements at no cost, so the figures are those of libpq, the round
   trips and the port.  Also measures each role change that a change of primary
   consists of, and the memory of idle connections.  */

#include <libpq-fe.h>

#include "../tests/standin/standin_spawn.h"
#include "port/pg.h"

#include <time.h>

#define ROUNDS 5000
#define ROLE_CHANGES 100
#define INSTANCES 3
#define CONNECTIONS 400
#define ID_BYTES 32
#define GET "SELECT v FROM kv WHERE k = $1"
#define PUT                                                                   \
  "INSERT INTO kv (k, v) VALUES ($1, $2) ON CONFLICT (k) DO UPDATE SET v = "  \
  "kv.v + $2"

static const char *const params[2] = { "bench", "1" };

struct bench
{
  struct event_base *base;
  struct db_port *port;
  struct db_conn *conn;
  PGconn *direct;
  bool ready;
  enum db_status status;
  double rounds_us[ROUNDS];
};

static double
now_us (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static int
compare_times (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return (x > y) - (x < y);
}

static void
print_latencies (const char *name, double *rounds_us, size_t count)
{
  qsort (rounds_us, count, sizeof rounds_us[0], compare_times);
  printf ("%-28s median_us=%.0f p99_us=%.0f\n", name, rounds_us[count / 2],
          rounds_us[count * 99 / 100]);
}

static void
print_rounds (struct bench *bench, const char *name)
{
  print_latencies (name, bench->rounds_us, ROUNDS);
}

static void
on_opened (void *arg, struct db_conn *conn)
{
  struct bench *bench = arg;
  bench->conn = conn;
  bench->ready = true;
}

static void
on_result (void *arg, struct db_conn *conn, const struct db_result *result)
{
  struct bench *bench = arg;
  (void)conn;
  bench->ready = true;
  bench->status = result->status;
}

static void
on_closed (void *arg, struct db_conn *conn, const char *why)
{
  (void)arg;
  (void)conn;
  standin_require (false, why);
}

static void
wait_ready (struct bench *bench)
{
  while (!bench->ready)
    event_base_loop (bench->base, EVLOOP_ONCE);
  bench->ready = false;
}

static void
bench_open (struct bench *bench, uint16_t port)
{
  static const struct db_conn_events events
      = { .opened = on_opened, .result = on_result, .closed = on_closed };
  struct db_target target = { .address = "127.0.0.1", .port = port };
  bench->port->ops->open (bench->port, &target, &events, bench);
  wait_ready (bench);
}

static void
run_via_port (struct bench *bench, const char *name, struct db_job job,
              bool with_id)
{
  static uint64_t next_id;
  char id[ID_BYTES];
  job.params = params;
  job.request_id = with_id ? id : NULL;
  for (int i = 0; i < ROUNDS; i++)
    {
      snprintf (id, sizeof id, "bench-%llu", (unsigned long long)next_id++);
      double start_us = now_us ();
      bench->port->ops->submit (bench->port, bench->conn, &job);
      wait_ready (bench);
      bench->rounds_us[i] = now_us () - start_us;
      standin_require (bench->status == DB_OK, name);
    }
  print_rounds (bench, name);
}

static void
execute (PGconn *direct, const char *sql, int count)
{
  PGresult *res
      = PQexecParams (direct, sql, count, NULL, params, NULL, NULL, 0);
  ExecStatusType status = PQresultStatus (res);
  standin_require (status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK,
                   sql);
  PQclear (res);
}

static void
run_direct_read (struct bench *bench)
{
  for (int i = 0; i < ROUNDS; i++)
    {
      double start_us = now_us ();
      execute (bench->direct, GET, 1);
      bench->rounds_us[i] = now_us () - start_us;
    }
  print_rounds (bench, "direct read");
}

static void
run_direct_write (struct bench *bench)
{
  for (int i = 0; i < ROUNDS; i++)
    {
      double start_us = now_us ();
      execute (bench->direct, "BEGIN", 0);
      execute (bench->direct, PUT, 2);
      execute (bench->direct, "COMMIT", 0);
      bench->rounds_us[i] = now_us () - start_us;
    }
  print_rounds (bench, "direct begin, write, commit");
}

static double
change_role (struct bench *bench, struct db_conn *conn, enum db_job_kind kind,
             uint64_t term, uint16_t follow_port)
{
  struct db_job job = { .kind = kind,
                        .term = term,
                        .follow_address = "127.0.0.1",
                        .follow_port = follow_port };
  double start_us = now_us ();
  bench->port->ops->submit (bench->port, conn, &job);
  wait_ready (bench);
  standin_require (bench->status == DB_OK, "change of role");
  return now_us () - start_us;
}

/* Moves the primary from instance to instance.  Each time the other instances
   are sealed and one of them is promoted; the old primary is fenced, and both
   others follow the new primary.  */
static void
run_role_changes (struct bench *bench, const uint16_t ports[INSTANCES])
{
  /* Times in microseconds.  */
  static double seal[ROLE_CHANGES], promote[ROLE_CHANGES],
      follow[ROLE_CHANGES], fence[ROLE_CHANGES];
  struct db_conn *conns[INSTANCES];
  for (int i = 0; i < INSTANCES; i++)
    {
      bench_open (bench, ports[i]);
      conns[i] = bench->conn;
    }
  for (int i = 0; i < ROLE_CHANGES; i++)
    {
      uint64_t term = 2 + (uint64_t)i;
      int old = i % INSTANCES;
      int next = (i + 1) % INSTANCES;
      int other = (i + 2) % INSTANCES;
      seal[i] = change_role (bench, conns[next], DB_SEAL, term, 0);
      change_role (bench, conns[other], DB_SEAL, term, 0);
      promote[i] = change_role (bench, conns[next], DB_PROMOTE, term, 0);
      fence[i] = change_role (bench, conns[old], DB_FENCE, term, 0);
      follow[i]
          = change_role (bench, conns[other], DB_FOLLOW, term, ports[next]);
      change_role (bench, conns[old], DB_FOLLOW, term, ports[next]);
    }
  print_latencies ("port DB_SEAL", seal, ROLE_CHANGES);
  print_latencies ("port DB_PROMOTE", promote, ROLE_CHANGES);
  print_latencies ("port DB_FOLLOW", follow, ROLE_CHANGES);
  print_latencies ("port DB_FENCE", fence, ROLE_CHANGES);
}

static size_t
resident_kib (void)
{
  size_t kib = 0;
  char line[128];
  FILE *status = fopen ("/proc/self/status", "r");
  standin_require (status != NULL, "/proc/self/status");
  while (fgets (line, sizeof line, status) != NULL)
    if (strncmp (line, "VmRSS:", 6) == 0)
      kib = strtoul (line + 6, NULL, 10);
  fclose (status);
  return kib;
}

/* Opens CONNECTIONS connections and executes one read on each.  Prints the
   memory growth after every quarter.  */
static void
run_memory (struct bench *bench, uint16_t port)
{
  struct db_job read = {
    .kind = DB_READ, .statement = GET, .param_count = 1, .params = params
  };
  size_t first_kib = resident_kib ();
  for (size_t i = 1; i <= CONNECTIONS; i++)
    {
      bench_open (bench, port);
      bench->port->ops->submit (bench->port, bench->conn, &read);
      wait_ready (bench);
      if (i % (CONNECTIONS / 4) == 0)
        printf ("%-28s kib=%zu kib_each=%.1f\n", "idle connections",
                resident_kib () - first_kib,
                (double)(resident_kib () - first_kib) / (double)i);
    }
}

static void
connect_both (struct bench *bench, uint16_t port)
{
  char conninfo[128];
  snprintf (conninfo, sizeof conninfo,
            "hostaddr=127.0.0.1 port=%u user=savoryway dbname=ledger "
            "sslmode=disable gssencmode=disable",
            port);
  bench->direct = PQconnectdb (conninfo);
  standin_require (PQstatus (bench->direct) == CONNECTION_OK, "connect");
  bench_open (bench, port);
}

int
main (void)
{
  static const struct pg_options options
      = { .user = "savoryway", .dbname = "ledger" };
  static struct bench bench;
  struct standin standin;
  char *argv[] = { NULL, "--connections=500", NULL };
  struct db_job read = { .kind = DB_READ, .statement = GET, .param_count = 1 };
  struct db_job write
      = { .kind = DB_WRITE, .statement = PUT, .param_count = 2, .term = 1 };
  standin_spawn (&standin, "pg_standin", argv);
  bench.base = event_base_new ();
  bench.port = pg_port_new (bench.base, &options);
  connect_both (&bench, standin_port (&standin, "instance=a port="));
  run_direct_read (&bench);
  run_via_port (&bench, "port DB_STATUS", (struct db_job){ .kind = DB_STATUS },
                false);
  run_via_port (&bench, "port DB_READ", read, false);
  read.run_limit_ms = 1000;
  run_via_port (&bench, "port DB_READ, run limit", read, false);
  run_direct_write (&bench);
  run_via_port (&bench, "port DB_WRITE", write, false);
  run_via_port (&bench, "port DB_WRITE, request id", write, true);
  PQfinish (bench.direct);
  bench.port->ops->close (bench.port, bench.conn);
  const uint16_t ports[INSTANCES]
      = { standin_port (&standin, "instance=a port="),
          standin_port (&standin, "instance=b port="),
          standin_port (&standin, "instance=c port=") };
  run_role_changes (&bench, ports);
  run_memory (&bench, ports[0]);
  pg_port_free (bench.port);
  event_base_free (bench.base);
  standin_stop (&standin);
  return EXIT_SUCCESS;
}

/* pg_sql - the SQL texts that the proxy itself sends.

   They are written for PostgreSQL 15 with the objects of share/savoryway.sql.
   Each starts with a comment that identifies it in the server's logs.  They
   have been run only against the stand-in server of the tests.  */

#ifndef SAVORYWAY_PORT_PG_SQL_H
#define SAVORYWAY_PORT_PG_SQL_H

/* SQLSTATEs raised by the functions of share/savoryway.sql.  */
#define PG_STATE_OTHER_TERM "SVT01" /* the instance has another term */
#define PG_STATE_BEHIND "SVR01"     /* position not replayed yet */

/* $1: number of the batch.  One row: term, primary, sealed_term, receiving,
   received_lsn, replayed_lsn, confirmed_lsn, lag_ms, number of the batch.  */
#define PG_SQL_STATUS                                                         \
  "/*savoryway:status*/ SELECT s.term, NOT s.recovery AND"                    \
  " current_setting('default_transaction_read_only') = 'off',"                \
  " current_setting('savoryway.sealed_term')::bigint,"                        \
  " COALESCE(r.status = 'streaming', false),"                                 \
  " pg_wal_lsn_diff(s.received, '0/0')::bigint,"                              \
  " pg_wal_lsn_diff(s.replayed, '0/0')::bigint,"                              \
  " CASE WHEN s.recovery THEN 0 ELSE"                                         \
  " pg_wal_lsn_diff(COALESCE((SELECT max(flush_lsn)"                          \
  " FROM pg_stat_replication"                                                 \
  " WHERE application_name = 'savoryway_' || s.term), '0/0'),"                \
  " '0/0')::bigint END,"                                                      \
  " (CASE WHEN NOT s.recovery THEN 0"                                         \
  " WHEN r.status = 'streaming' AND s.received = s.replayed THEN"             \
  " extract(epoch FROM clock_timestamp() - r.last_msg_receipt_time)"          \
  " ELSE COALESCE(extract(epoch FROM clock_timestamp()"                       \
  " - pg_last_xact_replay_timestamp()), 1e9) END * 1000)::bigint, $1::bigint" \
  " FROM (SELECT current_setting('savoryway.log_term')::bigint AS term,"      \
  " pg_is_in_recovery() AS recovery,"                                         \
  " CASE WHEN pg_is_in_recovery() THEN"                                       \
  " GREATEST(pg_last_wal_receive_lsn(), pg_last_wal_replay_lsn())"            \
  " ELSE pg_current_wal_lsn() END AS received,"                               \
  " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn()"              \
  " ELSE pg_current_wal_lsn() END AS replayed) s"                             \
  " LEFT JOIN pg_stat_wal_receiver r ON true"

#define PG_SQL_BEGIN "/*savoryway:begin*/ BEGIN"
#define PG_SQL_COMMIT "/*savoryway:commit*/ COMMIT"
#define PG_SQL_ROLLBACK "/*savoryway:rollback*/ ROLLBACK"
#define PG_SQL_RESET "/*savoryway:reset*/ DISCARD ALL"

/* $1: the required term, 0 for any; $2: number of the batch.  One row: void,
   number of the batch.  */
#define PG_SQL_REQUIRE_TERM                                                   \
  "/*savoryway:require_term*/ SELECT savoryway.require_term($1), $2::bigint"

/* $1: the position that must be visible.  */
#define PG_SQL_BEGIN_READ                                                     \
  "/*savoryway:begin_read*/ SELECT savoryway.begin_read($1)"

/* $1: timeout in milliseconds of the statements that follow in this
   transaction.  It cancels work whose caller no longer waits for it.  */
#define PG_SQL_RUN_LIMIT                                                      \
  "/*savoryway:run_limit*/ SELECT set_config('statement_timeout', $1, true)"

/* $1: request id, $2: answer or NULL.  Blocks while another transaction with
   the same request id is running.  */
#define PG_SQL_CLAIM                                                          \
  "/*savoryway:claim*/ INSERT INTO savoryway.ledger (request_id, answer)"     \
  " VALUES ($1, $2)"
#define PG_SQL_ANSWER                                                         \
  "/*savoryway:answer*/ UPDATE savoryway.ledger SET answer = $2"              \
  " WHERE request_id = $1"

/* $1: request id.  Blocks like the claim, but does not fail on a
   duplicate.  */
#define PG_SQL_PROBE                                                          \
  "/*savoryway:probe*/ INSERT INTO savoryway.ledger (request_id)"             \
  " VALUES ($1) ON CONFLICT DO NOTHING"
#define PG_SQL_FIND                                                           \
  "/*savoryway:find*/ SELECT answer FROM savoryway.ledger"                    \
  " WHERE request_id = $1 AND answer IS NOT NULL"

/* $1: age in milliseconds.  */
#define PG_SQL_PURGE                                                          \
  "/*savoryway:purge*/ DELETE FROM savoryway.ledger WHERE created"            \
  " < clock_timestamp() - $1::bigint * interval '1 millisecond'"

/* Serializes changes of an instance's role by several hosts.  */
#define PG_SQL_LOCK "/*savoryway:lock*/ SELECT pg_advisory_lock(7305793)"
#define PG_SQL_UNLOCK "/*savoryway:unlock*/ SELECT pg_advisory_unlock_all()"

/* printf format; arguments: name of the setting and quoted value.  */
#define PG_SQL_SET "/*savoryway:set*/ ALTER SYSTEM SET %s = %s"
#define PG_SQL_RELOAD "/*savoryway:reload*/ SELECT pg_reload_conf()"
#define PG_SQL_PROMOTE "/*savoryway:promote*/ SELECT pg_promote(false)"

/* Terminates the proxy's other sessions that may not have applied the last
   reload.  */
#define PG_SQL_END_SESSIONS                                                   \
  "/*savoryway:kick*/ SELECT pg_terminate_backend(pid)"                       \
  " FROM pg_stat_activity WHERE usename = current_user"                       \
  " AND backend_type = 'client backend'"                                      \
  " AND backend_start < pg_conf_load_time() AND pid <> pg_backend_pid()"

/* One row: whether the instance is a replica; number of the proxy's other
   sessions that may not have applied the last reload; whether a replication
   stream from a primary exists; address and port of that primary.  */
#define PG_SQL_ROLE_STATUS                                                    \
  "/*savoryway:busy*/ SELECT pg_is_in_recovery(), (SELECT count(*) FROM "     \
  "pg_stat_activity"                                                          \
  " WHERE usename = current_user AND backend_type = 'client backend'"         \
  " AND backend_start < pg_conf_load_time() AND pid <> pg_backend_pid()),"    \
  " r.pid IS NOT NULL, r.sender_host, r.sender_port"                          \
  " FROM (SELECT 1) one LEFT JOIN pg_stat_wal_receiver r ON true"

/* $1: term, $2: address, $3: port of the primary to follow.  */
#define PG_SQL_REJOIN                                                         \
  "/*savoryway:rejoin*/ SELECT savoryway.rejoin($1, $2, $3)"

#endif

-- Objects that the proxy needs in each database group; run once on the
-- primary as owner of the database.  Written for PostgreSQL 15.
--
-- postgresql.conf of every instance must also hold:
--   savoryway.log_term = '1'
--   savoryway.sealed_term = '0'

CREATE SCHEMA IF NOT EXISTS savoryway;

-- Outcome of each request that must run at most once.
CREATE TABLE IF NOT EXISTS savoryway.ledger
(
  request_id text PRIMARY KEY,
  answer text,
  created timestamptz NOT NULL DEFAULT clock_timestamp ()
);
CREATE INDEX IF NOT EXISTS ledger_created ON savoryway.ledger (created);

-- Fails unless this instance is the unsealed primary of the term; 0 is any.
CREATE OR REPLACE FUNCTION savoryway.require_term (required bigint)
RETURNS void LANGUAGE plpgsql AS $$
DECLARE
  log_term bigint := current_setting ('savoryway.log_term')::bigint;
  sealed_term bigint := current_setting ('savoryway.sealed_term')::bigint;
BEGIN
  IF pg_is_in_recovery () OR sealed_term > log_term
     OR current_setting ('default_transaction_read_only') = 'on'
     OR (required <> 0 AND required <> log_term)
  THEN
    RAISE EXCEPTION 'not primary of term %', required USING ERRCODE = 'SVT01';
  END IF;
END $$;

-- Makes the transaction read-only; fails if less than the position is visible.
CREATE OR REPLACE FUNCTION savoryway.begin_read (min_lsn bigint)
RETURNS void LANGUAGE plpgsql AS $$
DECLARE
  visible pg_lsn;
BEGIN
  PERFORM set_config ('transaction_read_only', 'on', true);
  IF pg_is_in_recovery () THEN
    visible := pg_last_wal_replay_lsn ();
  ELSE
    visible := pg_current_wal_lsn ();
  END IF;
  IF pg_wal_lsn_diff (visible, '0/0') < min_lsn THEN
    RAISE EXCEPTION 'replayed less than %', min_lsn USING ERRCODE = 'SVR01';
  END IF;
END $$;

-- Makes this instance discard log that the primary does not have and follow
-- it.  PostgreSQL cannot do this from SQL: replace the body by a call of the
-- tool that runs pg_rewind on the instance's host and restarts it.
CREATE OR REPLACE FUNCTION savoryway.rejoin
  (term bigint, address text, port integer)
RETURNS boolean LANGUAGE plpgsql AS $$
BEGIN
  RAISE EXCEPTION 'savoryway.rejoin is not set up on this database group'
    USING ERRCODE = '0A000';
END $$;

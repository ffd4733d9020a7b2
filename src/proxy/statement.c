#include "proxy/statement.h"

static const char *const code_names[] = {
  [CODE_OK] = "ok",
  [CODE_BUSY] = "busy",
  [CODE_LAGGING] = "lagging",
  [CODE_READONLY] = "readonly",
  [CODE_MISROUTED] = "misrouted",
  [CODE_TOOMANY] = "toomany",
  [CODE_ABORTED] = "aborted",
  [CODE_NOSTMT] = "nostmt",
  [CODE_FAILED] = "failed",
  [CODE_TIMEOUT] = "timeout",
  [CODE_INDOUBT] = "indoubt",
  [CODE_NODB] = "nodb",
  [CODE_TOOLARGE] = "toolarge",
  [CODE_MALFORMED] = "malformed",
  [CODE_NOAUTH] = "noauth",
  [CODE_LOST] = "lost",
};

static const char *const stmt_kind_names[] = {
  [STMT_UNKNOWN] = "unknown",
  [STMT_BEGIN] = "begin",
  [STMT_BEGIN_READ] = "begin_read",
  [STMT_COMMIT] = "commit",
  [STMT_ROLLBACK] = "rollback",
  [STMT_READ] = "read",
  [STMT_WRITE] = "write",
  [STMT_SET] = "set",
  [STMT_PREPARE_READ] = "prepare_read",
  [STMT_PREPARE_WRITE] = "prepare_write",
  [STMT_EXECUTE] = "execute",
  [STMT_DEALLOCATE] = "deallocate",
  [STMT_RESET] = "reset",
  [STMT_STATUS] = "status",
  [STMT_STEPDOWN] = "stepdown",
  [STMT_PAUSE] = "pause",
  [STMT_RESUME] = "resume",
};

const char *
stmt_kind_name (enum stmt_kind kind)
{
  return stmt_kind_names[kind];
}

const char *
code_name (enum code code)
{
  return code_names[code];
}

bool
code_not_run (enum code code)
{
  switch (code)
    {
    case CODE_BUSY:
    case CODE_LAGGING:
    case CODE_READONLY:
    case CODE_MISROUTED:
    case CODE_TOOMANY:
    case CODE_NOSTMT:
      return true;
    default:
      return false;
    }
}

int
position_compare (struct position a, struct position b)
{
  if (a.term != b.term)
    return a.term < b.term ? -1 : 1;
  if (a.lsn != b.lsn)
    return a.lsn < b.lsn ? -1 : 1;
  return 0;
}

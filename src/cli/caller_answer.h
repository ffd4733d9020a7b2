/* caller_answer - an entry's answer as HTTP status and JSON.

     outcome   reason                                          status
     done                                                      200
     not_run   bad_transaction, token_ahead, connection_lost   409
               sql_error                                       422
               all others, to be tried again after Retry-After 503
     unknown   any                                             504
     either    bad_token                                       400
               forbidden                                       403
               unknown_target                                  404  */

#ifndef SAVORYWAY_CLI_CALLER_ANSWER_H
#define SAVORYWAY_CLI_CALLER_ANSWER_H

#include "core/entry.h"

int caller_answer_status (const struct entry_answer *answer);

/* Returns the JSON text of ANSWER; the caller frees it.  */
char *caller_answer_print (const struct entry_answer *answer);

/* Returns the value of Retry-After in seconds, rounded up; 0 for none.  */
int64_t caller_answer_retry_after_s (const struct entry_answer *answer);

#endif

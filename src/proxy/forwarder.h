/* forwarder - chooses the host that a statement is forwarded to.

   Prefers hosts of the own failure domain, and among them the one with the
   fewest statements of this host.  One that failed is not asked for
   FORWARDER_RETRY_MS.

   Module name: "forwarder".  */

#ifndef SAVORYWAY_PROXY_FORWARDER_H
#define SAVORYWAY_PROXY_FORWARDER_H

#include "kernel/kernel.h"
#include "proxy/hosts.h"

#define FORWARDER_RETRY_MS 1000

/* A host in another failure domain counts as if it had so many statements
   more.  */
#define FORWARDER_DOMAIN_COST 6

struct forwarder;

struct forwarder *forwarder_new (void);
struct module *forwarder_module (struct forwarder *forwarder);

/* What a host must satisfy.  */
struct forwarder_query
{
  const char *group;
  const char *instance; /* that it reaches; NULL: any */
  const char (*tried)[NAME_BYTES];
  size_t tried_count;
};

/* Returns a host with connections to the group, or NULL.  Valid until the
   hosts or the configuration change.  */
const struct other_host *forwarder_pick (struct forwarder *forwarder,
                                         const struct forwarder_query *query);

/* Notes a statement sent to HOST and its end; FAILED: the host did not
   answer it.  */
void forwarder_begin (struct forwarder *forwarder, const char *host);
void forwarder_end (struct forwarder *forwarder, const char *host,
                    bool failed);

/* Notes an answer of HOST.  */
void forwarder_note_answer (struct forwarder *forwarder, const char *host);

/* When HOST last answered; CLK_LONG_AGO if it is not known.  */
clk_ms forwarder_last_answer_ms (const struct forwarder *forwarder,
                                 const char *host);

#endif

/* policy - request handling strategy of a host.

   POLICY_FULL is the normal one.  POLICY_PLAIN is the baseline that
   measurements compare with: each host has its own share of connections,
   queues are first in first out, reads are routed round robin, and failed
   requests are retried three times.  */

#ifndef SAVORYWAY_CORE_POLICY_H
#define SAVORYWAY_CORE_POLICY_H

enum policy
{
  POLICY_FULL,
  POLICY_PLAIN
};

#endif

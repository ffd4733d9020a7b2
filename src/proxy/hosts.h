/* hosts - the other hosts of the system, and messages to and from them.

   The roster sets the list; each module handles messages of its own kinds.

   Module name: "hosts".  */

#ifndef SAVORYWAY_PROXY_HOSTS_H
#define SAVORYWAY_PROXY_HOSTS_H

#include "kernel/kernel.h"
#include "port/peer_port.h"

#define HOSTS_HANDLERS 8

struct other_host
{
  struct peer_address address;
  char zone[NAME_BYTES];
  uint32_t capacity; /* of its link; 0: not told */
};

struct hosts_options
{
  const char *host;
  const char *zone; /* failure domain of this host */
};

struct hosts;

struct hosts *hosts_new (const struct hosts_options *options);
struct module *hosts_module (struct hosts *hosts);

const char *hosts_own_name (const struct hosts *hosts);
const char *hosts_own_zone (const struct hosts *hosts);

/* Messages go through PORT from now on.  */
void hosts_set_port (struct hosts *hosts, struct peer_port *port);

/* Whether messages can be sent.  */
bool hosts_ready (const struct hosts *hosts);

/* Sets the other hosts; they are copied.  */
void hosts_set (struct hosts *hosts, const struct other_host *others,
                size_t count);

/* The other hosts.  The array is valid until the next hosts_set.  */
const struct other_host *hosts_list (const struct hosts *hosts, size_t *count);

/* Rises with each hosts_set.  */
uint64_t hosts_version (const struct hosts *hosts);

/* Messages of KIND go to HANDLER, which answers them with hosts_reply.  */
void hosts_handle (struct hosts *hosts, peer_kind kind, peer_handler handler,
                   void *arg);

/* Sends BODY (copied) to TO; returns an id for hosts_cancel, or 0, and calls
   nothing, while there is no port.  DONE may be NULL.  */
uint64_t hosts_call (struct hosts *hosts, const struct peer_address *to,
                     const peer_body *body, clk_ms timeout_ms, peer_done done,
                     void *arg);
void hosts_cancel (struct hosts *hosts, uint64_t id);

/* Answers CALL with BODY.  */
void hosts_reply (struct hosts *hosts, uint64_t call, const peer_body *body);

#endif

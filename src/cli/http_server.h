/* http_server - a listener for HTTP requests, with limits.

   Answers that a client does not take in time close its connection, so that
   slow clients hold no memory for longer.  While too many bytes wait to be
   taken, http_server_overloaded is true.  */

#ifndef SAVORYWAY_CLI_HTTP_SERVER_H
#define SAVORYWAY_CLI_HTTP_SERVER_H

#include <stdbool.h>

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

#include "kernel/clock.h"

struct http_server;

struct http_server_options
{
  const char *address; /* IP number */
  uint16_t port;       /* 0: any free one */
  size_t body_limit_bytes;
  size_t header_limit_bytes;
  size_t unsent_limit_bytes; /* see http_server_overloaded */
  clk_ms idle_ms;            /* closes a connection without traffic */
  clk_ms send_ms;            /* longest time to take an answer */
  struct clk *clk;
};

/* Returns a server that listens, or NULL with errno set.  */
struct http_server *
http_server_new (struct event_base *base,
                 const struct http_server_options *options);

/* Closes all connections; requests not answered yet are dropped.  */
void http_server_free (struct http_server *server);

struct evhttp *http_server_evhttp (struct http_server *server);
uint16_t http_server_port (const struct http_server *server);

/* From now on each answer closes its connection.  */
void http_server_close_kept (struct http_server *server);

/* Whether too many bytes wait to be taken by clients.  */
bool http_server_overloaded (const struct http_server *server);

/* Answers of the server that are not sent whole.  */
size_t http_server_unsent_count (const struct http_server *server);

/* Answers REQUEST with TEXT of TYPE, which is freed with free.  */
void http_server_reply (struct http_server *server,
                        struct evhttp_request *request, int status,
                        const char *type, char *text);

/* Answers REQUEST with VALUE, whose reference is taken.  */
void http_server_reply_json (struct http_server *server,
                             struct evhttp_request *request, int status,
                             json_t *value);

#endif

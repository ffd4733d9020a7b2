/* http_server - an HTTP listener with limits on memory and time.

   A client that does not read its response within a time limit is
   disconnected, so that slow clients do not pin memory.  While the total of
   unsent bytes is above a limit, http_server_overloaded returns true and the
   user of the server is to reject requests.

   With a budget, connections are counted and limited by it.  A handler that
   replies later calls http_server_received first, so that its client does not
   count as one that does not go on with its request.  */

#ifndef SAVORYWAY_CLI_HTTP_SERVER_H
#define SAVORYWAY_CLI_HTTP_SERVER_H

#include <stdbool.h>

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

#include "kernel/clock.h"
#include "port/client_budget.h"

struct http_server;

struct http_server_options
{
  const char *address; /* IP number */
  uint16_t port;       /* 0: chosen by the system */
  size_t body_limit_bytes;
  size_t header_limit_bytes;
  size_t unsent_limit_bytes; /* see http_server_overloaded; 0: 64 MiB */
  clk_ms idle_ms;            /* closes connections idle for this long */
  clk_ms send_ms;            /* timeout for sending a response */
  struct clk *clk;
  struct client_budget *budget; /* may be NULL */
  enum client_interface interface;
};

/* Returns a listening server, or NULL with errno set.  */
struct http_server *
http_server_new (struct event_base *base,
                 const struct http_server_options *options);

/* Closes all connections and drops the pending requests.  */
void http_server_free (struct http_server *server);

/* Returns the evhttp, on which handlers are registered.  */
struct evhttp *http_server_evhttp (struct http_server *server);

/* Returns the bound port.  */
uint16_t http_server_port (const struct http_server *server);

/* Makes each later response close its connection.  */
void http_server_disable_keep_alive (struct http_server *server);

/* Returns whether the unsent bytes exceed the limit.  */
bool http_server_overloaded (const struct http_server *server);

/* Returns the number of responses that are not completely sent.  */
size_t http_server_unsent_count (const struct http_server *server);

/* Returns whether the URI of REQUEST holds an encoded zero byte, at which a
   decoded name would end.  */
bool http_server_uri_has_zero (const struct evhttp_request *request);

/* REQUEST has been received and will be replied to later.  */
void http_server_received (struct http_server *server,
                           struct evhttp_request *request);

/* Replies to REQUEST with TEXT of content type TYPE.  Takes ownership of TEXT,
   which must come from malloc.  */
void http_server_reply (struct http_server *server,
                        struct evhttp_request *request, int status,
                        const char *type, char *text);

/* Replies to REQUEST with VALUE as JSON.  Steals the reference to VALUE.  */
void http_server_reply_json (struct http_server *server,
                             struct evhttp_request *request, int status,
                             json_t *value);

#endif

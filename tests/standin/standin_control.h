/* standin_control - control port of a stand-in: HTTP with JSON bodies.

   A test sends faults to the control port and queries the state.  A process
   has one control port with one handler.  */

#ifndef STANDIN_CONTROL_H
#define STANDIN_CONTROL_H

#include <event2/event.h>
#include <jansson.h>
#include <stdint.h>

/* Handles a request for PATH and returns the HTTP status.  BODY is the parsed
   request body, NULL if there is none or it is malformed.  *ANSWER may be set
   to an allocated string, which is sent and freed; otherwise "{}" is sent.  */
typedef int (*standin_handler) (void *arg, const char *path, json_t *body,
                                char **answer);

struct evhttp;

/* Starts a server on an ephemeral loopback port, which *PORT gets.  Returns
   NULL on failure.  */
struct evhttp *standin_control_new (struct event_base *base,
                                    standin_handler handler, void *arg,
                                    uint16_t *port);

/* Runs BASE until SIGTERM, SIGINT or the end of standard input.  The end of a
   test, also by a crash, closes the pipe that is standard input.  */
void standin_run (struct event_base *base);

#endif

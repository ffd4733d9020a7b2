#include "standin_control.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "kernel/mem.h"

/* The only control port of the process.  */
static struct
{
  standin_handler handler;
  void *arg;
} control;

static void
on_request (struct evhttp_request *request, void *arg)
{
  (void)arg;
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t length = evbuffer_get_length (input);
  json_t *body = json_loadb ((const char *)evbuffer_pullup (input, -1), length,
                             0, NULL);
  char *answer = NULL;
  int status = control.handler (control.arg, evhttp_request_get_uri (request),
                                body, &answer);
  struct evbuffer *output = evbuffer_new ();
  evbuffer_add_printf (output, "%s\n", answer != NULL ? answer : "{}");
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "application/json");
  evhttp_send_reply (request, status, NULL, output);
  evbuffer_free (output);
  free (answer);
  json_decref (body);
}

struct evhttp *
standin_control_new (struct event_base *base, standin_handler handler,
                     void *arg, uint16_t *port)
{
  control.handler = handler;
  control.arg = arg;
  struct evhttp *http = evhttp_new (base);
  evhttp_set_gencb (http, on_request, NULL);
  struct evhttp_bound_socket *bound
      = evhttp_bind_socket_with_handle (http, "127.0.0.1", 0);
  if (bound == NULL)
    {
      evhttp_free (http);
      return NULL;
    }
  struct sockaddr_in sin = { 0 };
  socklen_t length = sizeof sin;
  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&sin,
               &length);
  *port = ntohs (sin.sin_port);
  return http;
}

static void
on_signal (evutil_socket_t fd, short events, void *base)
{
  (void)fd;
  (void)events;
  event_base_loopbreak (base);
}

static void
on_stdin (evutil_socket_t fd, short events, void *base)
{
  (void)events;
  char buffer[256];
  if (read (fd, buffer, sizeof buffer) <= 0)
    event_base_loopbreak (base);
}

void
standin_run (struct event_base *base)
{
  struct stat status;
  signal (SIGPIPE, SIG_IGN);
  struct event *term = evsignal_new (base, SIGTERM, on_signal, base);
  struct event *interrupt = evsignal_new (base, SIGINT, on_signal, base);
  struct event *input
      = event_new (base, STDIN_FILENO, EV_READ | EV_PERSIST, on_stdin, base);
  event_add (term, NULL);
  event_add (interrupt, NULL);
  /* epoll does not accept a regular file or /dev/null.  With one of these as
     standard input, only signals end the process.  */
  if (fstat (STDIN_FILENO, &status) == 0
      && (S_ISFIFO (status.st_mode) || S_ISSOCK (status.st_mode)
          || isatty (STDIN_FILENO)))
    event_add (input, NULL);
  event_base_dispatch (base);
  event_free (term);
  event_free (interrupt);
  event_free (input);
}

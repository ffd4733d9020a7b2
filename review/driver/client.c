#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "driver.h"

#define MAX_SENT 65536
#define ANSWER_LIMIT_MS 5000

struct sent
{
  char id[NAME];
  char text[LINE];
};

static struct sent *sent;
static size_t sent_count;

static void
handle_line (struct client *client, const char *line)
{
  if (strncmp (line, "READY ", 6) != 0)
    {
      size_t used = strlen (client->reply);
      snprintf (client->reply + used, sizeof client->reply - used, "%s%s",
                used > 0 ? " | " : "", line);
      return;
    }
  client->state = line[6];
  if (!client->started)
    client->started = true;
  else if (client->waiting)
    {
      client->waiting = false;
      client->ended_ms = now_ms ();
      record ("consumer %s: %s is answered with %s %s after %ld ms",
              client->name, client->id, client->reply, line,
              client->ended_ms - client->sent_ms);
    }
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  struct client *client = arg;
  char *line;
  while ((line = evbuffer_readln (bufferevent_get_input (bev), NULL,
                                  EVBUFFER_EOL_CRLF_STRICT))
         != NULL)
    {
      handle_line (client, line);
      free (line);
    }
  if (client->started && !client->waiting && client->changed != NULL)
    client->changed (client);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  struct client *client = arg;
  (void)bev;
  if (what & BEV_EVENT_CONNECTED)
    return;
  client->closed = true;
  client->ended_ms = now_ms ();
  if (client->waiting)
    record ("consumer %s: the connection ends, %s has no answer after %ld ms",
            client->name, client->id, client->ended_ms - client->sent_ms);
  else
    record ("consumer %s: the connection ends", client->name);
  if (client->changed != NULL)
    client->changed (client);
}

struct client *
client_open (const char *name, uint16_t port, const char *database)
{
  struct client *client = calloc (1, sizeof *client);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  if (client == NULL)
    unable ("memory");
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  snprintf (client->name, sizeof client->name, "%s", name);
  client->bev = bufferevent_socket_new (events, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (client->bev, on_read, NULL, on_event, client);
  evbuffer_add_printf (bufferevent_get_output (client->bev),
                       "STARTUP %s %s\r\n", database, name);
  bufferevent_enable (client->bev, EV_READ | EV_WRITE);
  if (bufferevent_socket_connect (client->bev, (struct sockaddr *)&address,
                                  sizeof address)
      != 0)
    client->closed = true;
  return client;
}

void
client_free (struct client *client)
{
  bufferevent_free (client->bev);
  free (client);
}

void
client_send (struct client *client, const char *text)
{
  if (sent == NULL)
    sent = calloc (MAX_SENT, sizeof *sent);
  if (sent == NULL || sent_count == MAX_SENT)
    unable ("too many statements");
  struct sent *row = &sent[sent_count++];
  snprintf (row->id, sizeof row->id, "%06zx%08lx", sent_count,
            (unsigned long)random ());
  snprintf (row->text, sizeof row->text, "%s", text);
  memcpy (client->id, row->id, NAME);
  client->reply[0] = '\0';
  client->waiting = true;
  client->sent_ms = now_ms ();
  record ("consumer %s: sends %s %s", client->name, client->id, text);
  evbuffer_add_printf (bufferevent_get_output (client->bev), "QUERY %s %s\r\n",
                       client->id, text);
}

static bool
has_answer (void *arg)
{
  const struct client *client = arg;
  return client->closed || (client->started && !client->waiting);
}

const char *
client_query (struct client *client, const char *text)
{
  if (!run_until (has_answer, client, ANSWER_LIMIT_MS) || client->closed)
    return "";
  client_send (client, text);
  run_until (has_answer, client, ANSWER_LIMIT_MS);
  return client->waiting ? "" : client->reply;
}

bool
client_is_ok (const struct client *client)
{
  return !client->waiting && strstr (client->reply, "COMPLETE ") != NULL;
}

bool
client_sent (const char *id, const char *text)
{
  for (size_t i = sent_count; i-- > 0;)
    if (strcmp (sent[i].id, id) == 0)
      return strcmp (sent[i].text, text) == 0;
  return false;
}

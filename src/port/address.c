#include "port/address.h"

#include <errno.h>
#include <string.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

bool
address_parse (const char *text, uint16_t port,
               struct sockaddr_storage *address, int *length)
{
  struct sockaddr_in *v4 = (struct sockaddr_in *)address;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)address;
  memset (address, 0, sizeof *address);
  if (inet_pton (AF_INET, text, &v4->sin_addr) == 1)
    {
      v4->sin_family = AF_INET;
      v4->sin_port = htons (port);
      *length = sizeof *v4;
      return true;
    }
  if (inet_pton (AF_INET6, text, &v6->sin6_addr) != 1)
    {
      errno = EINVAL;
      return false;
    }
  v6->sin6_family = AF_INET6;
  v6->sin6_port = htons (port);
  *length = sizeof *v6;
  return true;
}

static void
set_option (evutil_socket_t fd, int level, int name, int value)
{
  /* Best effort: without the option a dead peer is only detected later.  */
  (void)setsockopt (fd, level, name, &value, sizeof value);
}

void
address_set_keepalive (evutil_socket_t fd)
{
  if (fd < 0)
    return;
  set_option (fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option (fd, IPPROTO_TCP, TCP_KEEPIDLE, ADDRESS_KEEPALIVE_IDLE_S);
  set_option (fd, IPPROTO_TCP, TCP_KEEPINTVL, ADDRESS_KEEPALIVE_IDLE_S);
  set_option (fd, IPPROTO_TCP, TCP_KEEPCNT, ADDRESS_KEEPALIVE_PROBES);
  set_option (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, ADDRESS_USER_TIMEOUT_MS);
  set_option (fd, IPPROTO_TCP, TCP_NODELAY, 1);
}

uint16_t
address_bound_port (evutil_socket_t fd)
{
  struct sockaddr_storage address;
  socklen_t length = sizeof address;
  memset (&address, 0, sizeof address);
  if (getsockname (fd, (struct sockaddr *)&address, &length) != 0)
    return 0;
  if (address.ss_family == AF_INET6)
    return ntohs (((struct sockaddr_in6 *)&address)->sin6_port);
  return ntohs (((struct sockaddr_in *)&address)->sin_port);
}

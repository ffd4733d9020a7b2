/* address - socket addresses from IP addresses in text form, and options of
   TCP sockets.  */

#ifndef SAVORYWAY_PORT_ADDRESS_H
#define SAVORYWAY_PORT_ADDRESS_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/util.h>
#include <sys/socket.h>

/* Fills ADDRESS from TEXT, an IPv4 or IPv6 address, and a port; sets LENGTH
   to the size used.  Returns false with errno EINVAL if TEXT is not an IP
   address.  */
bool address_parse (const char *text, uint16_t port,
                    struct sockaddr_storage *address, int *length);

/* TCP keep-alive: idle time before the first probe, also the interval between
   probes; probes without an answer until the connection fails.  */
#define ADDRESS_KEEPALIVE_IDLE_S 1
#define ADDRESS_KEEPALIVE_PROBES 2

/* TCP_USER_TIMEOUT: limit on the time that sent data stays
   unacknowledged.  */
#define ADDRESS_USER_TIMEOUT_MS 3000

/* Enables keep-alive and the user timeout on FD, so that a peer that stops
   answering is detected within seconds, and disables Nagle's algorithm.  Does
   nothing if FD is negative.  */
void address_set_keepalive (evutil_socket_t fd);

/* Returns the local port of a socket, or 0 if it has none.  */
uint16_t address_bound_port (evutil_socket_t fd);

#endif

/* address - socket addresses from IP numbers.  */

#ifndef SAVORYWAY_PORT_ADDRESS_H
#define SAVORYWAY_PORT_ADDRESS_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/util.h>
#include <sys/socket.h>

/* Makes ADDRESS of an IP number and a port; sets LENGTH to the size used.
   Returns false with errno EINVAL if TEXT is not an IP number.  */
bool address_parse (const char *text, uint16_t port,
                    struct sockaddr_storage *address, int *length);

/* Notices within seconds that the peer of FD no longer answers.  */
#define ADDRESS_KEEPALIVE_IDLE_S 1
#define ADDRESS_KEEPALIVE_PROBES 2
#define ADDRESS_USER_TIMEOUT_MS 3000
void address_set_keepalive (evutil_socket_t fd);

/* Returns the local port of a socket; 0 if it has none.  */
uint16_t address_bound_port (evutil_socket_t fd);

#endif

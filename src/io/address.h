/*
 * address.h - parses addresses written as "ip:port". Host names are rejected
 * because resolving one would block the event loop.
 */
#ifndef ALMONDTHREAD_IO_ADDRESS_H
#define ALMONDTHREAD_IO_ADDRESS_H

#include <netinet/in.h>

/*
 * at_address_parse() parses an IPv4 literal and a port from 0 to 65535 into
 * addr. Returns 0, or -1 for any other text; addr is then undefined.
 */
int at_address_parse(const char *text, struct sockaddr_in *addr);

#endif

/*
 * address.h - "ip:port" texts. Names are refused: a resolver would block.
 */
#ifndef ALMONDTHREAD_IO_ADDRESS_H
#define ALMONDTHREAD_IO_ADDRESS_H

#include <netinet/in.h>

/*
 * at_address_parse() reads an IPv4 literal with a port from 0 to 65535.
 * Returns 0, or -1 when text is anything else.
 */
int at_address_parse(const char *text, struct sockaddr_in *addr);

#endif

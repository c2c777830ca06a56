#include "io/address.h"

#include <stdint.h>

#include <arpa/inet.h>
#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#define PORT_DIGITS_MAX 5

int
at_address_parse(const char *text, struct sockaddr_in *addr)
{
	char ip[INET_ADDRSTRLEN];
	const char *colon = strrchr(text, ':');
	char *end;
	unsigned long port;

	memset(addr, 0, sizeof(*addr));
	if (colon == NULL || (size_t)(colon - text) >= sizeof(ip))
		return -1;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	if (!isdigit((unsigned char)colon[1]) ||
	    strlen(colon + 1) > PORT_DIGITS_MAX)
		return -1;
	port = strtoul(colon + 1, &end, 10);
	if (*end != '\0' || port > UINT16_MAX)
		return -1;
	addr->sin_family = AF_INET;
	addr->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &addr->sin_addr) == 1 ? 0 : -1;
}

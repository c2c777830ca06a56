/*
 * relay_impl.h - declarations that the files of relay share: relay.c passes
 * attempts on, relay_header.c has the header that both sides use.
 */
#ifndef ALMONDTHREAD_ENTRY_RELAY_IMPL_H
#define ALMONDTHREAD_ENTRY_RELAY_IMPL_H

#include "entry/servers/relay.h"

#define RELAY_MAC_BYTES 32u
#define RELAY_MAC_HEX_SIZE (2u * RELAY_MAC_BYTES + 1u)
#define RELAY_HEADER_SIZE 192u /* bytes of its value, with the NUL */

void relay_compute_mac(const at_identity_t *identity, uint64_t incarnation,
    const at_relay_call_t *call, char hex[RELAY_MAC_HEX_SIZE]);
/*
 * relay_parse_header() checks the header of a request whose other fields are
 * set in call, and sets its server and kind. Returns -1 if it is not valid.
 */
int relay_parse_header(const at_identity_t *identity, const char *text,
    at_relay_call_t *call, char server_id[AT_NAME_SIZE]);

#endif

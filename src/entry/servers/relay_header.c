/*
 * relay_header.c - the header of relayed attempts: "v1 KIND SERVER MAC", where
 * MAC is the keyed hash of the call and of the incarnation that may pass it on.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "entry/servers/relay_impl.h"

const char *const at_relay_outcome_names[] = {"passed", "refused",
    "unreachable", "connection_refused", "lost", "reached"};

static const char *const kind_names[] = {"pooled", "new", "probe"};

static const char *
kind_name(const at_relay_call_t *call)
{
	if (call->is_probe)
		return kind_names[2];
	return kind_names[call->new_connection != 0];
}

/* Adds a text with its length, so that two texts cannot be mistaken. */
static void
hash_text(crypto_generichash_state *state, const char *text)
{
	uint64_t len = text == NULL ? 0 : strlen(text);

	(void)crypto_generichash_update(
	    state, (const unsigned char *)&len, sizeof(len));
	if (text != NULL)
		(void)crypto_generichash_update(
		    state, (const unsigned char *)text, len);
}

void
relay_compute_mac(const at_identity_t *identity, uint64_t incarnation,
    const at_relay_call_t *call, char hex[RELAY_MAC_HEX_SIZE])
{
	unsigned char mac[RELAY_MAC_BYTES];
	crypto_generichash_state state;

	(void)crypto_generichash_init(&state, identity->secret.bytes,
	    sizeof(identity->secret.bytes), sizeof(mac));
	hash_text(&state, "relay");
	(void)crypto_generichash_update(
	    &state, (const unsigned char *)&incarnation, sizeof(incarnation));
	hash_text(&state, kind_name(call));
	hash_text(&state, call->server_id);
	hash_text(&state, call->request_id);
	hash_text(&state, call->method);
	hash_text(&state, call->target);
	(void)crypto_generichash_update(&state, call->body, call->body_len);
	(void)crypto_generichash_final(&state, mac, sizeof(mac));
	(void)sodium_bin2hex(hex, RELAY_MAC_HEX_SIZE, mac, sizeof(mac));
}

int
at_relay_add_header(const at_identity_t *identity,
    const at_roster_member_t *member, const at_relay_call_t *call,
    at_header_lines_t *lines)
{
	char value[RELAY_HEADER_SIZE];
	char mac[RELAY_MAC_HEX_SIZE];

	relay_compute_mac(identity, member->incarnation, call, mac);
	(void)snprintf(value, sizeof(value), "v1 %s %s %s", kind_name(call),
	    call->server_id, mac);
	return at_header_lines_set(lines, RELAY_HEADER, value);
}

int
relay_parse_header(const at_identity_t *identity, const char *text,
    at_relay_call_t *call, char server_id[AT_NAME_SIZE])
{
	char kind[8];
	char mac[RELAY_MAC_HEX_SIZE];
	char expected[RELAY_MAC_HEX_SIZE];

	if (text == NULL ||
	    sscanf(text, "v1 %7s %63s %64s", kind, server_id, mac) != 3)
		return -1;
	call->server_id = server_id;
	call->is_probe = strcmp(kind, "probe") == 0;
	call->new_connection = strcmp(kind, "new") == 0;
	relay_compute_mac(identity, identity->self.number, call, expected);
	return strlen(mac) == strlen(expected) &&
		       sodium_memcmp(mac, expected, strlen(expected)) == 0
		   ? 0
		   : -1;
}

at_relay_outcome_t
at_relay_read_outcome(const at_transfer_t *transfer, int status)
{
	const char *text = at_transfer_header(transfer, RELAY_HEADER);
	int i;

	for (i = 0; text != NULL && i < AT_RELAY_OUTCOME_COUNT; i++) {
		if (strcmp(text, at_relay_outcome_names[i]) == 0)
			return (at_relay_outcome_t)i;
	}
	return status >= 400 && status < 500 && text == NULL ? AT_RELAY_REFUSED
							     : AT_RELAY_LOST;
}

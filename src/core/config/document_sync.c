#include "almondthread/document_sync.h"

#include <stdlib.h>
#include <string.h>

#define SOURCES_MAX 8u /* peers remembered as holders of the newest version */

const char *const at_document_sync_result_names[] = {
    "taken", "old", "refused", "no_base"};

/* The text of one version. */
typedef struct text {
	uint64_t version; /* 0: free */
	char *bytes;
	size_t len;
} text_t;

struct at_document_sync {
	at_document_sync_port_t port;
	text_t
	    texts[AT_DOCUMENT_SYNC_VERSIONS_MAX]; /* the one in force first */
	uint64_t refused;
	uint64_t wanted; /* the newest version heard of */
	at_name_t sources[SOURCES_MAX];
	size_t source_count;
	size_t asked; /* index of the source that has not answered */
	at_name_t heard[AT_DOCUMENT_SYNC_START_PEERS];
	size_t heard_count;
	uint64_t first_heard_ms;
	uint64_t asked_ms;
	int asking;
	int want_whole; /* the last difference did not fit */
};

at_document_sync_t *
at_document_sync_new(const at_document_sync_port_t *port)
{
	at_document_sync_t *adopt = calloc(1, sizeof(*adopt));

	if (adopt != NULL)
		adopt->port = *port;
	return adopt;
}

void
at_document_sync_delete(at_document_sync_t *adopt)
{
	size_t i;

	if (adopt == NULL)
		return;
	for (i = 0; i < AT_DOCUMENT_SYNC_VERSIONS_MAX; i++)
		free(adopt->texts[i].bytes);
	free(adopt);
}

uint64_t
at_document_sync_version(const at_document_sync_t *adopt)
{
	return adopt->texts[0].version;
}

uint64_t
at_document_sync_rejected_version(const at_document_sync_t *adopt)
{
	return adopt->refused;
}

const char *
at_document_sync_text(
    const at_document_sync_t *adopt, uint64_t version, size_t *len)
{
	size_t i;

	for (i = 0; version != 0 && i < AT_DOCUMENT_SYNC_VERSIONS_MAX; i++) {
		if (adopt->texts[i].version == version) {
			*len = adopt->texts[i].len;
			return adopt->texts[i].bytes;
		}
	}
	return NULL;
}

static void
keep_text(at_document_sync_t *adopt, uint64_t version, char *bytes, size_t len)
{
	const size_t last = AT_DOCUMENT_SYNC_VERSIONS_MAX - 1;

	free(adopt->texts[last].bytes);
	memmove(
	    &adopt->texts[1], &adopt->texts[0], last * sizeof(adopt->texts[0]));
	adopt->texts[0].version = version;
	adopt->texts[0].bytes = bytes;
	adopt->texts[0].len = len;
}

/* Decides on a text, which it takes over. */
static at_document_sync_result_t
decide(at_document_sync_t *adopt, uint64_t claimed, char *bytes, size_t len)
{
	uint64_t version = 0;
	void *object =
	    adopt->port.parse(adopt->port.impl, bytes, len, &version);

	adopt->asking = 0;
	if (object == NULL) {
		if (claimed > adopt->refused)
			adopt->refused = claimed;
		free(bytes);
		return AT_DOCUMENT_SYNC_REJECTED;
	}
	if (version <= at_document_sync_version(adopt)) {
		adopt->port.discard(adopt->port.impl, object);
		free(bytes);
		return AT_DOCUMENT_SYNC_OUTDATED;
	}
	keep_text(adopt, version, bytes, len);
	adopt->want_whole = 0;
	adopt->port.use(adopt->port.impl, object);
	return AT_DOCUMENT_SYNC_APPLIED;
}

at_document_sync_result_t
at_document_sync_apply(
    at_document_sync_t *adopt, uint64_t claimed, const char *text, size_t len)
{
	char *bytes = malloc(len + 1);

	if (bytes == NULL)
		return AT_DOCUMENT_SYNC_REJECTED;
	memcpy(bytes, text, len);
	bytes[len] = '\0';
	return decide(adopt, claimed, bytes, len);
}

at_document_sync_result_t
at_document_sync_apply_delta(at_document_sync_t *adopt, uint64_t claimed,
    uint64_t base, const at_delta_t *delta)
{
	size_t base_len = 0;
	size_t len = 0;
	const char *old = at_document_sync_text(adopt, base, &base_len);
	char *bytes = NULL;

	if (base == 0 || old != NULL)
		bytes = at_delta_apply(
		    delta, old == NULL ? "" : old, base_len, &len);
	if (bytes == NULL) {
		adopt->asking = 0;
		adopt->want_whole = 1;
		return AT_DOCUMENT_SYNC_NO_BASE;
	}
	return decide(adopt, claimed, bytes, len);
}

static int
contains(const at_name_t *names, size_t count, const at_name_t *name)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (at_name_equal(&names[i], name))
			return 1;
	}
	return 0;
}

/* A new instance counts the peers it has heard before it asks one. */
static void
note_first(at_document_sync_t *adopt, const at_name_t *peer, uint64_t now_ms)
{
	if (adopt->heard_count == 0)
		adopt->first_heard_ms = now_ms;
	if (adopt->heard_count < AT_DOCUMENT_SYNC_START_PEERS &&
	    !contains(adopt->heard, adopt->heard_count, peer))
		adopt->heard[adopt->heard_count++] = *peer;
}

void
at_document_sync_note_peer_version(at_document_sync_t *adopt,
    const at_name_t *peer, uint64_t version, uint64_t now_ms)
{
	note_first(adopt, peer, now_ms);
	if (version < adopt->wanted ||
	    version <= at_document_sync_version(adopt))
		return;
	if (version > adopt->wanted) {
		adopt->wanted = version;
		adopt->source_count = 0;
	}
	if (adopt->source_count < SOURCES_MAX &&
	    !contains(adopt->sources, adopt->source_count, peer))
		adopt->sources[adopt->source_count++] = *peer;
}

static int
settled(const at_document_sync_t *adopt, uint64_t now_ms)
{
	return at_document_sync_version(adopt) != 0 ||
	       adopt->heard_count >= AT_DOCUMENT_SYNC_START_PEERS ||
	       now_ms - adopt->first_heard_ms >=
		   AT_DOCUMENT_SYNC_START_DELAY_MS;
}

/* A source that did not answer is forgotten until it is heard again. */
static void
give_up(at_document_sync_t *adopt)
{
	adopt->asking = 0;
	if (adopt->asked >= adopt->source_count)
		return;
	adopt->sources[adopt->asked] = adopt->sources[--adopt->source_count];
	if (adopt->source_count == 0)
		adopt->wanted = 0;
}

const at_name_t *
at_document_sync_next_peer(
    at_document_sync_t *adopt, uint64_t now_ms, uint64_t chance, uint64_t *base)
{
	if (adopt->asking &&
	    now_ms - adopt->asked_ms < AT_DOCUMENT_SYNC_REQUEST_TIMEOUT_MS)
		return NULL;
	if (adopt->asking)
		give_up(adopt);
	if (adopt->wanted <= at_document_sync_version(adopt) ||
	    adopt->wanted <= adopt->refused || adopt->source_count == 0 ||
	    !settled(adopt, now_ms))
		return NULL;
	adopt->asking = 1;
	adopt->asked_ms = now_ms;
	*base = adopt->want_whole ? 0 : at_document_sync_version(adopt);
	adopt->asked = (size_t)(chance % adopt->source_count);
	return &adopt->sources[adopt->asked];
}

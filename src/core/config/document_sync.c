#include "almondthread/document_sync.h"

#include <stdlib.h>
#include <string.h>

#define SOURCES_MAX 8u /* stored peers with the newest version */

const char *const at_document_sync_result_names[] = {
    "taken", "old", "refused", "no_base"};

/* The text of one version; version 0 marks a free entry. */
typedef struct stored_text {
	uint64_t version;
	char *bytes;
	size_t len;
} stored_text_t;

struct at_document_sync {
	at_document_sync_port_t port;
	stored_text_t texts[AT_DOCUMENT_SYNC_VERSIONS_MAX]; /* newest first */
	uint64_t rejected;        /* highest version that was not valid */
	uint64_t newest_reported; /* highest version that a peer has reported */
	at_name_t sources[SOURCES_MAX];
	size_t source_count;
	size_t requested_source; /* index in sources, of the last request */
	/* The first peers that have reported a version. */
	at_name_t start_peers[AT_DOCUMENT_SYNC_START_PEERS];
	size_t start_peer_count;
	uint64_t first_report_ms; /* time of the first peer's report */
	uint64_t requested_ms;    /* time of the last request */
	int is_requesting;        /* a response is expected */
	int needs_complete_text;  /* the last difference could not be applied */
};

at_document_sync_t *
at_document_sync_new(const at_document_sync_port_t *port)
{
	at_document_sync_t *sync = calloc(1, sizeof(*sync));

	if (sync != NULL)
		sync->port = *port;
	return sync;
}

void
at_document_sync_delete(at_document_sync_t *sync)
{
	size_t i;

	if (sync == NULL)
		return;
	for (i = 0; i < AT_DOCUMENT_SYNC_VERSIONS_MAX; i++)
		free(sync->texts[i].bytes);
	free(sync);
}

uint64_t
at_document_sync_version(const at_document_sync_t *sync)
{
	return sync->texts[0].version;
}

uint64_t
at_document_sync_rejected_version(const at_document_sync_t *sync)
{
	return sync->rejected;
}

const char *
at_document_sync_text(
    const at_document_sync_t *sync, uint64_t version, size_t *len)
{
	size_t i;

	for (i = 0; version != 0 && i < AT_DOCUMENT_SYNC_VERSIONS_MAX; i++) {
		if (sync->texts[i].version == version) {
			*len = sync->texts[i].len;
			return sync->texts[i].bytes;
		}
	}
	return NULL;
}

static void
store_text(at_document_sync_t *sync, uint64_t version, char *bytes, size_t len)
{
	const size_t last = AT_DOCUMENT_SYNC_VERSIONS_MAX - 1;

	free(sync->texts[last].bytes);
	memmove(
	    &sync->texts[1], &sync->texts[0], last * sizeof(sync->texts[0]));
	sync->texts[0].version = version;
	sync->texts[0].bytes = bytes;
	sync->texts[0].len = len;
}

/* Parses a text, of which it takes ownership, and applies it if newer. */
static at_document_sync_result_t
parse_and_apply(
    at_document_sync_t *sync, uint64_t claimed, char *bytes, size_t len)
{
	uint64_t version = 0;
	void *object = sync->port.parse(sync->port.impl, bytes, len, &version);

	sync->is_requesting = 0;
	if (object == NULL) {
		if (claimed > sync->rejected)
			sync->rejected = claimed;
		free(bytes);
		return AT_DOCUMENT_SYNC_REJECTED;
	}
	if (version <= at_document_sync_version(sync)) {
		sync->port.discard(sync->port.impl, object);
		free(bytes);
		return AT_DOCUMENT_SYNC_OUTDATED;
	}
	store_text(sync, version, bytes, len);
	sync->needs_complete_text = 0;
	sync->port.apply(sync->port.impl, object);
	return AT_DOCUMENT_SYNC_APPLIED;
}

at_document_sync_result_t
at_document_sync_apply(
    at_document_sync_t *sync, uint64_t claimed, const char *text, size_t len)
{
	char *bytes = malloc(len + 1);

	if (bytes == NULL)
		return AT_DOCUMENT_SYNC_REJECTED;
	memcpy(bytes, text, len);
	bytes[len] = '\0';
	return parse_and_apply(sync, claimed, bytes, len);
}

at_document_sync_result_t
at_document_sync_apply_delta(at_document_sync_t *sync, uint64_t claimed,
    uint64_t base, const at_delta_t *delta)
{
	size_t base_len = 0;
	size_t len = 0;
	const char *base_text = at_document_sync_text(sync, base, &base_len);
	char *bytes = NULL;

	if (base == 0 || base_text != NULL)
		bytes = at_delta_apply(
		    delta, base_text == NULL ? "" : base_text, base_len, &len);
	if (bytes == NULL) {
		sync->is_requesting = 0;
		sync->needs_complete_text = 1;
		return AT_DOCUMENT_SYNC_NO_BASE;
	}
	return parse_and_apply(sync, claimed, bytes, len);
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

/*
 * Records a peer that has reported a version, until
 * AT_DOCUMENT_SYNC_START_PEERS are known.
 */
static void
note_start_peer(
    at_document_sync_t *sync, const at_name_t *peer, uint64_t now_ms)
{
	if (sync->start_peer_count == 0)
		sync->first_report_ms = now_ms;
	if (sync->start_peer_count < AT_DOCUMENT_SYNC_START_PEERS &&
	    !contains(sync->start_peers, sync->start_peer_count, peer))
		sync->start_peers[sync->start_peer_count++] = *peer;
}

void
at_document_sync_note_peer_version(at_document_sync_t *sync,
    const at_name_t *peer, uint64_t version, uint64_t now_ms)
{
	note_start_peer(sync, peer, now_ms);
	if (version < sync->newest_reported ||
	    version <= at_document_sync_version(sync))
		return;
	if (version > sync->newest_reported) {
		sync->newest_reported = version;
		sync->source_count = 0;
	}
	if (sync->source_count < SOURCES_MAX &&
	    !contains(sync->sources, sync->source_count, peer))
		sync->sources[sync->source_count++] = *peer;
}

static int
can_request(const at_document_sync_t *sync, uint64_t now_ms)
{
	return at_document_sync_version(sync) != 0 ||
	       sync->start_peer_count >= AT_DOCUMENT_SYNC_START_PEERS ||
	       now_ms - sync->first_report_ms >=
		   AT_DOCUMENT_SYNC_START_DELAY_MS;
}

/* Removes a source that did not respond; its next report adds it again. */
static void
remove_requested_source(at_document_sync_t *sync)
{
	sync->is_requesting = 0;
	if (sync->requested_source >= sync->source_count)
		return;
	sync->sources[sync->requested_source] =
	    sync->sources[--sync->source_count];
	if (sync->source_count == 0)
		sync->newest_reported = 0;
}

const at_name_t *
at_document_sync_next_peer(
    at_document_sync_t *sync, uint64_t now_ms, uint64_t chance, uint64_t *base)
{
	if (sync->is_requesting &&
	    now_ms - sync->requested_ms < AT_DOCUMENT_SYNC_REQUEST_TIMEOUT_MS)
		return NULL;
	if (sync->is_requesting)
		remove_requested_source(sync);
	if (sync->newest_reported <= at_document_sync_version(sync) ||
	    sync->newest_reported <= sync->rejected ||
	    sync->source_count == 0 || !can_request(sync, now_ms))
		return NULL;
	sync->is_requesting = 1;
	sync->requested_ms = now_ms;
	*base = sync->needs_complete_text ? 0 : at_document_sync_version(sync);
	sync->requested_source = (size_t)(chance % sync->source_count);
	return &sync->sources[sync->requested_source];
}

#include "io/replica.h"

#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "io/clock.h"
#include "replica.pb-c.h"

/* A packed update, cached for other peers with the same base version. */
typedef struct packed_update {
	uint64_t base;
	uint64_t version; /* 0 if there is none */
	uint8_t *bytes;
	size_t len;
} packed_update_t;

struct at_replica {
	at_peers_t *peers;
	at_peer_document_t document;
	at_document_sync_t *sync;
	at_counters_t *counters;
	at_replica_result_t on_result;
	void *result_ctx;
	at_random_t random;
	packed_update_t packed;
};

at_replica_t *
at_replica_new(at_peers_t *peers, at_peer_document_t document,
    const at_document_sync_port_t *port)
{
	at_replica_t *replica = calloc(1, sizeof(*replica));

	if (replica == NULL)
		return NULL;
	replica->peers = peers;
	replica->document = document;
	replica->random = at_random_system();
	replica->sync = at_document_sync_new(port);
	if (replica->sync == NULL) {
		free(replica);
		return NULL;
	}
	return replica;
}

void
at_replica_set_counters(at_replica_t *replica, at_counters_t *counters)
{
	replica->counters = counters;
}

void
at_replica_set_result(
    at_replica_t *replica, at_replica_result_t on_result, void *ctx)
{
	replica->on_result = on_result;
	replica->result_ctx = ctx;
}

void
at_replica_delete(at_replica_t *replica)
{
	if (replica == NULL)
		return;
	at_document_sync_delete(replica->sync);
	free(replica->packed.bytes);
	free(replica);
}

uint64_t
at_replica_version(const at_replica_t *replica)
{
	return at_document_sync_version(replica->sync);
}

uint64_t
at_replica_rejected_version(const at_replica_t *replica)
{
	return at_document_sync_rejected_version(replica->sync);
}

static void
add_count(at_replica_t *replica, const char *name, const char *label,
    const char *value, uint64_t n)
{
	if (replica->counters != NULL)
		at_counters_add(replica->counters, name, label, value, n);
}

/* Reports the result to the peers and to the owner. */
static void
finish_apply(
    at_replica_t *replica, at_document_sync_result_t result, int from_platform)
{
	add_count(replica,
	    from_platform ? "documents_from_platform_total"
			  : "documents_from_peers_total",
	    "result", at_document_sync_result_names[result], 1);
	if (result == AT_DOCUMENT_SYNC_APPLIED)
		at_peers_set_version(replica->peers, replica->document,
		    at_document_sync_version(replica->sync));
	if (replica->on_result != NULL)
		replica->on_result(replica->result_ctx, result, from_platform);
}

at_document_sync_result_t
at_replica_apply(at_replica_t *replica, const char *text, size_t len)
{
	at_document_sync_result_t result =
	    at_document_sync_apply(replica->sync, 0, text, len);

	finish_apply(replica, result, 1);
	return result;
}

static int
send_message(at_replica_t *replica, const at_name_t *to,
    const Almondthread__DocumentMessage *message)
{
	size_t len = almondthread__document_message__get_packed_size(message);
	uint8_t *bytes = malloc(len);
	int result;

	if (bytes == NULL)
		return -1;
	(void)almondthread__document_message__pack(message, bytes);
	result = at_peers_send(replica->peers, to, AT_PEER_CONFIG, bytes, len);
	free(bytes);
	return result;
}

void
at_replica_tick(at_replica_t *replica)
{
	Almondthread__DocumentRequest request =
	    ALMONDTHREAD__DOCUMENT_REQUEST__INIT;
	Almondthread__DocumentMessage message =
	    ALMONDTHREAD__DOCUMENT_MESSAGE__INIT;
	uint64_t base = 0;
	const at_name_t *peer =
	    at_document_sync_next_peer(replica->sync, at_clock_now_ms(),
		replica->random.next(replica->random.impl), &base);

	if (peer == NULL)
		return;
	request.document = (uint32_t)replica->document;
	request.base_version = base;
	message.body_case = ALMONDTHREAD__DOCUMENT_MESSAGE__BODY_REQUEST;
	message.request = &request;
	if (send_message(replica, peer, &message) == 0)
		add_count(replica, "document_requests_total", NULL, NULL, 1);
}

void
at_replica_note_peer_version(
    at_replica_t *replica, const at_peer_member_t *from)
{
	at_document_sync_note_peer_version(replica->sync, &from->self.instance,
	    from->versions[replica->document], at_clock_now_ms());
	at_replica_tick(replica);
}

/* Packs the update from base to the version in force. */
static int
pack_update(at_replica_t *replica, const at_delta_t *delta, uint64_t base)
{
	Almondthread__DocumentUpdate update =
	    ALMONDTHREAD__DOCUMENT_UPDATE__INIT;
	Almondthread__DocumentMessage message =
	    ALMONDTHREAD__DOCUMENT_MESSAGE__INIT;
	Almondthread__DocumentPart *parts =
	    calloc(delta->count, sizeof(*parts));
	Almondthread__DocumentPart **list =
	    calloc(delta->count, sizeof(Almondthread__DocumentPart *));
	packed_update_t *packed = &replica->packed;
	size_t i;

	free(packed->bytes);
	memset(packed, 0, sizeof(*packed));
	for (i = 0; parts != NULL && list != NULL && i < delta->count; i++) {
		const at_delta_part_t *part = &delta->parts[i];

		almondthread__document_part__init(&parts[i]);
		parts[i].literal.data = (uint8_t *)(uintptr_t)part->literal;
		parts[i].literal.len = part->literal_len;
		parts[i].offset = part->offset;
		parts[i].length = part->length;
		list[i] = &parts[i];
	}
	update.document = (uint32_t)replica->document;
	update.version = at_document_sync_version(replica->sync);
	update.base_version = base;
	update.n_parts = i;
	update.parts = list;
	update.result_len = delta->result_len;
	update.result_hash = delta->result_hash;
	message.body_case = ALMONDTHREAD__DOCUMENT_MESSAGE__BODY_UPDATE;
	message.update = &update;
	packed->len = almondthread__document_message__get_packed_size(&message);
	packed->bytes = malloc(packed->len);
	if (packed->bytes != NULL && i == delta->count) {
		(void)almondthread__document_message__pack(
		    &message, packed->bytes);
		packed->base = base;
		packed->version = update.version;
	}
	free(parts);
	free(list);
	return packed->version != 0 ? 0 : -1;
}

/* Packs the update for a peer that has version base, unless it is cached. */
static int
prepare_update(at_replica_t *replica, uint64_t base)
{
	uint64_t version = at_document_sync_version(replica->sync);
	size_t len = 0;
	size_t base_text_len = 0;
	const char *text = at_document_sync_text(replica->sync, version, &len);
	const char *base_text =
	    at_document_sync_text(replica->sync, base, &base_text_len);
	at_delta_t delta;
	int result;

	if (base_text == NULL) {
		base = 0;
		base_text = "";
	}
	if (replica->packed.version == version && replica->packed.base == base)
		return 0;
	if (at_delta_make(&delta, base_text, base_text_len, text, len) != 0)
		return -1;
	result = pack_update(replica, &delta, base);
	at_delta_clear(&delta);
	return result;
}

static void
on_request(at_replica_t *replica, const at_peer_member_t *from,
    const Almondthread__DocumentRequest *request)
{
	if (request->base_version >= at_document_sync_version(replica->sync))
		return;
	if (prepare_update(replica, request->base_version) != 0 ||
	    at_peers_send(replica->peers, &from->self.instance, AT_PEER_CONFIG,
		replica->packed.bytes, replica->packed.len) != 0)
		return;
	add_count(replica, "document_updates_total", "kind",
	    replica->packed.base == 0 ? "whole" : "difference", 1);
	add_count(replica, "document_update_bytes_total", NULL, NULL,
	    replica->packed.len);
}

static void
on_update(at_replica_t *replica, const Almondthread__DocumentUpdate *update)
{
	at_delta_part_t *parts = calloc(update->n_parts + 1, sizeof(*parts));
	at_delta_t delta = {.parts = parts,
	    .count = update->n_parts,
	    .result_hash = update->result_hash,
	    .result_len = update->result_len};
	size_t i;

	if (parts == NULL || update->result_len > AT_VALUE_MAX_BYTES) {
		free(parts);
		return;
	}
	for (i = 0; i < update->n_parts; i++) {
		const Almondthread__DocumentPart *part = update->parts[i];

		parts[i].literal = (const char *)part->literal.data;
		parts[i].literal_len = (uint32_t)part->literal.len;
		parts[i].offset = part->offset;
		parts[i].length = part->length;
	}
	finish_apply(replica,
	    at_document_sync_apply_delta(
		replica->sync, update->version, update->base_version, &delta),
	    0);
	free(parts);
	at_replica_tick(replica);
}

void
at_replicas_handle_message(at_replica_t *const *replicas,
    const at_peer_member_t *from, const void *data, size_t len)
{
	Almondthread__DocumentMessage *message =
	    almondthread__document_message__unpack(NULL, len, data);

	if (message == NULL)
		return;
	if (message->body_case ==
		ALMONDTHREAD__DOCUMENT_MESSAGE__BODY_REQUEST &&
	    message->request->document < AT_PEER_DOCUMENT_COUNT)
		on_request(replicas[message->request->document], from,
		    message->request);
	else if (message->body_case ==
		     ALMONDTHREAD__DOCUMENT_MESSAGE__BODY_UPDATE &&
		 message->update->document < AT_PEER_DOCUMENT_COUNT)
		on_update(replicas[message->update->document], message->update);
	almondthread__document_message__free_unpacked(message, NULL);
}

#include "entry/store/documents.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <zlib.h>

#include "almondthread/log.h"
#include "almondthread/reassembly.h"
#include "io/clock.h"

/* Of the link that parts may take. */
#define LINK_SHARE 0.5
#define BYTES_PER_S_PER_MBPS 125000.
/* Parts that may be sent at once after a pause. */
#define BURST_BYTES (8u * AT_PART_BYTES)
#define SEND_INTERVAL_S 0.004
/* Bytes of a datagram beside those of a part. */
#define PART_OVERHEAD_BYTES 160u
/* Parts that wait; further ones are dropped, and asked for again. */
#define WAITING_MAX 4096u
/* Documents that are kept for those that ask for them later. */
#define KEPT_MAX 4u
/* A document that is larger when it is no longer compressed is refused. */
#define RAW_MAX_BYTES (32u << 20)
#define RAW_LEN_BYTES 4u /* before the compressed bytes */

/* A document that has been made here, or that others ask for. */
typedef struct document {
	uint32_t references;
	at_document_kind_t kind;
	at_document_range_t range;
	uint64_t hash;
	uint8_t *data;
	size_t len;
} document_t;

/* A part that waits to be sent. */
typedef struct waiting {
	struct waiting *next;
	document_t *document; /* NULL: the part is in data */
	ReportPiece piece;
	uint8_t *data;
	at_tag_t to;
} waiting_t;

struct at_documents {
	struct ev_loop *loop;
	at_roster_t *roster;
	at_counters_t *counters;
	at_documents_port_t port;
	at_tag_t self;
	at_tag_t data_centre;
	double bytes_per_s;
	double allowance; /* bytes that may be sent now */
	uint64_t allowance_us;
	ev_timer timer;
	waiting_t *first;
	waiting_t **last;
	size_t waiting_count;
	document_t *kept[KEPT_MAX];
	size_t next_kept;
	at_reassembly_t *incoming[AT_DOCUMENT_KIND_COUNT];
};

static void
document_unref(document_t *document)
{
	if (document == NULL || --document->references > 0)
		return;
	free(document->data);
	free(document);
}

static void
waiting_free(waiting_t *waiting)
{
	document_unref(waiting->document);
	free(waiting->data);
	free(waiting);
}

static int
is_kind(uint32_t kind)
{
	return kind == AT_DOCUMENT_CONFIG || kind == AT_DOCUMENT_SERVERS;
}

/* Packs and compresses a message, behind its length. */
static uint8_t *
compress_message(const ReportDocument *message, size_t *len)
{
	size_t raw_len = report_document__get_packed_size(message);
	uLongf packed_len = compressBound(raw_len);
	uint8_t *raw = malloc(raw_len + 1);
	uint8_t *data = malloc(RAW_LEN_BYTES + packed_len);
	unsigned i;

	if (raw == NULL || data == NULL || raw_len > RAW_MAX_BYTES) {
		free(raw);
		free(data);
		return NULL;
	}
	(void)report_document__pack(message, raw);
	for (i = 0; i < RAW_LEN_BYTES; i++)
		data[i] = (uint8_t)(raw_len >> (8 * i));
	if (compress2(data + RAW_LEN_BYTES, &packed_len, raw, raw_len,
		Z_BEST_SPEED) != Z_OK ||
	    packed_len + RAW_LEN_BYTES > AT_DOCUMENT_MAX_BYTES) {
		free(data);
		data = NULL;
	}
	free(raw);
	*len = RAW_LEN_BYTES + packed_len;
	return data;
}

/* Returns NULL if the bytes are not those of a message. */
static ReportDocument *
uncompress_message(const uint8_t *data, size_t len)
{
	ReportDocument *message = NULL;
	uLongf raw_len = 0;
	uint8_t *raw;
	unsigned i;

	if (len < RAW_LEN_BYTES)
		return NULL;
	for (i = 0; i < RAW_LEN_BYTES; i++)
		raw_len |= (uLongf)data[i] << (8 * i);
	if (raw_len > RAW_MAX_BYTES)
		return NULL;
	raw = malloc(raw_len + 1);
	if (raw != NULL && uncompress(raw, &raw_len, data + RAW_LEN_BYTES,
			       len - RAW_LEN_BYTES) == Z_OK)
		message = report_document__unpack(NULL, raw_len, raw);
	free(raw);
	return message;
}

static void
keep(at_documents_t *documents, document_t *document)
{
	document_t **place =
	    &documents->kept[documents->next_kept++ % KEPT_MAX];

	document_unref(*place);
	*place = document;
}

/* Returns the changes since a version, borrowed, or NULL if there are none. */
static document_t *
make_document(at_documents_t *documents, at_document_kind_t kind, uint64_t have)
{
	ReportDocument message = REPORT_DOCUMENT__INIT;
	at_document_range_t range;
	document_t *document;

	if (documents->port.fill(
		documents->port.ctx, kind, have, &message, &range) != 0)
		return NULL;
	document = calloc(1, sizeof(*document));
	if (document == NULL)
		return NULL;
	document->references = 1;
	document->kind = kind;
	document->range = range;
	document->data = compress_message(&message, &document->len);
	if (document->data == NULL) {
		at_log(AT_LOG_ERROR, "documents", NULL,
		    "document not sent: too large kind=%d version=%" PRIu64,
		    (int)kind, range.version);
		document_unref(document);
		return NULL;
	}
	document->hash = at_document_hash(document->data, document->len);
	keep(documents, document);
	return document;
}

static document_t *
find_kept(const at_documents_t *documents, uint64_t hash)
{
	size_t i;

	for (i = 0; i < KEPT_MAX; i++) {
		if (documents->kept[i] != NULL &&
		    documents->kept[i]->hash == hash)
			return documents->kept[i];
	}
	return NULL;
}

/* Sending */

static void
send_part(at_documents_t *documents, const waiting_t *waiting)
{
	at_roster_member_t *member =
	    at_roster_find(documents->roster, waiting->to);
	ReportPiece piece = waiting->piece;
	ReportPiece *list[] = {&piece};
	Report report = REPORT__INIT;

	if (member == NULL)
		return;
	report.n_pieces = 1;
	report.pieces = list;
	documents->port.send(documents->port.ctx, member->address, &report);
	at_counters_add(
	    documents->counters, "document_parts_total", "way", "sent", 1);
}

static void
send_waiting(at_documents_t *documents)
{
	uint64_t now_us = at_clock_now_us();

	documents->allowance += documents->bytes_per_s *
				(double)(now_us - documents->allowance_us) /
				1e6;
	if (documents->allowance > BURST_BYTES)
		documents->allowance = BURST_BYTES;
	documents->allowance_us = now_us;
	while (documents->first != NULL && documents->allowance > 0) {
		waiting_t *waiting = documents->first;

		documents->first = waiting->next;
		if (documents->first == NULL)
			documents->last = &documents->first;
		documents->waiting_count--;
		documents->allowance -=
		    (double)(waiting->piece.data.len + PART_OVERHEAD_BYTES);
		send_part(documents, waiting);
		waiting_free(waiting);
	}
	if (documents->first != NULL && !ev_is_active(&documents->timer)) {
		ev_timer_set(&documents->timer, SEND_INTERVAL_S, 0.);
		ev_timer_start(documents->loop, &documents->timer);
	}
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	send_waiting(timer->data);
}

/* Takes over waiting, which may be NULL. */
static void
add_waiting(at_documents_t *documents, waiting_t *waiting)
{
	if (waiting == NULL)
		return;
	if (documents->waiting_count == WAITING_MAX) {
		at_counters_add(documents->counters, "document_parts_total",
		    "way", "dropped", 1);
		waiting_free(waiting);
		return;
	}
	documents->waiting_count++;
	*documents->last = waiting;
	documents->last = &waiting->next;
}

/* Lets a part of a document that is kept wait. */
static void
queue_part(at_documents_t *documents, document_t *document, uint32_t offset,
    at_tag_t root, at_tag_t to)
{
	waiting_t *waiting = calloc(1, sizeof(*waiting));
	size_t len = document->len - offset;

	if (waiting == NULL)
		return;
	waiting->to = to;
	waiting->document = document;
	document->references++;
	report_piece__init(&waiting->piece);
	waiting->piece.kind = document->kind;
	waiting->piece.version = document->range.version;
	waiting->piece.base_version = document->range.base;
	waiting->piece.document = document->hash;
	waiting->piece.total = (uint32_t)document->len;
	waiting->piece.offset = offset;
	waiting->piece.data.data = document->data + offset;
	waiting->piece.data.len = len > AT_PART_BYTES ? AT_PART_BYTES : len;
	waiting->piece.root = root;
	add_waiting(documents, waiting);
}

/* Lets a part that has arrived wait for each instance that it goes on to. */
static void
pass_on(at_documents_t *documents, const ReportPiece *piece)
{
	at_tag_t children[AT_ROSTER_CHILDREN];
	size_t count = at_roster_children(documents->roster,
	    documents->data_centre, piece->root, children, at_clock_now_us());
	size_t i;

	for (i = 0; i < count; i++) {
		waiting_t *waiting = calloc(1, sizeof(*waiting));

		if (waiting == NULL)
			return;
		waiting->to = children[i];
		waiting->piece = *piece;
		waiting->data = malloc(piece->data.len + 1);
		if (waiting->data == NULL) {
			free(waiting);
			return;
		}
		memcpy(waiting->data, piece->data.data, piece->data.len);
		waiting->piece.data.data = waiting->data;
		add_waiting(documents, waiting);
	}
	send_waiting(documents);
}

void
at_documents_spread(
    at_documents_t *documents, at_document_kind_t kind, uint64_t have)
{
	document_t *document = make_document(documents, kind, have);
	at_tag_t children[AT_ROSTER_CHILDREN];
	size_t count;
	uint32_t offset;
	size_t i;

	if (document == NULL)
		return;
	count = at_roster_children(documents->roster, documents->data_centre,
	    documents->self, children, at_clock_now_us());
	at_log(AT_LOG_INFO, "documents", NULL,
	    "document spread kind=%d version=%" PRIu64 " base=%" PRIu64
	    " bytes=%zu instances=%zu",
	    (int)kind, document->range.version, document->range.base,
	    document->len, count);
	for (offset = 0; offset < document->len; offset += AT_PART_BYTES) {
		for (i = 0; i < count; i++)
			queue_part(documents, document, offset, documents->self,
			    children[i]);
	}
	send_waiting(documents);
}

void
at_documents_ask(at_documents_t *documents, const at_roster_member_t *member,
    at_document_kind_t kind, uint64_t have)
{
	ReportPieceRequest request = REPORT_PIECE_REQUEST__INIT;
	ReportPieceRequest *list[] = {&request};
	uint32_t missing[AT_REASSEMBLY_MISSING_MAX];
	Report report = REPORT__INIT;

	request.sender = documents->self;
	request.kind = kind;
	request.have = have;
	request.document = at_reassembly_missing(
	    documents->incoming[kind], missing, &request.n_missing);
	request.missing = missing;
	report.n_piece_requests = 1;
	report.piece_requests = list;
	documents->port.send(documents->port.ctx, member->address, &report);
	at_counters_add(
	    documents->counters, "document_requests_total", "way", "sent", 1);
}

static int
is_waiting(
    const at_documents_t *documents, at_tag_t to, at_document_kind_t kind)
{
	const waiting_t *waiting;

	for (waiting = documents->first; waiting != NULL;
	     waiting = waiting->next) {
		if (waiting->to == to && waiting->piece.kind == kind)
			return 1;
	}
	return 0;
}

/* An instance that asks again before it has its answer gets only one. */
static void
answer(at_documents_t *documents, const ReportPieceRequest *request)
{
	at_document_kind_t kind = (at_document_kind_t)request->kind;
	document_t *document;
	uint32_t offset;
	size_t i;

	if (!is_kind(request->kind) ||
	    is_waiting(documents, request->sender, kind))
		return;
	document = find_kept(documents, request->document);
	if (document != NULL && request->n_missing > 0) {
		for (i = 0; i < request->n_missing; i++) {
			if (request->missing[i] < document->len &&
			    request->missing[i] % AT_PART_BYTES == 0)
				queue_part(documents, document,
				    request->missing[i], 0, request->sender);
		}
	} else {
		document = make_document(documents, kind, request->have);
		for (offset = 0; document != NULL && offset < document->len;
		     offset += AT_PART_BYTES)
			queue_part(
			    documents, document, offset, 0, request->sender);
	}
	at_counters_add(documents->counters, "document_requests_total", "way",
	    document == NULL ? "refused" : "answered", 1);
	send_waiting(documents);
}

/* Receiving */

/*
 * Keeps a document for those that ask for its parts; takes over data. Returns
 * it, or NULL if out of memory.
 */
static document_t *
keep_received(at_documents_t *documents, at_document_kind_t kind,
    const at_document_range_t *range, uint8_t *data, size_t len)
{
	document_t *document = calloc(1, sizeof(*document));

	if (document == NULL) {
		free(data);
		return NULL;
	}
	document->references = 1;
	document->kind = kind;
	document->range = *range;
	document->hash = at_document_hash(data, len);
	document->data = data;
	document->len = len;
	keep(documents, document);
	return document;
}

static void
apply_complete(at_documents_t *documents, at_document_kind_t kind)
{
	at_document_range_t range;
	ReportDocument *message;
	document_t *document;
	uint8_t *data;
	size_t len;

	data = at_reassembly_take(
	    documents->incoming[kind], &len, &range.version, &range.base);
	document = keep_received(documents, kind, &range, data, len);
	if (document == NULL)
		return;
	message = uncompress_message(document->data, document->len);
	if (message == NULL) {
		at_log(AT_LOG_WARN, "documents", NULL,
		    "document ignored: cannot be read kind=%d version=%" PRIu64
		    " bytes=%zu",
		    (int)kind, range.version, len);
	} else {
		documents->port.apply(
		    documents->port.ctx, kind, message, &range);
		report_document__free_unpacked(message, NULL);
	}
}

static void
take_part(at_documents_t *documents, const ReportPiece *piece)
{
	static const char *const results[] = {
	    "taken", "taken", "known", "ignored", "invalid"};
	at_document_kind_t kind = (at_document_kind_t)piece->kind;
	const at_part_t part = {.document = piece->document,
	    .version = piece->version,
	    .base = piece->base_version,
	    .total = piece->total,
	    .offset = piece->offset,
	    .data = piece->data.data,
	    .len = piece->data.len};
	at_part_result_t result;

	if (!is_kind(piece->kind))
		return;
	result = at_reassembly_add(
	    documents->incoming[kind], &part, at_clock_now_ms());
	at_counters_add(documents->counters, "document_parts_total", "way",
	    results[result], 1);
	if (result != AT_PART_TAKEN && result != AT_PART_COMPLETE)
		return;
	if (piece->root != 0)
		pass_on(documents, piece);
	documents->port.note_progress(documents->port.ctx, kind);
	if (result == AT_PART_COMPLETE)
		apply_complete(documents, kind);
}

void
at_documents_apply_report(at_documents_t *documents, const Report *report)
{
	size_t i;

	for (i = 0; i < report->n_pieces; i++)
		take_part(documents, report->pieces[i]);
	for (i = 0; i < report->n_piece_requests; i++)
		answer(documents, report->piece_requests[i]);
}

at_documents_t *
at_documents_new(struct ev_loop *loop, at_roster_t *roster,
    at_counters_t *counters, at_tag_t self, at_tag_t data_centre,
    double link_mbps, const at_documents_port_t *port)
{
	at_documents_t *documents = calloc(1, sizeof(*documents));
	int kind;

	if (documents == NULL)
		return NULL;
	documents->loop = loop;
	documents->roster = roster;
	documents->counters = counters;
	documents->port = *port;
	documents->self = self;
	documents->data_centre = data_centre;
	documents->bytes_per_s = link_mbps * BYTES_PER_S_PER_MBPS * LINK_SHARE;
	documents->last = &documents->first;
	ev_timer_init(&documents->timer, on_timer, SEND_INTERVAL_S, 0.);
	documents->timer.data = documents;
	for (kind = 0; kind < AT_DOCUMENT_KIND_COUNT; kind++) {
		documents->incoming[kind] = at_reassembly_new();
		if (documents->incoming[kind] == NULL) {
			at_documents_delete(documents);
			return NULL;
		}
	}
	return documents;
}

void
at_documents_delete(at_documents_t *documents)
{
	size_t i;

	if (documents == NULL)
		return;
	ev_timer_stop(documents->loop, &documents->timer);
	while (documents->first != NULL) {
		waiting_t *waiting = documents->first;

		documents->first = waiting->next;
		waiting_free(waiting);
	}
	for (i = 0; i < KEPT_MAX; i++)
		document_unref(documents->kept[i]);
	for (i = 0; i < AT_DOCUMENT_KIND_COUNT; i++)
		at_reassembly_delete(documents->incoming[i]);
	free(documents);
}

/*
 * httpd_memory.c - what requests hold of the memory account, and which of them
 * give way when it is short.
 */
#include "io/httpd_private.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <xxhash.h>

/* Of the limit, for requests whose headers are incomplete. */
#define HEADINGS_PART 5u
#define VICTIMS_MAX 16 /* for one claim */
/* Of the request, beside those in the connection's buffer, and of its attempt.
 */
#define HEADER_COPIES 2u
#define CLOSES_MAX 64 /* of connections, in one at_httpd_relieve() */

static void
note_progress_now(at_httpd_request_t *request)
{
	request->progressed_at = ev_now(request->httpd->loop);
	request->progress_bytes = 0;
}

void
httpd_note_progress(at_httpd_request_t *request, size_t bytes)
{
	request->progress_bytes += bytes;
	if (request->progress_bytes >= AT_MEMORY_PROGRESS_BYTES)
		note_progress_now(request);
}

/* Returns a hash of the address that the request comes from. */
static at_memory_owner_t
address_owner(const at_httpd_request_t *request)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    request->connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const struct sockaddr_in *addr = (const void *)info->client_addr;

	return XXH3_64bits(&addr->sin_addr, sizeof(addr->sin_addr)) | 1u;
}

/* Only large bodies are attributed: it takes a look at the headers. */
static void
classify(at_httpd_request_t *request)
{
	const at_httpd_t *httpd = request->httpd;
	at_httpd_class_t class = {0};

	request->is_classified = 1;
	if (httpd->classify != NULL)
		httpd->classify(httpd->classify_ctx, request, &class);
	request->priority = class.priority;
	at_shared_body_set_owner(request->body,
	    class.owner != 0 ? class.owner : address_owner(request));
}

static size_t
buffered_bytes(const at_httpd_request_t *request)
{
	return request->out_end - request->out_start;
}

int
httpd_waits_for_caller(const at_httpd_request_t *request)
{
	switch (request->state) {
	case REQUEST_READING:
		return !request->is_body_paused;
	case REQUEST_STREAMING:
		return buffered_bytes(request) > 0;
	case REQUEST_RESPONDED:
	case REQUEST_ENDING:
	case REQUEST_FAILING:
		return 1;
	case REQUEST_HANDLED:
	case REQUEST_ABORTED:
		break;
	}
	return 0;
}

/* Returns non-zero if it can be closed for what it holds. */
static int
may_give_way(const at_httpd_request_t *request)
{
	switch (request->state) {
	case REQUEST_READING:
		return !request->is_body_paused && request->body != NULL &&
		       request->body->size > 0;
	case REQUEST_STREAMING:
	case REQUEST_ENDING:
	case REQUEST_FAILING:
		return buffered_bytes(request) >= AT_HTTPD_HIGH_WATER_BYTES;
	case REQUEST_HANDLED:
	case REQUEST_RESPONDED:
	case REQUEST_ABORTED:
		break;
	}
	return 0;
}

/* Returns the one without progress for the longest time, except one. */
static at_httpd_request_t *
find_stalled(const at_httpd_t *httpd, const at_httpd_request_t *except,
    uint64_t *stalled_ms)
{
	at_httpd_request_t *request;
	at_httpd_request_t *found = NULL;

	*stalled_ms = 0;
	for (request = httpd->requests; request != NULL;
	     request = request->next) {
		if (request == except || !may_give_way(request) ||
		    (found != NULL &&
			request->progressed_at >= found->progressed_at))
			continue;
		found = request;
	}
	if (found != NULL)
		*stalled_ms = httpd_ms_since(httpd, found->progressed_at);
	return found;
}

/* Returns the unfinished body of the owner that has received least of it. */
static at_httpd_request_t *
find_unfinished(
    const at_httpd_t *httpd, const at_httpd_request_t *except, size_t owner)
{
	at_httpd_request_t *request;
	at_httpd_request_t *found = NULL;

	for (request = httpd->requests; request != NULL;
	     request = request->next) {
		if (request == except || request->state != REQUEST_READING ||
		    request->body == NULL || request->body->owner == 0 ||
		    request->body->owner % AT_MEMORY_OWNERS != owner ||
		    (found != NULL && request->body->len >= found->body->len))
			continue;
		found = request;
	}
	return found;
}

void
httpd_drop_body(at_httpd_request_t *request)
{
	at_shared_body_unref(request->body);
	request->body = NULL;
}

void
httpd_drop_out(at_httpd_request_t *request)
{
	at_memory_sub(
	    request->httpd->memory, AT_MEMORY_RESPONSES, request->out_size);
	free(request->out);
	request->out = NULL;
	request->out_start = 0;
	request->out_end = 0;
	request->out_size = 0;
}

/* The rest of the body is read and dropped, so that the response arrives. */
void
httpd_refuse_body(at_httpd_request_t *request, const at_memory_claim_t *claim)
{
	at_memory_t *memory = request->httpd->memory;

	request->fault = AT_HTTPD_NO_MEMORY;
	request->retry_after_ms = at_memory_retry_ms(memory, claim);
	at_memory_note_refused(memory);
	httpd_drop_body(request);
	if (request->is_body_paused)
		at_httpd_resume(request);
	request->is_body_paused = 0;
}

/* Returns non-zero if bytes of the body wait to be read by this process. */
static int
has_unread(const at_httpd_request_t *request)
{
	return request->state == REQUEST_READING && request->body != NULL &&
	       httpd_queued_bytes(request->connection, FIONREAD) > 0;
}

static void
close_request(at_httpd_request_t *request)
{
	if (has_unread(request)) {
		note_progress_now(request);
		return;
	}
	request->httpd->memory->closed_total++;
	if (request->state == REQUEST_READING)
		httpd_drop_body(request);
	httpd_shut_down_request(request);
	httpd_drop_out(request);
}

/*
 * Callers send their headers at once, mostly in one segment: of many whose
 * headers are incomplete, the oldest are hardly sound.
 */
static void
close_oldest_heading(const at_httpd_t *httpd)
{
	at_httpd_request_t *request;
	at_httpd_request_t *found = NULL;

	/* The newest is first. */
	for (request = httpd->requests; request != NULL;
	     request = request->next) {
		if (request->is_heading)
			found = request;
	}
	if (found == NULL)
		return;
	httpd_end_headers(found);
	close_request(found);
}

void
httpd_begin_headers(at_httpd_request_t *request)
{
	at_httpd_t *httpd = request->httpd;
	size_t each = CONNECTION_MEMORY_BYTES + httpd->receive_buffer_bytes;

	request->is_heading = 1;
	httpd->heading_count++;
	if (httpd->memory != NULL && httpd->memory->limit != 0 &&
	    httpd->heading_count * each > httpd->memory->limit / HEADINGS_PART)
		close_oldest_heading(httpd);
}

void
httpd_end_headers(at_httpd_request_t *request)
{
	if (!request->is_heading)
		return;
	request->is_heading = 0;
	request->httpd->heading_count--;
}

static int
cut_back(at_httpd_t *httpd, const at_httpd_request_t *except,
    const at_memory_claim_t *claim)
{
	at_httpd_request_t *victim = find_unfinished(
	    httpd, except, at_memory_largest_owner(httpd->memory));

	if (victim == NULL)
		return -1;
	httpd_refuse_body(victim, claim);
	return 0;
}

/* Decides on a claim that does not fit. */
static at_memory_verdict_t
make_room(
    at_httpd_t *httpd, at_httpd_request_t *request, at_memory_claim_t *claim)
{
	at_memory_verdict_t verdict = AT_MEMORY_REFUSE;
	int victims;

	for (victims = 0; victims < VICTIMS_MAX; victims++) {
		at_httpd_request_t *stalled =
		    find_stalled(httpd, request, &claim->stalled_ms);

		verdict = at_memory_decide(httpd->memory, claim);
		if (verdict == AT_MEMORY_CLOSE)
			close_request(stalled);
		else if (verdict != AT_MEMORY_CUT_BACK)
			return verdict;
		else if (cut_back(httpd, request, claim) != 0)
			break;
	}
	return claim->kind == AT_MEMORY_RESPONSES ? AT_MEMORY_PAUSE
						  : AT_MEMORY_REFUSE;
}

at_memory_verdict_t
httpd_claim_body(at_httpd_request_t *request, size_t size, int may_pause)
{
	at_httpd_t *httpd = request->httpd;
	at_memory_claim_t claim = {.kind = AT_MEMORY_BODIES,
	    .bytes = size - request->body->size,
	    .total = size,
	    .own = request->body->size,
	    .may_pause = may_pause};
	at_memory_verdict_t verdict = AT_MEMORY_ACCEPT;

	if (httpd->memory == NULL)
		return AT_MEMORY_ACCEPT;
	if (size > AT_MEMORY_SMALL_BYTES && !request->is_classified)
		classify(request);
	claim.priority = request->priority;
	claim.owner = request->body->owner;
	if (request->is_body_paused)
		claim.paused_ms = httpd_ms_since(httpd, request->paused_at);
	if (!at_memory_fits(httpd->memory, &claim))
		verdict = make_room(httpd, request, &claim);
	if (verdict == AT_MEMORY_REFUSE)
		httpd_refuse_body(request, &claim);
	if (verdict != AT_MEMORY_PAUSE) {
		request->is_body_paused = 0;
		return verdict;
	}
	if (!request->is_body_paused) {
		request->paused_at = ev_now(httpd->loop);
		httpd->memory->paused_total++;
	}
	request->is_body_paused = 1;
	return verdict;
}

void
httpd_claim_request(at_httpd_request_t *request)
{
	at_httpd_t *httpd = request->httpd;
	size_t bytes =
	    httpd->request_bytes + HEADER_COPIES * request->header_bytes;
	at_memory_claim_t claim = {.kind = AT_MEMORY_BODIES,
	    .bytes = bytes,
	    .total = bytes,
	    .is_request = 1};

	if (httpd->memory == NULL || httpd->request_bytes == 0)
		return;
	if (!at_memory_fits(httpd->memory, &claim) &&
	    make_room(httpd, request, &claim) != AT_MEMORY_ACCEPT) {
		httpd_refuse_body(request, &claim);
		return;
	}
	request->charged_bytes = bytes;
	at_memory_add(httpd->memory, AT_MEMORY_CONNECTIONS, bytes);
}

int
at_httpd_claim_response(at_httpd_request_t *request, size_t bytes)
{
	at_httpd_t *httpd = request->httpd;
	at_memory_claim_t claim = {
	    .kind = AT_MEMORY_RESPONSES, .bytes = bytes, .total = bytes};

	return httpd->memory == NULL || at_memory_fits(httpd->memory, &claim) ||
		       make_room(httpd, request, &claim) == AT_MEMORY_ACCEPT
		   ? 0
		   : -1;
}

/* Reading ahead makes no other request give way. */
int
httpd_claim_ahead(at_httpd_request_t *request)
{
	const at_memory_claim_t claim = {.kind = AT_MEMORY_RESPONSES,
	    .bytes = AT_HTTPD_HIGH_WATER_BYTES,
	    .is_ahead = 1};

	return request->httpd->may_read_ahead &&
		       at_memory_fits(request->httpd->memory, &claim)
		   ? 0
		   : -1;
}

/* Requests whose headers have no end, and connections without a request. */
static size_t
close_waiting(at_httpd_t *httpd, uint64_t excess)
{
	connection_t *connection;
	at_httpd_request_t *request;
	size_t count = 0;

	for (request = httpd->requests;
	     request != NULL && count < CLOSES_MAX &&
	     count * CONNECTION_MEMORY_BYTES < excess;
	     request = request->next) {
		if (!request->is_heading || request->state != REQUEST_READING ||
		    httpd_ms_since(httpd, request->started_at) <
			AT_MEMORY_STALLED_MS)
			continue;
		close_request(request);
		count++;
	}
	for (connection = TAILQ_FIRST(&httpd->idle);
	     connection != NULL && count < CLOSES_MAX &&
	     count * CONNECTION_MEMORY_BYTES < excess;
	     connection = TAILQ_NEXT(connection, idle)) {
		if (!httpd_may_close_idle(httpd, connection))
			continue;
		httpd->memory->closed_total++;
		httpd_shut_down(httpd, connection);
		count++;
	}
	return count;
}

int
httpd_is_short(const at_httpd_t *httpd)
{
	const at_memory_claim_t request = {.kind = AT_MEMORY_BODIES,
	    .bytes = AT_MEMORY_SMALL_BYTES,
	    .total = AT_MEMORY_SMALL_BYTES,
	    .is_request = 1};

	return !at_memory_fits(httpd->memory, &request);
}

/*
 * A connection that is kept after a request has its buffer for headers. Such
 * connections do not keep out requests that would be served.
 */
static void
close_kept(at_httpd_t *httpd)
{
	connection_t *connection;
	size_t count = 0;

	if (!httpd_is_short(httpd))
		return;
	TAILQ_FOREACH(connection, &httpd->idle, idle)
	{
		if (count == CLOSES_MAX ||
		    httpd_ms_since(httpd, connection->idle_since) <
			AT_MEMORY_STALLED_MS)
			break;
		if (!httpd_may_close_idle(httpd, connection))
			continue;
		httpd->memory->closed_total++;
		httpd_shut_down(httpd, connection);
		count++;
	}
}

/* What is used has grown by itself beyond the limit. */
static void
relieve_excess(at_httpd_t *httpd)
{
	uint64_t excess = at_memory_excess(httpd->memory);
	const at_memory_claim_t claim = {
	    .kind = AT_MEMORY_BODIES, .bytes = excess, .total = excess};
	int victims;

	if (excess == 0)
		return;
	for (victims = 0; victims < VICTIMS_MAX; victims++) {
		uint64_t stalled_ms;
		at_httpd_request_t *stalled =
		    find_stalled(httpd, NULL, &stalled_ms);

		if (at_memory_excess(httpd->memory) == 0)
			return;
		if (stalled != NULL && stalled_ms >= AT_MEMORY_STALLED_MS)
			close_request(stalled);
		else if (cut_back(httpd, NULL, &claim) != 0)
			break;
	}
	(void)close_waiting(httpd, at_memory_excess(httpd->memory));
}

/*
 * Resumes bodies and streams for which there is room again, and bodies that
 * were paused for the longest time allowed.
 */
static void
resume_paused(at_httpd_t *httpd)
{
	at_httpd_request_t *request;
	at_httpd_request_t *next;
	const at_memory_claim_t body = {.kind = AT_MEMORY_BODIES,
	    .bytes = AT_MEMORY_SMALL_BYTES,
	    .total = 2u * AT_MEMORY_SMALL_BYTES};

	for (request = httpd->requests; request != NULL; request = next) {
		next = request->next;
		if (request->is_body_paused &&
		    (at_memory_fits(httpd->memory, &body) ||
			httpd_ms_since(httpd, request->paused_at) >=
			    AT_MEMORY_PAUSE_MAX_MS)) {
			note_progress_now(request);
			at_httpd_resume(request);
		}
		if (request->is_paused && request->state == REQUEST_STREAMING &&
		    httpd_claim_ahead(request) == 0) {
			request->is_paused = 0;
			if (request->on_drain != NULL)
				request->on_drain(request->ctx);
		}
	}
}

void
at_httpd_relieve(at_httpd_t *httpd)
{
	if (httpd->memory == NULL || httpd->memory->limit == 0)
		return;
	relieve_excess(httpd);
	close_kept(httpd);
	resume_paused(httpd);
}

uint64_t
at_httpd_kernel_bytes(const at_httpd_t *httpd)
{
	const connection_t *connection;
	uint64_t sum = 0;

	TAILQ_FOREACH(connection, &httpd->connections, all)
	{
		sum += httpd_queued_bytes(connection->handle, FIONREAD) +
		       httpd_queued_bytes(connection->handle, SIOCOUTQ);
	}
	return sum;
}

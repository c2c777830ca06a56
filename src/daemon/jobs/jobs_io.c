#include "daemon/jobs/jobs_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "io/clock.h"

#define TICK_ACTIVE_S 0.005     /* tick interval while a job is processed */
#define TICK_IDLE_S 0.1         /* tick interval without one */
#define SUBMIT_TIMEOUT_MS 2000u /* longest wait for the object API */
#define RETRY_AFTER_MS 1000u    /* stated with refusals */
#define CANDIDATES_INTERVAL_MS 1000u /* between updates of the candidates */
#define CANDIDATES_PER_SHARD 1u      /* instances in each data centre */
#define DUE_DEFAULT_S (8u * 3600u)   /* without X-Due-In-S */
#define DUE_MAX_S (7u * 24u * 3600u) /* a larger X-Due-In-S is reduced */
#define RETENTION_S (24u * 3600u)    /* time for which ended jobs are stored */

at_jobs_io_t *
at_jobs_io_new(at_node_t *node)
{
	at_jobs_io_t *io = calloc(1, sizeof(*io));

	if (io == NULL)
		return NULL;
	io->node = node;
	io->jobs = at_jobs_new();
	if (io->jobs == NULL) {
		free(io);
		return NULL;
	}
	return io;
}

static void
request_free(job_request_t *pending)
{
	DL_DELETE(pending->io->requests, pending);
	free(pending);
}

void
at_jobs_io_delete(at_jobs_io_t *io)
{
	if (io == NULL)
		return;
	ev_timer_stop(io->node->loop, &io->tick);
	while (io->requests != NULL)
		request_free(io->requests);
	job_tasks_free(io);
	at_jobs_delete(io->jobs);
	free(io);
}

static void
update_counters(at_jobs_io_t *io)
{
	const at_jobs_stats_t *stats = at_jobs_stats(io->jobs);
	at_counters_t *counters = io->node->counters;
	size_t i;

	for (i = 0; i < AT_JOB_OUTCOME_COUNT; i++)
		at_counters_set(counters, "jobs_submitted_total", "outcome",
		    at_job_outcome_names[i], stats->outcomes[i]);
	for (i = AT_JOB_DONE; i < AT_JOB_STATE_COUNT; i++)
		at_counters_set(counters, "jobs_ended_total", "state",
		    at_job_state_names[i], stats->finished[i]);
	at_counters_set(
	    counters, "jobs_started_total", NULL, NULL, stats->started);
	at_counters_set(
	    counters, "jobs_retried_total", NULL, NULL, stats->retried);
	at_counters_set(
	    counters, "jobs_late_total", NULL, NULL, stats->past_due);
	at_counters_set(
	    counters, "jobs_leases_total", NULL, NULL, stats->leases_taken);
	at_counters_set(
	    counters, "jobs_deleted_total", NULL, NULL, stats->deleted);
	at_counters_set(
	    counters, "jobs_malformed_total", NULL, NULL, stats->malformed);
}

/*
 * Returns whether this instance may run the jobs of a shard in its data centre.
 */
static int
is_candidate(const at_node_t *node, uint32_t shard)
{
	char key[32];
	uint32_t rank;

	if (node->state != AT_NODE_SERVING || node->config == NULL)
		return 0;
	(void)snprintf(key, sizeof(key), "jobs/%02u", shard);
	for (rank = 0; rank < CANDIDATES_PER_SHARD; rank++) {
		const at_name_t *owner_name =
		    at_peers_owner(node->peers, &node->data_centre, key, rank);

		if (owner_name != NULL &&
		    at_name_equal(owner_name, &node->self.instance))
			return 1;
	}
	return 0;
}

static void
update_candidates(at_jobs_io_t *io)
{
	uint64_t now_ms = at_clock_now_ms();
	uint32_t shard;

	if (io->candidates_updated_ms != 0 &&
	    now_ms < io->candidates_updated_ms + CANDIDATES_INTERVAL_MS)
		return;
	io->candidates_updated_ms = now_ms;
	if (io->node->state > AT_NODE_SERVING)
		at_jobs_stop(io->jobs);
	for (shard = 0; shard < AT_JOB_SHARDS; shard++)
		at_jobs_set_candidate(
		    io->jobs, shard, is_candidate(io->node, shard));
	update_counters(io);
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_jobs_io_t *io = timer->data;

	(void)events;
	update_candidates(io);
	at_jobs_tick(io->jobs);
	timer->repeat =
	    at_jobs_active_count(io->jobs) > 0 ? TICK_ACTIVE_S : TICK_IDLE_S;
	ev_timer_again(loop, timer);
}

void
at_jobs_io_init(at_jobs_io_t *io)
{
	const at_clock_t clock = at_clock_system();
	const at_clock_t wall = at_clock_wall();

	at_jobs_set_store(io->jobs, &io->node->store);
	at_jobs_set_clocks(io->jobs, &clock, &wall);
	at_jobs_set_self(io->jobs, &io->node->self);
	at_jobs_set_run(io->jobs, job_run, io);
	at_jobs_set_retention(io->jobs, RETENTION_S);
	ev_timer_init(&io->tick, on_tick, TICK_IDLE_S, TICK_IDLE_S);
	io->tick.data = io;
	ev_timer_start(io->node->loop, &io->tick);
	update_counters(io);
}

size_t
at_jobs_io_active_count(const at_jobs_io_t *io)
{
	return at_jobs_active_count(io->jobs);
}

char *
job_format_data(json_t *header, const void *body, size_t body_len, size_t *len)
{
	char *text = json_dumps(header, JSON_COMPACT);
	size_t text_len = text == NULL ? 0 : strlen(text) + 1;
	char *data = text == NULL ? NULL : realloc(text, text_len + body_len);

	json_decref(header);
	*len = text_len + body_len;
	if (data == NULL) {
		free(text);
		return NULL;
	}
	if (body_len > 0)
		memcpy(data + text_len, body, body_len);
	return data;
}

json_t *
job_parse_data(const at_job_record_t *record, const char **body, size_t *len)
{
	const char *data = record->data;
	const char *end =
	    record->len == 0 ? NULL : memchr(data, '\0', record->len);

	if (end == NULL)
		return NULL;
	*body = end + 1;
	*len = record->len - (size_t)(end + 1 - data);
	return json_loadb(data, (size_t)(end - data), 0, NULL);
}

int
at_jobs_io_is_job(
    const at_httpd_request_t *request, const at_exchange_spec_t *spec)
{
	const char *prefer = at_httpd_header(request, "Prefer");

	if (strcmp(spec->method, "POST") != 0)
		return 0;
	return spec->priority == AT_PRIORITY_OVERNIGHT ||
	       (prefer != NULL && strstr(prefer, "respond-async") != NULL);
}

static void
on_end(void *ctx, int caller_closed)
{
	job_request_t *pending = ctx;

	(void)caller_closed;
	pending->request = NULL;
	if (pending->submit == NULL)
		return;
	at_jobs_detach(pending->submit);
	request_free(pending);
}

static job_request_t *
request_new(
    at_jobs_io_t *io, at_httpd_request_t *request, const char *workspace)
{
	job_request_t *pending = calloc(1, sizeof(*pending));

	if (pending == NULL)
		return NULL;
	pending->io = io;
	pending->request = request;
	(void)at_name_set(&pending->workspace, workspace);
	DL_PREPEND(io->requests, pending);
	at_httpd_set_end_handler(request, on_end, pending);
	return pending;
}

static void
reply_json(at_httpd_request_t *request, int status, json_t *body)
{
	const at_header_t headers[] = {{"Content-Type", "application/json"},
	    {"X-Request-Id", at_httpd_id(request)}, {NULL, NULL}};
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	at_httpd_reply(request, status, headers, text == NULL ? "{}" : text,
	    text == NULL ? 2 : strlen(text));
	free(text);
}

static void
on_submitted(void *ctx, at_job_outcome_t outcome)
{
	job_request_t *pending = ctx;
	char id[AT_JOB_ID_SIZE];
	at_verdict_t verdict = outcome == AT_JOB_UNKNOWN
				   ? AT_VERDICT_MAY_HAVE_RUN
				   : AT_VERDICT_NOT_RUN;

	at_httpd_set_end_handler(pending->request, NULL, NULL);
	at_job_id_format(&pending->id, id);
	if (outcome == AT_JOB_ACCEPTED)
		reply_json(pending->request, 202,
		    json_pack("{s:s,s:s,s:s+}", "id", id, "state", "queued",
			"href", AT_JOBS_PATH, id));
	else if (outcome == AT_JOB_MISMATCH)
		at_refuse(pending->io->node, pending->request,
		    AT_REASON_CLAIM_MISMATCH, AT_VERDICT_NOT_RUN, 0);
	else
		at_refuse(pending->io->node, pending->request,
		    AT_REASON_JOB_UNAVAILABLE, verdict, RETRY_AFTER_MS);
	request_free(pending);
}

/*
 * Returns the id of a job. Requests with the same idempotency key get the same
 * id; without a key it is random.
 */
static at_claim_hash_t
make_id(at_node_t *node, const at_exchange_spec_t *spec, const char *route)
{
	uint64_t random_numbers[2] = {node->random.next(node->random.impl),
	    node->random.next(node->random.impl)};
	const char *key = spec->idempotency_key;
	const void *parts[] = {"job", spec->workspace, spec->target,
	    spec->method, route,
	    key == NULL ? (const void *)random_numbers : key};
	const size_t lens[] = {3, strlen(spec->workspace), strlen(spec->target),
	    strlen(spec->method), strlen(route),
	    key == NULL ? sizeof(random_numbers) : strlen(key)};
	at_claim_hash_t id;

	at_claim_hash(&id, parts, lens, 6);
	return id;
}

static json_t *
make_header(const at_exchange_spec_t *spec, const char *route)
{
	return json_pack("{s:i,s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:i,s:i}", "kind",
	    (int)spec->kind, "target", spec->target, "workspace",
	    spec->workspace, "method", spec->method, "path", spec->path,
	    "route", route, "type",
	    spec->content_type == NULL ? "application/json"
				       : spec->content_type,
	    "key", spec->idempotency_key == NULL ? "" : spec->idempotency_key,
	    "repeat", (int)spec->repeat, "deadline_ms", (int)spec->deadline_ms);
}

static uint64_t
due_wall_ms(const at_httpd_request_t *request)
{
	const char *text = at_httpd_header(request, "X-Due-In-S");
	uint64_t due_s = text == NULL ? 0 : strtoull(text, NULL, 10);
	const at_clock_t wall = at_clock_wall();

	if (due_s == 0)
		due_s = DUE_DEFAULT_S;
	if (due_s > DUE_MAX_S)
		due_s = DUE_MAX_S;
	return wall.now_ms(wall.impl) + due_s * AT_MS_PER_S;
}

void
at_jobs_io_submit(at_jobs_io_t *io, at_httpd_request_t *request,
    const at_exchange_spec_t *spec, const char *route)
{
	const void *parts[] = {spec->path, spec->body};
	const size_t lens[] = {strlen(spec->path), spec->body_len};
	at_claim_hash_t digest;
	job_request_t *pending;
	char *data;
	size_t len;

	data = job_format_data(
	    make_header(spec, route), spec->body, spec->body_len, &len);
	if (data == NULL || len > AT_JOB_RECORD_MAX_BYTES) {
		free(data);
		at_refuse(io->node, request, AT_REASON_BODY_TOO_LARGE,
		    AT_VERDICT_NOT_RUN, 0);
		return;
	}
	pending = request_new(io, request, spec->workspace);
	if (pending != NULL) {
		pending->id = make_id(io->node, spec, route);
		at_claim_hash(&digest, parts, lens, 2);
		pending->submit = at_jobs_submit(io->jobs, &pending->id,
		    &digest, data, len, due_wall_ms(request), SUBMIT_TIMEOUT_MS,
		    on_submitted, pending);
	}
	free(data);
	if (pending == NULL || pending->submit == NULL) {
		at_refuse(io->node, request, AT_REASON_JOB_UNAVAILABLE,
		    AT_VERDICT_NOT_RUN, RETRY_AFTER_MS);
		return;
	}
	io->tick.repeat = TICK_ACTIVE_S;
	ev_timer_again(io->node->loop, &io->tick);
}

/* Returns the state of a job for a caller; releases the header. */
static json_t *
format_state(const at_claim_hash_t *id, const at_job_record_t *record,
    json_t *header, const char *body, size_t len)
{
	char text[AT_JOB_ID_SIZE];
	json_t *state;
	json_t *response;

	at_job_id_format(id, text);
	state = json_pack("{s:s,s:s}", "id", text, "state",
	    at_job_state_names[record->state]);
	if (record->state == AT_JOB_DONE) {
		response = json_loadb(body, len, JSON_DECODE_ANY, NULL);
		if (response == NULL)
			response = json_stringn(body, len);
		json_object_set(
		    state, "status", json_object_get(header, "status"));
		json_object_set(
		    state, "content_type", json_object_get(header, "type"));
		json_object_set_new(
		    state, "answer", response == NULL ? json_null() : response);
	}
	json_decref(header);
	return state;
}

static void
reply_state(job_request_t *pending, const at_store_result_t *result)
{
	at_job_record_t record = {.state = AT_JOB_QUEUED};
	const char *owner_name;
	const char *body = NULL;
	json_t *header = NULL;
	size_t len = 0;

	if (result->code == AT_STORE_OK &&
	    at_job_unpack(&record, result->value, result->value_len) == 0)
		header = job_parse_data(&record, &body, &len);
	owner_name = json_string_value(json_object_get(header, "workspace"));
	if (owner_name != NULL &&
	    strcmp(owner_name, pending->workspace.text) == 0) {
		reply_json(pending->request, 200,
		    format_state(&pending->id, &record, header, body, len));
		return;
	}
	json_decref(header);
	if (result->code == AT_STORE_OK || result->code == AT_STORE_NOT_FOUND)
		at_refuse(pending->io->node, pending->request,
		    AT_REASON_UNKNOWN_JOB, AT_VERDICT_NOT_RUN, 0);
	else
		at_refuse(pending->io->node, pending->request,
		    AT_REASON_JOB_UNAVAILABLE, AT_VERDICT_NOT_RUN,
		    RETRY_AFTER_MS);
}

static void
on_record(void *ctx, const at_store_result_t *result)
{
	job_request_t *pending = ctx;

	if (pending->request != NULL) {
		at_httpd_set_end_handler(pending->request, NULL, NULL);
		reply_state(pending, result);
	}
	request_free(pending);
}

void
at_jobs_io_show(
    at_jobs_io_t *io, at_httpd_request_t *request, const at_name_t *workspace)
{
	const char *text = at_httpd_path(request) + strlen(AT_JOBS_PATH);
	char name[AT_JOB_OBJECT_SIZE];
	at_claim_hash_t id;
	job_request_t *pending;

	if (at_job_id_parse(&id, text) != 0) {
		at_refuse(io->node, request, AT_REASON_UNKNOWN_JOB,
		    AT_VERDICT_NOT_RUN, 0);
		return;
	}
	pending = request_new(io, request, workspace->text);
	if (pending == NULL) {
		at_refuse(io->node, request, AT_REASON_JOB_UNAVAILABLE,
		    AT_VERDICT_NOT_RUN, RETRY_AFTER_MS);
		return;
	}
	pending->id = id;
	at_job_object_name(&id, name);
	io->node->store.get(io->node->store.impl, name, on_record, pending);
}
